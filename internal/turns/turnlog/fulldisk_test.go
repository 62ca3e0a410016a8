package turnlog_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

// openFaulty opens a log on a disk with faults, and returns the IDs of the records that it replays.
func openFaulty(t *testing.T, dir string, disk *faultfs.FS, onChange func(*turnlog.Failure)) (*turnlog.Log, []string) {
	t.Helper()
	var found []string
	l, err := turnlog.OpenWith(dir, turnlog.Options{Files: disk, OnChange: onChange}, func(r turn.Record, _ turnlog.Position) { found = append(found, r.ID) })
	assert.NilError(t, err)
	return l, found
}

func appendRecord(l *turnlog.Log, id string) error {
	r := newRecord(id)
	pending := l.Append(&r)
	defer pending.Release()
	return pending.Wait()
}

// TestLogRecoversFromEachRefusedCall refuses each call in turn, before the first record and amid service. It guards
// against a log that fails until its next start, appends that wait for the disk, and acknowledged records that are lost
// when the power fails later.
func TestLogRecoversFromEachRefusedCall(t *testing.T) {
	for _, op := range append(faultfs.FullDisk, faultfs.Open, faultfs.Remove) {
		for _, before := range []int{0, 3} {
			t.Run(fmt.Sprintf("%s/after %d records", op, before), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { refuseCall(t, op, before) })
			})
		}
	}
}

func refuseCall(t *testing.T, op faultfs.Op, before int) {
	dir, disk := t.TempDir(), faultfs.New()
	var changes []string
	l, _ := openFaulty(t, dir, disk, func(f *turnlog.Failure) {
		if f == nil {
			changes = append(changes, "writable")
			return
		}
		assert.Check(t, errors.Is(f.Err, syscall.ENOSPC) && f.Path != "", "%v", f)
		changes = append(changes, "unwritable")
	})
	synctest.Wait() // the check at the start has ended
	var acknowledged []string
	add := func(id string) error {
		err := appendRecord(l, id)
		if err == nil {
			acknowledged = append(acknowledged, id)
		}
		return err
	}
	for i := range before {
		assert.NilError(t, add(fmt.Sprint("before-", i)))
	}
	disk.Refuse(syscall.ENOSPC, op)
	first := add("first")
	if first != nil {
		assert.ErrorIs(t, first, turnlog.ErrUnsure)
		assert.ErrorIs(t, first, syscall.ENOSPC)
	}
	for i := range 30 {
		began := time.Now()
		err := add(fmt.Sprint("during-", i))
		assert.Assert(t, time.Since(began) < 50*time.Millisecond, "answered after %v", time.Since(began))
		if first != nil {
			assert.ErrorIs(t, err, turnlog.ErrUnwritable)
		}
		time.Sleep(100 * time.Millisecond)
	}
	disk.Repair()
	time.Sleep(1100 * time.Millisecond) // the longest time between two probes
	assert.NilError(t, add("after"))
	if first != nil {
		assert.DeepEqual(t, changes, []string{"unwritable", "writable"})
	}
	assert.Assert(t, l.Failure() == nil)
	segments, err := filepath.Glob(filepath.Join(dir, "*.turns"))
	assert.NilError(t, err)
	assert.Assert(t, len(segments) <= min(1, before)+1, "segments without a record are left: %v", segments)
	assert.NilError(t, l.Close())
	assert.NilError(t, disk.LosePower())
	l, found := openFaulty(t, dir, disk, nil)
	for _, id := range acknowledged {
		assert.Assert(t, slices.Contains(found, id), "%s of %v is lost", id, acknowledged)
	}
	assert.NilError(t, l.Close())
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	assert.NilError(t, err)
	assert.Assert(t, len(files) <= 2, "files are left behind: %v", files)
}

