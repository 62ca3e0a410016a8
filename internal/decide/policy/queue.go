package policy

import (
	"container/heap"
	"time"
)

// QueueClass is how a call's program stands. Calls of a lower one go first.
type QueueClass int32

// The standings. To let new programs begin before those under way are served makes all of them late.
const (
	// StartedOnTime programs have begun and can still end in time. The zero value.
	StartedOnTime QueueClass = iota
	// StartedLate programs have begun and will end late.
	StartedLate
	// NewOnTime programs have not begun.
	NewOnTime
	// NewLate programs have not begun and would end late.
	NewLate
)

// ClassOf returns the standing of a call whose program has begun or not, and can't end in time or can.
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

// QueuedCall is one call that waits for an engine.
type QueuedCall struct {
	Organisation string
	// Weight is the organisation's share of busy engines; at least 1.
	Weight int32
	// Class and Due come before priority: of OnTime calls the one goes first whose program has the least time to
	// lose. Due is from when on that program can't end in time; zero where that is not known.
	Class       QueueClass
	LatestStart time.Time
	// Priority is the program's, 0 to 9.
	Priority int32
	// Attained is the service in tokens that the whole program has had.
	Attained int64
	// Cost is the expected service of the call in tokens.
	Cost int64
	// Value is the caller's own.
	Value any

	arrival uint64
	index   int
}

// agingArrivals is how many later arrivals outweigh one doubling of attained service, so that a long program
// is never overtaken for ever.
const agingArrivals = 64

// Queue orders waiting calls: fair between organisations by weighted service received, inside one by how the
// program stands, by priority, and then by least attained service of the program, with ageing. It is not safe for
// concurrent use. The zero value is empty.
type Queue struct {
	organisations map[string]*tenant
	ready         tenantHeap
	// virtualNow is the virtual time: the service level of the organisation served last.
	virtualNow float64
	arrivals   uint64
	length     int
}

// tenant is an organisation in the queue.
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

// Push adds a call. An organisation that was idle starts at the present virtual time: it gains nothing from
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

// Pop removes and returns the call to serve next, or nil. The call's cost is charged to its organisation.
func (q *Queue) Pop() *QueuedCall {
	if len(q.ready) == 0 {
		return nil
	}
	t := q.ready[0]
	w := heap.Pop(&t.calls).(*QueuedCall)
	q.length--
	q.virtualNow = max(q.virtualNow, t.virtualTime)
	t.virtualTime += float64(w.Cost) / float64(max(1, w.Weight))
	q.reposition(t)
	return w
}

// Remove takes a call out that gave up waiting. A call that is not in the queue is left alone.
func (q *Queue) Remove(w *QueuedCall) {
	t := q.organisations[w.Organisation]
	if t == nil || w.index < 0 || w.index >= len(t.calls) || t.calls[w.index] != w {
		return
	}
	heap.Remove(&t.calls, w.index)
	q.length--
	q.reposition(t)
}

// Ahead returns how many calls of the same organisation and standing are to be served before one in the queue.
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

// reposition puts an organisation in its place after its calls or its service changed, and forgets one that
// waits for nothing and is not ahead of the others.
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

// before tells whether a call goes before another of its organisation.
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

// rank returns what a call is ordered by after its priority: lower goes first.
func (w *QueuedCall) rank() float64 {
	return log2(w.Attained+1)*agingArrivals + float64(w.arrival)
}

// log2 returns the whole binary logarithm of a positive number.
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

func (h tenantHeap) Len() int { return len(h) }
func (h tenantHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return h[i].name < h[j].name
}
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
