package dispatch_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
)

// turn returns a call of a program that has begun, with so much time left; each turn takes 100 ms alone.
func turn(left time.Duration) *dispatch.Call {
	return &dispatch.Call{Service: "m", Route: "r", Slots: 4, ProgramStarted: true, TimeBudget: 2 * time.Second, Deadline: time.Now().Add(left),
		UnloadedDuration: 100 * time.Millisecond, FirstEventBy: time.Now().Add(2 * time.Second)}
}

// first returns the first call of a program.
func first(left time.Duration) *dispatch.Call {
	c := turn(left)
	c.ProgramStarted, c.TimeBudget = false, left
	return c
}

// fill lets as many calls go as there is room for.
func fill(t *testing.T, s *dispatch.Scheduler) []*dispatch.Call {
	t.Helper()
	s.SetPeerDemand(map[string]int{"m": 1000})
	c := turn(time.Minute)
	assert.NilError(t, s.Acquire(t.Context(), c))
	assert.Equal(t, s.Running(), 1, "this daemon's share")
	return []*dispatch.Call{c}
}

func TestNoWaitWhileSlotsAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(map[string]int{"m": 1})
		for range 4 {
			assert.NilError(t, s.Acquire(t.Context(), turn(time.Second)))
		}
		assert.Equal(t, s.Running(), 4)
		assert.DeepEqual(t, s.Demand(), map[string]int{"m": 4})
	})
}

// TestQueueOrder: calls that wait are let go by how their programs stand, not by when they came.
func TestQueueOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		running := fill(t, s)
		var mu sync.Mutex
		var order []string
		var wg sync.WaitGroup
		enter := func(name string, c *dispatch.Call) {
			wg.Go(func() {
				if s.Acquire(t.Context(), c) != nil {
					name += " refused"
				}
				mu.Lock()
				order = append(order, name)
				mu.Unlock()
			})
			synctest.Wait()
		}
		enter("new", first(1500*time.Millisecond))
		enter("behind", turn(50*time.Millisecond))
		enter("at ease", turn(1500*time.Millisecond))
		enter("pressed", turn(400*time.Millisecond))
		for range 4 {
			s.Release(running[0])
			synctest.Wait()
		}
		wg.Wait()
		assert.DeepEqual(t, order, []string{"pressed", "at ease", "behind", "new"})
	})
}

// TestLateProgramYields: from then on it gives way to those that can still end in time.
func TestLateProgramYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		running := fill(t, s)
		var order []string
		enter := func(name string, c *dispatch.Call) {
			go func() {
				assert.Check(t, s.Acquire(t.Context(), c) == nil)
				order = append(order, name)
			}()
			synctest.Wait()
		}
		enter("falls behind", turn(300*time.Millisecond))
		enter("in time", turn(1500*time.Millisecond))
		time.Sleep(250 * time.Millisecond)
		for range 2 {
			s.Release(running[0])
			synctest.Wait()
		}
		assert.DeepEqual(t, order, []string{"in time", "falls behind"})
	})
}

// TestRefusedAtOnce: a new program behind others whose turn would come too late is told so without waiting; the
// next in line waits, and is given up when its program can't end in time any more.
func TestRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		fill(t, s)
		began := time.Now()
		waited := make(chan time.Duration, 1)
		go func() {
			assert.Check(t, s.Acquire(t.Context(), first(time.Second)) == dispatch.ErrNoSlot)
			waited <- time.Since(began)
		}()
		synctest.Wait()
		late := first(time.Second)
		assert.ErrorIs(t, s.Acquire(t.Context(), late), dispatch.ErrNoSlot)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, s.RetryAfter(late), 400*time.Millisecond)
		assert.Equal(t, <-waited, 400*time.Millisecond, "60% of its second are needed, as long as nothing else was seen")
		assert.Equal(t, s.Waiting(), 0)
	})
}

// TestCancelledCallLeavesQueue, and a place that was given up goes to the next.
func TestCancelledCallLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		running := fill(t, s)
		ctx, cancel := context.WithCancel(t.Context())
		gone := make(chan error, 1)
		go func() { gone <- s.Acquire(ctx, turn(time.Second)) }()
		synctest.Wait()
		assert.Equal(t, s.Waiting(), 1)
		cancel()
		assert.ErrorIs(t, <-gone, dispatch.ErrNoSlot)
		assert.Equal(t, s.Waiting(), 0)
		s.Release(running[0])
		assert.Equal(t, s.Running(), 0)
	})
}

// TestNoWaitBeyondFirstEventDeadline: a call whose caller would not get its first event any more is refused.
func TestNoWaitBeyondFirstEventDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		fill(t, s)
		began := time.Now()
		assert.ErrorIs(t, s.Acquire(t.Context(), turn(time.Minute)), dispatch.ErrNoSlot)
		assert.Equal(t, time.Since(began), 1900*time.Millisecond)
	})
}

// TestUnknownPeerDemandAdmitsCalls: where no daemon tells, turns go as they come.
func TestUnknownPeerDemandAdmitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		fill(t, s)
		done := make(chan error, 1)
		go func() { done <- s.Acquire(t.Context(), turn(time.Second)) }()
		synctest.Wait()
		s.SetPeerDemand(nil)
		assert.NilError(t, <-done)
	})
}

// TestTimeBudgetShareIsLearnt: a new program may wait for what others of its kind did not need of their time, and
// only calm times tell.
func TestTimeBudgetShareIsLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		time.Sleep(3 * time.Second)
		for i := range 2000 {
			c := turn(2 * time.Second)
			assert.NilError(t, s.Acquire(t.Context(), c))
			time.Sleep(time.Duration(i%10) * 60 * time.Millisecond) // ends after up to 27% of the program's time
			s.ObserveCompletion(c)
			s.Release(c)
		}
		fill(t, s)
		began := time.Now()
		assert.ErrorIs(t, s.Acquire(t.Context(), first(2*time.Second)), dispatch.ErrNoSlot)
		waited := time.Since(began)
		assert.Assert(t, waited > 1300*time.Millisecond && waited < 1600*time.Millisecond, "waited %v", waited)
	})
}

// TestEveryCallEndsOnce: under a crowd of callers every call is let go or refused, and none is left.
func TestEveryCallEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(map[string]int{"m": 8})
		var mu sync.Mutex
		var outcomes []bool
		var wg sync.WaitGroup
		for i := range 200 {
			wg.Go(func() {
				time.Sleep(time.Duration(i%20) * 10 * time.Millisecond)
				c := turn(time.Duration(100+10*(i%50)) * time.Millisecond)
				c.ProgramStarted = i%3 > 0
				err := s.Acquire(t.Context(), c)
				if err == nil {
					time.Sleep(90 * time.Millisecond)
					s.Release(c)
				}
				mu.Lock()
				outcomes = append(outcomes, err == nil)
				mu.Unlock()
			})
		}
		wg.Wait()
		assert.Equal(t, len(outcomes), 200)
		assert.Assert(t, slices.Contains(outcomes, true) && slices.Contains(outcomes, false))
		assert.Equal(t, s.Running()+s.Waiting(), 0)
	})
}
