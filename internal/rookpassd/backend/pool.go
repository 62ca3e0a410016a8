package backend

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/policy"
)

// Limits on queued calls.
const (
	maxQueuedPerOrganisation = 256
	maxQueued                = 4096
)

// server is one backend server. Its slots are shared by all models or services that it serves.
type server struct {
	name   string
	health *health
	// Exactly one of the clients is set, depending on the server's kind.
	engine  *Engine
	service *Service
	// The following are guarded by the lock that all pools share.
	capacity int
	inFlight int
	draining bool
	remote   bool
	pools    []*pool
}

// pool assigns slots of the servers that serve one model or service. While all slots are taken, calls wait in a
// fair queue.
type pool struct {
	// mu is shared by all pools of a runner.
	mu      *sync.Mutex
	servers []*server
	queue   policy.Queue
	costs   policy.Costs
}

// slotRequest is a call that needs a slot.
type slotRequest struct {
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

// acquire waits for a slot and returns its server, or nil if no server is left that may run the call. release must
// be called once with the outcome.
func (p *pool) acquire(ctx context.Context, a *slotRequest) (*server, error) {
	a.granted = make(chan *server, 1)
	waiting, err := p.enqueue(a)
	if err != nil || waiting == nil {
		return p.granted(a), err
	}
	select {
	case s := <-a.granted:
		return s, nil
	case <-ctx.Done():
		p.withdraw(a, waiting)
		return nil, verdict.RetryLater(verdict.Timeout, busyRetry, "no backend server became free in time")
	}
}

func (p *pool) granted(a *slotRequest) *server {
	select {
	case s := <-a.granted:
		return s
	default:
		return nil
	}
}

// enqueue grants a slot at once, in which case it returns nil, or queues the call.
func (p *pool) enqueue(a *slotRequest) (*policy.QueuedCall, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.usable(a) {
		return nil, verdict.RetryLater(verdict.Unavailable, firstEjection, "no backend server is available for this target")
	}
	if p.queue.Len() >= maxQueued || p.queue.LenOf(a.organisation) >= maxQueuedPerOrganisation {
		return nil, verdict.RetryLater(verdict.Overloaded, busyRetry, "too many queued calls")
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

// usable reports whether any server could run the call, now or after it becomes free.
func (p *pool) usable(a *slotRequest) bool {
	now := time.Now()
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.draining && !s.health.ejected(now) && !slices.Contains(a.avoid, s.name)
	})
}

// dispatch assigns free slots to the calls at the head of the queue.
func (p *pool) dispatch() {
	now := time.Now()
	for p.queue.Len() > 0 && (len(p.servers) == 0 || p.free(now)) {
		a := p.queue.Pop().Value.(*slotRequest)
		if i := policy.ChooseEngine(p.engines(a, now), a.promptTokens, p.costs); i >= 0 {
			p.servers[i].inFlight++
			a.granted <- p.servers[i]
			continue
		}
		// No server is left that the call does not exclude: the call is refused.
		a.granted <- nil
	}
}

func (p *pool) free(now time.Time) bool {
	return slices.ContainsFunc(p.servers, func(s *server) bool {
		return !s.draining && s.inFlight < s.capacity && !s.health.ejected(now)
	})
}

func (p *pool) engines(a *slotRequest, now time.Time) []policy.Engine {
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

// withdraw removes a call from the queue after its caller stopped waiting and frees a slot granted meanwhile.
func (p *pool) withdraw(a *slotRequest, waiting *policy.QueuedCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.Remove(waiting)
	if s := p.granted(a); s != nil {
		s.free()
	}
}

// release frees a slot and reports the outcome of the call to the server's health.
func (p *pool) release(s *server, ok bool) {
	if ejection := s.health.report(time.Now(), ok); ejection > 0 {
		time.AfterFunc(ejection, func() { p.recheck(s) })
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.free()
}

// free frees a slot and dispatches the queues of all pools of the server.
func (s *server) free() {
	s.inFlight--
	for _, p := range s.pools {
		p.dispatch()
	}
}

// recheck dispatches queued calls after a server's ejection has ended.
func (p *pool) recheck(s *server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, other := range s.pools {
		other.dispatch()
	}
}
