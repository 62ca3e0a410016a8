package balance

import (
	"maps"
	"time"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// Calls returns this daemon's calls under way at servers, by service.
func (b *Balancer) Calls() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.calls)
}

// SetPeerDemand tells what other daemons have under way and waiting, by service.
func (b *Balancer) SetPeerDemand(others map[string]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	b.demandKnown = true
	for service, calls := range others {
		b.peak(service).Observe(now, float64(calls+b.calls[service]))
	}
}

// width returns how many servers are weighed for a request: all before anything is known of the other daemons.
func (b *Balancer) width(ask *Request, now time.Time) int {
	if len(ask.Servers) == 0 || !b.demandKnown {
		return len(ask.Servers)
	}
	service := ask.Servers[0].Service
	demand := b.peak(service)
	demand.Observe(now, float64(b.calls[service]))
	return policy.SubsetSize(demand.Read(now), ask.DataCentres)
}

// peak returns the most calls of late that were under way or waiting at a service.
func (b *Balancer) peak(service string) *policy.DecayingMax {
	p := b.demand[service]
	if p == nil {
		p = &policy.DecayingMax{}
		b.demand[service] = p
	}
	return p
}

// ended counts a call of this daemon as over.
func (b *Balancer) ended(service string) {
	if b.calls[service]--; b.calls[service] == 0 {
		delete(b.calls, service)
	}
}
