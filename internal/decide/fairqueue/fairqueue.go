// Package fairqueue orders the turns that wait for the engines of one service: by priority level, within a level fairly
// between organisations, and within an organisation by the state of the program.
package fairqueue

import (
	"slices"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// Queue holds waiting calls at several priority levels. All calls of a level go before those of the next. It is not
// safe for concurrent use. The zero value is an empty queue.
type Queue struct {
	levels []level // sorted, the most urgent first; none is empty
}

// level holds the calls of one priority level; 0 is the most urgent.
type level struct {
	rank  int
	calls *policy.Queue
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	n := 0
	for _, l := range q.levels {
		n += l.calls.Len()
	}
	return n
}

// AddTo adds the number of waiting calls at each level to counts.
func (q *Queue) AddTo(counts map[int]int) {
	for _, l := range q.levels {
		counts[l.rank] += l.calls.Len()
	}
}

// Push adds a call at a level.
func (q *Queue) Push(rank int, call *policy.QueuedCall) {
	i, found := q.find(rank)
	if !found {
		q.levels = slices.Insert(q.levels, i, level{rank, &policy.Queue{}})
	}
	q.levels[i].calls.Push(call)
}

// Pop removes and returns the next call at the given level that may go, or nil.
func (q *Queue) Pop(rank int, mayGo func(*policy.QueuedCall) bool) *policy.QueuedCall {
	i, found := q.find(rank)
	if !found {
		return nil
	}
	call := q.levels[i].calls.PopIf(mayGo)
	q.dropEmpty(i)
	return call
}

// Remove removes a call that gave up waiting. It does nothing if the call is not in the queue.
func (q *Queue) Remove(rank int, call *policy.QueuedCall) {
	if i, found := q.find(rank); found {
		q.levels[i].calls.Remove(call)
		q.dropEmpty(i)
	}
}

// Ahead returns how many calls go before a call in the queue: all of more urgent levels, and those of its level,
// organisation and class that are to be served before it.
func (q *Queue) Ahead(rank int, call *policy.QueuedCall) int {
	n := 0
	for _, l := range q.levels {
		switch {
		case l.rank < rank:
			n += l.calls.Len()
		case l.rank == rank:
			return n + l.calls.Ahead(call)
		}
	}
	return n
}

// Levels returns the levels at which calls wait, the most urgent first.
func (q *Queue) Levels() []int {
	ranks := make([]int, len(q.levels))
	for i, l := range q.levels {
		ranks[i] = l.rank
	}
	return ranks
}

func (q *Queue) find(rank int) (int, bool) {
	return slices.BinarySearchFunc(q.levels, rank, func(l level, rank int) int { return l.rank - rank })
}

func (q *Queue) dropEmpty(i int) {
	if q.levels[i].calls.Len() == 0 {
		q.levels = slices.Delete(q.levels, i, i+1)
	}
}
