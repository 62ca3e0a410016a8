package ledger_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// chainText returns a chain's inputs and outputs as one text.
func chainText(t *testing.T, l *ledger.Ledger, program, id string) string {
	t.Helper()
	chain, err := l.Chain(contextWithTimeout(t, 5*time.Second), program, id)
	assert.NilError(t, err)
	text := ""
	for _, record := range chain {
		text += string(record.Input) + "|" + string(record.Output)
	}
	return text
}

func finishTurns(t *testing.T, l *ledger.Ledger, n int) {
	t.Helper()
	for i := range n {
		program := fmt.Sprintf("p%d", i)
		assert.NilError(t, l.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn(program, program+"-a", "", program+" a")))
		assert.NilError(t, l.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn(program, program+"-b", program+"-a", program+" b")))
	}
}

func checkTurns(t *testing.T, l *ledger.Ledger, n int) {
	t.Helper()
	for i := range n {
		p := fmt.Sprintf("p%d", i)
		assert.Equal(t, chainText(t, l, p, p+"-b"), fmt.Sprintf("in %s a|out %s a\nin %s b|out %s b\n", p, p, p, p))
	}
}

const programCount = 12

func TestTurnsAreReadableFromAnyDaemon(t *testing.T) {
	for _, size := range []struct{ disks, tolerance int }{{1, 0}, {2, 1}, {3, 1}, {4, 1}, {8, 2}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				c := newCluster(t, size.disks, size.tolerance)
				finishTurns(t, c.ledger("front-1"), programCount)
				checkTurns(t, c.ledger("front-2"), programCount)
				_, err := c.ledger("front-3").Chain(contextWithTimeout(t, time.Second), "p1", "nowhere")
				assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
			})
		})
	}
}

func TestChainFindsTurnOfAnotherProgram(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		finishTurns(t, c.ledger("front-1"), programCount)
		for i := range programCount {
			other := fmt.Sprintf("other%d", i)
			assert.Equal(t, chainText(t, c.ledger("front-2"), other, "p1-a"), "in p1 a|out p1 a\n")
		}
	})
}

func TestNotFoundNeedsAbsenceQuorum(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		c.kill(nodeName(0))
		_, err := l.Chain(contextWithTimeout(t, 3*time.Second), "p", "nowhere")
		assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
		c.kill(nodeName(1))
		_, err = l.Chain(contextWithTimeout(t, 3*time.Second), "p", "nowhere")
		assert.ErrorIs(t, err, ledger.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, ledger.ErrTurnNotFound))
	})
}

// TestNotFoundIsFastWithUnresponsiveDisk guards against a wait for an unresponsive disk when the other disks suffice to
// know that a turn does not exist.
func TestNotFoundIsFastWithUnresponsiveDisk(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 9, 1)
		c.waitUntil(func() bool { // every disk knows the layout
			_, err := c.ledger("front-1").Chain(contextWithTimeout(t, 30*time.Millisecond), "p", "nowhere")
			return errors.Is(err, ledger.ErrTurnNotFound)
		})
		c.fabric.Freeze(nodeName(4))
		defer c.fabric.Thaw(nodeName(4))
		for i := range programCount {
			began := time.Now()
			_, err := c.ledger("front-1").Chain(contextWithTimeout(t, 3*time.Second), fmt.Sprint("p", i), "nowhere")
			assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
			assert.Assert(t, time.Since(began) <= 60*time.Millisecond, "not found after %v", time.Since(began))
		}
	})
}

