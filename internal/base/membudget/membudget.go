// Package membudget accounts for the memory that a daemon holds on behalf of its callers and servers. All classes of
// memory share one limit, part of which only small requests and requests that already run at a server may use.
package membudget

import (
	"fmt"
	"sync"
)

// Class is what memory is held for.
type Class int

// The classes of memory.
const (
	// RequestBodies are bodies of requests.
	RequestBodies Class = iota
	// Histories are earlier turns that are part of a prompt.
	Histories
	// Responses are buffered responses, events of streams, and outputs of turns that will be recorded.
	Responses
	// CachedTurns are turns kept after their request.
	CachedTurns
	// Connections are the buffers of connections and the fixed cost of requests.
	Connections
	// Heads are the heads of requests as they were received.
	Heads
	classCount
)

var classNames = [classCount]string{"bodies", "histories", "responses", "cached-turns", "connections", "heads"}

// String returns the name of a class in metrics and log lines.
func (c Class) String() string { return classNames[c] }

// Classes returns all classes.
func Classes() []Class {
	return []Class{RequestBodies, Histories, Responses, CachedTurns, Connections, Heads}
}

// Priority tells how much of the limit a reservation may use.
type Priority int

// The priorities, each of which may use more memory than the one before.
const (
	// Large requests leave a reserve for the others.
	Large Priority = iota
	// Small requests leave a reserve for requests that run.
	Small
	// Running requests may use the whole limit, because a server has or may have run them.
	Running
)

// ceilings are the shares of the limit that reservations of each priority may fill.
var ceilings = [...]float64{Large: 0.75, Small: 0.9, Running: 1}

// Limits are the limits of a Budget, in bytes.
type Limits struct {
	// Total bounds all classes together.
	Total int64
	// ByClass bounds single classes; a class without an entry has no limit of its own. The limit of a class does not
	// apply to small requests, so that a few large ones can't exclude them.
	ByClass map[Class]int64
	// SmallBytes is the most memory of a small request.
	SmallBytes int64
}

// ExceededError means that a reservation did not fit.
type ExceededError struct {
	Class     Class
	Requested int64
	// Held is the memory held, in the class if the limit of the class was exceeded and else in total. Limit is the limit
	// that the reservation would have exceeded.
	Held, Limit int64
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("memory limit reached: %d bytes requested for %s, %d of %d bytes held", e.Requested, e.Class, e.Held, e.Limit)
}

// Budget accounts for memory. Use New.
type Budget struct {
	limits Limits

	mu    sync.Mutex
	held  [classCount]int64
	total int64
	peak  int64
}

// New returns a budget of which nothing is held.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// Limit returns the limit of all classes together.
func (b *Budget) Limit() int64 { return b.limits.Total }

// Held returns the memory held in a class.
func (b *Budget) Held(c Class) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held[c]
}

// Total returns the memory held in all classes.
func (b *Budget) Total() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total
}

// Peak returns the most memory that was ever held.
func (b *Budget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Reserve reserves n bytes, or returns an *ExceededError and reserves nothing.
func (b *Budget) Reserve(c Class, n int64, p Priority) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if limit, limited := b.limits.ByClass[c]; limited && p != Small && b.held[c]+n > limit {
		return &ExceededError{Class: c, Requested: n, Held: b.held[c], Limit: limit}
	}
	if ceiling := int64(ceilings[p] * float64(b.limits.Total)); b.total+n > ceiling {
		return &ExceededError{Class: c, Requested: n, Held: b.total, Limit: ceiling}
	}
	b.add(c, n)
	return nil
}

// Charge accounts for n bytes that are held whether they fit or not; a negative n accounts for their release. What
// exceeds the limit makes later reservations fail.
func (b *Budget) Charge(c Class, n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(c, n)
}

// Release releases n bytes.
func (b *Budget) Release(c Class, n int64) { b.Charge(c, -n) }

// add changes the memory held. It is called with the lock held.
func (b *Budget) add(c Class, n int64) {
	b.held[c] += n
	b.total += n
	b.peak = max(b.peak, b.total)
}

// Holding is the memory of one request. Its methods may be called concurrently.
type Holding struct {
	budget *Budget

	mu      sync.Mutex
	held    [classCount]int64
	total   int64
	running bool
}

// NewHolding returns the holding of a request that holds nothing yet.
func (b *Budget) NewHolding() *Holding { return &Holding{budget: b} }

// SetRunning tells that the request is sent to a server: from now on its reservations may use the whole limit.
func (h *Holding) SetRunning() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running = true
}

// Reserve reserves n more bytes for the request, or returns an *ExceededError and reserves nothing.
func (h *Holding) Reserve(c Class, n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := Large
	switch {
	case h.running:
		p = Running
	case h.total+n <= h.budget.limits.SmallBytes:
		p = Small
	}
	if err := h.budget.Reserve(c, n, p); err != nil {
		return err
	}
	h.held[c] += n
	h.total += n
	return nil
}

// Release releases n bytes, at most those that are held in the class.
func (h *Holding) Release(c Class, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n = min(n, h.held[c])
	h.held[c] -= n
	h.total -= n
	h.budget.Release(c, n)
}

// Disown makes the caller responsible for releasing n bytes, at most those that are held in the class.
func (h *Holding) Disown(c Class, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	n = min(n, h.held[c])
	h.held[c] -= n
	h.total -= n
}

// Close releases all that is held.
func (h *Holding) Close() {
	for _, c := range Classes() {
		h.Release(c, h.Held(c))
	}
}

// Held returns the memory held in a class.
func (h *Holding) Held(c Class) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.held[c]
}
