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

// texts returns a chain's inputs and outputs as one text.
func texts(t *testing.T, l *ledger.Ledger, program, id string) string {
	t.Helper()
	chain, err := l.Chain(within(t, 5*time.Second), program, id)
	assert.NilError(t, err)
	text := ""
	for _, record := range chain {
		text += string(record.Input) + "|" + string(record.Output)
	}
	return text
}

func keep(t *testing.T, l *ledger.Ledger, n int) {
	t.Helper()
	for i := range n {
		program := fmt.Sprintf("p%d", i)
		assert.NilError(t, l.Finish(within(t, 5*time.Second), finished(program, program+"-a", "", program+" a")))
		assert.NilError(t, l.Finish(within(t, 5*time.Second), finished(program, program+"-b", program+"-a", program+" b")))
	}
}

func check(t *testing.T, l *ledger.Ledger, n int) {
	t.Helper()
	for i := range n {
		p := fmt.Sprintf("p%d", i)
		assert.Equal(t, texts(t, l, p, p+"-b"), fmt.Sprintf("in %s a|out %s a\nin %s b|out %s b\n", p, p, p, p))
	}
}

const programs = 12

func TestTurnsAreReadByAnyDaemon(t *testing.T) {
	for _, size := range []struct{ disks, tolerance int }{{1, 0}, {2, 1}, {3, 1}, {4, 1}, {8, 2}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				c := newCluster(t, size.disks, size.tolerance)
				keep(t, c.ledger("front-1"), programs)
				check(t, c.ledger("front-2"), programs)
				_, err := c.ledger("front-3").Chain(within(t, time.Second), "p1", "nowhere")
				assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
			})
		})
	}
}

func TestTurnOfAnotherProgramIsFound(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		keep(t, c.ledger("front-1"), programs)
		for i := range programs {
			other := fmt.Sprintf("other%d", i)
			assert.Equal(t, texts(t, c.ledger("front-2"), other, "p1-a"), "in p1 a|out p1 a\n")
		}
	})
}

func TestAbsenceIsOnlyToldWhenSure(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		c.kill(node(0))
		_, err := l.Chain(within(t, 3*time.Second), "p", "nowhere")
		assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
		c.kill(node(1))
		_, err = l.Chain(within(t, 3*time.Second), "p", "nowhere")
		assert.ErrorIs(t, err, ledger.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, ledger.ErrTurnNotFound))
	})
}

// TestDarkDiskHoldsNoSureAnswerUp: a turn that is nowhere, while as many disks are dark as may be. The others suffice to
// say so, and are asked beside one another once the program's own have no such turn.
func TestDarkDiskHoldsNoSureAnswerUp(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 9, 1)
		c.eventually(func() bool { // every disk knows the layout
			_, err := c.ledger("front-1").Chain(within(t, 30*time.Millisecond), "p", "nowhere")
			return errors.Is(err, ledger.ErrTurnNotFound)
		})
		c.fabric.Freeze(node(4))
		defer c.fabric.Thaw(node(4))
		for i := range programs {
			began := time.Now()
			_, err := c.ledger("front-1").Chain(within(t, 3*time.Second), fmt.Sprint("p", i), "nowhere")
			assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
			assert.Assert(t, time.Since(began) <= 60*time.Millisecond, "told after %v", time.Since(began))
		}
	})
}

// TestMinorityThatMissedATurn: one disk misses the turn, another loses it, the third is dark. Until it is
// back nobody may say that the turn does not exist.
func TestMinorityThatMissedATurn(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.fabric.Partition("front-1", node(2))
		keep(t, c.ledger("front-1"), programs)
		c.fabric.Heal("front-1", node(2))
		c.wipe(node(0))
		c.kill(node(1))
		c.start(node(0), false)
		time.Sleep(4 * time.Second)
		for i := range programs {
			p := fmt.Sprintf("p%d", i)
			_, err := c.ledger("front-2").Chain(within(t, time.Second), p, p+"-a")
			assert.ErrorIs(t, err, ledger.ErrUnavailable)
		}
		c.start(node(1), false)
		check(t, c.ledger("front-2"), programs)
		c.settled()
		c.kill(node(1))
		check(t, c.ledger("front-2"), programs)
	})
}

