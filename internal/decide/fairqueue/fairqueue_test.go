package fairqueue_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/fairqueue"
	"github.com/rookpass/rookpass/internal/decide/policy"
)

func call(organisation string, class policy.QueueClass) *policy.QueuedCall {
	return &policy.QueuedCall{Organisation: organisation, Class: class, Weight: 1, Cost: 1}
}

// everyCall lets every call go.
func everyCall(*policy.QueuedCall) bool { return true }

// TestLevelsBeforeState guards against started programs of a less urgent level keeping urgent new ones waiting.
func TestLevelsBeforeState(t *testing.T) {
	var q fairqueue.Queue
	started, urgentNew, urgentStarted := call("a", policy.StartedOnTime), call("a", policy.NewOnTime), call("a", policy.StartedOnTime)
	q.Push(2, started)
	q.Push(0, urgentNew)
	q.Push(0, urgentStarted)
	assert.DeepEqual(t, q.Levels(), []int{0, 2})
	assert.Equal(t, q.Ahead(2, started), 2)
	assert.Equal(t, q.Ahead(0, urgentNew), 0, "calls of other classes are served at their own rate")
	assert.Assert(t, q.Pop(0, everyCall) == urgentStarted)
	assert.Assert(t, q.Pop(0, everyCall) == urgentNew)
	assert.Assert(t, q.Pop(0, everyCall) == nil)
	assert.Assert(t, q.Pop(2, everyCall) == started)
	assert.Equal(t, q.Len(), 0)
}

// TestOrganisationsAlternate guards against an organisation with meveryCall waiting calls keeping another one waiting.
func TestOrganisationsAlternate(t *testing.T) {
	var q fairqueue.Queue
	for range 100 {
		q.Push(1, call("large", policy.StartedOnTime))
	}
	small := call("small", policy.NewOnTime)
	q.Push(1, small)
	assert.Assert(t, q.Pop(1, everyCall).Organisation == "large")
	assert.Assert(t, q.Pop(1, everyCall) == small)
	counts := map[int]int{1: 1}
	q.AddTo(counts)
	assert.DeepEqual(t, counts, map[int]int{1: 100})
}

// TestBlockedCallDoesNotBlockOtherOrganisations guards against a new program that may not start keeping back the calls
// of other organisations that are behind it.
func TestBlockedCallDoesNotBlockOtherOrganisations(t *testing.T) {
	var q fairqueue.Queue
	blocked, started := call("a", policy.NewOnTime), call("b", policy.StartedOnTime)
	q.Push(1, blocked)
	q.Push(1, started)
	startedOnly := func(c *policy.QueuedCall) bool { return c.Class == policy.StartedOnTime }
	assert.Assert(t, q.Pop(1, startedOnly) == started)
	assert.Assert(t, q.Pop(1, startedOnly) == nil)
	assert.Equal(t, q.Len(), 1)
	assert.Assert(t, q.Pop(1, everyCall) == blocked)
}

func TestRemoveFromEveryLevel(t *testing.T) {
	var q fairqueue.Queue
	a, b := call("a", policy.NewOnTime), call("a", policy.NewOnTime)
	q.Push(0, a)
	q.Push(3, b)
	q.Remove(0, b)
	assert.Equal(t, q.Len(), 2, "it waits at another level")
	q.Remove(3, b)
	q.Remove(3, b)
	q.Remove(0, a)
	assert.Equal(t, q.Len(), 0)
	assert.Equal(t, len(q.Levels()), 0)
}
