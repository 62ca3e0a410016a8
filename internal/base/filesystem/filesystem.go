// Package filesystem declares the file operations that daemons with a disk need, so that tests can make each of them
// fail, slow or hang.
package filesystem

import (
	"errors"
	"io"
	"io/fs"
	"os"
)

// FS is a file system. Its methods behave like the functions of package os with the same names.
type FS interface {
	MkdirAll(path string, mode fs.FileMode) error
	ReadDir(path string) ([]fs.DirEntry, error)
	OpenFile(path string, flag int, mode fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(path string) error
}

// File is an open file or directory of an FS.
type File interface {
	io.Reader
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(path string, mode fs.FileMode) error { return os.MkdirAll(path, mode) }

// ReadDir implements FS.
func (OS) ReadDir(path string) ([]fs.DirEntry, error) { return os.ReadDir(path) }

// OpenFile implements FS.
func (OS) OpenFile(path string, flag int, mode fs.FileMode) (File, error) {
	file, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err // a nil *os.File would be a File that is not nil
	}
	return file, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// ReadFile returns the content of a file.
func ReadFile(files FS, path string) ([]byte, error) {
	file, err := files.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return nil, err
	}
	data, err := io.ReadAll(file)
	return data, errors.Join(err, file.Close())
}

// SyncDir syncs a directory, so that files created or renamed in it survive a power loss.
func SyncDir(files FS, path string) error {
	dir, err := files.OpenFile(path, os.O_RDONLY, 0)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
