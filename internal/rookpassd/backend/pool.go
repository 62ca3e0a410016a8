package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/policy"
)

// Bounds on waiting for a backend server.
const (
	maxQueuedPerOrganisation = 256
	maxQueued                = 4096
)

// server is one backend server. Its places are shared by all models or services that it serves.
type server struct {
	name   string
	health *health
	// Exactly one of the clients is set, by the server's kind.
	engine  *Engine
	service *Service
	// The following are guarded by the lock that all pools share.
	capacity int
	inFlight int
	draining bool
	remote   bool
	pools    []*pool
}

// pool hands out the places of the servers that serve one model or service. While all are taken, calls
// wait in a fair order.
type pool struct {
	// mu is shared by all pools of a runner.
	mu      *sync.Mutex
	servers []*server
	queue   policy.Queue
	costs   policy.Costs
}

// ask is a call that wants a place.
type ask struct {
	organisation string
	weight       int32
	priority     int32
	attained     int64
	promptTokens int64
	costTokens   int64
	holds        []string
	avoid        []string
	granted      chan *server
}

// acquire returns a server with a place for the call. release must be called once with the outcome.
func (p *pool) acquire(ctx context.Context, a *ask) (*server, error) {
	a.granted = make(chan *server, 1)
	waiting, err := p.enter(a)
	if err != nil || waiting == nil {
		return p.granted(a), err
	}
	select {
	case s := <-a.granted:
		return s, nil
	case <-ctx.Done():
		p.leave(a, waiting)
		return nil, verdict.RetryLater(verdict.Timeout, busyRetry, "no backend server came free in time")
	}
}

func (p *pool) granted(a *ask) *server {
	select {
	case s := <-a.granted:
		return s
	default:
		return nil
	}
}

// enter grants a place at once or queues the call. A refusal is immediate.
func (p *pool) enter(a *ask) (*policy.QueuedCall, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usable(a) {
		return nil, verdict.RetryLater(verdict.Unavailable, firstEjection, "no backend server takes work for this target")
	}
	if p.queue.Len() >= maxQueued || p.queue.LenOf(a.organisation) >= maxQueuedPerOrganisation {
		return nil, verdict.RetryLater(verdict.Overloaded, busyRetry, "too many calls wait")
	}
	waiting := &policy.QueuedCall{
		Organisation: a.organisation, Weight: a.weight, Priority: a.priority,
		Attained: a.attained, Cost: a.costTokens, Value: a,
	}
	p.queue.Push(waiting)
	p.dispatch()
	if len(a.granted) > 0 {
		return nil, nil
	}
	return waiting, nil
}

// usable tells whether any server could take the call, now or later.
func (p *pool) usable(a *ask) bool {
	now := time.Now()
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.draining && !s.health.ejected(now) && !slices.Contains(a.avoid, s.name)
	})
}

// dispatch gives free places to the calls at the head of the queue.
func (p *pool) dispatch() {
	now := time.Now()
	for p.queue.Len() > 0 && (len(p.servers) == 0 || p.free(now)) {
		a := p.queue.Pop().Value.(*ask)
		if i := policy.ChooseEngine(p.engines(a, now), a.promptTokens, p.costs); i >= 0 {
			p.servers[i].inFlight++
			a.granted <- p.servers[i]
			continue
		}
		// There is no server left, or only such as the call avoids: it is refused at once.
		a.granted <- nil
	}
}

func (p *pool) free(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.draining && s.inFlight < s.capacity && !s.health.ejected(now)
	})
}

func (p *pool) engines(a *ask, now time.Time) []policy.Engine {
	engines := make([]policy.Engine, len(p.servers))
	for i, s := range p.servers {
		engines[i] = policy.Engine{
			Name:     s.name,
			InFlight: s.inFlight,
			Capacity: s.capacity,
			Excluded: s.draining || s.health.ejected(now) || slices.Contains(a.avoid, s.name),
			Remote:   s.remote,
		}
		if slices.Contains(a.holds, s.name) {
			engines[i].CachedTokens = a.promptTokens
		}
	}
	return engines
}

// leave takes a call out of the queue whose caller stopped waiting. A place granted meanwhile goes back.
func (p *pool) leave(a *ask, waiting *policy.QueuedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Remove(waiting)
	if s := p.granted(a); s != nil {
		s.free()
	}
}

// release gives a place back and reports how the call went.
func (p *pool) release(s *server, ok bool) {
	if ejection := s.health.report(time.Now(), ok); ejection > 0 {
		time.AfterFunc(ejection, func() { p.recheck(s) })
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.free()
}

// free gives a place back and offers it to all that wait for the server.
func (s *server) free() {
	s.inFlight--
	for _, p := range s.pools {
		p.dispatch()
	}
}

// recheck serves waiting calls when a server's ejection is over.
func (p *pool) recheck(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range s.pools {
		other.dispatch()
	}
}
