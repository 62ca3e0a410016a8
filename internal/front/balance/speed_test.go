package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/exchange"
	"github.com/rookpass/rookpass/internal/transport/call"
)

// speedRun is a number of daemons that send to servers of unequal speed and report to one hub.
type speedRun struct {
	daemons int
	// turns is set for turns at model servers, unset for plain requests.
	turns   bool
	servers int
	// perSecond is the rate of requests of all daemons together.
	perSecond float64
	// speed is the true speed of a server at a time since the start.
	speed func(server int, at time.Duration) float64
	// scatter is the standard deviation of a request's work, as a share.
	scatter float64
	// slowEvery is set if one in so many requests at a server has ten times the usual work; 0 for none.
	slowEvery func(server int) int
	// report changes a report, or drops it by returning false. It may be nil.
	report func(daemon int, args *exchange.Args) bool

	started   time.Time
	random    *rand.Rand
	hub       *exchange.Service
	balancers []*balance.Balancer
	list      []*catalog.Server
	// mu guards the following fields: requests whose timers fire at the same time run in parallel.
	mu       sync.Mutex
	inFlight []int
	// samples are the servers' requests in flight, every sampleInterval; sent counts the requests sent since then.
	samples [][]int
	sent    [][]int
	done    int
	waited  time.Duration
}

const (
	speedStep = 20 * time.Millisecond
	// speedWork is the time that a request takes on an idle server of normal speed.
	speedWork      = 300 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
	speedSlots     = 8
)

// run plays the requests for a time.
func (r *speedRun) run(t *testing.T, length time.Duration) {
	r.started, r.random, r.hub = time.Now(), rand.New(rand.NewPCG(5, 6)), exchange.NewService()
	r.balancers, r.inFlight = nil, make([]int, r.servers)
	for i := range r.daemons {
		r.balancers = append(r.balancers, balance.New(fmt.Sprint("front-", i), place.Topology{DataCentre: "here"}))
	}
	for i := range r.servers {
		r.list = append(r.list, &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: "here", Slots: speedSlots})
	}
	interval := int(exchange.ReportIntervalFor(r.daemons) / speedStep)
	due, sent := 0.0, make([]int, r.servers)
	for tick := range int(length / speedStep) {
		for i := tick % interval; i < r.daemons; i += interval {
			r.swap(t, i)
		}
		for due += r.perSecond * speedStep.Seconds(); due >= 1; due-- {
			r.mu.Lock()
			b, work := r.balancers[r.random.IntN(r.daemons)], 1+r.scatter*r.random.NormFloat64()
			r.mu.Unlock()
			go r.request(t, b, sent, work)
			synctest.Wait()
		}
		if tick%int(sampleInterval/speedStep) == 0 {
			r.mu.Lock()
			r.samples = append(r.samples, slices.Clone(r.inFlight))
			r.sent = append(r.sent, slices.Clone(sent))
			clear(sent)
			r.mu.Unlock()
		}
		time.Sleep(speedStep)
	}
	time.Sleep(10 * time.Minute)
	synctest.Wait()
}

func (r *speedRun) swap(t *testing.T, i int) {
	b := r.balancers[i]
	args := &exchange.Args{From: fmt.Sprint(i), Suspects: b.Suspects(), Failing: b.Failing(), Demand: b.Calls(), Loads: b.Loads(), Speeds: b.Speeds()}
	if r.report != nil && !r.report(i, args) {
		return
	}
	var reply exchange.Reply
	assert.NilError(t, r.hub.Swap(args, &reply))
	b.SetPeerReports(reply.Suspects, reply.Failing)
	b.SetPeerCount(reply.Daemons)
	b.SetPeerLoads(reply.Loads)
	b.SetPeerSpeeds(reply.Speeds)
	b.SetPeerDemand(reply.Demand)
}

