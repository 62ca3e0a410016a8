// Package dispatch queues turns while the model servers of a service are full, and decides which goes next.
//
// Servers process calls in order of arrival, so calls wait here instead. Urgent priority levels go first. Within one,
// organisations share by work, and of their programs started ones that can meet their deadline go first. A call that
// could not start in time is refused at once.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/share"
)

// ErrNoSlot means that no slot becomes free for a call in time.
var ErrNoSlot = errs.New("no model server slot in time")

const (
	// quietTime is how long no call must have waited before completed calls count for the time budget shares.
	quietTime = 2 * time.Second
	// maxRetryAfter bounds the retry delay of a refused caller: programs of a second or two can still meet their
	// deadline then.
	maxRetryAfter = 400 * time.Millisecond
)

// Call is a turn to be sent to a server of a service.
type Call struct {
	Service string
	// Route names turns of one kind.
	Route string
	// Slots is how many calls the service's servers process at once, in total.
	Slots int
	// Level is the priority level; 0 goes first.
	Level int
	// Organisation shares the slots of a level equally with the others that wait; empty if callers have none.
	Organisation string
	// Competing is set if the configuration has several priority levels or organisations. New programs then wait while
	// started ones fill the slots.
	Competing bool
	// Tokens is the expected work, by which organisations share: the tokens to generate, weighted by their cost.
	Tokens int64
	// ProgramStarted is set if turns of the same program were served before.
	ProgramStarted bool
	// TimeBudget is the time that the whole program was given; 0 if unspecified.
	TimeBudget time.Duration
	// Deadline is when the program should be over; zero if unspecified.
	Deadline time.Time
	// UnloadedDuration is how long the turn takes on an idle server.
	UnloadedDuration time.Duration
	// FirstEventBy is when the caller stops waiting for the first event.
	FirstEventBy time.Time
}

// Scheduler decides when calls may be sent to servers. Use New.
type Scheduler struct {
	mu           sync.Mutex
	queues       map[string]*serviceQueue
	budgetShares map[string]*policy.TimeBudgetShare
}

// waiter is a call in the queue.
type waiter struct {
	call    *Call
	granted chan struct{}
	queued  *policy.QueuedCall
}

// New returns a scheduler that knows of no other daemon.
func New() *Scheduler {
	return &Scheduler{queues: map[string]*serviceQueue{}, budgetShares: map[string]*policy.TimeBudgetShare{}}
}

// Demand is how many calls a daemon has, by priority level.
type Demand struct {
	// All are under way or waiting. Started are those of them that are under way or belong to a started program.
	All, Started share.Demand
}

// Demand returns how many calls are under way or waiting, by service.
func (s *Scheduler) Demand() map[string]Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	demand := map[string]Demand{}
	for service, q := range s.queues {
		if d := q.demand(); d.All.Total() > 0 {
			demand[service] = d
		}
	}
	return demand
}

// SetPeerDemand sets how many calls other daemons have under way or waiting, by service; nil if that is not known.
func (s *Scheduler) SetPeerDemand(demand map[string]Demand) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range demand {
		s.queueOf(service)
	}
	for service, q := range s.queues {
		q.peers = demand[service]
		q.grant()
	}
}

// Waiting returns how many calls wait.
func (s *Scheduler) Waiting() int { return s.count(func(q *serviceQueue) int { return q.queue.Len() }) }

// Running returns how many calls are under way.
func (s *Scheduler) Running() int {
	return s.count(func(q *serviceQueue) int { return q.running.Total() })
}

func (s *Scheduler) count(of func(*serviceQueue) int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, q := range s.queues {
		n += of(q)
	}
	return n
}

// Acquire returns nil once the call may be sent to a server; Release must be called when it has ended. It returns
// ErrNoSlot at once if the call can't start in time, or later if its time has run out or ctx has ended.
func (s *Scheduler) Acquire(ctx context.Context, c *Call) error {
	w, err := s.enqueue(c)
	if err != nil || w.isGranted() {
		return err
	}
	late, stopLate := timerAt(s.latestStart(c))
	defer stopLate()
	until, stopUntil := timerAt(c.FirstEventBy.Add(-c.UnloadedDuration))
	defer stopUntil()
	for {
		select {
		case <-w.granted:
			return nil
		case <-late:
			if s.downgrade(w) {
				continue
			}
		case <-until:
		case <-ctx.Done():
		}
		if s.withdraw(w) {
			return ErrNoSlot
		}
		return nil
	}
}

