// Package dispatch holds turns back while the model servers of a service are full, and decides which goes next.
//
// A server takes calls in the order in which they come. So what waits has to wait here: turns of programs that have
// begun and can still end in time go before those of programs that can't, and those before new programs. A new
// program that could not begin in time is refused at once.
package dispatch

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// ErrNoSlot means that a call would not have had its turn in time.
var ErrNoSlot = errs.New("no place at a server in time")

const (
	// rateMemory is the time over which rates of calls are taken.
	rateMemory = time.Second
	// calmTime is how long nothing must have waited before programs tell what they need.
	calmTime = 2 * time.Second
	// longestReturn bounds how long a refused caller is told to stay away: programs of a second or two can still end
	// in time then.
	longestReturn = 400 * time.Millisecond
)

// Call is a turn that wants to go to a server of a service.
type Call struct {
	Service string
	// Route names turns of one kind.
	Route string
	// Slots are the calls that the service's servers run at once, together.
	Slots int
	// Priority is 0 to 9; higher goes first.
	Priority int32
	// ProgramStarted is set where turns of the same program were served before.
	ProgramStarted bool
	// TimeBudget is the time that the whole program was given; 0 where that was not said.
	TimeBudget time.Duration
	// Deadline is when the program should be over; zero where that was not said.
	Deadline time.Time
	// UnloadedDuration is how long the turn takes on an idle server.
	UnloadedDuration time.Duration
	// FirstEventBy is when the caller stops waiting for the first event.
	FirstEventBy time.Time
}

// Scheduler lets calls go. Use New.
type Scheduler struct {
	mu    sync.Mutex
	lines map[string]*line
	// others are the calls that other daemons have under way or waiting, by service.
	others map[string]int
	shares map[string]*policy.TimeBudgetShare
}

// line is one service's. It is guarded by Gate.mu.
type line struct {
	queue   policy.Queue
	running int
	slots   int
	// waited is when a call last had to wait.
	waited time.Time
	// all are the calls that were let go, fresh those of new programs.
	all, fresh rate
}

// waiter is a call in the queue.
type waiter struct {
	call    *Call
	granted chan struct{}
	queued  *policy.QueuedCall
}

// New returns a gate that knows of no other daemon.
func New() *Scheduler {
	return &Scheduler{lines: map[string]*line{}, others: map[string]int{}, shares: map[string]*policy.TimeBudgetShare{}}
}

// Demand returns the calls under way and waiting, by service.
func (g *Scheduler) Demand() map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	demand := map[string]int{}
	for service, l := range g.lines {
		if n := l.demand(); n > 0 {
			demand[service] = n
		}
	}
	return demand
}

// SetPeerDemand tells what other daemons have under way and waiting, by service; nil where that is not known.
func (g *Scheduler) SetPeerDemand(demand map[string]int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.others = demand
	for service, l := range g.lines {
		g.grant(service, l)
	}
}

// Waiting returns how many calls wait, Running how many are under way.
func (g *Scheduler) Waiting() int { return g.count(func(l *line) int { return l.queue.Len() }) }

// Running returns how many calls are under way.
func (g *Scheduler) Running() int { return g.count(func(l *line) int { return l.running }) }

func (g *Scheduler) count(of func(*line) int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, l := range g.lines {
		n += of(l)
	}
	return n
}

// Acquire returns once the call may go to a server; Leave must be called when it has ended. ErrNoPlace comes at once
// where the call can't have its turn in time, or when its time has passed.
func (g *Scheduler) Acquire(ctx context.Context, c *Call) error {
	w, err := g.join(c)
	if err != nil || w.isGranted() {
		return err
	}
	late, stopLate := timerAt(g.lateAt(c))
	defer stopLate()
	until, stopUntil := timerAt(c.FirstEventBy.Add(-c.UnloadedDuration))
	defer stopUntil()
	for {
		select {
		case <-w.granted:
			return nil
		case <-late:
			if g.fellBehind(w) {
				continue
			}
		case <-until:
		case <-ctx.Done():
		}
		if g.withdraw(w) {
			return ErrNoSlot
		}
		return nil
	}
}

// timerAt returns a channel that gets a value at a time; never for the zero time.
func timerAt(at time.Time) (fires <-chan time.Time, stop func() bool) {
	if at.IsZero() {
		return nil, func() bool { return true }
	}
	t := time.NewTimer(time.Until(at))
	return t.C, t.Stop
}

// join lets a call go, queues it, or refuses it.
func (g *Scheduler) join(c *Call) (*waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	l := g.line(c.Service)
	l.slots = c.Slots
	w := &waiter{call: c, granted: make(chan struct{})}
	g.push(l, w, now)
	g.grant(c.Service, l)
	if w.isGranted() {
		return w, nil
	}
	l.waited = now
	if !g.inTime(l, w, now) {
		l.queue.Remove(w.queued)
		return nil, ErrNoSlot
	}
	return w, nil
}