// TestFullDiskIsOpenedForReading guards against a daemon that does not start, or serves no records, because the disk
// refuses writes or the removal of a torn segment.
func TestFullDiskIsOpenedForReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		l, _ := openFaulty(t, dir, disk, nil)
		assert.NilError(t, appendRecord(l, "one"))
		assert.NilError(t, l.Close())
		for _, name := range []string{"00000007.turns", "disk.json.new", "probe.tmp"} {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, name), []byte{9, 0, 0, 0, 1, 2}, 0o644))
		}
		disk.Refuse(syscall.EIO, append(faultfs.FullDisk, faultfs.Remove)...)
		l, found := openFaulty(t, dir, disk, nil)
		assert.DeepEqual(t, found, []string{"one"})
		time.Sleep(10 * time.Millisecond)
		assert.ErrorIs(t, l.Failure().Err, syscall.EIO) // known before the first append
		assert.ErrorIs(t, appendRecord(l, "two"), turnlog.ErrUnwritable)
		disk.Repair()
		time.Sleep(1100 * time.Millisecond)
		assert.NilError(t, appendRecord(l, "three"))
		assert.NilError(t, l.Close())
		l, found = openFaulty(t, dir, disk, nil)
		assert.DeepEqual(t, found, []string{"one", "three"})
		assert.NilError(t, l.Close())
		files, err := filepath.Glob(filepath.Join(dir, "*"))
		assert.NilError(t, err)
		assert.Equal(t, len(files), 2, "%v", files)
	})
}

// TestOpenReportsUnreadableDirectory checks that a directory that can't be made or read is an error and not an empty
// log.
func TestOpenReportsUnreadableDirectory(t *testing.T) {
	for _, op := range []faultfs.Op{faultfs.Mkdir, faultfs.List, faultfs.Open} {
		dir, disk := t.TempDir(), faultfs.New()
		if op == faultfs.Mkdir {
			dir = filepath.Join(dir, "missing")
		} else {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000001.turns"), nil, 0o644))
		}
		disk.Refuse(syscall.EIO, op)
		_, err := turnlog.OpenWith(dir, turnlog.Options{Files: disk}, nil)
		assert.ErrorIs(t, err, syscall.EIO, "%s", op)
	}
}

// TestHangingDiskRefusesLaterAppends makes a write or sync return after 5 s, with and without an error. Appends that
// come meanwhile must be refused at once, the one under way gets the true outcome, and reads go on.
func TestHangingDiskRefusesLaterAppends(t *testing.T) {
	for _, op := range []faultfs.Op{faultfs.Create, faultfs.Write, faultfs.Sync} {
		for _, fails := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/fails %t", op, fails), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { hangCall(t, op, fails) })
			})
		}
	}
}

func hangCall(t *testing.T, op faultfs.Op, fails bool) {
	dir, disk := t.TempDir(), faultfs.New()
	l, _ := openFaulty(t, dir, disk, nil)
	synctest.Wait()
	r := newRecord("before")
	if op == faultfs.Create {
		r.Input = make([]byte, 9<<20) // the next batch needs a new segment
	}
	before := l.Append(&r)
	assert.NilError(t, before.Wait())
	disk.Delay(5*time.Second, op)
	if fails {
		disk.Refuse(syscall.EIO, op)
	}
	under, waiting := newRecord("under way"), newRecord("waiting")
	first := l.Append(&under)
	time.Sleep(10 * time.Millisecond)
	second := l.Append(&waiting)
	began := time.Now()
	assert.ErrorIs(t, second.Wait(), turnlog.ErrUnwritable)
	assert.Assert(t, time.Since(began) <= 500*time.Millisecond, "answered after %v", time.Since(began))
	began = time.Now()
	assert.ErrorIs(t, appendRecord(l, "later"), turnlog.ErrUnwritable)
	_, err := l.Read(before.Position)
	assert.NilError(t, err)
	assert.Equal(t, time.Since(began), time.Duration(0))
	select {
	case <-first.Done():
		t.Fatal("an append has an outcome while its write is under way")
	default:
	}
	disk.Repair()
	if fails {
		disk.Refuse(syscall.EIO, op)
	}
	err = first.Wait()
	assert.Equal(t, errors.Is(err, turnlog.ErrUnsure), fails, "%v", err)
	disk.Repair()
	time.Sleep(1100 * time.Millisecond)
	assert.NilError(t, appendRecord(l, "after"))
	assert.NilError(t, l.Close())
	assert.NilError(t, disk.LosePower())
	l, found := openFaulty(t, dir, disk, nil)
	assert.Assert(t, slices.Contains(found, "before") && slices.Contains(found, "after"), "%v", found)
	assert.Assert(t, fails || slices.Contains(found, "under way"), "%v", found)
	assert.NilError(t, l.Close())
}