// TestUnavailableWhileOnlyHolderIsDown guards against a false not-found: one disk misses the turn, another loses it,
// and the third, which holds it, is down.
func TestUnavailableWhileOnlyHolderIsDown(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.fabric.Partition("front-1", nodeName(2))
		finishTurns(t, c.ledger("front-1"), programCount)
		c.fabric.Heal("front-1", nodeName(2))
		c.wipe(nodeName(0))
		c.kill(nodeName(1))
		c.start(nodeName(0), false)
		time.Sleep(4 * time.Second)
		for i := range programCount {
			p := fmt.Sprintf("p%d", i)
			_, err := c.ledger("front-2").Chain(contextWithTimeout(t, time.Second), p, p+"-a")
			assert.ErrorIs(t, err, ledger.ErrUnavailable)
		}
		c.start(nodeName(1), false)
		checkTurns(t, c.ledger("front-2"), programCount)
		c.awaitAllSlotsHeld()
		c.kill(nodeName(1))
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

func TestDisksReplacedOneAfterAnother(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		finishTurns(t, c.ledger("front-1"), programCount)
		for i := range 3 {
			c.wipe(nodeName(i))
			c.start(nodeName(i), false)
			began := time.Now()
			c.awaitAllSlotsHeld()
			assert.Assert(t, time.Since(began) < 3*time.Second, "lost disk refilled after %v", time.Since(began))
		}
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

func TestSpareTakesOverSlotOfLostDisk(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		old := c.ledger("front-old")
		finishTurns(t, old, programCount)
		c.start("spare", false)
		c.wipe(nodeName(1))
		c.awaitAllSlotsHeld()
		assert.Assert(t, c.holders()["spare"])
		c.kill(nodeName(2))
		checkTurns(t, c.ledger("front-2"), programCount)
		// A daemon that still has the old layout gets the new one from the disks.
		assert.NilError(t, old.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn("p0", "p0-c", "p0-b", "late")))
		assert.Equal(t, old.Layout().Epoch, c.layout().Epoch)
	})
}

func TestBriefRestartMovesNoSlot(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.start("spare", false)
		epoch := c.layout().Epoch
		c.kill(nodeName(1))
		time.Sleep(1500 * time.Millisecond)
		c.start(nodeName(1), false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.layout().Epoch, epoch)
	})
}

func TestRetirementMovesSlotToSpare(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		finishTurns(t, c.ledger("front-1"), programCount)
		c.retire(nodeName(1))
		time.Sleep(time.Second)
		assert.Equal(t, c.retirementState(nodeName(1)), "running")
		c.start("spare", false)
		c.waitUntil(func() bool { return c.retirementState(nodeName(1)) == "done" })
		assert.Assert(t, !c.holders()[nodeName(1)])
		c.wipe(nodeName(1))
		c.wipe(nodeName(0))
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

// TestManyDisksFormLayoutQuickly guards against a first layout that takes longer in a large system.
func TestManyDisksFormLayoutQuickly(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		began := time.Now()
		c := newCluster(t, 44, 2)
		assert.Equal(t, c.layout().OccupiedSlots(), 44)
		assert.Assert(t, time.Since(began) < 3*time.Second, "formed after %v", time.Since(began))
		finishTurns(t, c.ledger("front-1"), programCount)
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

// TestRetirementWithoutASpare checks that a slot is vacated where enough disks remain, and that records which only a
// quorum held are on a quorum of the remaining disks.
func TestRetirementWithoutASpare(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 5, 1)
		c.fabric.Partition("front-1", nodeName(0))
		finishTurns(t, c.ledger("front-1"), programCount)
		c.fabric.Heal("front-1", nodeName(0))
		old := c.ledger("front-old")
		_, err := old.Reserve(contextWithTimeout(t, 5*time.Second), reservedTurn("p0", "p0-r", 70), 100)
		assert.NilError(t, err)
		c.retire(nodeName(1))
		c.waitUntil(func() bool { return c.retirementState(nodeName(1)) == "done" })
		assert.Equal(t, c.layout().OccupiedSlots(), 4)
		c.wipe(nodeName(1))
		checkTurns(t, c.ledger("front-2"), programCount)
		account, err := c.ledger("front-2").Reserve(contextWithTimeout(t, 5*time.Second), reservedTurn("p0", "p0-s", 40), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(90), "two turns of 10 and the reservation of 70")
		// A daemon with the previous layout still succeeds.
		assert.NilError(t, old.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn("p0", "p0-r", "p0-b", "late")))
		// One more disk may be lost and one more slot vacated; then none.
		c.wipe(nodeName(2))
		c.start(nodeName(2), false)
		c.awaitAllSlotsHeld()
		checkTurns(t, c.ledger("front-3"), programCount)
		c.retire(nodeName(3))
		c.waitUntil(func() bool { return c.retirementState(nodeName(3)) == "done" })
		c.wipe(nodeName(3))
		checkTurns(t, c.ledger("front-4"), programCount)
		c.retire(nodeName(4))
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.retirementState(nodeName(4)), "running")
		assert.Equal(t, c.layout().OccupiedSlots(), 3)
		c.kill(nodeName(0))
		checkTurns(t, c.ledger("front-5"), programCount)
	})
}

