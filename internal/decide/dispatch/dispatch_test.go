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
	"github.com/rookpass/rookpass/internal/decide/share"
)

// turn returns a call of a started program with the given time left; each turn takes 100 ms on an idle server.
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

// peers is the demand of other daemons that have n calls, all of new programs.
func peers(n int) map[string]dispatch.Demand {
	return map[string]dispatch.Demand{"m": {All: share.Demand{0: n}}}
}

// fill uses up this daemon's share of the slots, which is one call.
func fill(t *testing.T, s *dispatch.Scheduler) []*dispatch.Call {
	t.Helper()
	s.SetPeerDemand(peers(1000))
	c := turn(time.Minute)
	assert.NilError(t, s.Acquire(t.Context(), c))
	assert.Equal(t, s.Running(), 1, "this daemon's share")
	return []*dispatch.Call{c}
}

func TestNoWaitWhileSlotsAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(peers(1))
		for range 4 {
			assert.NilError(t, s.Acquire(t.Context(), turn(time.Second)))
		}
		assert.Equal(t, s.Running(), 4)
		assert.DeepEqual(t, s.Demand(), map[string]dispatch.Demand{"m": {All: share.Demand{0: 4}, Started: share.Demand{0: 4}}})
	})
}

// TestQueueOrder checks that waiting calls are admitted by the state of their programs, not in order of arrival.
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

// TestNewProgramWaitsWhileStartedOnesFillSlots guards against new programs that make all started ones late: one is
// admitted once the started programs of all daemons leave slots free, and refused if that comes too late for it.
func TestNewProgramWaitsWhileStartedOnesFillSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(map[string]dispatch.Demand{"m": {All: share.Demand{0: 4}, Started: share.Demand{0: 4}}})
		assert.NilError(t, s.Acquire(t.Context(), turn(time.Second)), "a started program")
		result := make(chan error, 2)
		competing := func() *dispatch.Call {
			c := first(2 * time.Second)
			c.Competing = true
			return c
		}
		go func() { result <- s.Acquire(t.Context(), competing()) }()
		synctest.Wait()
		assert.Equal(t, s.Waiting(), 1)
		s.SetPeerDemand(map[string]dispatch.Demand{"m": {All: share.Demand{0: 4}, Started: share.Demand{0: 2}}})
		assert.NilError(t, <-result)
		s.SetPeerDemand(map[string]dispatch.Demand{"m": {All: share.Demand{0: 4}, Started: share.Demand{0: 4}}})
		go func() { result <- s.Acquire(t.Context(), competing()) }()
		assert.ErrorIs(t, <-result, dispatch.ErrNoSlot)
	})
}

// TestNewProgramsStartWithoutCompetition checks that new programs start as slots allow where the configuration has one
// priority level and no organisations.
func TestNewProgramsStartWithoutCompetition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(map[string]dispatch.Demand{"m": {All: share.Demand{0: 4}, Started: share.Demand{0: 4}}})
		assert.NilError(t, s.Acquire(t.Context(), first(2*time.Second)))
	})
}

// TestLateProgramYields checks that a call whose program becomes late while it waits goes after those that can still
// meet their deadline.
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

// TestRefusedAtOnce checks that a new program that would start too late is refused without waiting, and that the one
// before it is refused when it can no longer meet its deadline.
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
		assert.Equal(t, <-waited, 400*time.Millisecond, "by default 60% of the time budget count as needed")
		assert.Equal(t, s.Waiting(), 0)
	})
}

// TestCancelledCallLeavesQueue checks that a call whose caller has gone does not take a slot.
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

// TestNoWaitBeyondFirstEventDeadline checks that a call is refused once its caller would no longer get the first
// event.
func TestNoWaitBeyondFirstEventDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		fill(t, s)
		began := time.Now()
		assert.ErrorIs(t, s.Acquire(t.Context(), turn(time.Minute)), dispatch.ErrNoSlot)
		assert.Equal(t, time.Since(began), 1900*time.Millisecond)
	})
}

// TestUnknownPeerDemandAdmitsCalls checks that waiting calls are admitted when the demand of other daemons becomes
// unknown.
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

// TestTimeBudgetShareIsLearnt checks that a new program may wait for the part of its time budget that others of its
// route did not need, as observed while no call had to wait.
func TestTimeBudgetShareIsLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		time.Sleep(3 * time.Second)
		for i := range 2000 {
			c := turn(2 * time.Second)
			assert.NilError(t, s.Acquire(t.Context(), c))
			time.Sleep(time.Duration(i%10) * 60 * time.Millisecond) // ends after up to 27% of the time budget
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

// TestEveryCallEndsOnce checks that with many concurrent callers every call is admitted or refused, and none is left.
func TestEveryCallEndsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := dispatch.New()
		s.SetPeerDemand(peers(8))
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
