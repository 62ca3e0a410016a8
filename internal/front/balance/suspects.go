package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// tooManySuspected tells whether others suspect so many servers that the rest could not bear the load.
func (b *Balancer) tooManySuspected(servers []*catalog.Server) bool {
	limit := maxSuspectShare * float64(len(servers))
	if float64(len(b.peerSuspects)+len(b.peerFailing)) <= limit {
		return false
	}
	n := 0
	for _, server := range servers {
		if b.suspected(server.ID) {
			n++
		}
	}
	return float64(n) > limit
}

// suspected tells whether other daemons make a server look dead.
func (b *Balancer) suspected(id incarnation.ID) bool {
	return b.peerSuspects[id] > 0 || b.peerFailing[id] >= failQuorum
}

// SetPeerReports tells how many other daemons suspect each server, and how many it failed last, just now.
func (b *Balancer) SetPeerReports(reported, failing map[incarnation.ID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerSuspects, b.peerFailing = reported, failing
}

// Failing returns the servers that failed this daemon last, within failingTime.
func (b *Balancer) Failing() []incarnation.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var failing []incarnation.ID
	for id, s := range b.states {
		if !s.failedAt.IsZero() && now.Sub(s.failedAt) < failingWindow {
			failing = append(failing, id)
		}
	}
	return failing
}

// Suspects returns the servers that look dead here: those that failed repeatedly or keep requests waiting. It
// returns none where they are so many that this VM's own network is the likelier cause.
func (b *Balancer) Suspects() []incarnation.ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var suspects []incarnation.ID
	for id, s := range b.states {
		if now.Before(s.ejectedUntil) || b.unresponsive(s.awaitingRoute, s, now) {
			suspects = append(suspects, id)
		}
	}
	if float64(len(suspects)) > maxSuspectShare*float64(len(b.states)) {
		return nil
	}
	return suspects
}

// View is what is known of one server.
type View struct {
	InFlight int `json:"in_flight"`
	// LatencyRatio is the mean time of its answers against that of like calls at all servers.
	LatencyRatio float64 `json:"pace"`
	// Ejected servers failed repeatedly; Reported is how many other daemons suspect it, Failing how many it failed last.
	Ejected  bool `json:"ejected"`
	Reported int  `json:"reported"`
	Failing  int  `json:"failing"`
}

// View returns what is known of a server.
func (b *Balancer) View(id incarnation.ID) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := View{Reported: b.peerSuspects[id], Failing: b.peerFailing[id]}
	if s := b.states[id]; s != nil {
		view.InFlight, view.LatencyRatio, view.Ejected = s.inFlight, s.latency.Ratio(), time.Now().Before(s.ejectedUntil)
	}
	return view
}
