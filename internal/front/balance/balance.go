// Package balance chooses the backend server for a request, based on what this daemon and its peers have observed of
// each.
package balance

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/speed"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
)

const (
	// ejectAfter is how many consecutive failures eject a server: for ejectTime, doubled with each further failure up
	// to maxEject.
	ejectAfter = 2
	ejectTime  = 500 * time.Millisecond
	maxEject   = 4 * time.Second
	// spareEjectTime is how long a server that did not respond is ejected where the load does not need it. If it
	// restarts meanwhile, the new start has no history.
	spareEjectTime = 15 * time.Second
	// shedBackoff is how long a server that shed a request is avoided: about the duration of a short request.
	shedBackoff = 60 * time.Millisecond
	// remotePenalty is the cost of a server in another data centre, in requests in flight: the round trip takes a few
	// milliseconds, and the traffic is paid for.
	remotePenalty = 1.2
	// connectPenalty is the cost of a server without an open connection, in requests in flight, connectSeconds the same
	// for a turn: a round trip of 2 to 3 ms and a millisecond of the server's time. They decide between equally loaded
	// servers.
	connectPenalty = 0.05
	connectSeconds = 0.003
	// latencyWeight is the weight of the newest response in the averages of a route, which has many servers.
	latencyWeight = 0.02
	// maxSuspectShare is the largest fraction of the servers that may be suspected; beyond it, suspicion is ignored.
	maxSuspectShare = 0.4
	// failQuorum is how many daemons must have had their last request to a server fail, within failingWindow, for the
	// server to be suspected: among many daemons, none meets the same server twice soon. Fewer would be reached by
	// chance where servers lose a few percent of the responses, and a longer window would keep recovered servers out
	// of use.
	failQuorum    = 3
	failingWindow = 3 * time.Second
)

// defaultCosts apply to a model server until the costs of its service have been learnt. Engines read 40 to 60 prompt
// tokens per millisecond, and each call of a daemon on an engine adds some 8 ms to the next.
var defaultCosts = policy.Costs{PrefillPerToken: 0.00002, SlowdownPerCall: 0.008, CrossDataCentre: 0.004}

// serverState is what was observed of one start of a server. It is guarded by Balancer.mu.
type serverState struct {
	inFlight int
	// peerCalls is how many calls other daemons have there, by their last reports.
	peerCalls float64
	failures  int
	// failedAt is the time of the last failure; zero if the server has answered since.
	failedAt     time.Time
	ejectedUntil time.Time
	busyUntil    time.Time
	// speed is its speed relative to the others of its service; service and slots are as it was last chosen with.
	speed   speed.Estimate
	service string
	slots   int
	// awaitingHead holds the send times of the requests whose response has not begun, the oldest first.
	awaitingHead []time.Time
	// awaitingRoute is the route of the newest of them.
	awaitingRoute string
	// lastColdSend is when it got the last request while it was cold.
	lastColdSend time.Time
	// parts are the prompt parts that it is believed to have cached.
	parts *partCache
	// calls holds the requests to cancel once a later start of the server is known; restarted is set from then on,
	// and no more are accepted.
	calls     map[*Choice]context.CancelCauseFunc
	restarted bool
}

// Balancer keeps the state of servers and chooses among them. Use New.
type Balancer struct {
	// name is this daemon's unique name.
	name     string
	topology place.Topology
	// startedAt is when the balancer was made; the windows for cold servers are relative to it.
	startedAt time.Time
	mu        sync.Mutex
	// random returns a number from 0 up to 1, for choices between equal servers.
	random func() float64
	states map[incarnation.ID]*serverState
	// latencies are the moving averages of the duration of complete responses, by route, in seconds.
	latencies map[string]float64
	// peerSuspects is how many other daemons suspect a server.
	peerSuspects map[incarnation.ID]int
	// peerFailing is how many other daemons had their last request to a server fail, within failingWindow.
	peerFailing map[incarnation.ID]int
	// headLatencies are the moving averages of the time to the response head, by route, in seconds.
	headLatencies map[string]float64
	// connectTimes are the moving averages of the time to connect to a data centre, in seconds.
	connectTimes map[string]float64
	// models learn the costs of turns, by service.
	models map[string]*policy.CostModel
	// peerCount is how many other daemons send to the same servers. Each is assumed to have as many calls there as
	// this one.
	peerCount int
	// calls is how many calls this daemon has under way, by service; demand is the recent maximum of all daemons.
	calls  map[string]int
	demand map[string]*policy.DecayingMax
	// daemonCount is the recent maximum of the number of daemons, this one included.
	daemonCount policy.RecentMax
	// peerDemandKnown is set once other daemons have reported their demand.
	peerDemandKnown bool
	// meanPeerCalls is the mean of the servers' peerCalls.
	meanPeerCalls float64
	speeds        speedState
}