// TestCloseDuringFailedWrite guards against an acknowledgement of a record that is written behind a torn one while the
// log closes, since the next start ignores it.
func TestCloseDuringFailedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		l, _ := openFaulty(t, dir, disk, nil)
		assert.NilError(t, appendRecord(l, "before"))
		disk.Delay(300*time.Millisecond, faultfs.Write)
		disk.Refuse(syscall.EIO, faultfs.Write)
		torn, behind := newRecord("torn"), newRecord("behind")
		first := l.Append(&torn)
		time.Sleep(10 * time.Millisecond)
		second := l.Append(&behind)
		go func() {
			time.Sleep(295 * time.Millisecond) // the write has failed, and the next one is paced
			disk.Repair()
		}()
		assert.NilError(t, l.Close())
		assert.ErrorIs(t, first.Wait(), turnlog.ErrUnsure)
		assert.Assert(t, second.Wait() != nil)
		l, found := openFaulty(t, dir, disk, nil)
		assert.DeepEqual(t, found, []string{"before"})
		assert.NilError(t, l.Close())
	})
}

// TestSlowDiskStaysInService guards against refusals by a disk that is slow but returns within the stall timeout.
func TestSlowDiskStaysInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		l, _ := openFaulty(t, t.TempDir(), disk, func(*turnlog.Failure) { t.Error("the disk counts as unwritable") })
		assert.NilError(t, appendRecord(l, "first"))
		disk.Delay(400*time.Millisecond, faultfs.Sync)
		for i := range 10 {
			assert.NilError(t, appendRecord(l, fmt.Sprint(i)))
		}
		assert.NilError(t, l.Close())
	})
}

// TestSegmentThatCannotBeRemovedIsKept guards against a segment that is forgotten, and occupies the disk until the next
// start, after its removal was refused.
func TestSegmentThatCannotBeRemovedIsKept(t *testing.T) {
	disk := faultfs.New()
	l, _ := openFaulty(t, t.TempDir(), disk, nil)
	big := newRecord("big")
	big.Input = make([]byte, 9<<20)
	pending := l.Append(&big)
	assert.NilError(t, pending.Wait())
	pending.Release()
	assert.NilError(t, appendRecord(l, "next"))
	held := l.Bytes()
	disk.Refuse(syscall.EIO, faultfs.Remove)
	assert.ErrorIs(t, l.RemoveSegment(pending.Position.Segment), syscall.EIO)
	assert.Equal(t, l.Bytes(), held)
	_, err := l.Read(pending.Position)
	assert.NilError(t, err)
	disk.Repair()
	assert.NilError(t, l.RemoveSegment(pending.Position.Segment))
	assert.Assert(t, l.Bytes() < 1<<20)
	assert.NilError(t, l.Close())
}

// TestAbandonedSegmentIsRemovedLater guards against the file of a failed segment that stays on the disk because its
// removal was refused until the disk took writes again.
func TestAbandonedSegmentIsRemovedLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		l, _ := openFaulty(t, dir, disk, nil)
		synctest.Wait()
		disk.Refuse(syscall.ENOSPC, faultfs.Write, faultfs.Remove)
		assert.ErrorIs(t, appendRecord(l, "failed"), turnlog.ErrUnsure)
		disk.Repair()
		disk.Refuse(syscall.EIO, faultfs.Remove)
		time.Sleep(1100 * time.Millisecond)
		assert.NilError(t, appendRecord(l, "after"))
		disk.Repair()
		l.RemoveAbandoned()
		segments, err := filepath.Glob(filepath.Join(dir, "*.turns"))
		assert.NilError(t, err)
		assert.Equal(t, len(segments), 1, "%v", segments)
		assert.NilError(t, l.Close())
	})
}

// TestCloseDoesNotWaitForHangingDisk guards against a daemon that can't be stopped while a write does not return.
func TestCloseDoesNotWaitForHangingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		l, _ := openFaulty(t, t.TempDir(), disk, nil)
		synctest.Wait()
		disk.Delay(time.Minute, faultfs.Write)
		r := newRecord("hangs")
		l.Append(&r)
		time.Sleep(10 * time.Millisecond)
		began := time.Now()
		assert.ErrorContains(t, l.Close(), "does not return")
		assert.Assert(t, time.Since(began) <= 2*time.Second)
		time.Sleep(time.Hour) // the write returns before the bubble ends
	})
}
