package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// TestFailingDiskDoesNotDelayWrites guards against turns that wait for a disk that is full or hangs while a quorum of
// the group works, and against turns that are lost or shown unfinished afterwards.
func TestFailingDiskDoesNotDelayWrites(t *testing.T) {
	for name, c := range map[string]struct {
		fault func(*faultfs.FS)
		// longest is the longest time that one write may take: the fallback delay and some round trips on a disk that
		// hangs, until it refuses writes; the latter on a disk that is full.
		longest time.Duration
	}{
		"full":  {func(d *faultfs.FS) { d.Refuse(syscall.ENOSPC, faultfs.FullDisk...) }, 50 * time.Millisecond},
		"hangs": {func(d *faultfs.FS) { d.Delay(5*time.Second, faultfs.Write, faultfs.Sync) }, 150 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				w := newCluster(t, 4, 1)
				l := w.ledger("front")
				failing := w.disk(nodeName(0))
				c.fault(failing)
				var programs []string
				for i := range 60 {
					program := fmt.Sprint("p", i)
					programs = append(programs, program)
					began := time.Now()
					_, err := l.Reserve(context.Background(), reservedTurn(program, "t-"+program, 10), 100)
					assert.NilError(t, err)
					assert.NilError(t, l.Finish(context.Background(), finishedTurn(program, "t-"+program, "", "x")))
					assert.Assert(t, time.Since(began) <= 2*c.longest, "turn %d took %v", i, time.Since(began))
					time.Sleep(50 * time.Millisecond)
				}
				failing.Repair()
				time.Sleep(8 * time.Second)
				checkFinished(t, w, programs)
				for i := range 4 { // after the power fails everywhere
					w.kill(nodeName(i))
					assert.NilError(t, w.disk(nodeName(i)).LosePower())
				}
				for i := range 4 {
					w.start(nodeName(i), false)
				}
				time.Sleep(2 * time.Second)
				checkFinished(t, w, programs)
			})
		})
	}
}

// TestFullDiskIsWrittenToLast guards against finished turns, which hold whole inputs and outputs, that are sent to a disk
// which has just refused a write although the rest of the group suffices.
func TestFullDiskIsWrittenToLast(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		w := newCluster(t, 3, 1)
		l := w.ledger("front")
		full := w.nodes[nodeName(0)].store
		w.disk(nodeName(0)).Refuse(syscall.ENOSPC, faultfs.FullDisk...)
		_, err := l.Reserve(context.Background(), reservedTurn("p", "t", 10), 1000)
		assert.NilError(t, err)
		time.Sleep(20 * time.Millisecond)
		before := full.RefusedWrites()
		assert.Assert(t, before > 0)
		for i := range 20 {
			assert.NilError(t, l.Finish(context.Background(), finishedTurn("p", fmt.Sprint("t", i), "", "x")))
		}
		assert.Equal(t, full.RefusedWrites(), before)
	})
}

// checkFinished checks that a new front finds the turn of each program finished, and its budget charged.
func checkFinished(t *testing.T, w *cluster, programs []string) {
	t.Helper()
	l := w.ledger("other")
	for _, program := range programs {
		chain, err := l.Chain(contextWithTimeout(t, 3*time.Second), program, "t-"+program)
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 1)
		probe := reservedTurn(program, "probe-"+program, 0)
		usage, err := l.Reserve(contextWithTimeout(t, 3*time.Second), probe, 100)
		assert.NilError(t, err)
		assert.Equal(t, usage.Spent, int64(10))
		probe.State = turn.Void
		l.Settle(probe)
	}
}

// TestTooFewWritableDisksIsUnavailable guards against a false acknowledgement, and against an answer later than the
// caller's deadline, while two of three disks of each group refuse writes or hang.
func TestTooFewWritableDisksIsUnavailable(t *testing.T) {
	for name, fault := range map[string]func(*faultfs.FS){
		"full":  func(d *faultfs.FS) { d.Refuse(syscall.ENOSPC, faultfs.FullDisk...) },
		"hangs": func(d *faultfs.FS) { d.Delay(20*time.Second, faultfs.Write, faultfs.Sync) },
	} {
		t.Run(name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				w := newCluster(t, 3, 1)
				l := w.ledger("front")
				assert.NilError(t, l.Finish(context.Background(), finishedTurn("p", "before", "", "x")))
				time.Sleep(time.Second)
				for i := range 2 {
					fault(w.disk(nodeName(i)))
				}
				began := time.Now()
				err := l.Finish(contextWithTimeout(t, 2*time.Second), finishedTurn("p", "during", "before", "x"))
				assert.Assert(t, errors.Is(err, ledger.ErrUnavailable), "%v", err)
				assert.Assert(t, time.Since(began) <= 2*time.Second+10*time.Millisecond, "answered after %v", time.Since(began))
				began = time.Now()
				_, err = w.ledger("reader").Chain(contextWithTimeout(t, time.Second), "p", "before")
				assert.NilError(t, err)
				assert.Assert(t, time.Since(began) <= 50*time.Millisecond, "read after %v", time.Since(began))
				for i := range 2 {
					w.disk(nodeName(i)).Repair()
				}
				time.Sleep(time.Minute)
				assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), finishedTurn("p", "after", "before", "x")))
			})
		})
	}
}

// TestSpareTakesSlotOfLastingFullDisk checks that a disk that stays full gives its slot to a spare one, that one that
// is freed after 4 s keeps it, and that the turns are found in both cases.
func TestSpareTakesSlotOfLastingFullDisk(t *testing.T) {
	for _, lasting := range []bool{false, true} {
		t.Run(fmt.Sprint("lasting ", lasting), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				w := newCluster(t, 3, 1)
				l := w.ledger("front")
				var programs []string
				for i := range 20 {
					program := fmt.Sprint("p", i)
					programs = append(programs, program)
					assert.NilError(t, l.Finish(context.Background(), finishedTurn(program, "t-"+program, "", "x")))
				}
				w.start("spare", false)
				time.Sleep(100 * time.Millisecond)
				full := w.disk(nodeName(1))
				full.Refuse(syscall.ENOSPC, faultfs.FullDisk...)
				assert.NilError(t, l.Finish(context.Background(), finishedTurn("noticed", "first", "", "x")))
				_, err := l.Reserve(context.Background(), reservedTurn("noticed", "n", 1), 100)
				assert.NilError(t, err)
				time.Sleep(4 * time.Second)
				assert.Assert(t, w.holders()[nodeName(1)])
				if !lasting {
					full.Repair()
				}
				time.Sleep(6 * time.Second)
				assert.Equal(t, w.holders()["spare"], lasting)
				assert.Equal(t, w.holders()[nodeName(1)], !lasting)
				checkFinished(t, w, programs)
				full.Repair()
				time.Sleep(3 * time.Second)
				assert.Equal(t, w.holders()["spare"], lasting, "a disk that was freed takes no slot back")
				checkFinished(t, w, programs)
			})
		})
	}
}