// New returns the balancer of a daemon, given its unique name and its location.
func New(name string, at place.Topology) *Balancer {
	return &Balancer{name: name, topology: at, startedAt: time.Now(), random: rand.Float64, states: map[incarnation.ID]*serverState{}, latencies: map[string]float64{}, headLatencies: map[string]float64{},
		connectTimes: map[string]float64{}, models: map[string]*policy.CostModel{}, calls: map[string]int{}, demand: map[string]*policy.DecayingMax{}}
}

// SetRandom replaces the source of random choices, so that they can be repeated. It must be called before the first
// request.
func (b *Balancer) SetRandom(random *rand.Rand) { b.random = random.Float64 }

// Request is what the choice of a server depends on.
type Request struct {
	// Route names requests of one kind, which take similar times.
	Route string
	// Servers are those of the service in the order of preference of this data centre; DataCentres is how many data
	// centres they are in.
	Servers     []*catalog.Server
	DataCentres int
	// Slots is how many requests the usable servers process at once, in total.
	Slots int
	// Constraints decide which servers may be used.
	Constraints catalog.Constraints
	// ColdPerSecond is how many requests a second one of them can take from all daemons together while it is cold.
	ColdPerSecond float64
	// Lookup returns the start of a server that is in use, or nil; Lookup itself is nil where that is not known.
	Lookup func(incarnation.ID) *catalog.Server
	// Tried servers are excluded.
	Tried map[incarnation.ID]bool
	// PromptTokens is the size of the prompt; 0 for plain requests. LikelyTokens is how many tokens a turn is likely
	// to generate; 0 where that is not known.
	PromptTokens, LikelyTokens int64
	// Parts are the prompt's parts in order.
	Parts []call.PromptPart
	// Connected reports whether there is an idle connection to a server that the request may use; nil where that is
	// not known.
	Connected func(*catalog.Server) bool
	// subsetSize is how many servers are considered, meanInFlight how many calls this daemon has on one of them on
	// average, fair the load that each should have; Pick sets them.
	subsetSize   int
	meanInFlight float64
	fair         speed.Fair
}

// Choice is the server chosen for a request. Done must be called when the request has ended.
type Choice struct {
	Server catalog.Server
	// InFlight is how many requests of this daemon the server had before this one.
	InFlight int
	// Candidates is how many servers were eligible.
	Candidates int
	// Uncached is how many tokens of a turn's prompt the server is expected to process.
	Uncached int64
	// Generated is set to the number of tokens in a turn's response before Done is called.
	Generated int64

	balancer *Balancer
	state    *serverState
	route    string
	sentAt   time.Time
	observed policy.Observation
	// loadAtStart is the load of a turn's server when it was chosen.
	loadAtStart  float64
	headReceived bool
	done         bool
	// hasSpare is set if there were more servers than considered, hasAlternative if there was more than one.
	hasSpare, hasAlternative bool
}

// Pick chooses a server, or returns false if none may take the request.
func (b *Balancer) Pick(req *Request) (*Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	var best *catalog.Server
	candidates := 0
	req.subsetSize = b.subsetSize(req, now)
	req.meanInFlight = b.meanInFlight(req)
	req.fair = b.fairLoad(req, now)
	// A server that other daemons suspect is preferred to one that fails here, and that one to none.
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
		hasSpare: len(req.Servers) > req.subsetSize, hasAlternative: len(req.Servers) > 1}
	if req.PromptTokens > 0 {
		c.observed = policy.Observation{Uncached: max(0, req.PromptTokens-s.parts.cachedTokens(req.Parts)),
			InFlight: float64(s.inFlight), MeanInFlight: req.meanInFlight}
		c.Uncached = c.observed.Uncached
	}
	b.requestSent(req, c)
	s.inFlight++
	b.calls[best.Service]++
	if req.Constraints.Restriction(best) == catalog.RestrictedCold {
		s.lastColdSend = now
	}
	s.awaitingHead = append(s.awaitingHead, now)
	s.awaitingRoute = req.Route
	s.parts.addPrompt(req.Parts)
	return c, true
}

// trust is how healthy a server must seem to be chosen; each level includes those before it.
type trust int

const (
	// unsuspected servers seem alive to this daemon and to the others.
	unsuspected trust = iota
	// alive servers seem alive to this daemon.
	alive
	// coldOrAlive servers are cold or seem alive to this daemon.
	coldOrAlive
	// anyServer includes servers that seem dead.
	anyServer
)

