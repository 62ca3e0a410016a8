// Package atomicfile replaces files in one step that a loss of power can't tear.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// ownerOnly lets nobody else read a file: what rookpass keeps holds callers' words and keys.
const ownerOnly = 0o600

// Write replaces the file at path, which only its owner may read. Once it returns nil, the new content outlives a loss of power.
func Write(path string, data []byte) error {
	// A file that was left by a crash may be open to others.
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

// SyncDir makes the names in a folder last.
func SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
