// Package atomicfile replaces files atomically and durably.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// ownerOnly is the mode of the files: they hold callers' prompts and keys, so only their owner may read them.
const ownerOnly = 0o600

// Write replaces the file at path, readable by its owner only. When it returns nil, the new content is synced to disk.
func Write(path string, data []byte) error {
	// A file left by an interrupted write may have wider permissions.
	if err := os.Remove(path + ".new"); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	file, err := os.OpenFile(path+".new", os.O_WRONLY|os.O_CREATE|os.O_EXCL, ownerOnly)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err := errors.Join(err, file.Sync(), file.Close()); err != nil {
		return err
	}
	if err := os.Rename(path+".new", path); err != nil {
		return err
	}
	return SyncDir(filepath.Dir(path))
}

// SyncDir syncs a directory, so that files created or renamed in it survive a power loss.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