// TestWithdrawnRetirement checks that a disk keeps its slot when the retirement is withdrawn before the disk is empty.
func TestWithdrawnRetirement(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		finishTurns(t, c.ledger("front-1"), programCount)
		c.fabric.Partition(nodeName(1), nodeName(2))
		c.fabric.Partition(nodeName(1), nodeName(3))
		c.fabric.Partition(nodeName(1), nodeName(0))
		c.retire(nodeName(1))
		time.Sleep(3 * time.Second)
		assert.Assert(t, c.layout().Slots[slices.IndexFunc(c.layout().Slots, func(s layout.Slot) bool { return s.Disk.Node == nodeName(1) })].Leaving)
		assert.Equal(t, c.retirementState(nodeName(1)), "running")
		// A turn finished meanwhile does not need this disk.
		assert.NilError(t, c.ledger("front-1").Finish(contextWithTimeout(t, 5*time.Second), finishedTurn("p0", "p0-c", "p0-b", "meanwhile")))
		c.cancelRetirement(nodeName(1))
		c.waitUntil(func() bool {
			return !slices.ContainsFunc(c.layout().Slots, func(s layout.Slot) bool { return s.Leaving || s.Vacant })
		})
		for i := range 3 {
			c.fabric.Heal(nodeName(1), nodeName([]int{0, 2, 3}[i]))
		}
		c.wipe(nodeName(0))
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

func TestAllDisksLosePower(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		finishTurns(t, c.ledger("front-1"), programCount)
		for i := range 4 {
			c.kill(nodeName(i))
		}
		c.diskGenerations[nodeName(3)]++
		for i := range 4 {
			c.start(nodeName(i), false)
		}
		c.awaitAllSlotsHeld()
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

// TestBudgetHoldsForConcurrentReservations guards against a budget that is exceeded when several daemons reserve at
// once.
func TestBudgetHoldsForConcurrentReservations(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted := 0
		for i := range 30 {
			l := c.ledger(fmt.Sprintf("front-%d", i%5))
			wg.Go(func() {
				_, err := l.Reserve(contextWithTimeout(t, 5*time.Second), reservedTurn("p", fmt.Sprintf("t%d", i), 100), 1000)
				if errors.Is(err, ledger.ErrBudgetExceeded) {
					return
				}
				assert.Check(t, err)
				mu.Lock()
				granted++
				mu.Unlock()
			})
		}
		wg.Wait()
		assert.Assert(t, granted <= 10, "%d turns of 100 tokens were accepted into a budget of 1000", granted)
	})
}

func TestFinishedTurnsAreChargedGeneratedTokens(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		for i := range 9 {
			id := fmt.Sprintf("t%d", i)
			_, err := l.Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", id, 20), 100)
			assert.NilError(t, err)
			assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), finishedTurn("p", id, "", id)))
		}
		account, err := c.ledger("front-2").Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "last", 20), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(90))
	})
}

func TestVoidTurnsAreNotCharged(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		record := reservedTurn("p", "t1", 100)
		_, err := l.Reserve(contextWithTimeout(t, time.Second), record, 100)
		assert.NilError(t, err)
		record.State = turn.Void
		l.Settle(record)
		assert.NilError(t, l.Flush(contextWithTimeout(t, time.Second)))
		_, err = c.ledger("front-2").Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "t2", 100), 100)
		assert.NilError(t, err)
	})
}

// TestSettledTurnsAreChargedButNotRetained checks that every daemon counts settled turns and that none continues from
// them.
func TestSettledTurnsAreChargedButNotRetained(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		record := reservedTurn("p", "t1", 100)
		_, err := l.Reserve(contextWithTimeout(t, time.Second), record, 100)
		assert.NilError(t, err)
		l.Settle(&turn.Record{State: turn.Settled, ID: "t1", Program: "p", Tokens: 30, Retention: time.Minute})
		assert.NilError(t, l.Flush(contextWithTimeout(t, time.Second)))
		other := c.ledger("front-2")
		_, err = other.Chain(contextWithTimeout(t, time.Second), "p", "t1")
		assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
		account, err := other.Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "t2", 71), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(30))
		_, err = other.Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "t3", 70), 171)
		assert.NilError(t, err, "30 are spent and 71 reserved")
	})
}

