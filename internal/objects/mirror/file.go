package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Error is the class of this package's errors.
var Error = errs.Class("mirror")

// saveInterval is the least time between two writes of the copy to disk.
const saveInterval = time.Second

const (
	// loadWait is how long Restore waits for the saved copy. It is longer than reading a copy from a working disk takes.
	loadWait = 500 * time.Millisecond
	// stopWait is how long Save waits for a write that is under way when it is stopped.
	stopWait = time.Second
)

// File is the saved copy of a mirror.
type File struct {
	Mirror *Mirror
	// Disk is the file system, and Path the file's path in it.
	Disk filesystem.FS
	Path string
	Log  logrus.FieldLogger

	loaded chan struct{}
	// savedVersion is the version of the copy in the file; 0 if there is none.
	savedVersion uint64
}

// Restore starts to load the saved copy and waits for it, but not for a disk that hangs. Call it once, before Save.
func (f *File) Restore() {
	f.loaded = make(chan struct{})
	go func() {
		defer close(f.loaded)
		if err := f.load(); err != nil {
			// The copy is only needed while the API is unavailable, so the daemon starts without it.
			f.Log.WithFields(logrus.Fields{"event": "mirror-load-failed", "file": f.Path, "error": err}).Error("saved copy not read")
		}
	}()
	timer := time.NewTimer(loadWait)
	defer timer.Stop()
	select {
	case <-f.loaded:
	case <-timer.C:
	}
}

// load restores a copy written by Save. The copy counts as stale until the API confirms it. A missing file is no error.
func (f *File) load() error {
	data, err := filesystem.ReadFile(f.Disk, f.Path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return Error.Wrap(err)
	}
	var snapshot objectapi.Snapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return Error.New("%s: %w", f.Path, err)
	}
	f.savedVersion = snapshot.Version
	f.Mirror.restore(snapshot)
	return nil
}

// Save writes the copy to the file whenever it has changed, until ctx ends. Failed writes are retried; the first and
// the last of a row are logged. The file keeps its old content meanwhile: a copy of an old version is all that a daemon
// knows if the power fails while the API is unavailable.
func (f *File) Save(ctx context.Context) error {
	select {
	case <-f.loaded:
	case <-ctx.Done():
		return ctx.Err()
	}
	failing := false
	for wait.For(ctx, saveInterval) == nil {
		if f.Mirror.currentVersion() == f.savedVersion {
			continue
		}
		snapshot, _ := f.Mirror.LastKnown()
		err := f.write(ctx, snapshot)
		switch {
		case err == nil:
			f.savedVersion = snapshot.Version
			if failing {
				f.Log.WithFields(logrus.Fields{"event": "mirror-saved", "file": f.Path}).Info("copy saved to disk again")
			}
		case !failing:
			f.Log.WithFields(logrus.Fields{"event": "mirror-save-failed", "file": f.Path, "error": err}).Warn("copy not saved to disk; retrying")
		}
		failing = err != nil
	}
	return ctx.Err()
}

// write saves a snapshot. When ctx ends it does not wait longer than stopWait for the disk.
func (f *File) write(ctx context.Context, snapshot objectapi.Snapshot) error {
	data, err := json.Marshal(snapshot)
	if err != nil {
		return Error.Wrap(err)
	}
	written := make(chan error, 1)
	go func() { written <- Error.Wrap(atomicfile.Write(f.Disk, f.Path, data)) }()
	select {
	case err := <-written:
		return err
	case <-ctx.Done():
	}
	timer := time.NewTimer(stopWait)
	defer timer.Stop()
	select {
	case err := <-written:
		return err
	case <-timer.C:
		return ctx.Err()
	}
}
