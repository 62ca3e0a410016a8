package balance

import (
	"math"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/speed"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

const (
	// peerLoadExpiry is how long the loads of other daemons count for the bound on the busiest server: three report
	// intervals with 400 daemons.
	peerLoadExpiry = 2700 * time.Millisecond
	// generatedWeight is the weight of the newest turn in the mean number of generated tokens.
	generatedWeight = 0.02
	// minExpectedShare bounds the reduction of a turn's expected duration at a server that others use less than most.
	minExpectedShare = 0.5
)

// speedState is what is known of the speeds of all servers together. It is guarded by Balancer.mu. The zero value is
// ready for use.
type speedState struct {
	// baselines are by service.
	baselines map[string]*speed.Baseline
	// generated is the moving average of the number of tokens that a turn generates, by service.
	generated map[string]float64
	// reported are the servers whose speed other daemons report.
	reported map[incarnation.ID]exchange.SpeedReports
	// peerLoadsAt is when the loads of other daemons were last reported.
	peerLoadsAt time.Time
}

// baseline returns what is usual for the servers of a service.
func (b *Balancer) baseline(service string) *speed.Baseline {
	base := b.speeds.baselines[service]
	if base == nil {
		if b.speeds.baselines == nil {
			b.speeds.baselines, b.speeds.generated = map[string]*speed.Baseline{}, map[string]float64{}
		}
		base = speed.NewBaseline()
		b.speeds.baselines[service] = base
	}
	return base
}

// speedOf returns the speed of a server.
func (b *Balancer) speedOf(s *serverState, now time.Time) float64 {
	return s.speed.Speed(now, b.baseline(s.service))
}

// requestSent records a request and when its response is expected.
func (b *Balancer) requestSent(req *Request, c *Choice) {
	s := c.state
	s.service, s.slots = c.Server.Service, c.Server.Slots
	expected := b.latencies[req.Route]
	if req.PromptTokens > 0 {
		c.loadAtStart = s.load()
		// Callers' estimates are often far off; too low a one would make a long turn look overdue.
		if generated := max(req.LikelyTokens, int64(b.speeds.generated[s.service])); generated > 0 {
			expected = c.expectedTurn(generated)
		}
	}
	s.speed.Sent(c.sentAt, expected)
}

// expectedTurn returns the expected duration of a turn in seconds, given how many tokens it generates and the present
// load of its server. A server that is slow because it is busy is not to count as slow: load and slowness would be
// counted twice, and servers that are busy together would all be avoided.
func (c *Choice) expectedTurn(generated int64) float64 {
	o, model := c.observed, c.balancer.model(c.Server.Service)
	o.Generated = generated
	expected := model.Expected(o)
	expected = max(minExpectedShare*expected, expected+model.Costs().SlowdownPerCall*(c.state.peerCalls-c.balancer.meanPeerCalls))
	return expected * max(1, max(c.loadAtStart, c.state.load())/float64(max(1, c.Server.Slots)))
}

// observeSpeed compares a response's duration with the cost model of its service, or for plain requests with the mean
// of its route. It is called with the lock held.
func (c *Choice) observeSpeed(now time.Time) {
	b, seconds := c.balancer, now.Sub(c.sentAt).Seconds()
	expected, base := b.latencies[c.route], b.baseline(c.state.service)
	if c.Generated > 0 {
		expected = c.expectedTurn(c.Generated)
		updateMean(b.speeds.generated, c.state.service, float64(c.Generated), generatedWeight)
	}
	c.state.speed.Observe(now, seconds, expected, base)
	updateMean(b.latencies, c.route, seconds, latencyWeight)
}

// observeHedgeLost records that a response took longer than the time since the request. Below the expected time that
// says nothing of the server. It is called with the lock held.
func (c *Choice) observeHedgeLost(now time.Time) {
	b, seconds := c.balancer, now.Sub(c.sentAt).Seconds()
	if expected := b.latencies[c.route]; seconds > expected {
		c.state.speed.Observe(now, seconds, expected, b.baseline(c.state.service))
	}
	updateMean(b.latencies, c.route, seconds, latencyWeight)
}

// Speeds returns the speeds of servers by this daemon's own recent responses, per mille, for the reports to others. It
// includes servers at normal speed that this daemon or others take for slower or faster, so that the mean of the
// reports is not only that of daemons that met a slow response.
func (b *Balancer) Speeds() map[incarnation.ID]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	speeds := map[incarnation.ID]int{}
	for id, s := range b.states {
		base := b.baseline(s.service)
		own, known := s.speed.Own(now, base)
		if !known {
			continue
		}
		believed := math.Abs(math.Log(s.speed.Speed(now, base)))
		if _, reported := b.speeds.reported[id]; reported || believed > math.Log(speed.Reportable) || s.speed.OwnDiffers(now, base) {
			speeds[id] = exchange.PerMille(own)
		}
	}
	return exchange.BoundSpeeds(speeds)
}

