package mirror_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// newFile returns the file of an empty mirror on a disk with faults.
func newFile(dir string, disk *faultfs.FS) (*mirror.File, *bytes.Buffer) {
	output := &bytes.Buffer{}
	log := logrus.New()
	log.SetOutput(output)
	return &mirror.File{Mirror: mirror.New("k/", time.Minute), Disk: disk, Path: filepath.Join(dir, "copy.json"), Log: log}, output
}

func objectOf(value string, version uint64) []objectapi.Object {
	return []objectapi.Object{{Key: "k/a", Value: []byte(value), Version: version}}
}

// runSave saves a file's copies until the returned function is called.
func runSave(t *testing.T, f *mirror.File) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		_ = f.Save(ctx)
		close(done)
	}()
	return func() {
		cancel()
		<-done
	}
}

func restoredValue(dir string, disk *faultfs.FS) string {
	f, _ := newFile(dir, disk)
	f.Restore()
	snapshot, _ := f.Mirror.LastKnown()
	if len(snapshot.Objects) == 0 {
		return ""
	}
	return string(snapshot.Objects[0].Value)
}

// TestCopyOnFailingDisk refuses each call of a save. It guards against a saved copy that is lost or torn, log lines for
// each attempt, temporary files that fill the disk, and a copy that is not saved once the disk takes writes again.
func TestCopyOnFailingDisk(t *testing.T) {
	for _, op := range []faultfs.Op{faultfs.Create, faultfs.Write, faultfs.Sync, faultfs.Rename, faultfs.Remove, faultfs.Open} {
		t.Run(string(op), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				dir, disk := t.TempDir(), faultfs.New()
				f, output := newFile(dir, disk)
				f.Restore()
				stop := runSave(t, f)
				f.Mirror.Reset(objectOf("old", 1), 1)
				time.Sleep(2 * time.Second)
				disk.Refuse(syscall.ENOSPC, op)
				f.Mirror.Reset(objectOf("new", 2), 2)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				assert.Equal(t, strings.Count(output.String(), "mirror-save-failed"), 1, output.String())
				// The rename has happened where only the sync of the directory is refused.
				saved := restoredValue(dir, faultfs.New())
				assert.Assert(t, saved == "old" || op == faultfs.Open && saved == "new", saved)
				_, err := os.Stat(f.Path + ".new")
				assert.ErrorIs(t, err, os.ErrNotExist)
				disk.Repair()
				time.Sleep(2 * time.Second)
				assert.Equal(t, restoredValue(dir, disk), "new")
				synctest.Wait()
				assert.Equal(t, strings.Count(output.String(), "mirror-saved"), 1)
				stop()
			})
		})
	}
}

// TestRestoreDoesNotWaitForHangingDisk guards against a daemon that does not start while its disk hangs, and against an
// old copy that replaces the list that has arrived meanwhile.
func TestRestoreDoesNotWaitForHangingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		f, _ := newFile(dir, disk)
		f.Restore()
		stop := runSave(t, f)
		f.Mirror.Reset(objectOf("old", 1), 1)
		time.Sleep(2 * time.Second)
		stop()
		disk.Delay(5*time.Second, faultfs.Open)
		f, _ = newFile(dir, disk)
		began := time.Now()
		f.Restore()
		assert.Assert(t, time.Since(began) <= time.Second)
		stop = runSave(t, f)
		f.Mirror.Reset(objectOf("new", 2), 2)
		disk.Repair()
		time.Sleep(10 * time.Second)
		snapshot, _ := f.Mirror.LastKnown()
		assert.Equal(t, string(snapshot.Objects[0].Value), "new")
		assert.Equal(t, snapshot.Version, uint64(2))
		assert.Equal(t, restoredValue(dir, disk), "new")
		stop()
	})
}

// TestStopDoesNotWaitForHangingDisk guards against a daemon that can't be stopped while its disk hangs.
func TestStopDoesNotWaitForHangingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		f, _ := newFile(t.TempDir(), disk)
		f.Restore()
		stop := runSave(t, f)
		disk.Delay(time.Minute, faultfs.Write)
		f.Mirror.Reset(objectOf("new", 1), 1)
		time.Sleep(2 * time.Second)
		began := time.Now()
		stop()
		assert.Assert(t, time.Since(began) <= time.Second)
		time.Sleep(2 * time.Minute) // the write returns
	})
}