// TestReserveReturnsCachedPrompts checks that a reservation returns where turns through other daemons left their
// prompts in cache, for each part as of the last turn.
func TestReserveReturnsCachedPrompts(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		ran := func(id, server, part string, held int64) *turn.Record {
			return &turn.Record{State: turn.Settled, ID: id, Program: "p", Tokens: 5, Retention: time.Minute, Server: incarnation.ID{Server: server}, Part: part, Held: held}
		}
		for _, r := range []*turn.Record{ran("t1", "a", "main", 300), ran("t2", "b", "main", 700), ran("t3", "a", "helper", 90)} {
			l.Settle(r)
			assert.NilError(t, l.Flush(contextWithTimeout(t, time.Second)))
		}
		kept := finishedTurn("p", "t4", "", "text")
		kept.Server, kept.Part, kept.Held = incarnation.ID{Server: "c", Born: 5}, "kept", 40
		assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), kept))
		account, err := c.ledger("front-2").Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "t5", 20), 100)
		assert.NilError(t, err)
		slices.SortFunc(account.CachedPrompts, func(a, b turn.CachedPrompt) int { return strings.Compare(a.Part, b.Part) })
		assert.DeepEqual(t, account.CachedPrompts, []turn.CachedPrompt{{Server: incarnation.ID{Server: "a"}, Part: "helper", Held: 90}, {Server: incarnation.ID{Server: "c", Born: 5}, Part: "kept", Held: 40},
			{Server: incarnation.ID{Server: "b"}, Part: "main", Held: 700}})
	})
}

// TestReservationsSurviveRestartAndDiskLoss checks that reservations still count after all processes were killed and
// one disk was lost.
func TestReservationsSurviveRestartAndDiskLoss(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		_, err := c.ledger("front-1").Reserve(contextWithTimeout(t, time.Second), reservedTurn("p", "t1", 100), 150)
		assert.NilError(t, err)
		c.kill(nodeName(0))
		c.kill(nodeName(2))
		c.wipe(nodeName(1))
		for i := range 3 {
			c.start(nodeName(i), false)
		}
		c.awaitAllSlotsHeld()
		c.kill(nodeName(2))
		_, err = c.ledger("front-2").Reserve(contextWithTimeout(t, 3*time.Second), reservedTurn("p", "t2", 100), 150)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
	})
}

// TestBudgetHoldsWithPartialConnectivity guards against an exceeded budget when each daemon reaches another two of the
// three disks, so that of three reservations each may be missed by another.
func TestBudgetHoldsWithPartialConnectivity(t *testing.T) {
	for range 30 {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			var wg sync.WaitGroup
			var granted atomic.Int64
			for i := range 12 {
				host := fmt.Sprintf("front-%d", i)
				c.fabric.Partition(host, nodeName(i%3))
				l := c.ledger(host)
				wg.Go(func() {
					if _, err := l.Reserve(contextWithTimeout(t, 5*time.Second), reservedTurn("p", fmt.Sprintf("t%d", i), 100), 400); err == nil {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			assert.Assert(t, granted.Load() <= 4, "%d turns of 100 tokens were accepted into a budget of 400", granted.Load())
		})
	}
}

// TestChainRetriesDuringShortOutage guards against a failed turn when all disks are briefly away.
func TestChainRetriesDuringShortOutage(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		finishTurns(t, c.ledger("front-1"), 1)
		l := c.ledger("front-2")
		for i := range 3 {
			c.kill(nodeName(i))
		}
		go func() {
			time.Sleep(400 * time.Millisecond)
			for i := range 3 {
				c.start(nodeName(i), false)
			}
		}()
		chain, err := l.Chain(contextWithTimeout(t, 1200*time.Millisecond), "p0", "p0-b")
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 2)
	})
}
