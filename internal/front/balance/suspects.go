package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// tooManySuspected reports whether other daemons suspect so many servers that the rest could not take the load.
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

// suspected reports whether a server seems dead by the reports of other daemons.
func (b *Balancer) suspected(id incarnation.ID) bool {
	return b.peerSuspects[id] > 0 || b.peerFailing[id] >= failQuorum
}

// SetPeerReports sets how many other daemons suspect each server, and for how many its last request failed recently.
func (b *Balancer) SetPeerReports(reported, failing map[incarnation.ID]int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerSuspects, b.peerFailing = reported, failing
}

// Failing returns the servers whose last response to this daemon was a failure, within failingWindow.
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

// Suspects returns the servers that seem dead to this daemon: those that failed repeatedly or are unresponsive. It
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

// View is the state of one server, for operators.
type View struct {
	InFlight int `json:"in_flight"`
	// Speed is its speed relative to the servers of its service; LatencyRatio is the reciprocal.
	Speed        float64 `json:"speed"`
	LatencyRatio float64 `json:"pace"`
	// LoadShare is its load over the load that it would have if it were shared in proportion to slots and speed; 0
	// where that is not known.
	LoadShare float64 `json:"load_share"`
	// Ejected is set after repeated failures; Reported is how many other daemons suspect the server, Failing for how
	// many its last request failed.
	Ejected  bool `json:"ejected"`
	Reported int  `json:"reported"`
	Failing  int  `json:"failing"`
}

// View returns the state of a server.
func (b *Balancer) View(id incarnation.ID) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := View{Reported: b.peerSuspects[id], Failing: b.peerFailing[id]}
	if s := b.states[id]; s != nil {
		now := time.Now()
		view.InFlight, view.Ejected, view.Speed = s.inFlight, now.Before(s.ejectedUntil), b.speedOf(s, now)
		view.LatencyRatio, view.LoadShare = 1/view.Speed, b.loadShare(s, now)
	}
	return view
}