// inTime tells whether a waiting call can expect its turn before it is of no use.
func (g *Scheduler) inTime(l *line, w *waiter, now time.Time) bool {
	left, rate := w.call.FirstEventBy.Add(-w.call.UnloadedDuration).Sub(now), l.all.read(now)
	if w.queued.Class == policy.NewOnTime {
		rate = l.fresh.read(now)
		if late := g.lateAtLocked(w.call); !late.IsZero() {
			left = min(left, late.Sub(now))
		}
	}
	return policy.InTime(l.queue.Ahead(w.queued), rate, left)
}

// lateAt returns from when on the call's program can't end in time; zero where that is not known.
func (g *Scheduler) lateAt(c *Call) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lateAtLocked(c)
}

func (g *Scheduler) lateAtLocked(c *Call) time.Time {
	if c.Deadline.IsZero() {
		return time.Time{}
	}
	need := c.UnloadedDuration
	if !c.ProgramStarted {
		need = max(need, g.share(c.Route).Need(c.TimeBudget))
	}
	return c.Deadline.Add(-need)
}

// push queues a call by how its program stands.
func (g *Scheduler) push(l *line, w *waiter, now time.Time) {
	late := g.lateAtLocked(w.call)
	w.queued = &policy.QueuedCall{Cost: 1, Weight: 1, Priority: w.call.Priority, Value: w, LatestStart: late,
		Class: policy.ClassOf(w.call.ProgramStarted, !late.IsZero() && !now.Before(late))}
	l.queue.Push(w.queued)
}

// grant lets as many calls go as this daemon's share of the slots allows.
func (g *Scheduler) grant(service string, l *line) {
	for l.queue.Len() > 0 && l.running < policy.SlotShare(l.slots, l.demand(), g.others[service]) {
		next := l.queue.Pop()
		now := time.Now()
		l.running++
		l.all.add(now)
		if next.Class == policy.NewOnTime {
			l.fresh.add(now)
		}
		close(next.Value.(*waiter).granted)
	}
}

// fellBehind puts a call whose program can't end in time any more behind those that can. It returns false for a
// call of a new program, which is given up: it would be late whatever comes.
func (g *Scheduler) fellBehind(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.isGranted() {
		return true
	}
	if !w.call.ProgramStarted {
		return false
	}
	l := g.line(w.call.Service)
	l.queue.Remove(w.queued)
	g.push(l, w, time.Now())
	g.grant(w.call.Service, l)
	return true
}

// withdraw takes a call out of the queue; false where it has been let go meanwhile.
func (g *Scheduler) withdraw(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.isGranted() {
		return false
	}
	l := g.line(w.call.Service)
	l.queue.Remove(w.queued)
	g.grant(w.call.Service, l)
	return true
}

// Release tells that a call which was let go has ended.
func (g *Scheduler) Release(c *Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(c.Service)
	l.running--
	g.grant(c.Service, l)
}

// ObserveCompletion tells that a call was answered whole. While nothing waits, programs show what share of their time they
// need.
func (g *Scheduler) ObserveCompletion(c *Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if c.TimeBudget == 0 || c.Deadline.IsZero() || now.Sub(g.line(c.Service).waited) < calmTime {
		return
	}
	g.share(c.Route).Observe(1 - c.Deadline.Sub(now).Seconds()/c.TimeBudget.Seconds())
}

// RetryAfter returns after how long a refused call may find a place: when the next of its kind should be let go.
func (g *Scheduler) RetryAfter(c *Call) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.line(c.Service)
	r := &l.all
	if !c.ProgramStarted {
		r = &l.fresh
	}
	return policy.QueueDelay(1, r.read(time.Now()), longestReturn)
}

func (g *Scheduler) line(service string) *line {
	l := g.lines[service]
	if l == nil {
		l = &line{}
		g.lines[service] = l
	}
	return l
}

func (g *Scheduler) share(route string) *policy.TimeBudgetShare {
	s := g.shares[route]
	if s == nil {
		s = &policy.TimeBudgetShare{}
		g.shares[route] = s
	}
	return s
}

func (l *line) demand() int { return l.running + l.queue.Len() }

func (w *waiter) isGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// rate counts events a second, with a memory that fades over rateMemory.
type rate struct {
	events float64
	at     time.Time
}

func (r *rate) add(now time.Time) {
	r.events = r.read(now)*rateMemory.Seconds() + 1
	r.at = now
}

func (r *rate) read(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}
	return r.events * math.Exp(-now.Sub(r.at).Seconds()/rateMemory.Seconds()) / rateMemory.Seconds()
}
