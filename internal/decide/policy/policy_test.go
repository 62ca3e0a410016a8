package policy_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

func TestChooseEngine(t *testing.T) {
	for _, row := range []struct {
		name    string
		engines []policy.Engine
		prompt  int64
		want    int
	}{
		{"none", nil, 10, -1},
		{"all full", []policy.Engine{{InFlight: 1, Capacity: 1}}, 10, -1},
		{"excluded", []policy.Engine{{Capacity: 1, Excluded: true}}, 10, -1},
		{"the idle one", []policy.Engine{{InFlight: 3, Capacity: 9}, {Capacity: 9}}, 10, 1},
		{"the one with the cache, though busier", []policy.Engine{{Capacity: 9}, {InFlight: 2, Capacity: 9, CachedTokens: 10000}}, 10000, 1},
		{"not the cache at any price", []policy.Engine{{Capacity: 90}, {InFlight: 80, Capacity: 90, CachedTokens: 1000}}, 1000, 0},
		{"the cache, where reading anew holds up others", []policy.Engine{{Capacity: 9, PeerCalls: 20}, {InFlight: 2, Capacity: 9, CachedTokens: 300, PeerCalls: 20}}, 300, 1},
		{"not for so few tokens where nobody waits", []policy.Engine{{Capacity: 9}, {InFlight: 2, Capacity: 9, CachedTokens: 300}}, 300, 0},
		{"the near one of equals", []policy.Engine{{Capacity: 9, Remote: true}, {Capacity: 9}}, 10, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Equal(t, policy.ChooseEngine(row.engines, row.prompt, policy.DefaultCosts()), row.want)
		})
	}
}

func push(q *policy.Queue, organisation string, weight, priority int32, attained, cost int64) *policy.QueuedCall {
	w := &policy.QueuedCall{Organisation: organisation, Weight: weight, Priority: priority, Attained: attained, Cost: cost}
	q.Push(w)
	return w
}

func TestQueueSharesByWeight(t *testing.T) {
	var q policy.Queue
	for range 300 {
		push(&q, "flood", 1, 0, 0, 10)
	}
	for range 30 {
		push(&q, "heavy", 3, 0, 0, 10)
	}
	served := map[string]int{}
	for range 40 {
		served[q.Pop().Organisation]++
	}
	assert.Equal(t, served["heavy"], 30)
}

func TestFloodDoesNotDelayOtherOrganisations(t *testing.T) {
	var q policy.Queue
	for range 1000 {
		push(&q, "flood", 1, 9, 0, 10)
	}
	for range 100 {
		q.Pop()
	}
	push(&q, "quiet", 1, 0, 0, 10)
	first, second := q.Pop(), q.Pop()
	assert.Assert(t, first.Organisation == "quiet" || second.Organisation == "quiet")
}

func TestOrderWithinOrganisation(t *testing.T) {
	var q policy.Queue
	long := push(&q, "o", 1, 0, 100_000, 1)
	short := push(&q, "o", 1, 0, 10, 1)
	urgent := push(&q, "o", 1, 5, 1_000_000, 1)
	assert.Equal(t, q.Pop(), urgent)
	assert.Equal(t, q.Pop(), short)
	assert.Equal(t, q.Pop(), long)
	assert.Assert(t, q.Pop() == nil)
}

func TestLongProgramDoesNotStarve(t *testing.T) {
	var q policy.Queue
	long := push(&q, "o", 1, 0, 500_000, 1)
	for i := range 5000 {
		push(&q, "o", 1, 0, 0, 1)
		if q.Pop() == long {
			t.Logf("served after %d younger calls", i)
			return
		}
	}
	t.Error("a long program was not served")
}

// TestQueueProperty checks that each call leaves the queue once, whatever is pushed, popped and removed.
func TestQueueProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var q policy.Queue
		in := map[*policy.QueuedCall]bool{}
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				organisation := fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "organisation"))
				in[push(&q, organisation, 1, int32(rapid.IntRange(0, 2).Draw(r, "priority")), 0, 5)] = true
			case 2:
				if w := q.Pop(); w != nil {
					if !in[w] {
						r.Fatal("a call left the queue twice")
					}
					delete(in, w)
				}
			case 3:
				for w := range in {
					q.Remove(w)
					q.Remove(w)
					delete(in, w)
					break
				}
			}
			if q.Len() != len(in) {
				r.Fatalf("%d calls in the queue, %d expected", q.Len(), len(in))
			}
		}
	})
}

// BenchmarkChooseEngine chooses one of the engines of a model; 1,400 engines over 34 models are 41 each.
func BenchmarkChooseEngine(b *testing.B) {
	for _, count := range []int{10, 41, 410} {
		engines := make([]policy.Engine, count)
		for i := range engines {
			engines[i] = policy.Engine{InFlight: i % 7, Capacity: 16}
		}
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				policy.ChooseEngine(engines, 5000, policy.DefaultCosts())
			}
		})
	}
}

// BenchmarkQueue does one push and one pop while many calls of many organisations wait.
func BenchmarkQueue(b *testing.B) {
	for _, waiting := range []int{100, 1000, 10000} {
		var q policy.Queue
		for i := range waiting {
			push(&q, fmt.Sprint(i%11000), 1, 0, int64(i), 100)
		}
		b.Run(fmt.Sprint(waiting), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Push(q.Pop())
			}
		})
	}
}