func TestDisksReplacedOneAfterAnother(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		keep(t, c.ledger("front-1"), programs)
		for i := range 3 {
			c.wipe(node(i))
			c.start(node(i), false)
			began := time.Now()
			c.settled()
			assert.Assert(t, time.Since(began) < 3*time.Second, "a lost disk was refilled after %v", time.Since(began))
		}
		check(t, c.ledger("front-2"), programs)
	})
}

func TestSpareTakesOverADiskThatIsGone(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		old := c.ledger("front-old")
		keep(t, old, programs)
		c.start("spare", false)
		c.wipe(node(1))
		c.settled()
		assert.Assert(t, c.holders()["spare"])
		c.kill(node(2))
		check(t, c.ledger("front-2"), programs)
		// A daemon that still has the old layout learns the new one from the disks.
		assert.NilError(t, old.Finish(within(t, 5*time.Second), finished("p0", "p0-c", "p0-b", "late")))
		assert.Equal(t, old.Layout().Epoch, c.current().Epoch)
	})
}

func TestBriefStopsMoveNoSlot(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		c.start("spare", false)
		epoch := c.current().Epoch
		c.kill(node(1))
		time.Sleep(1500 * time.Millisecond)
		c.start(node(1), false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, c.current().Epoch, epoch)
	})
}

func TestRetirementMovesTheSlotToASpare(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		keep(t, c.ledger("front-1"), programs)
		c.retire(node(1))
		time.Sleep(time.Second)
		assert.Equal(t, c.told(node(1)), "running")
		c.start("spare", false)
		c.eventually(func() bool { return c.told(node(1)) == "done" })
		assert.Assert(t, !c.holders()[node(1)])
		c.wipe(node(1))
		c.wipe(node(0))
		check(t, c.ledger("front-2"), programs)
	})
}

// TestManyDisksFormSoon: the first layout of a large system is there as soon as that of a small one.
func TestManyDisksFormSoon(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		began := time.Now()
		c := newCluster(t, 44, 2)
		assert.Equal(t, c.current().OccupiedSlots(), 44)
		assert.Assert(t, time.Since(began) < 3*time.Second, "formed after %v", time.Since(began))
		keep(t, c.ledger("front-1"), programs)
		check(t, c.ledger("front-2"), programs)
	})
}

// TestRetirementWithoutASpare: where enough disks stay, the slot is given up, and what lay on its disk with only
// just enough others is on enough of those that stay.
func TestRetirementWithoutASpare(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 5, 1)
		c.fabric.Partition("front-1", node(0))
		keep(t, c.ledger("front-1"), programs)
		c.fabric.Heal("front-1", node(0))
		old := c.ledger("front-old")
		_, err := old.Reserve(within(t, 5*time.Second), reserved("p0", "p0-r", 70), 100)
		assert.NilError(t, err)
		c.retire(node(1))
		c.eventually(func() bool { return c.told(node(1)) == "done" })
		assert.Equal(t, c.current().OccupiedSlots(), 4)
		c.wipe(node(1))
		check(t, c.ledger("front-2"), programs)
		account, err := c.ledger("front-2").Reserve(within(t, 5*time.Second), reserved("p0", "p0-s", 40), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(90), "two turns of 10 and the reservation of 70")
		// A daemon with the layout of before finds its way.
		assert.NilError(t, old.Finish(within(t, 5*time.Second), finished("p0", "p0-r", "p0-b", "late")))
		// One more disk may be lost, and one more is given up; then no further one.
		c.wipe(node(2))
		c.start(node(2), false)
		c.settled()
		check(t, c.ledger("front-3"), programs)
		c.retire(node(3))
		c.eventually(func() bool { return c.told(node(3)) == "done" })
		c.wipe(node(3))
		check(t, c.ledger("front-4"), programs)
		c.retire(node(4))
		time.Sleep(20 * time.Second)
		assert.Equal(t, c.told(node(4)), "running")
		assert.Equal(t, c.current().OccupiedSlots(), 3)
		c.kill(node(0))
		check(t, c.ledger("front-5"), programs)
	})
}

