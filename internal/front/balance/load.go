package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// othersWeight is the weight of the newest report in what others have on a server: at a report each 300 ms the
// memory is of a second.
const othersWeight = 0.3

// loadUnit is the unit in which daemons tell one another of calls in the mean.
const loadUnit = 0.1

// count changes the calls in flight.
func (s *state) count(now time.Time, by int) {
	s.area += float64(s.inFlight) * now.Sub(s.changed).Seconds()
	s.changed = now
	s.inFlight += by
}

// holdsPrompts tells whether turns went to the server.
func (s *state) holdsPrompts() bool { return s.parts.order.Len() > 0 }

// Loads returns the turns of this daemon at model servers in the mean since the last call, in tenths.
func (b *Balancer) Loads() map[incarnation.ID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	span := now.Sub(b.reportedAt).Seconds()
	b.reportedAt = now
	loads := map[incarnation.ID]int{}
	for id, s := range b.states {
		s.count(now, 0)
		if tenths := int(s.area/span/loadUnit + 0.5); tenths > 0 && s.holdsPrompts() {
			loads[id] = tenths
		}
		s.area = 0
	}
	return loads
}

// SetPeerLoads tells the turns of other daemons at model servers, in tenths.
func (b *Balancer) SetPeerLoads(loads map[incarnation.ID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum, servers := 0.0, 0
	for id, s := range b.states {
		s.others += othersWeight * (loadUnit*float64(loads[id]) - s.others)
		if s.holdsPrompts() {
			sum += s.others
			servers++
		}
	}
	b.othersMean = sum / float64(max(1, servers))
}

// UnloadedDuration returns how long a turn with so many tokens out takes on an idle server that holds as much of its prompt as
// any does.
func (b *Balancer) UnloadedDuration(ask *Request, generated int64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(ask.Servers) == 0 {
		return 0
	}
	_, cached := b.mostCached(ask)
	o := policy.Observation{Uncached: max(0, ask.PromptTokens-cached), Generated: generated}
	return time.Duration(b.model(ask.Servers[0].Service).Expected(o) * float64(time.Second))
}

// mostCached returns the server that is known to hold most of a prompt, and how many tokens it holds.
func (b *Balancer) mostCached(ask *Request) (holder incarnation.ID, tokens int64) {
	for id, s := range b.states {
		if cached := s.parts.cached(ask.Parts); cached > tokens {
			holder, tokens = id, cached
		}
	}
	return holder, tokens
}

// holder returns the server that is known to hold most of a turn's prompt, or nil where none does or all servers are
// weighed anyway.
func (b *Balancer) holder(ask *Request) *catalog.Server {
	if ask.PromptTokens == 0 || ask.Lookup == nil || ask.width >= len(ask.Servers) {
		return nil
	}
	id, tokens := b.mostCached(ask)
	if tokens == 0 {
		return nil
	}
	return ask.Lookup(id)
}
