// Package balance chooses the backend server for a request from what this daemon has seen of each.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
)

const (
	// ejectAfter consecutive failures take a server out of the choice for ejectTime, doubled with each
	// further one up to maxEject. A crashed server is noticed after two requests.
	ejectAfter = 2
	ejectTime  = 500 * time.Millisecond
	maxEject   = 4 * time.Second
	// spareEject is how long a server that was silent is passed over where the work does not need it. One that starts
	// again meanwhile is another start, of which nothing is known.
	spareEject = 15 * time.Second
	// busyTime is how long a server that shed a request is passed over: about one short request.
	busyTime = 60 * time.Millisecond
	// remotePenalty is how many requests in flight a server in another data centre counts more: a trip there
	// and back costs a few milliseconds, and its bytes have a price.
	remotePenalty = 1.2
	// connectPenalty is the same for a server to which a connection must be opened first, and connectSeconds what that
	// costs a turn: a trip of 2 to 3 ms and a millisecond of the server's. It decides between servers that are as busy.
	connectPenalty = 0.05
	connectSeconds = 0.003
	// headWeight is the weight of the newest answer in the means of a route, which has many servers.
	headWeight = 0.02
	// silentTimes is how many times the route's mean time to the head of an answer a server may be silent
	// before no more is sent to it; at least silentLeast, which is above a busy VM's delays.
	silentTimes = 6
	silentLeast = 250 * time.Millisecond
	// hedgeTimes is the same for asking another server too, where a request may run twice.
	hedgeTimes = 4
	hedgeLeast = 60 * time.Millisecond
	// hedgeUnknown is used before a route's mean is known.
	hedgeUnknown = 300 * time.Millisecond
	// maxReportedShare of the servers may be shunned on other daemons' word.
	maxReportedShare = 0.4
	// failTogether daemons that a server has failed last, within failingTime, count as one that suspects it: where there are
	// many daemons, none of them meets a server twice soon. Fewer would be met by chance where servers lose a few answers in a
	// hundred, and for longer a server would stay out of use after it is well.
	failTogether = 3
	failingTime  = 3 * time.Second
)

// firstCosts are those of a model server until its service's are learnt: engines so far read 40 to 60 prompt
// tokens a millisecond, and each call of a daemon on one adds some 8 ms to the next.
var firstCosts = policy.Costs{PrefillPerToken: 0.00002, SlowdownPerCall: 0.008, CrossDataCentre: 0.004}

// state is what was seen of one start of a server. It is guarded by Balancer.mu.
type state struct {
	inFlight int
	// area is the sum of the calls in flight over time since the last report, in call-seconds, up to changed.
	area    float64
	changed time.Time
	// others are the calls of other daemons, smoothed over their reports.
	others   float64
	failures int
	// failedAt is when it failed last; zero once it has answered since.
	failedAt     time.Time
	ejectedUntil time.Time
	busyUntil    time.Time
	// pace is how its answers' times compare with those of the same routes at all servers.
	pace policy.RelativeLatency
	// waiting holds when the requests were sent whose answers have not begun, the oldest first.
	waiting []time.Time
	// waitingRoute is the route of the newest of them.
	waitingRoute string
	// coldSent is when it got the last request while it was cold.
	coldSent time.Time
	// parts are prompt parts that it has read.
	parts *partSet
	// calls are cancelled, and no more begin, once the server has started again.
	calls map[*Choice]context.CancelCauseFunc
	over  bool
}

// Balancer keeps what was seen of servers. Use New.
type Balancer struct {
	// name is this daemon's, which differs from all others'.
	name  string
	place place.Topology
	// began is when the balancer was made: turns at cold servers go by the time since.
	began  time.Time
	mu     sync.Mutex
	states map[incarnation.ID]*state
	// means are the moving means of whole answers' times, by route, in seconds.
	means map[string]float64
	// reported tells how many other daemons suspect a server.
	reported map[incarnation.ID]int
	// failing tells how many other daemons a server failed last, just now.
	failing map[incarnation.ID]int
	// heads are the moving means of the time to the head of an answer, by route, in seconds.
	heads map[string]float64
	// ways are the moving means of how long a connection to a data centre takes, in seconds.
	ways map[string]float64
	// models learn what turns take, by service.
	models map[string]*policy.CostModel
	// peers are the other daemons that send to the same servers. Each is taken to have as many calls there as this
	// one.
	peers int
	// calls are this daemon's under way at servers, by service; demand is the most of late that all daemons had.
	calls  map[string]int
	demand map[string]*policy.DecayingMax
	// daemons is the most of late that there were, this one among them.
	daemons policy.RecentMax
	// demandKnown tells that other daemons have told of theirs.
	demandKnown bool
	// othersMean is the mean of the others' calls on a server; reportedAt is when this daemon last told of its own.
	othersMean float64
	reportedAt time.Time
}

