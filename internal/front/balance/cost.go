package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/speed"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

const (
	// slowTurnSeconds is the cost of generating a turn's response on a server that is twice as slow as one whose
	// slowness only shifts load. The expected cost of a turn does not include the generation, which is the same on
	// equal servers.
	slowTurnSeconds = 0.05
)

// cost returns the expected cost of a request: seconds for a turn, a number of requests in flight otherwise.
func (b *Balancer) cost(req *Request, server *catalog.Server, s *serverState, now time.Time) float64 {
	remote, rtt := b.topology.DistanceTo(server.DataCentre) != place.SameDataCentre, b.interRegionRTT(server.DataCentre)
	connect := req.Connected != nil && !req.Connected(server)
	v := b.speedOf(s, now)
	costFactor, loadFactor := speed.CostFactor(v), speed.LoadFactor(v)
	if req.PromptTokens == 0 {
		requests := float64(s.inFlight)*loadFactor + 1
		if s.inFlight == 0 && req.fair.PassOver(v, b.random()) {
			requests++
		}
		if remote {
			requests += remotePenalty + rtt/b.typicalLatency(req.Route)
		}
		if connect {
			requests += connectPenalty
		}
		return requests / float64(max(1, server.Slots)) * costFactor
	}
	peersAboveMean := 0.0
	if b.loadsKnown(true, now) {
		peersAboveMean = s.peerCalls*loadFactor - b.meanPeerCalls
	}
	cached := s.parts.cachedTokens(req.Parts)
	engine := policy.Engine{InFlight: s.inFlight, Capacity: 1 << 30, CachedTokens: cached, Remote: remote, PeerCalls: req.meanInFlight * float64(b.peerCount),
		PeerCallsAboveMean: peersAboveMean}
	costs := b.model(server.Service).Costs()
	cost := policy.ExpectedCost(engine, req.PromptTokens, costs) + costs.SlowdownPerCall*float64(s.inFlight)*(loadFactor-1)
	cost = cost*costFactor + slowTurnSeconds*(costFactor-1) + rtt
	if connect {
		cost += connectSeconds
	}
	return cost
}
