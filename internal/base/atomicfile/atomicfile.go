// Package atomicfile replaces files in one step that a loss of power can't tear.
package atomicfile

import (
	"errors"
	"os"
	"path/filepath"
)

// Write replaces the file at path. Once it returns nil, the new content outlives a loss of power.
func Write(path string, data []byte) error {
	file, err := os.Create(path + ".new")
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
	return SyncFolder(filepath.Dir(path))
}

// SyncFolder makes the names in a folder last.
func SyncFolder(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
