package replica

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

// lines collects log output.
type lines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.text.String(), text)
}

// openFaulty opens a store on a disk with faults.
func openFaulty(dir string, disk *faultfs.FS) (*Store, *lines) {
	output := &lines{}
	log := logrus.New()
	log.SetOutput(output)
	return NewStore(disk, dir, layout.Disk{Node: "n", Address: "n:1", DataCentre: "a"}, log), output
}

// openHolder opens a store that holds a slot in the layout of epoch 1 and one finished turn, "kept".
func openHolder(t *testing.T, dir string, disk *faultfs.FS) (*Store, *lines) {
	t.Helper()
	s, output := openFaulty(dir, disk)
	synctest.Wait()
	s.UpdateLayout(layoutOf(1, append(otherDisks(), s.Self())...))
	assert.Equal(t, writeRecord(t, s, s.Self().ID, 1, finishedTurn("kept", "")).Header.Status, OK)
	synctest.Wait() // the layout is saved
	return s, output
}

// checkServesReads checks that a store answers reads and pings at once.
func checkServesReads(t *testing.T, s *Store) {
	t.Helper()
	began := time.Now()
	target := Target{Disk: s.Self().ID, Epoch: s.Layout().Epoch}
	var fetched FetchReply
	assert.NilError(t, NewService(s).Fetch(&FetchArgs{Target: target, ID: "kept"}, &fetched))
	assert.Equal(t, fetched.Header.Status, OK)
	assert.Assert(t, fetched.Header.Complete)
	assert.Equal(t, len(fetched.Chain), 1)
	var pulled PullReply
	assert.NilError(t, NewService(s).Pull(&PullArgs{Target: target, IDs: []string{"kept"}}, &pulled))
	assert.Equal(t, len(pulled.Records), 1)
	assert.Equal(t, len(s.Turns("p")) > 0, true)
	assert.Equal(t, time.Since(began), time.Duration(0))
}

func ping(t *testing.T, s *Store) Status {
	t.Helper()
	var reply PingReply
	assert.NilError(t, NewService(s).Ping(&PingArgs{Disk: s.Self().ID}, &reply))
	return reply.Header.Status
}

// TestFullDiskInService guards against a daemon that stops serving reads, keeps writers waiting, logs each refusal, or
// needs a restart after its disk was full.
func TestFullDiskInService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		s, output := openHolder(t, dir, disk)
		self := s.Self()
		disk.Refuse(syscall.ENOSPC, faultfs.FullDisk...)
		assert.Equal(t, writeRecord(t, s, self.ID, 1, finishedTurn("first", "kept")).Header.Status, Unsure)
		next := layoutOf(2, append(otherDisks(), self)...)
		assert.Assert(t, s.UpdateLayout(next), "a layout that can't be saved yet must be adopted")
		for range 40 {
			began := time.Now()
			assert.Equal(t, writeRecord(t, s, self.ID, 2, finishedTurn("refused", "kept")).Header.Status, Unwritable)
			assert.Equal(t, time.Since(began), time.Duration(0))
			// A record that is stored already needs no write.
			assert.Equal(t, writeRecord(t, s, self.ID, 2, finishedTurn("kept", "")).Header.Status, OK)
			checkServesReads(t, s)
			assert.Equal(t, ping(t, s), OK)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(s.DiskProblems()), 2) // records and identity
		assert.Equal(t, output.count("event=disk-unwritable"), 2)
		assert.Equal(t, output.count("bytes="), 2)
		time.Sleep(takeOverDelay)
		assert.Equal(t, ping(t, s), Unwritable)
		checkServesReads(t, s)
		disk.Repair()
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, len(s.DiskProblems()), 0)
		assert.Equal(t, output.count("event=disk-writable"), 2)
		assert.Equal(t, ping(t, s), OK)
		assert.Equal(t, writeRecord(t, s, self.ID, 2, finishedTurn("after", "kept")).Header.Status, OK)
		assert.NilError(t, s.Close())
		assert.NilError(t, disk.LosePower())
		s, _ = openFaulty(dir, disk)
		assert.Equal(t, s.Layout().Epoch, uint64(2))
		assert.Assert(t, s.index.hasState("kept", turn.Finished) && s.index.hasState("after", turn.Finished))
		assert.NilError(t, s.Close())
	})
}

// TestFullDiskAtStart guards against a daemon that ends at its start, or does not serve the records that it has,
// because its disk refuses writes.
func TestFullDiskAtStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		s, _ := openHolder(t, dir, disk)
		self := s.Self()
		assert.NilError(t, s.Close())
		disk.Refuse(syscall.ENOSPC, append(faultfs.FullDisk, faultfs.Remove)...)
		s, _ = openFaulty(dir, disk)
		synctest.Wait()
		assert.Equal(t, s.Self(), self)
		checkServesReads(t, s)
		assert.Equal(t, writeRecord(t, s, self.ID, 1, finishedTurn("refused", "kept")).Header.Status, Unwritable)
		disk.Repair()
		time.Sleep(1100 * time.Millisecond)
		assert.Equal(t, writeRecord(t, s, self.ID, 1, finishedTurn("after", "kept")).Header.Status, OK)
		assert.NilError(t, s.Close())
	})
}

