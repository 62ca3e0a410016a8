package balance

import (
	"maps"
	"time"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// Calls returns how many calls this daemon has under way, by service.
func (b *Balancer) Calls() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.calls)
}

// SetPeerDemand sets how many calls other daemons have under way or waiting, by service.
func (b *Balancer) SetPeerDemand(peerDemand map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.peerDemandKnown = true
	for service, calls := range peerDemand {
		b.peakDemand(service).Observe(now, float64(calls+b.calls[service]))
	}
}

// subsetSize returns how many servers are considered for a request: all until the demand of other daemons is known.
func (b *Balancer) subsetSize(req *Request, now time.Time) int {
	if len(req.Servers) == 0 || !b.peerDemandKnown {
		return len(req.Servers)
	}
	service := req.Servers[0].Service
	demand := b.peakDemand(service)
	demand.Observe(now, float64(b.calls[service]))
	return policy.SubsetSize(demand.Read(now), req.DataCentres)
}

// peakDemand returns the recent maximum of the calls under way or waiting at a service.
func (b *Balancer) peakDemand(service string) *policy.DecayingMax {
	p := b.demand[service]
	if p == nil {
		p = &policy.DecayingMax{}
		b.demand[service] = p
	}
	return p
}

// callEnded counts a call of this daemon as ended.
func (b *Balancer) callEnded(service string) {
	if b.calls[service]--; b.calls[service] == 0 {
		delete(b.calls, service)
	}
}