// TestWithdrawnRetirement: a disk that could not be emptied yet keeps its slot.
func TestWithdrawnRetirement(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		keep(t, c.ledger("front-1"), programs)
		c.fabric.Partition(node(1), node(2))
		c.fabric.Partition(node(1), node(3))
		c.fabric.Partition(node(1), node(0))
		c.retire(node(1))
		time.Sleep(3 * time.Second)
		assert.Assert(t, c.current().Slots[slices.IndexFunc(c.current().Slots, func(s layout.Slot) bool { return s.Disk.Node == node(1) })].Leaving)
		assert.Equal(t, c.told(node(1)), "running")
		// A turn that is kept meanwhile does not count on it.
		assert.NilError(t, c.ledger("front-1").Finish(within(t, 5*time.Second), finished("p0", "p0-c", "p0-b", "meanwhile")))
		c.unretire(node(1))
		c.eventually(func() bool {
			return !slices.ContainsFunc(c.current().Slots, func(s layout.Slot) bool { return s.Leaving || s.Vacant })
		})
		for i := range 3 {
			c.fabric.Heal(node(1), node([]int{0, 2, 3}[i]))
		}
		c.wipe(node(0))
		check(t, c.ledger("front-2"), programs)
	})
}

func TestAllDisksLosePower(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		keep(t, c.ledger("front-1"), programs)
		for i := range 4 {
			c.kill(node(i))
		}
		c.lives[node(3)]++
		for i := range 4 {
			c.start(node(i), false)
		}
		c.settled()
		check(t, c.ledger("front-2"), programs)
	})
}

// TestBudgetHoldsOverParallelTurns: however many daemons reserve at once, what fits into the budget is never
// exceeded.
func TestBudgetHoldsOverParallelTurns(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, 1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		granted := 0
		for i := range 30 {
			l := c.ledger(fmt.Sprintf("front-%d", i%5))
			wg.Go(func() {
				_, err := l.Reserve(within(t, 5*time.Second), reserved("p", fmt.Sprintf("t%d", i), 100), 1000)
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
		assert.Assert(t, granted <= 10, "%d turns of 100 tokens were let into a budget of 1000", granted)
	})
}

func TestFinishedTurnsCountWhatTheyGenerated(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		for i := range 9 {
			id := fmt.Sprintf("t%d", i)
			_, err := l.Reserve(within(t, time.Second), reserved("p", id, 20), 100)
			assert.NilError(t, err)
			assert.NilError(t, l.Finish(within(t, time.Second), finished("p", id, "", id)))
		}
		account, err := c.ledger("front-2").Reserve(within(t, time.Second), reserved("p", "last", 20), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(90))
	})
}

func TestVoidTurnsCountNothing(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		record := reserved("p", "t1", 100)
		_, err := l.Reserve(within(t, time.Second), record, 100)
		assert.NilError(t, err)
		record.State = turn.Void
		l.Settle(record)
		assert.NilError(t, l.Flush(within(t, time.Second)))
		_, err = c.ledger("front-2").Reserve(within(t, time.Second), reserved("p", "t2", 100), 100)
		assert.NilError(t, err)
	})
}

// TestSettledTurnsCountAndAreNotKept: what they generated counts on every daemon, and no turn goes on from them.
func TestSettledTurnsCountAndAreNotKept(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		record := reserved("p", "t1", 100)
		_, err := l.Reserve(within(t, time.Second), record, 100)
		assert.NilError(t, err)
		l.Settle(&turn.Record{State: turn.Settled, ID: "t1", Program: "p", Tokens: 30, Retention: time.Minute})
		assert.NilError(t, l.Flush(within(t, time.Second)))
		other := c.ledger("front-2")
		_, err = other.Chain(within(t, time.Second), "p", "t1")
		assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
		account, err := other.Reserve(within(t, time.Second), reserved("p", "t2", 71), 100)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
		assert.Equal(t, account.Spent, int64(30))
		_, err = other.Reserve(within(t, time.Second), reserved("p", "t3", 70), 171)
		assert.NilError(t, err, "30 are spent and 71 reserved")
	})
}

