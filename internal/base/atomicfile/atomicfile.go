// Package atomicfile replaces files atomically and durably.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"

	"github.com/rookpass/rookpass/internal/base/filesystem"
)

// ownerOnly is the mode of the files: they hold callers' prompts and keys, so only their owner may read them.
const ownerOnly = 0o600

// TemporarySuffix is the suffix of the names of temporary files. One that an interrupted write left behind may be
// removed while no write is under way.
const TemporarySuffix = ".new"

// Write replaces the file at path, readable by its owner only. When it returns nil, the new content is synced to disk.
// After an error the file has its old or its new content, and no temporary file takes up room unless its removal failed
// too.
func Write(files filesystem.FS, path string, data []byte) error {
	temporary := path + TemporarySuffix
	// A file left by an interrupted write may have wider permissions.
	if err := files.Remove(temporary); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	err := writeNew(files, temporary, data)
	if err == nil {
		err = files.Rename(temporary, path)
	}
	if err != nil {
		_ = files.Remove(temporary) // the next write or start tries again
		return err
	}
	return filesystem.SyncDir(files, filepath.Dir(path))
}

func writeNew(files filesystem.FS, path string, data []byte) error {
	file, err := files.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt(data, 0); err != nil {
		return errors.Join(err, file.Close())
	}
	return errors.Join(file.Sync(), file.Close())
}
