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
	// spareEjectTime is how long a server that was silent is passed over where the work does not need it. One that starts
	// again meanwhile is another start, of which nothing is known.
	spareEjectTime = 15 * time.Second
	// shedBackoff is how long a server that shed a request is passed over: about one short request.
	shedBackoff = 60 * time.Millisecond
	// remotePenalty is how many requests in flight a server in another data centre counts more: a trip there
	// and back costs a few milliseconds, and its bytes have a price.
	remotePenalty = 1.2
	// connectPenalty is the same for a server to which a connection must be opened first, and connectSeconds what that
	// costs a turn: a trip of 2 to 3 ms and a millisecond of the server's. It decides between servers that are as busy.
	connectPenalty = 0.05
	connectSeconds = 0.003
	// latencyWeight is the weight of the newest answer in the means of a route, which has many servers.
	latencyWeight = 0.02
	// unresponsiveFactor is how many times the route's mean time to the head of an answer a server may be silent
	// before no more is sent to it; at least silentLeast, which is above a busy VM's delays.
	unresponsiveFactor = 6
	unresponsiveMin    = 250 * time.Millisecond
	// hedgeFactor is the same for asking another server too, where a request may run twice.
	hedgeFactor = 4
	hedgeMin    = 60 * time.Millisecond
	// hedgeDefault is used before a route's mean is known.
	hedgeDefault = 300 * time.Millisecond
	// maxSuspectShare of the servers may be shunned on other daemons' word.
	maxSuspectShare = 0.4
	// failQuorum daemons that a server has failed last, within failingTime, count as one that suspects it: where there are
	// many daemons, none of them meets a server twice soon. Fewer would be met by chance where servers lose a few answers in a
	// hundred, and for longer a server would stay out of use after it is well.
	failQuorum    = 3
	failingWindow = 3 * time.Second
)

// defaultCosts are those of a model server until its service's are learnt: engines so far read 40 to 60 prompt
// tokens a millisecond, and each call of a daemon on one adds some 8 ms to the next.
var defaultCosts = policy.Costs{PrefillPerToken: 0.00002, SlowdownPerCall: 0.008, CrossDataCentre: 0.004}

// serverState is what was seen of one start of a server. It is guarded by Balancer.mu.
type serverState struct {
	inFlight int
	// callSeconds is the sum of the calls in flight over time since the last report, in call-seconds, up to changed.
	callSeconds float64
	updatedAt   time.Time
	// peerCalls are the calls of other daemons, smoothed over their reports.
	peerCalls float64
	failures  int
	// failedAt is when it failed last; zero once it has answered since.
	failedAt     time.Time
	ejectedUntil time.Time
	busyUntil    time.Time
	// latency is how its answers' times compare with those of the same routes at all servers.
	latency policy.RelativeLatency
	// awaitingHead holds when the requests were sent whose answers have not begun, the oldest first.
	awaitingHead []time.Time
	// awaitingRoute is the route of the newest of them.
	awaitingRoute string
	// lastColdSend is when it got the last request while it was cold.
	lastColdSend time.Time
	// parts are prompt parts that it has read.
	parts *partCache
	// calls are cancelled, and no more begin, once the server has started again.
	calls     map[*Choice]context.CancelCauseFunc
	restarted bool
}

// Balancer keeps what was seen of servers. Use New.
type Balancer struct {
	// name is this daemon's, which differs from all others'.
	name     string
	topology place.Topology
	// startedAt is when the balancer was made: turns at cold servers go by the time since.
	startedAt time.Time
	mu        sync.Mutex
	states    map[incarnation.ID]*serverState
	// latencies are the moving latencies of whole answers' times, by route, in seconds.
	latencies map[string]float64
	// peerSuspects tells how many other daemons suspect a server.
	peerSuspects map[incarnation.ID]int
	// peerFailing tells how many other daemons a server failed last, just now.
	peerFailing map[incarnation.ID]int
	// headLatencies are the moving means of the time to the head of an answer, by route, in seconds.
	headLatencies map[string]float64
	// connectTimes are the moving means of how long a connection to a data centre takes, in seconds.
	connectTimes map[string]float64
	// models learn what turns take, by service.
	models map[string]*policy.CostModel
	// peerCount are the other daemons that send to the same servers. Each is taken to have as many calls there as this
	// one.
	peerCount int
	// calls are this daemon's under way at servers, by service; demand is the most of late that all daemons had.
	calls  map[string]int
	demand map[string]*policy.DecayingMax
	// daemonCount is the most of late that there were, this one among them.
	daemonCount policy.RecentMax
	// peerDemandKnown tells that other daemons have told of theirs.
	peerDemandKnown bool
	// meanPeerCalls is the mean of the others' calls on a server; reportedAt is when this daemon last told of its own.
	meanPeerCalls   float64
	loadsReportedAt time.Time
}