// choose returns the server with the lowest cost of the best rank, or nil, and how many were eligible. It considers
// servers in order of preference up to subsetSize, so that those of the same data centre's daemons are the same, and in
// addition the server that has cached most of the prompt.
func (b *Balancer) choose(req *Request, now time.Time, trust trust) (best *catalog.Server, candidates int) {
	ignoreReports := trust > unsuspected || b.tooManySuspected(req.Servers)
	var bestCost float64
	var bestRank loadRank
	var mostCached int64
	consider := func(server *catalog.Server) {
		s := b.peekState(server.ID)
		if !b.eligible(req, server, s, now, trust, ignoreReports) {
			return
		}
		candidates++
		mostCached = max(mostCached, s.parts.cachedTokens(req.Parts))
		rank, cost := b.loadRank(req, server, s, now), b.cost(req, server, s, now)*(1+0.02*b.random())
		if best == nil || rank < bestRank || rank == bestRank && cost < bestCost {
			best, bestRank, bestCost = server, rank, cost
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
	if req.PromptTokens > 0 && mostCached == 0 && candidates > 1 && bestRank == withinShare && b.peerCount > 0 && b.loadsKnown(true, now) {
		best = b.chooseByRoom(req, now, best, func(server *catalog.Server, s *serverState) bool {
			return b.eligible(req, server, s, now, trust, ignoreReports)
		})
	}
	return best, candidates
}

// eligible reports whether a server may be chosen at a level of trust.
func (b *Balancer) eligible(req *Request, server *catalog.Server, s *serverState, now time.Time, trust trust, ignoreReports bool) bool {
	if req.Tried[server.ID] || !b.admissible(req, server, now, trust) {
		return false
	}
	return !(trust < anyServer && b.avoided(req.Route, s, now) || !ignoreReports && b.suspected(server.ID))
}

// chooseByRoom chooses for a turn of whose prompt no server has cached anything, at random among the servers that are as
// near as the cheapest one, by their room. Only the reported loads tell such servers apart; they are late and the same to
// all daemons, which would all choose the server that was the least loaded.
func (b *Balancer) chooseByRoom(req *Request, now time.Time, cheapest *catalog.Server, eligible func(*catalog.Server, *serverState) bool) *catalog.Server {
	near := b.topology.DistanceTo(cheapest.DataCentre)
	chosen, total, considered := cheapest, 0.0, 0
	for _, server := range req.Servers {
		s := b.peekState(server.ID)
		if considered >= req.subsetSize {
			break
		}
		if !eligible(server, s) {
			continue
		}
		considered++
		if b.topology.DistanceTo(server.DataCentre) != near {
			continue
		}
		room := req.fair.Room(s.load(), server.Slots, b.speedOf(s, now))
		total += room
		if room > 0 && b.random()*total < room {
			chosen = server
		}
	}
	return chosen
}

// admissible reports whether a server's restrictions allow the request. A cold server may get it where no other can,
// and only in this daemon's window: all daemons together must not exceed the server's rate.
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

// model returns the cost model of a service.
func (b *Balancer) model(service string) *policy.CostModel {
	m := b.models[service]
	if m == nil {
		m = policy.NewCostModel(defaultCosts)
		b.models[service] = m
	}
	return m
}

// meanInFlight returns how many calls this daemon has on average on a server that is considered.
func (b *Balancer) meanInFlight(req *Request) float64 {
	considered := req.Servers[:min(req.subsetSize, len(req.Servers))]
	sum := 0
	for _, server := range considered {
		sum += b.peekState(server.ID).inFlight
	}
	return float64(sum) / float64(max(1, len(considered)))
}

// SetPeerCount sets how many other daemons send to the same servers.
func (b *Balancer) SetPeerCount(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peerCount = n
	b.daemonCount.Observe(time.Now(), n+1)
}

// avoided reports whether a server is ejected, has just shed a request, or is unresponsive.
func (b *Balancer) avoided(route string, s *serverState, now time.Time) bool {
	return now.Before(s.ejectedUntil) || now.Before(s.busyUntil) || b.unresponsive(route, s, now)
}

// unknownServer is the state of every server that this daemon has not used. It must not be modified.
var unknownServer = &serverState{parts: newPartCache()}

// peekState returns the state of a server without creating it: of thousands of servers, a daemon uses few.
func (b *Balancer) peekState(id incarnation.ID) *serverState {
	if s := b.states[id]; s != nil {
		return s
	}
	return unknownServer
}

// stateOf returns the state of a server, and creates it if needed.
func (b *Balancer) stateOf(id incarnation.ID) *serverState {
	s := b.states[id]
	if s == nil {
		s = &serverState{parts: newPartCache()}
		b.states[id] = s
	}
	return s
}

// Forget drops the state of servers that no longer exist.
func (b *Balancer) Forget(exists func(id incarnation.ID) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.states {
		if s.inFlight == 0 && !exists(id) {
			delete(b.states, id)
		}
	}
}

// Costs returns the learnt costs of turns, by service.
func (b *Balancer) Costs() map[string]policy.Costs {
	b.mu.Lock()
	defer b.mu.Unlock()
	costs := make(map[string]policy.Costs, len(b.models))
	for service, m := range b.models {
		costs[service] = m.Costs()
	}
	return costs
}