// SetPeerSpeeds sets the speeds of servers that other daemons report.
func (b *Balancer) SetPeerSpeeds(reported map[incarnation.ID]exchange.SpeedReports) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.speeds.reported = reported
	for id := range reported {
		b.stateOf(id)
	}
	for id, s := range b.states {
		r := reported[id]
		s.speed.SetPeers(now, r.Mean(), r.Reporters, b.baseline(s.service))
	}
}

// ServerSpeeds returns the speeds of the servers of which this daemon knows any.
func (b *Balancer) ServerSpeeds() map[incarnation.ID]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	speeds := make(map[incarnation.ID]float64, len(b.states))
	for id, s := range b.states {
		speeds[id] = b.speedOf(s, now)
	}
	return speeds
}

// EffectiveSlots returns how many slots of normal servers the slots of the servers that a request may use are worth.
func (b *Balancer) EffectiveSlots(req *Request) int {
	if len(req.Servers) < 2 {
		return req.Slots
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now, difference := time.Now(), 0.0
	for _, server := range req.Servers {
		s := b.peekState(server.ID)
		if s == unknownServer || req.Constraints.Restriction(server) != catalog.Unrestricted {
			continue
		}
		difference += speed.Capacity(server.Slots, b.speedOf(s, now)) - speed.Capacity(server.Slots, 1)
	}
	return max(1, req.Slots+int(math.Round(difference)))
}

// loadRank orders servers before their costs do.
type loadRank int

const (
	// probed servers are slow and idle, and get a request now and then to show whether they still are.
	probed loadRank = iota
	withinShare
	// overShare servers have too much more than their fair load.
	overShare
)

// loadRank returns the rank of a server for a request.
func (b *Balancer) loadRank(req *Request, server *catalog.Server, s *serverState, now time.Time) loadRank {
	v, load := b.speedOf(s, now), s.load()
	switch {
	case req.PromptTokens == 0 && req.fair.Exceeded(load, speed.Capacity(server.Slots, v)):
		return overShare
	case speed.CostFactor(v) > 1 && req.fair.Probe(v, load, b.random()):
		return probed
	default:
		return withinShare
	}
}

// load returns how many requests all daemons together have at the server, as far as they report them.
func (s *serverState) load() float64 { return float64(s.inFlight) + s.peerCalls }

// loadsKnown reports whether the loads of servers are known. Without reports of others, a daemon's own turns say little
// of them. Plain requests are not reported; each daemon bounds its own.
func (b *Balancer) loadsKnown(turns bool, now time.Time) bool {
	return !turns || b.peerCount == 0 || now.Sub(b.speeds.peerLoadsAt) <= peerLoadExpiry
}

// fairLoad returns the fair load of the usable servers that are considered for a request.
func (b *Balancer) fairLoad(req *Request, now time.Time) (fair speed.Fair) {
	turns := req.PromptTokens > 0
	if len(req.Servers) < 2 || !b.loadsKnown(turns, now) {
		return fair
	}
	for _, server := range req.Servers[:min(req.subsetSize, len(req.Servers))] {
		s := b.peekState(server.ID)
		unknown := turns && b.peerCount > 0 && s == unknownServer
		if unknown || req.Constraints.Restriction(server) != catalog.Unrestricted || b.avoided(req.Route, s, now) || b.suspected(server.ID) {
			continue
		}
		fair.Add(s.load(), server.Slots, b.speedOf(s, now))
	}
	return fair
}

// loadShare returns a server's load over its fair load, or 0 where that is not known.
func (b *Balancer) loadShare(s *serverState, now time.Time) float64 {
	if s.service == "" || !b.loadsKnown(s.hasPrompts(), now) {
		return 0
	}
	var fair speed.Fair
	for _, other := range b.states {
		if other.service == s.service && !now.Before(other.ejectedUntil) {
			fair.Add(other.load(), other.slots, b.speedOf(other, now))
		}
	}
	return fair.Share(s.load(), speed.Capacity(s.slots, b.speedOf(s, now)))
}

// SpeedExtremes returns the speed of the slowest server and the largest load share, for the metrics.
func (b *Balancer) SpeedExtremes() (slowest, largestShare float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, services := time.Now(), map[string]*speed.Fair{}
	slowest = 1
	for _, s := range b.states {
		slowest = min(slowest, b.speedOf(s, now))
		if services[s.service] == nil {
			services[s.service] = &speed.Fair{}
		}
		services[s.service].Add(s.load(), s.slots, b.speedOf(s, now))
	}
	for _, s := range b.states {
		if s.service != "" && b.loadsKnown(s.hasPrompts(), now) {
			largestShare = max(largestShare, services[s.service].Share(s.load(), speed.Capacity(s.slots, b.speedOf(s, now))))
		}
	}
	return slowest, largestShare
}
