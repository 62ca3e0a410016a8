package policy_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

func TestInTime(t *testing.T) {
	assert.Assert(t, policy.InTime(0, 0, time.Second), "the next call always can")
	assert.Assert(t, !policy.InTime(1, 0, time.Second))
	assert.Assert(t, policy.InTime(5, 10, 500*time.Millisecond))
	assert.Assert(t, !policy.InTime(6, 10, 500*time.Millisecond))
	assert.Assert(t, !policy.InTime(1, 10, -time.Second))
}

func TestQueueDelay(t *testing.T) {
	assert.Equal(t, policy.QueueDelay(1, 0, time.Second), time.Second)
	assert.Equal(t, policy.QueueDelay(1, 10, time.Second), 100*time.Millisecond)
	assert.Equal(t, policy.QueueDelay(100, 10, time.Second), time.Second)
}

func TestTimeBudgetShareIsLearnt(t *testing.T) {
	var s policy.TimeBudgetShare
	assert.Equal(t, s.Need(time.Second), 600*time.Millisecond)
	for i := range 5000 {
		s.Observe(0.4 * float64(i%100) / 100)
	}
	need := s.Need(time.Second)
	assert.Assert(t, need > 350*time.Millisecond && need < 420*time.Millisecond, "%v", need)
	for range 5000 {
		s.Observe(3)
	}
	assert.Equal(t, s.Need(time.Second), 950*time.Millisecond)
}

func TestQueueByClass(t *testing.T) {
	var q policy.Queue
	now := time.Unix(100, 0)
	add := func(class policy.QueueClass, latestStart time.Time, priority int32) *policy.QueuedCall {
		w := &policy.QueuedCall{Class: class, LatestStart: latestStart, Priority: priority, Weight: 1, Cost: 1}
		q.Push(w)
		return w
	}
	fresh := add(policy.NewOnTime, now, 0)
	freshUrgent := add(policy.NewOnTime, now.Add(time.Hour), 9)
	late := add(policy.StartedLate, now.Add(-time.Hour), 0)
	unknown := add(policy.StartedOnTime, time.Time{}, 9)
	later := add(policy.StartedOnTime, now.Add(time.Second), 9)
	soon := add(policy.StartedOnTime, now, 0)
	newLate := add(policy.NewLate, now, 9)
	assert.Equal(t, q.Ahead(unknown), 2)
	assert.Equal(t, q.Ahead(fresh), 1)
	for i, want := range []*policy.QueuedCall{soon, later, unknown, late, freshUrgent, fresh, newLate} {
		assert.Assert(t, q.Pop() == want, "position %d", i)
	}
	assert.Equal(t, policy.ClassOf(true, false), policy.StartedOnTime)
	assert.Equal(t, policy.ClassOf(true, true), policy.StartedLate)
	assert.Equal(t, policy.ClassOf(false, false), policy.NewOnTime)
	assert.Equal(t, policy.ClassOf(false, true), policy.NewLate)
}

// BenchmarkDispatch covers the scheduling of one call: it is queued, the calls ahead are counted, the next call is
// popped, and one of 45 engines is chosen.
func BenchmarkDispatch(b *testing.B) {
	for _, waiting := range []int{10, 1000} {
		b.Run(fmt.Sprint(waiting, " waiting"), func(b *testing.B) {
			var q policy.Queue
			engines := make([]policy.Engine, 45)
			for i := range engines {
				engines[i] = policy.Engine{InFlight: i % 8, Capacity: 16, CachedTokens: int64(i * 10)}
			}
			push := func(i int) *policy.QueuedCall {
				w := &policy.QueuedCall{Class: policy.QueueClass(i % 3), LatestStart: time.Unix(int64(i%977), 0), Weight: 1, Cost: 1}
				q.Push(w)
				return w
			}
			for i := range waiting {
				push(i)
			}
			for i := 0; b.Loop(); i++ {
				q.Ahead(push(i))
				q.Pop()
				policy.ChooseEngine(engines, 1000, policy.DefaultCosts())
			}
		})
	}
}