// New returns a balancer of a daemon at a place.
func New(name string, at place.Topology) *Balancer {
	return &Balancer{name: name, place: at, began: time.Now(), states: map[incarnation.ID]*state{}, means: map[string]float64{}, heads: map[string]float64{},
		ways: map[string]float64{}, models: map[string]*policy.CostModel{}, calls: map[string]int{}, demand: map[string]*policy.DecayingMax{}}
}

// Request is what a choice depends on.
type Request struct {
	// Route names requests of one kind, whose answers take like times.
	Route string
	// Servers are those of the service in the order in which a data centre turns to them; DataCentres is in how many they
	// stand.
	Servers     []*catalog.Server
	DataCentres int
	// Slots are the requests that those take at once that may be used.
	Slots int
	// Constraints are under which they may be used.
	Constraints catalog.Constraints
	// ColdPerSecond is what one of them bears while it is cold, of all daemons together.
	ColdPerSecond float64
	// Lookup returns a start of a server that is in use, or nil; nil where that is not known.
	Lookup func(incarnation.ID) *catalog.Server
	// Tried servers are passed over.
	Tried map[incarnation.ID]bool
	// PromptTokens is the size of the prompt; 0 for plain requests.
	PromptTokens int64
	// Parts are the prompt's parts in order.
	Parts []call.PromptPart
	// Connected tells whether a connection to a server rests that the request may use; nil where that is not known.
	Connected func(*catalog.Server) bool
	// width is how many servers are weighed, mean how many calls of this daemon one has in the mean; Pick sets both.
	width int
	mean  float64
}

// Choice is the server chosen. Done must be called once.
type Choice struct {
	Server catalog.Server
	// InFlight is how many requests of this daemon the server had.
	InFlight int
	// Candidates is how many servers could have been chosen.
	Candidates int
	// Uncached are the tokens of a turn's prompt that the server was thought to have to read.
	Uncached int64
	// Generated is set to the tokens of a turn's answer before Done is told of it.
	Generated int64

	balancer  *Balancer
	state     *state
	route     string
	began     time.Time
	observed  policy.Observation
	responded bool
	settled   bool
	// spare tells that there were more servers than were weighed.
	spare bool
}

// Pick chooses a server, or returns false when none may take the request.
func (b *Balancer) Pick(ask *Request) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *catalog.Server
	candidates := 0
	ask.width = b.width(ask, now)
	ask.mean = b.meanInFlight(ask)
	// Rather a server that others suspect than one that fails here, and rather that one than none at all.
	for _, trust := range []trust{unsuspected, alive, warming, anyServer} {
		best, candidates = b.choose(ask, now, trust)
		if best != nil {
			break
		}
	}
	if best == nil {
		return nil, false
	}
	s := b.state(best.ID)
	c := &Choice{Server: *best, InFlight: s.inFlight, Candidates: candidates, balancer: b, state: s, route: ask.Route, began: now,
		spare: len(ask.Servers) > ask.width}
	if ask.PromptTokens > 0 {
		c.observed = policy.Observation{Uncached: max(0, ask.PromptTokens-s.parts.cached(ask.Parts)),
			InFlight: float64(s.inFlight), MeanInFlight: ask.mean}
		c.Uncached = c.observed.Uncached
	}
	s.count(now, 1)
	b.calls[best.Service]++
	if ask.Constraints.Restriction(best) == catalog.RestrictedCold {
		s.coldSent = now
	}
	s.waiting = append(s.waiting, now)
	s.waitingRoute = ask.Route
	s.parts.read(ask.Parts)
	return c, true
}

// trust is which servers a choice may take.
type trust int

const (
	// unsuspected servers look alive here and to the other daemons.
	unsuspected trust = iota
	// alive servers look alive here.
	alive
	// warming servers are cold or look alive here.
	warming
	// anyServer takes every server.
	anyServer
)

