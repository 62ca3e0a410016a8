// Package faultfs is a file system for tests whose operations can be refused or delayed.
package faultfs

import (
	"io/fs"
	"os"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/filesystem"
)

// Op is an operation of the file system.
type Op string

// The operations. Create is an open that may create a file, and Open any other.
const (
	Mkdir  Op = "mkdir"
	List   Op = "list"
	Create Op = "create"
	Open   Op = "open"
	Write  Op = "write"
	Sync   Op = "sync"
	Rename Op = "rename"
	Remove Op = "remove"
)

// FullDisk lists the operations that a full disk refuses.
var FullDisk = []Op{Mkdir, Create, Write, Sync, Rename}

// FS is the file system of the operating system with faults. Use New.
type FS struct {
	mu      sync.Mutex
	refused map[Op]error
	delays  map[Op]time.Duration
	// durable holds, by path, the size of each file created here at its last successful sync.
	durable map[string]int64
}

// New returns a file system without faults.
func New() *FS {
	f := &FS{durable: map[string]int64{}}
	f.Repair()
	return f
}

// Refuse makes operations fail with err. A refused write stores the first half of its data.
func (f *FS) Refuse(err error, ops ...Op) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range ops {
		f.refused[op] = err
	}
}

// Delay makes operations take at least d.
func (f *FS) Delay(d time.Duration, ops ...Op) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, op := range ops {
		f.delays[op] = d
	}
}

// Repair ends all faults. Operations that are delayed already still take their time.
func (f *FS) Repair() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused, f.delays = map[Op]error{}, map[Op]time.Duration{}
}

// LosePower drops what was written to the files created here since their last successful sync.
func (f *FS) LosePower() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for path, size := range f.durable {
		if err := os.Truncate(path, size); err != nil {
			return err
		}
	}
	return nil
}

// begin waits for the delay of an operation and returns its error.
func (f *FS) begin(op Op, path string) error {
	f.mu.Lock()
	delay := f.delays[op]
	f.mu.Unlock()
	time.Sleep(delay)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.refused[op]; err != nil {
		return &fs.PathError{Op: string(op), Path: path, Err: err}
	}
	return nil
}

// MkdirAll implements filesystem.FS. A directory that exists is never refused.
func (f *FS) MkdirAll(path string, mode fs.FileMode) error {
	if info, err := os.Stat(path); err == nil && info.IsDir() {
		return nil
	}
	if err := f.begin(Mkdir, path); err != nil {
		return err
	}
	return os.MkdirAll(path, mode)
}

// ReadDir implements filesystem.FS.
func (f *FS) ReadDir(path string) ([]fs.DirEntry, error) {
	if err := f.begin(List, path); err != nil {
		return nil, err
	}
	return os.ReadDir(path)
}

// OpenFile implements filesystem.FS.
func (f *FS) OpenFile(path string, flag int, mode fs.FileMode) (filesystem.File, error) {
	op := Open
	if flag&os.O_CREATE != 0 {
		op = Create
	}
	if err := f.begin(op, path); err != nil {
		return nil, err
	}
	opened, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if op == Create {
		f.mu.Lock()
		f.durable[path] = 0
		f.mu.Unlock()
	}
	return &file{File: opened, fs: f, path: path}, nil
}

// Rename implements filesystem.FS.
func (f *FS) Rename(from, to string) error {
	if err := f.begin(Rename, from); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if size, known := f.durable[from]; known {
		f.durable[to] = size
		delete(f.durable, from)
	}
	return os.Rename(from, to)
}

// Remove implements filesystem.FS.
func (f *FS) Remove(path string) error {
	if err := f.begin(Remove, path); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.durable, path)
	return os.Remove(path)
}

type file struct {
	*os.File
	fs   *FS
	path string
}

func (o *file) WriteAt(p []byte, offset int64) (int, error) {
	if err := o.fs.begin(Write, o.path); err != nil {
		n, _ := o.File.WriteAt(p[:len(p)/2], offset)
		return n, err
	}
	return o.File.WriteAt(p, offset)
}

func (o *file) Sync() error {
	if err := o.fs.begin(Sync, o.path); err != nil {
		return err
	}
	info, err := o.Stat()
	if err != nil {
		return err
	}
	o.fs.mu.Lock()
	defer o.fs.mu.Unlock()
	if _, created := o.fs.durable[o.path]; created {
		o.fs.durable[o.path] = info.Size()
	}
	return o.File.Sync()
}
