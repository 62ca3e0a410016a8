package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// loadUnit is the unit in which daemons report their number of calls.
const loadUnit = 0.1

// hasPrompts reports whether the server has cached prompt parts, which only model servers do.
func (s *serverState) hasPrompts() bool { return s.parts.order.Len() > 0 }

// Loads returns the number of turns of this daemon on model servers now, in tenths. Turns last about as long as loads take
// to reach the others: a mean over the time since the last report would tell of turns that have ended.
func (b *Balancer) Loads() map[incarnation.ID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := map[incarnation.ID]int{}
	for id, s := range b.states {
		if s.inFlight > 0 && s.hasPrompts() {
			loads[id] = int(float64(s.inFlight) / loadUnit)
		}
	}
	return loads
}

// SetPeerLoads sets the number of turns of other daemons on model servers, in tenths.
func (b *Balancer) SetPeerLoads(loads map[incarnation.ID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.speeds.peerLoadsAt = time.Now()
	sum, servers := 0.0, 0
	for id, s := range b.states {
		s.peerCalls = loadUnit * float64(loads[id])
		if s.hasPrompts() {
			sum += s.peerCalls
			servers++
		}
	}
	b.meanPeerCalls = sum / float64(max(1, servers))
}

// UnloadedDuration returns how long a turn that generates the given number of tokens takes on an idle server that has
// cached as much of its prompt as any server has.
func (b *Balancer) UnloadedDuration(req *Request, generated int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(req.Servers) == 0 {
		return 0
	}
	_, cached := b.bestCached(req)
	o := policy.Observation{Uncached: max(0, req.PromptTokens-cached), Generated: generated}
	return time.Duration(b.model(req.Servers[0].Service).Expected(o) * float64(time.Second))
}

// bestCached returns the server that has cached most of a prompt, and how many tokens it has.
func (b *Balancer) bestCached(req *Request) (holder incarnation.ID, tokens int64) {
	for id, s := range b.states {
		if cached := s.parts.cachedTokens(req.Parts); cached > tokens {
			holder, tokens = id, cached
		}
	}
	return holder, tokens
}

// cacheHolder returns the server that has cached most of a turn's prompt; nil where none has cached any, or all
// servers are considered anyway.
func (b *Balancer) cacheHolder(req *Request) *catalog.Server {
	if req.PromptTokens == 0 || req.Lookup == nil || req.subsetSize >= len(req.Servers) {
		return nil
	}
	id, tokens := b.bestCached(req)
	if tokens == 0 {
		return nil
	}
	return req.Lookup(id)
}