// choose returns the cheapest server, or nil, and how many there were to choose from. Servers are weighed in their order up
// to the width, so that those of a data centre's daemons that are up take all, and beside them the one that holds most of
// the prompt.
func (b *Balancer) choose(ask *Request, now time.Time, trust trust) (best *catalog.Server, candidates int) {
	ignoreReports := trust > unsuspected || b.tooManyReported(ask.Servers)
	var bestCost float64
	weigh := func(server *catalog.Server) {
		if ask.Tried[server.ID] || !b.open(ask, server, now, trust) {
			return
		}
		s := b.seen(server.ID)
		if trust < anyServer && b.shunned(ask.Route, s, now) || !ignoreReports && b.suspected(server.ID) {
			return
		}
		candidates++
		cost := b.cost(ask, server, s) * (1 + 0.02*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	for _, server := range ask.Servers {
		if candidates >= ask.width {
			break
		}
		weigh(server)
	}
	if holder := b.holder(ask); holder != nil {
		weigh(holder)
	}
	return best, candidates
}

// open tells whether a server may get the request under its terms. A cold one may where no other does, and in this daemon's
// turn: all of them together must not send it more than it bears.
func (b *Balancer) open(ask *Request, server *catalog.Server, now time.Time, trust trust) bool {
	switch ask.Constraints.Restriction(server) {
	case catalog.Unrestricted:
		return true
	case catalog.RestrictedCold:
		return trust >= warming && b.coldTurn(ask, server, now)
	default:
		return false
	}
}

// cost is what a request is expected to take: seconds at a model server, a count of requests elsewhere.
func (b *Balancer) cost(ask *Request, server *catalog.Server, s *state) float64 {
	remote, away := b.place.DistanceTo(server.DataCentre) != place.SameDataCentre, b.away(server.DataCentre)
	connect := ask.Connected != nil && !ask.Connected(server)
	slowness := s.pace.CostFactor()
	if ask.PromptTokens == 0 {
		requests := float64(s.inFlight + 1)
		if remote {
			requests += remotePenalty + away/b.usual(ask.Route)
		}
		if connect {
			requests += connectPenalty
		}
		return requests / float64(max(1, server.Slots)) * slowness
	}
	cached := s.parts.cached(ask.Parts)
	engine := policy.Engine{InFlight: s.inFlight, Capacity: 1 << 30, CachedTokens: cached, Remote: remote, PeerCalls: ask.mean * float64(b.peers),
		PeerCallsAboveMean: s.others - b.othersMean}
	cost := policy.ExpectedCost(engine, ask.PromptTokens, b.model(server.Service).Costs())*slowness + 0.05*(slowness-1) + away
	if connect {
		cost += connectSeconds
	}
	return cost
}

// model returns what was learnt of a service.
func (b *Balancer) model(service string) *policy.CostModel {
	m := b.models[service]
	if m == nil {
		m = policy.NewCostModel(firstCosts)
		b.models[service] = m
	}
	return m
}

// meanInFlight returns this daemon's calls on one of the servers that are weighed, in the mean.
func (b *Balancer) meanInFlight(ask *Request) float64 {
	weighed := ask.Servers[:min(ask.width, len(ask.Servers))]
	sum := 0
	for _, server := range weighed {
		sum += b.seen(server.ID).inFlight
	}
	return float64(sum) / float64(max(1, len(weighed)))
}

// SetPeerCount tells how many other daemons send to the same servers.
func (b *Balancer) SetPeerCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers = n
	b.daemons.Observe(time.Now(), n+1)
}

// shunned tells whether a server is to be left alone for now.
func (b *Balancer) shunned(route string, s *state, now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || b.silent(route, s, now)
}

// silent tells whether a server has kept a request waiting for much longer than is usual.
func (b *Balancer) silent(route string, s *state, now time.Time) bool {
	if len(s.waiting) == 0 {
		return false
	}
	return b.tooLong(route, s.waiting[0], now)
}

// tooLong tells whether a request that was sent at a time has waited for the head of its answer for much longer than is usual.
func (b *Balancer) tooLong(route string, sent, now time.Time) bool {
	limit := max(silentLeast, time.Duration(silentTimes*b.heads[route]*float64(time.Second)))
	return now.Sub(sent) > limit
}

// HedgeAfter returns how long to wait for the head of an answer before another server is asked too.
func (b *Balancer) HedgeAfter(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.heads[route]
	if mean == 0 {
		return hedgeUnknown
	}
	return max(hedgeLeast, time.Duration(hedgeTimes*mean*float64(time.Second)))
}

// unseen is the state of every server that this daemon has had nothing to do with. Nobody may change it.
var unseen = &state{parts: newPartSet()}

// seen returns what is known of a server, without remembering it: of thousands a daemon meets few.
func (b *Balancer) seen(id incarnation.ID) *state {
	if s := b.states[id]; s != nil {
		return s
	}
	return unseen
}

// state returns what is known of a server that this daemon has to do with.
func (b *Balancer) state(id incarnation.ID) *state {
	s := b.states[id]
	if s == nil {
		s = &state{parts: newPartSet(), changed: time.Now()}
		b.states[id] = s
	}
	return s
}

// Forget drops what is known of servers that no longer exist.
func (b *Balancer) Forget(exists func(id incarnation.ID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.inFlight == 0 && !exists(id) {
			delete(b.states, id)
		}
	}
}

// Costs returns what was learnt of each service's turns.
func (b *Balancer) Costs() map[string]policy.Costs {
	b.mu.Lock()
	defer b.mu.Unlock()
	costs := make(map[string]policy.Costs, len(b.models))
	for service, m := range b.models {
		costs[service] = m.Costs()
	}
	return costs
}