// New returns a balancer of a daemon at a place.
func New(name string, at place.Topology) *Balancer {
	return &Balancer{name: name, topology: at, startedAt: time.Now(), states: map[incarnation.ID]*serverState{}, latencies: map[string]float64{}, headLatencies: map[string]float64{},
		connectTimes: map[string]float64{}, models: map[string]*policy.CostModel{}, calls: map[string]int{}, demand: map[string]*policy.DecayingMax{}}
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
	// subsetSize is how many servers are weighed, mean how many calls of this daemon one has in the mean; Pick sets both.
	subsetSize   int
	meanInFlight float64
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

	balancer     *Balancer
	state        *serverState
	route        string
	sentAt       time.Time
	observed     policy.Observation
	headReceived bool
	done         bool
	// hasSpare tells that there were more servers than were weighed.
	hasSpare bool
}

// Pick chooses a server, or returns false when none may take the request.
func (b *Balancer) Pick(req *Request) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *catalog.Server
	candidates := 0
	req.subsetSize = b.subsetSize(req, now)
	req.meanInFlight = b.meanInFlight(req)
	// Rather a server that others suspect than one that fails here, and rather that one than none at all.
	for _, trust := range []trust{unsuspected, alive, coldOrAlive, anyServer} {
		best, candidates = b.choose(req, now, trust)
		if best != nil {
			break
		}
	}
	if best == nil {
		return nil, false
	}
	s := b.stateOf(best.ID)
	c := &Choice{Server: *best, InFlight: s.inFlight, Candidates: candidates, balancer: b, state: s, route: req.Route, sentAt: now,
		hasSpare: len(req.Servers) > req.subsetSize}
	if req.PromptTokens > 0 {
		c.observed = policy.Observation{Uncached: max(0, req.PromptTokens-s.parts.cachedTokens(req.Parts)),
			InFlight: float64(s.inFlight), MeanInFlight: req.meanInFlight}
		c.Uncached = c.observed.Uncached
	}
	s.addInFlight(now, 1)
	b.calls[best.Service]++
	if req.Constraints.Restriction(best) == catalog.RestrictedCold {
		s.lastColdSend = now
	}
	s.awaitingHead = append(s.awaitingHead, now)
	s.awaitingRoute = req.Route
	s.parts.addPrompt(req.Parts)
	return c, true
}

// trust is which servers a choice may take.
type trust int

const (
	// unsuspected servers look alive here and to the other daemons.
	unsuspected trust = iota
	// alive servers look alive here.
	alive
	// coldOrAlive servers are cold or look alive here.
	coldOrAlive
	// anyServer takes every server.
	anyServer
)

// choose returns the cheapest server, or nil, and how many there were to choose from. Servers are weighed in their order up
// to the width, so that those of a data centre's daemons that are up take all, and beside them the one that holds most of
// the prompt.
func (b *Balancer) choose(req *Request, now time.Time, trust trust) (best *catalog.Server, candidates int) {
	ignoreReports := trust > unsuspected || b.tooManySuspected(req.Servers)
	var bestCost float64
	consider := func(server *catalog.Server) {
		if req.Tried[server.ID] || !b.admissible(req, server, now, trust) {
			return
		}
		s := b.peekState(server.ID)
		if trust < anyServer && b.avoided(req.Route, s, now) || !ignoreReports && b.suspected(server.ID) {
			return
		}
		candidates++
		cost := b.cost(req, server, s) * (1 + 0.02*rand.Float64())
		if best == nil || cost < bestCost {
			best, bestCost = server, cost
		}
	}
	for _, server := range req.Servers {
		if candidates >= req.subsetSize {
			break
		}
		consider(server)
	}
	if holder := b.cacheHolder(req); holder != nil {
		consider(holder)
	}
	return best, candidates
}