// timerAt returns a channel that receives a value at the given time; never for the zero time.
func timerAt(at time.Time) (fires <-chan time.Time, stop func() bool) {
	if at.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// enqueue admits a call, queues it, or refuses it.
func (s *Scheduler) enqueue(c *Call) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	q := s.queueOf(c.Service)
	q.slots = c.Slots
	w := &waiter{call: c, granted: make(chan struct{})}
	if c.ProgramStarted {
		q.addStarted(c, 1)
	}
	s.push(q, w, now)
	q.grant()
	if w.isGranted() {
		return w, nil
	}
	q.lastWait = now
	if !s.canStartInTime(q, w, now) {
		q.remove(w)
		return nil, ErrNoSlot
	}
	return w, nil
}

// canStartInTime reports whether a queued call can expect to start while it is of use to its caller.
func (s *Scheduler) canStartInTime(q *serviceQueue, w *waiter, now time.Time) bool {
	left, rate := w.call.FirstEventBy.Add(-w.call.UnloadedDuration).Sub(now), q.rateFor(w.call, now)
	if w.queued.Class == policy.NewOnTime {
		if late := s.latestStartLocked(w.call); !late.IsZero() {
			left = min(left, late.Sub(now))
		}
	}
	return policy.InTime(q.queue.Ahead(w.call.Level, w.queued), rate, left)
}

// latestStart returns the last time at which the call's program can still meet its deadline; zero if that is not
// known.
func (s *Scheduler) latestStart(c *Call) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latestStartLocked(c)
}

func (s *Scheduler) latestStartLocked(c *Call) time.Time {
	if c.Deadline.IsZero() {
		return time.Time{}
	}
	need := c.UnloadedDuration
	if !c.ProgramStarted {
		need = max(need, s.budgetShare(c.Route).Need(c.TimeBudget))
	}
	return c.Deadline.Add(-need)
}

// push queues a call in the class of its program.
func (s *Scheduler) push(q *serviceQueue, w *waiter, now time.Time) {
	late := s.latestStartLocked(w.call)
	w.queued = &policy.QueuedCall{Organisation: w.call.Organisation, Cost: max(1, w.call.Tokens), Weight: 1, Value: w, LatestStart: late,
		Class: policy.ClassOf(w.call.ProgramStarted, !late.IsZero() && !now.Before(late))}
	q.queue.Push(w.call.Level, w.queued)
}

// downgrade queues a call again whose program can no longer meet its deadline, behind those that can. It returns
// false for a call of a new program, which is to be refused since it would be late in any case.
func (s *Scheduler) downgrade(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.isGranted() {
		return true
	}
	if !w.call.ProgramStarted {
		return false
	}
	q := s.queueOf(w.call.Service)
	q.queue.Remove(w.call.Level, w.queued)
	s.push(q, w, time.Now())
	q.grant()
	return true
}

// withdraw removes a call from the queue. It returns false if the call has been admitted meanwhile.
func (s *Scheduler) withdraw(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.isGranted() {
		return false
	}
	q := s.queueOf(w.call.Service)
	q.remove(w)
	q.grant()
	return true
}

// Release records that an admitted call has ended.
func (s *Scheduler) Release(c *Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueOf(c.Service).ended(c)
}

// ObserveCompletion records that a call was answered completely. Where no call had to wait recently, it tells what
// share of their time budget programs need.
func (s *Scheduler) ObserveCompletion(c *Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if c.TimeBudget == 0 || c.Deadline.IsZero() || now.Sub(s.queueOf(c.Service).lastWait) < quietTime {
		return
	}
	s.budgetShare(c.Route).Observe(1 - c.Deadline.Sub(now).Seconds()/c.TimeBudget.Seconds())
}

// RetryAfter returns how long a refused caller should wait: until the next call of its kind is expected to be
// admitted.
func (s *Scheduler) RetryAfter(c *Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return policy.QueueDelay(1, s.queueOf(c.Service).rateFor(c, time.Now()), maxRetryAfter)
}

func (s *Scheduler) queueOf(service string) *serviceQueue {
	q := s.queues[service]
	if q == nil {
		q = newServiceQueue()
		s.queues[service] = q
	}
	return q
}

func (g *Scheduler) budgetShare(route string) *policy.TimeBudgetShare {
	share := g.budgetShares[route]
	if share == nil {
		share = &policy.TimeBudgetShare{}
		g.budgetShares[route] = share
	}
	return share
}

func (w *waiter) isGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}