// TestPlacesTravelWithTheBudget: a daemon that reserves learns where turns that ran through others left their
// prompts in cache, and of each part what the last turn left.
func TestPlacesTravelWithTheBudget(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		l := c.ledger("front-1")
		ran := func(id, server, part string, held int64) *turn.Record {
			return &turn.Record{State: turn.Settled, ID: id, Program: "p", Tokens: 5, Retention: time.Minute, Server: incarnation.ID{Server: server}, Part: part, Held: held}
		}
		for _, r := range []*turn.Record{ran("t1", "a", "main", 300), ran("t2", "b", "main", 700), ran("t3", "a", "helper", 90)} {
			l.Settle(r)
			assert.NilError(t, l.Flush(within(t, time.Second)))
		}
		kept := finished("p", "t4", "", "text")
		kept.Server, kept.Part, kept.Held = incarnation.ID{Server: "c", Born: 5}, "kept", 40
		assert.NilError(t, l.Finish(within(t, time.Second), kept))
		account, err := c.ledger("front-2").Reserve(within(t, time.Second), reserved("p", "t5", 20), 100)
		assert.NilError(t, err)
		slices.SortFunc(account.CachedPrompts, func(a, b turn.CachedPrompt) int { return strings.Compare(a.Part, b.Part) })
		assert.DeepEqual(t, account.CachedPrompts, []turn.CachedPrompt{{Server: incarnation.ID{Server: "a"}, Part: "helper", Held: 90}, {Server: incarnation.ID{Server: "c", Born: 5}, Part: "kept", Held: 40},
			{Server: incarnation.ID{Server: "b"}, Part: "main", Held: 700}})
	})
}

// TestReservationsOutliveTheirDaemons: a budget counts what was reserved before every process was killed and
// one disk was lost.
func TestReservationsOutliveTheirDaemons(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		_, err := c.ledger("front-1").Reserve(within(t, time.Second), reserved("p", "t1", 100), 150)
		assert.NilError(t, err)
		c.kill(node(0))
		c.kill(node(2))
		c.wipe(node(1))
		for i := range 3 {
			c.start(node(i), false)
		}
		c.settled()
		c.kill(node(2))
		_, err = c.ledger("front-2").Reserve(within(t, 3*time.Second), reserved("p", "t2", 100), 150)
		assert.ErrorIs(t, err, ledger.ErrBudgetExceeded)
	})
}

// TestBudgetHoldsWhereQuorumsDiffer: each daemon reaches only two of the three disks, and not the same two, so
// that of three turns each may be missed by another.
func TestBudgetHoldsWhereQuorumsDiffer(t *testing.T) {
	for range 30 {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, 3, 1)
			var wg sync.WaitGroup
			var granted atomic.Int64
			for i := range 12 {
				host := fmt.Sprintf("front-%d", i)
				c.fabric.Partition(host, node(i%3))
				l := c.ledger(host)
				wg.Go(func() {
					if _, err := l.Reserve(within(t, 5*time.Second), reserved("p", fmt.Sprintf("t%d", i), 100), 400); err == nil {
						granted.Add(1)
					}
				})
			}
			wg.Wait()
			assert.Assert(t, granted.Load() <= 4, "%d turns of 100 tokens were let into a budget of 400", granted.Load())
		})
	}
}

// TestHistoryIsAskedForAgain: disks that are away for a moment cost a moment, not the turn.
func TestHistoryIsAskedForAgain(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		keep(t, c.ledger("front-1"), 1)
		l := c.ledger("front-2")
		for i := range 3 {
			c.kill(node(i))
		}
		go func() {
			time.Sleep(400 * time.Millisecond)
			for i := range 3 {
				c.start(node(i), false)
			}
		}()
		chain, err := l.Chain(within(t, 1200*time.Millisecond), "p0", "p0-b")
		assert.NilError(t, err)
		assert.Equal(t, len(chain), 2)
	})
}
