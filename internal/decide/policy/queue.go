package policy

import (
	"cmp"
	"container/heap"
	"slices"
	"strings"
	"time"
)

// QueueClass orders calls by the state of their program. Lower classes are served first.
type QueueClass int32

// Values of QueueClass. Started programs come first: serving new ones before them would make all of them late.
const (
	// StartedOnTime programs have started and can still meet their deadline. It is the zero value.
	StartedOnTime QueueClass = iota
	// StartedLate programs have started and will miss their deadline.
	StartedLate
	// NewOnTime programs have not started and can still meet their deadline.
	NewOnTime
	// NewLate programs have not started and would miss their deadline.
	NewLate
)

// ClassOf returns the class of a call, given whether its program has started and whether it will miss its deadline.
func ClassOf(started, late bool) QueueClass {
	switch {
	case started && late:
		return StartedLate
	case started:
		return StartedOnTime
	case late:
		return NewLate
	default:
		return NewOnTime
	}
}

// QueuedCall is a call that waits for an engine.
type QueuedCall struct {
	Organisation string
	// Weight is the organisation's relative share of busy engines; at least 1.
	Weight int32
	// Class and LatestStart come before priority: of StartedOnTime calls the one with the earliest LatestStart goes
	// first. After LatestStart the program can't meet its deadline; zero where that is not known.
	Class       QueueClass
	LatestStart time.Time
	// Priority is the program's, 0 to 9; higher goes first.
	Priority int32
	// Attained is the service that the whole program has received, in tokens.
	Attained int64
	// Cost is the call's expected service, in tokens.
	Cost int64
	// Value is the caller's; the queue does not use it.
	Value any

	arrival uint64
	index   int
}

// agingArrivals is how many later arrivals outweigh a doubling of attained service, so that long programs don't
// starve.
const agingArrivals = 64

// Queue orders waiting calls: between organisations by weighted fair queueing, within one by class, latest start,
// priority, and least attained service with ageing. It is not safe for concurrent use. The zero value is an empty
// queue.
type Queue struct {
	organisations map[string]*tenant
	ready         tenantHeap
	// virtualNow is the virtual time: the largest of the organisations served so far.
	virtualNow float64
	arrivals   uint64
	length     int
}

// tenant is the queue of one organisation.
type tenant struct {
	name        string
	virtualTime float64
	calls       callHeap
	index       int
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

// LenOf returns the number of an organisation's waiting calls.
func (q *Queue) LenOf(organisation string) int {
	if t := q.organisations[organisation]; t != nil {
		return len(t.calls)
	}
	return 0
}

// Push adds a call. An organisation that was idle starts at the current virtual time, so that it gains nothing from
// having been idle.
func (q *Queue) Push(w *QueuedCall) {
	if q.organisations == nil {
		q.organisations = map[string]*tenant{}
	}
	t := q.organisations[w.Organisation]
	if t == nil {
		t = &tenant{name: w.Organisation}
		q.organisations[w.Organisation] = t
	}
	q.arrivals++
	w.arrival = q.arrivals
	heap.Push(&t.calls, w)
	q.length++
	if len(t.calls) == 1 {
		t.virtualTime = max(t.virtualTime, q.virtualNow)
		heap.Push(&q.ready, t)
	}
}

// Pop removes and returns the next call to serve, or nil. Its cost is charged to its organisation.
func (q *Queue) Pop() *QueuedCall {
	if len(q.ready) == 0 {
		return nil
	}
	return q.popOf(q.ready[0])
}

// popOf removes and returns the next call of an organisation.
func (q *Queue) popOf(t *tenant) *QueuedCall {
	w := heap.Pop(&t.calls).(*QueuedCall)
	q.length--
	q.virtualNow = max(q.virtualNow, t.virtualTime)
	t.virtualTime += float64(w.Cost) / float64(max(1, w.Weight))
	q.reposition(t)
	return w
}

// PopIf is like Pop, but passes over organisations whose first call may not go.
func (q *Queue) PopIf(mayGo func(*QueuedCall) bool) *QueuedCall {
	if len(q.ready) == 0 || mayGo(q.ready[0].calls[0]) {
		return q.Pop()
	}
	inOrder := slices.Clone(q.ready)
	slices.SortFunc(inOrder, compareTenants)
	for _, t := range inOrder[1:] {
		if mayGo(t.calls[0]) {
			return q.popOf(t)
		}
	}
	return nil
}

// Remove removes a call that gave up waiting. It does nothing if the call is not in the queue.
func (q *Queue) Remove(w *QueuedCall) {
	t := q.organisations[w.Organisation]
	if t == nil || w.index < 0 || w.index >= len(t.calls) || t.calls[w.index] != w {
		return
	}
	heap.Remove(&t.calls, w.index)
	q.length--
	q.reposition(t)
}

// Ahead returns how many calls of the same organisation and class are to be served before a call in the queue.
func (q *Queue) Ahead(w *QueuedCall) int {
	t := q.organisations[w.Organisation]
	if t == nil {
		return 0
	}
	n := 0
	for _, other := range t.calls {
		if other.Class == w.Class && other != w && other.before(w) {
			n++
		}
	}
	return n
}

// reposition restores the heap order after an organisation's calls or virtual time changed, and drops an organisation
// that has no calls and whose virtual time has passed.
func (q *Queue) reposition(t *tenant) {
	if len(t.calls) > 0 {
		heap.Fix(&q.ready, t.index)
		return
	}
	heap.Remove(&q.ready, t.index)
	if q.length == 0 {
		clear(q.organisations)
		q.virtualNow = 0
		return
	}
	if t.virtualTime <= q.virtualNow {
		delete(q.organisations, t.name)
	}
}

// before reports whether a call goes before another one of its organisation.
func (w *QueuedCall) before(other *QueuedCall) bool {
	if w.Class != other.Class {
		return w.Class < other.Class
	}
	if w.Class == StartedOnTime && !w.LatestStart.Equal(other.LatestStart) {
		return other.LatestStart.IsZero() || !w.LatestStart.IsZero() && w.LatestStart.Before(other.LatestStart)
	}
	if w.Priority != other.Priority {
		return w.Priority > other.Priority
	}
	return w.rank() < other.rank()
}

// rank returns the sort key that applies after priority: lower goes first.
func (w *QueuedCall) rank() float64 {
	return log2(w.Attained+1)*agingArrivals + float64(w.arrival)
}

// log2 returns the binary logarithm of a positive number, rounded down.
func log2(n int64) float64 {
	bits := 0
	for n > 1 {
		n >>= 1
		bits++
	}
	return float64(bits)
}

type callHeap []*QueuedCall

func (h callHeap) Len() int { return len(h) }
func (h callHeap) Less(i, j int) bool {
	return h[i].before(h[j])
}
func (h callHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *callHeap) Push(x any) {
	w := x.(*QueuedCall)
	w.index = len(*h)
	*h = append(*h, w)
}
func (h *callHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.index = -1
	return w
}

type tenantHeap []*tenant

func (h tenantHeap) Len() int           { return len(h) }
func (h tenantHeap) Less(i, j int) bool { return compareTenants(h[i], h[j]) < 0 }
func (h tenantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *tenantHeap) Push(x any) {
	t := x.(*tenant)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *tenantHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}

// compareTenants orders organisations by virtual time.
func compareTenants(a, b *tenant) int {
	return cmp.Or(cmp.Compare(a.virtualTime, b.virtualTime), strings.Compare(a.name, b.name))
}