// request sends one request. A server's requests share its time: each takes longer by 4% per other one, and beyond its
// slots in proportion.
func (r *speedRun) request(t *testing.T, b *balance.Balancer, sent []int, work float64) {
	req := balance.Request{Route: "r", Servers: r.list, DataCentres: 1}
	r.mu.Lock()
	if r.turns {
		req.PromptTokens, req.Parts = 1000, promptOf(fmt.Sprint("own", r.done))
	}
	r.mu.Unlock()
	choice := pick(t, b, req)
	server := 0
	_, err := fmt.Sscan(choice.Server.ID.Server, &server)
	assert.NilError(t, err)
	began := time.Now()
	r.mu.Lock()
	r.inFlight[server]++
	sent[server]++
	if r.slowEvery != nil {
		if n := r.slowEvery(server); n > 0 && r.random.IntN(n) == 0 {
			work *= 10
		}
	}
	r.mu.Unlock()
	for left := max(0.2, work) * speedWork.Seconds(); left > 0; {
		time.Sleep(speedStep)
		r.mu.Lock()
		n := float64(r.inFlight[server])
		r.mu.Unlock()
		left -= speedStep.Seconds() * r.speed(server, time.Since(r.started)) / (1 + 0.04*(n-1)) / max(1, n/speedSlots)
	}
	r.mu.Lock()
	r.inFlight[server]--
	r.done++
	r.waited += time.Since(began)
	r.mu.Unlock()
	choice.HeadReceived()
	if r.turns {
		choice.Generated = 60
	}
	choice.Done(balance.Answered)
}

// mean returns a server's mean requests in flight between two times, or those sent per sampleInterval.
func mean(samples [][]int, server int, from, to time.Duration) float64 {
	sum := 0
	first, last := int(from/sampleInterval), min(int(to/sampleInterval), len(samples))
	for _, s := range samples[first:last] {
		sum += s[server]
	}
	return float64(sum) / float64(last-first)
}

// meanOf returns the mean of several servers.
func meanOf(samples [][]int, from, to time.Duration, servers ...int) float64 {
	sum := 0.0
	for _, server := range servers {
		sum += mean(samples, server, from, to)
	}
	return sum / float64(len(servers))
}

// upTo returns the numbers from first up to, not including, end.
func upTo(first, end int) []int {
	var list []int
	for i := first; i < end; i++ {
		list = append(list, i)
	}
	return list
}

func promptOf(own string) []call.PromptPart {
	return []call.PromptPart{{ID: own, Tokens: 1000}}
}

// unequal gives three kinds of servers: those before slow are 5 times slower between 8 s and 13 s, those from weak on
// always have 60% of the normal speed.
func unequal(slow, weak int) func(int, time.Duration) float64 {
	return func(server int, at time.Duration) float64 {
		switch {
		case server < slow && at >= 8*time.Second && at < 13*time.Second:
			return 0.2
		case server >= weak:
			return 0.6
		default:
			return 1
		}
	}
}

// TestLoadFollowsSpeed guards against load that stays on slow servers, that does not return to them, that leaves those
// that are always somewhat slower, or that all daemons move to the same servers together. A few daemons use each server
// often, 66 daemons rarely.
func TestLoadFollowsSpeed(t *testing.T) {
	for _, c := range []struct {
		turns   bool
		daemons int
	}{{true, 2}, {true, 8}, {false, 2}, {false, 8}, {false, 66}} {
		t.Run(fmt.Sprintf("turns %v, %d daemons", c.turns, c.daemons), func(t *testing.T) { checkLoadFollowsSpeed(t, c.turns, c.daemons) })
	}
}

// TestTurnsOfManyDaemonsFollowSpeed is the same for turns of 66 daemons, which know one another's loads late.
func TestTurnsOfManyDaemonsFollowSpeed(t *testing.T) { checkLoadFollowsSpeed(t, true, 66) }