// admissible tells whether a server may get the request under its terms. A cold one may where no other does, and in this daemon's
// turn: all of them together must not send it more than it bears.
func (b *Balancer) admissible(req *Request, server *catalog.Server, now time.Time, trust trust) bool {
	switch req.Constraints.Restriction(server) {
	case catalog.Unrestricted:
		return true
	case catalog.RestrictedCold:
		return trust >= coldOrAlive && b.inColdWindow(req, server, now)
	default:
		return false
	}
}

// cost is what a request is expected to take: seconds at a model server, a count of requests elsewhere.
func (b *Balancer) cost(req *Request, server *catalog.Server, s *serverState) float64 {
	remote, rtt := b.topology.DistanceTo(server.DataCentre) != place.SameDataCentre, b.interRegionRTT(server.DataCentre)
	connect := req.Connected != nil && !req.Connected(server)
	costFactor := s.latency.CostFactor()
	if req.PromptTokens == 0 {
		requests := float64(s.inFlight + 1)
		if remote {
			requests += remotePenalty + rtt/b.typicalLatency(req.Route)
		}
		if connect {
			requests += connectPenalty
		}
		return requests / float64(max(1, server.Slots)) * costFactor
	}
	cached := s.parts.cachedTokens(req.Parts)
	engine := policy.Engine{InFlight: s.inFlight, Capacity: 1 << 30, CachedTokens: cached, Remote: remote, PeerCalls: req.meanInFlight * float64(b.peerCount),
		PeerCallsAboveMean: s.peerCalls - b.meanPeerCalls}
	cost := policy.ExpectedCost(engine, req.PromptTokens, b.model(server.Service).Costs())*costFactor + 0.05*(costFactor-1) + rtt
	if connect {
		cost += connectSeconds
	}
	return cost
}

// model returns what was learnt of a service.
func (b *Balancer) model(service string) *policy.CostModel {
	m := b.models[service]
	if m == nil {
		m = policy.NewCostModel(defaultCosts)
		b.models[service] = m
	}
	return m
}

// meanInFlight returns this daemon's calls on one of the servers that are weighed, in the mean.
func (b *Balancer) meanInFlight(req *Request) float64 {
	considered := req.Servers[:min(req.subsetSize, len(req.Servers))]
	sum := 0
	for _, server := range considered {
		sum += b.peekState(server.ID).inFlight
	}
	return float64(sum) / float64(max(1, len(considered)))
}

// SetPeerCount tells how many other daemons send to the same servers.
func (b *Balancer) SetPeerCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerCount = n
	b.daemonCount.Observe(time.Now(), n+1)
}

// avoided tells whether a server is to be left alone for now.
func (b *Balancer) avoided(route string, s *serverState, now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || b.unresponsive(route, s, now)
}

// unresponsive tells whether a server has kept a request waiting for much longer than is usual.
func (b *Balancer) unresponsive(route string, s *serverState, now time.Time) bool {
	if len(s.awaitingHead) == 0 {
		return false
	}
	return b.overdue(route, s.awaitingHead[0], now)
}

// overdue tells whether a request that was sent at a time has waited for the head of its answer for much longer than is usual.
func (b *Balancer) overdue(route string, sent, now time.Time) bool {
	limit := max(unresponsiveMin, time.Duration(unresponsiveFactor*b.headLatencies[route]*float64(time.Second)))
	return now.Sub(sent) > limit
}

// HedgeAfter returns how long to wait for the head of an answer before another server is asked too.
func (b *Balancer) HedgeAfter(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.headLatencies[route]
	if mean == 0 {
		return hedgeDefault
	}
	return max(hedgeMin, time.Duration(hedgeFactor*mean*float64(time.Second)))
}

// unknownServer is the state of every server that this daemon has had nothing to do with. Nobody may change it.
var unknownServer = &serverState{parts: newPartCache()}

// peekState returns what is known of a server, without remembering it: of thousands a daemon meets few.
func (b *Balancer) peekState(id incarnation.ID) *serverState {
	if s := b.states[id]; s != nil {
		return s
	}
	return unknownServer
}

// stateOf returns what is known of a server that this daemon has to do with.
func (b *Balancer) stateOf(id incarnation.ID) *serverState {
	s := b.states[id]
	if s == nil {
		s = &serverState{parts: newPartCache(), updatedAt: time.Now()}
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