// TestDiskThatCannotBeOpened refuses or delays each call that opens a disk, a used and an empty one. It guards against a
// daemon that ends or hangs, that tells an ID which is not on its disk, or that passes for complete without its records.
func TestDiskThatCannotBeOpened(t *testing.T) {
	for _, used := range []bool{false, true} {
		ops := []faultfs.Op{faultfs.Mkdir, faultfs.Open, faultfs.List, faultfs.Create, faultfs.Write, faultfs.Sync, faultfs.Rename}
		if used {
			ops = []faultfs.Op{faultfs.Open, faultfs.List}
		}
		for _, op := range ops {
			for name, fault := range map[string]func(*faultfs.FS){
				"refused": func(d *faultfs.FS) { d.Refuse(syscall.EIO, op) },
				"hangs":   func(d *faultfs.FS) { d.Delay(10*time.Second, op) },
			} {
				t.Run(strings.Join([]string{string(op), name, map[bool]string{true: "used", false: "empty"}[used]}, "/"), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { openFails(t, used, fault) })
				})
			}
		}
	}
}

func openFails(t *testing.T, used bool, fault func(*faultfs.FS)) {
	dir, disk := filepath.Join(t.TempDir(), "data"), faultfs.New()
	l := layoutOf(2, otherDisks()...)
	if used {
		s, _ := openHolder(t, dir, disk)
		l = layoutOf(2, append(otherDisks(), s.Self())...)
		assert.NilError(t, s.Close())
	}
	fault(disk)
	began := time.Now()
	s, output := openFaulty(dir, disk)
	assert.Assert(t, time.Since(began) <= openWait)
	assert.Equal(t, s.Self().ID, "")
	assert.Equal(t, len(s.DiskProblems()), 1)
	assert.Assert(t, s.UpdateLayout(l), "hubs are found by the layout")
	assert.Equal(t, writeRecord(t, s, l.Slots[0].Disk.ID, 2, finishedTurn("t", "")).Header.Status, Unwritable)
	assert.Equal(t, ping(t, s), Unwritable)
	var page ExportReply
	assert.NilError(t, NewService(s).Export(&ExportArgs{Layout: *l}, &page))
	assert.Equal(t, page.Header.Status, Unwritable)
	time.Sleep(2 * time.Second)
	assert.Equal(t, output.count("event=disk-unwritable"), 1)
	disk.Repair()
	time.Sleep(time.Minute)
	assert.Equal(t, len(s.DiskProblems()), 0)
	assert.Equal(t, s.Layout().Epoch, uint64(2))
	assert.Equal(t, ping(t, s), OK)
	assert.Equal(t, s.index.hasState("kept", turn.Finished), used)
	assert.Equal(t, writeRecord(t, s, s.Self().ID, 2, finishedTurn("after", "")).Header.Status, OK)
	self := s.Self()
	assert.NilError(t, s.Close())
	s, _ = openFaulty(dir, disk)
	assert.Equal(t, s.Self(), self)
	assert.NilError(t, s.Close())
}

// TestHangingDisk guards against reads and pings that wait for a write or for the save of a layout, against writers that
// wait beyond their deadline, and against a false acknowledgement.
func TestHangingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		s, _ := openHolder(t, t.TempDir(), disk)
		self := s.Self()
		disk.Delay(4*time.Second, faultfs.Sync)
		s.UpdateLayout(layoutOf(2, append(otherDisks(), self)...))
		var wg sync.WaitGroup
		for i, want := range []Status{Unsure, Unwritable} { // the second waits for the sync of the first
			time.Sleep(10 * time.Millisecond)
			wg.Go(func() {
				began := time.Now()
				status := writeRecord(t, s, self.ID, 2, finishedTurn("hung-"+string(rune('a'+i)), "kept")).Header.Status
				assert.Check(t, status == want, "status %d, want %d", status, want)
				assert.Check(t, time.Since(began) <= appendTimeout)
			})
		}
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			checkServesReads(t, s)
			assert.Equal(t, ping(t, s), OK)
		}
		wg.Wait()
		disk.Repair()
		time.Sleep(5 * time.Second)
		assert.Assert(t, s.index.hasState("hung-a", turn.Finished), "a record that became durable late is not found")
		assert.Equal(t, len(s.DiskProblems()), 0)
		assert.Equal(t, writeRecord(t, s, self.ID, 2, finishedTurn("after", "kept")).Header.Status, OK)
		assert.NilError(t, s.Close())
	})
}