func checkLoadFollowsSpeed(t *testing.T, turns bool, daemons int) {
	const servers, slow, weak = 24, 4, 16
	synctest.Test(t, func(t *testing.T) {
		r := &speedRun{daemons: daemons, turns: turns, servers: servers, perSecond: 8 * servers, scatter: 0.2, speed: unequal(slow, weak)}
		r.run(t, 20*time.Second)
		rate := func(from, to time.Duration, of []int) float64 { return meanOf(r.sent, from, to, of...) }
		normal := rate(4*time.Second, 8*time.Second, upTo(0, weak))
		weakShare := rate(4*time.Second, 8*time.Second, upTo(weak, servers)) / normal
		during := rate(10*time.Second, 13*time.Second, upTo(0, slow)) / normal
		after := rate(16*time.Second, 20*time.Second, upTo(0, slow)) / rate(16*time.Second, 20*time.Second, upTo(slow, weak))
		busiest, fair := r.peak(4*time.Second, 8*time.Second)
		t.Logf("weak servers get %.2f of the others' rate, slow ones %.2f, %.2f when normal again; at most %.1f in flight over 0.5 s, mean %.1f; %v a request",
			weakShare, during, after, busiest, fair, r.waited/time.Duration(r.done))
		assert.Assert(t, weakShare > 0.3 && weakShare < 0.95, "%.2f", weakShare)
		assert.Assert(t, during < 0.25, "%.2f", during)
		assert.Assert(t, after > 0.7 && after < 1.4, "%.2f", after)
		assert.Assert(t, busiest < 4*fair, "%.1f of %.1f", busiest, fair)
	})
}

// peak returns the largest number of requests in flight at a server, over half a second, and the mean of all.
func (r *speedRun) peak(from, to time.Duration) (busiest, fair float64) {
	const window = 500 * time.Millisecond
	for server := range r.servers {
		fair += mean(r.samples, server, from, to) / float64(r.servers)
		for at := from; at+window <= to; at += window {
			busiest = max(busiest, mean(r.samples, server, at, at+window))
		}
	}
	return busiest, fair
}

// TestReportsLostOrFalse guards against daemons that depend on reports, or believe a single one: half of the daemons
// lose all reports from 3 s on, and one reports false speeds.
func TestReportsLostOrFalse(t *testing.T) {
	const servers, slow, weak = 24, 4, 16
	for name, report := range map[string]func(r *speedRun) func(int, *exchange.Args) bool{
		"lost": func(r *speedRun) func(int, *exchange.Args) bool {
			return func(daemon int, _ *exchange.Args) bool { return daemon%2 == 0 || time.Since(r.started) < 3*time.Second }
		},
		"false": func(r *speedRun) func(int, *exchange.Args) bool {
			return func(daemon int, args *exchange.Args) bool {
				if daemon == 0 {
					args.Speeds = map[incarnation.ID]int{}
					for i := range servers {
						args.Speeds[id(fmt.Sprint(i))] = []int{-5, 0, 1 << 40}[i%3]
					}
				}
				return true
			}
		},
	} {
		for _, daemons := range []int{8, 66} {
			t.Run(fmt.Sprintf("%s, %d daemons", name, daemons), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := &speedRun{daemons: daemons, turns: true, servers: servers, perSecond: 8 * servers, scatter: 0.2, speed: unequal(slow, weak)}
					r.report = report(r)
					r.run(t, 20*time.Second)
					least, most := 1e9, 0.0
					for server := range weak {
						rate := mean(r.sent, server, 4*time.Second, 8*time.Second)
						least, most = min(least, rate), max(most, rate)
					}
					fair := meanOf(r.sent, 4*time.Second, 8*time.Second, upTo(0, weak)...)
					during := meanOf(r.sent, 10500*time.Millisecond, 13*time.Second, upTo(0, slow)...) / fair
					after := meanOf(r.sent, 16*time.Second, 20*time.Second, upTo(0, slow)...) / fair
					t.Logf("normal servers get %.2f to %.2f of their mean rate; slow ones %.2f, %.2f when normal again; %v a request",
						least/fair, most/fair, during, after, r.waited/time.Duration(r.done))
					assert.Assert(t, least > 0.4*fair && most < 1.8*fair, "%.2f to %.2f of %.2f", least, most, fair)
					// Half of 66 daemons without reports use a slow server too rarely to notice.
					assert.Assert(t, during < 0.75, "%.2f", during)
					assert.Assert(t, after > 0.6, "%.2f", after)
				})
			})
		}
	}
}