// TestFenceNeedsTheDisk guards against an export from a disk that would serve the older layout again after a restart.
func TestFenceNeedsTheDisk(t *testing.T) {
	for _, op := range []faultfs.Op{faultfs.Create, faultfs.Write, faultfs.Sync, faultfs.Rename} {
		for name, fault := range map[string]func(*faultfs.FS){
			"refused": func(d *faultfs.FS) { d.Refuse(syscall.ENOSPC, op) },
			"hangs":   func(d *faultfs.FS) { d.Delay(5*time.Second, op) },
		} {
			t.Run(string(op)+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					dir, disk := t.TempDir(), faultfs.New()
					s, _ := openHolder(t, dir, disk)
					fault(disk)
					next := layoutOf(2, append(otherDisks(), s.Self())...)
					export := func() Status {
						var page ExportReply
						assert.NilError(t, NewService(s).Export(&ExportArgs{Layout: *next, From: s.Self().ID}, &page))
						return page.Header.Status
					}
					began := time.Now()
					assert.Equal(t, export(), Unwritable)
					assert.Assert(t, time.Since(began) <= appendTimeout)
					assert.Equal(t, writeRecord(t, s, s.Self().ID, 1, finishedTurn("old layout", "")).Header.Status, StaleLayout)
					disk.Repair()
					time.Sleep(20 * time.Second)
					assert.Equal(t, export(), OK)
					assert.NilError(t, s.Close())
					s, _ = openFaulty(dir, disk)
					assert.Equal(t, writeRecord(t, s, s.Self().ID, 1, finishedTurn("old layout", "")).Header.Status, StaleLayout)
					assert.NilError(t, s.Close())
				})
			})
		}
	}
}

// TestExpiredRecordsMakeRoomOnFullDisk guards against a full disk that keeps records whose retention has passed, or
// that forgets a segment whose removal was refused.
func TestExpiredRecordsMakeRoomOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dir, disk := t.TempDir(), faultfs.New()
		s, output := openHolder(t, dir, disk)
		c := NewController(Options{Store: s, Log: s.log})
		big := finishedTurn("big", "")
		big.Program, big.Input = "big", make([]byte, 9<<20)
		assert.Equal(t, writeRecord(t, s, s.Self().ID, 1, big).Header.Status, OK)
		kept := finishedTurn("later", "")
		kept.Program, kept.Retention = "later", time.Hour
		assert.Equal(t, writeRecord(t, s, s.Self().ID, 1, kept).Header.Status, OK)
		disk.Refuse(syscall.ENOSPC, append(faultfs.FullDisk, faultfs.Remove)...)
		writeRecord(t, s, s.Self().ID, 1, finishedTurn("refused", ""))
		time.Sleep(big.Retention + retentionMargin + time.Second)
		c.clean(time.Now())
		assert.Equal(t, output.count("event=clean-failed"), 1)
		assert.Assert(t, s.Bytes() > 9<<20)
		disk.Repair()
		disk.Refuse(syscall.ENOSPC, faultfs.FullDisk...)
		time.Sleep(fullCleanInterval)
		c.clean(time.Now())
		assert.Assert(t, s.Bytes() < 1<<20)
		assert.Assert(t, s.index.hasState("later", turn.Finished))
		files, err := filepath.Glob(filepath.Join(dir, "*.turns"))
		assert.NilError(t, err)
		for _, path := range files {
			info, err := os.Stat(path)
			assert.NilError(t, err)
			assert.Assert(t, info.Size() < 1<<20, "%s has %d bytes", path, info.Size())
		}
		assert.NilError(t, s.Close())
	})
}

// TestSegmentOfLateDuplicatesIsRemoved guards against a segment that is never removed because all of its records became
// durable only after later attempts to write them.
func TestSegmentOfLateDuplicatesIsRemoved(t *testing.T) {
	x, now := newIndex(), time.Now()
	r := finishedTurn("t", "")
	x.add(&r, positionIn(2), now)
	x.add(&r, positionIn(1), now)
	assert.DeepEqual(t, x.expire(now, 3), []uint32{1})
	x.relocate("t", positionIn(1), positionIn(4)) // another copy is in use
	assert.DeepEqual(t, x.expire(now, 5), []uint32{4})
}

// TestCopiesAnswerInTimeOnFailingDisk guards against a take-over that waits for each record of a page on a hanging disk.
func TestCopiesAnswerInTimeOnFailingDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := faultfs.New()
		s, _ := openHolder(t, t.TempDir(), disk)
		disk.Delay(time.Minute, faultfs.Write)
		var records []turn.Record
		for i := range 50 {
			records = append(records, finishedTurn(strings.Repeat("x", i+1), ""))
		}
		began := time.Now()
		_, err := s.writeAll(records)
		assert.Assert(t, errors.Is(err, turnlog.ErrUnsure) || errors.Is(err, turnlog.ErrUnwritable), "%v", err)
		assert.Assert(t, time.Since(began) <= appendTimeout+50*time.Millisecond, "%v", time.Since(began))
		disk.Repair()
		time.Sleep(5 * time.Minute) // the write and a probe that has begun return
		assert.NilError(t, s.Close())
	})
}
