package balance_test

import (
	"fmt"
	"math/rand/v2"
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

// lightFleet is many daemons with a light load on many servers, both spread over five data centres.
type lightFleet struct {
	random  *rand.Rand
	hubs    []*exchange.Service
	daemons []*lightDaemon
	// reportDemand is set if daemons report their demand to one another.
	reportDemand bool
	// dead servers don't answer.
	dead map[incarnation.ID]bool

	// mu guards the following fields: turns that wake at the same time run in parallel.
	mu                         sync.Mutex
	turns, failed, sharedReads int
	// readBy holds the servers that have read the shared part.
	readBy map[incarnation.ID]bool
}

type lightDaemon struct {
	balancer *balance.Balancer
	servers  []*catalog.Server
}

const (
	lightDataCentres  = 5
	lightSharedTokens = 2560
	lightTurnTime     = 120 * time.Millisecond
	lightStep         = 20 * time.Millisecond
)

// newLightFleet returns a fleet with 5.4 servers and half a turn a second for each daemon.
func newLightFleet(daemons int, reportDemand bool) *lightFleet {
	f := &lightFleet{random: rand.New(rand.NewPCG(3, 4)), reportDemand: reportDemand, dead: map[incarnation.ID]bool{},
		readBy: map[incarnation.ID]bool{}}
	for range lightDataCentres {
		f.hubs = append(f.hubs, exchange.NewService())
	}
	var all [lightDataCentres][]*catalog.Server
	for i := range daemons * 54 / 10 {
		at := i % lightDataCentres
		all[at] = append(all[at], &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: fmt.Sprint("dc", at), Slots: 6})
	}
	var orders [lightDataCentres][]*catalog.Server
	for at := range orders {
		orders[at] = append(orders[at], all[at]...)
		for other := range all {
			if other != at {
				orders[at] = append(orders[at], all[other]...)
			}
		}
	}
	for i := range daemons {
		at := i % lightDataCentres
		b := balance.New(fmt.Sprint("front-", i), place.Topology{DataCentre: fmt.Sprint("dc", at)})
		b.SetRandom(rand.New(rand.NewPCG(3, uint64(i))))
		f.daemons = append(f.daemons, &lightDaemon{balancer: b, servers: orders[at]})
	}
	return f
}

// play runs the fleet for a time. Daemons report as often as in a fleet of their number.
func (f *lightFleet) play(t *testing.T, length time.Duration) {
	perHub := len(f.daemons)
	if perHub > 150 {
		perHub /= len(f.hubs)
	}
	pause := int(exchange.ReportIntervalFor(perHub) / lightStep)
	perStep := 0.52 * float64(len(f.daemons)) * lightStep.Seconds()
	due := 0.0
	for tick := range int(length / lightStep) {
		for i := tick % pause; i < len(f.daemons); i += pause {
			f.swap(t, i)
		}
		if tick%int(exchange.ReportInterval/lightStep) == 0 {
			f.relay(t)
		}
		for due += perStep; due >= 1; due-- {
			go f.turn(t, f.daemons[f.random.IntN(len(f.daemons))])
			synctest.Wait()
		}
		time.Sleep(lightStep)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
}

func (f *lightFleet) swap(t *testing.T, i int) {
	d := f.daemons[i]
	args := &exchange.Args{From: fmt.Sprint(i), Suspects: d.balancer.Suspects(), Failing: d.balancer.Failing(), Loads: d.balancer.Loads(),
		Demand: d.balancer.Calls()}
	var reply exchange.Reply
	assert.NilError(t, f.hubOf(i).Swap(args, &reply))
	d.balancer.SetPeerReports(reply.Suspects, reply.Failing)
	d.balancer.SetPeerCount(reply.Daemons)
	d.balancer.SetPeerLoads(reply.Loads)
	if f.reportDemand {
		d.balancer.SetPeerDemand(reply.Demand)
	}
}

// hubOf returns the hub to which a daemon reports: in a small fleet there is only one.
func (f *lightFleet) hubOf(i int) *exchange.Service {
	if len(f.daemons) <= 150 {
		return f.hubs[0]
	}
	return f.hubs[i%len(f.hubs)]
}

// relay lets the hubs report their sums to one another.
func (f *lightFleet) relay(t *testing.T) {
	for i, from := range f.hubs {
		sums := from.Sums(fmt.Sprint("hub-", i))
		for j, to := range f.hubs {
			if i != j && sums != nil {
				assert.NilError(t, to.Relay(sums, nil))
			}
		}
	}
}

// beginTurn counts a turn and returns its number.
func (f *lightFleet) beginTurn() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.turns++
	return f.turns
}

// endFailed counts a turn that failed.
func (f *lightFleet) endFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed++
}

// readShared records that a server reads the shared part.
func (f *lightFleet) readShared(server incarnation.ID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.readBy[server] {
		f.readBy[server] = true
		f.sharedReads++
	}
}

// turn runs a program's first turn.
func (f *lightFleet) turn(t *testing.T, d *lightDaemon) {
	req := balance.Request{Route: "r", Servers: d.servers, DataCentres: lightDataCentres, PromptTokens: 3590,
		Parts: []call.PromptPart{{ID: "shared", Tokens: lightSharedTokens}, {ID: fmt.Sprint("own", f.beginTurn()), Tokens: 1030}}}
	choice := pick(t, d.balancer, req)
	server := choice.Server.ID
	if f.dead[server] {
		time.Sleep(2 * time.Second)
		f.endFailed()
		choice.Done(balance.Failed)
		return
	}
	f.readShared(server)
	time.Sleep(lightTurnTime)
	choice.HeadReceived()
	choice.Generated = 24
	choice.Done(balance.Answered)
}

// TestLightFleetSharesCachedPrompts checks that the number of servers that read the shared part of a prompt follows
// the load, and not the number of daemons or servers.
func TestLightFleetSharesCachedPrompts(t *testing.T) {
	for _, daemons := range []int{57, 259, 865} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLightFleet(daemons, true)
				for i := range f.daemons {
					f.swap(t, i)
					f.swap(t, i)
				}
				f.play(t, 10*time.Second)
				share := float64(f.sharedReads) / float64(f.turns)
				t.Logf("%d turns, %d servers read the shared part: %.3f", f.turns, f.sharedReads, share)
				assert.Assert(t, f.sharedReads <= lightDataCentres*max(16, daemons/20), "%d servers read the shared part", f.sharedReads)
			})
		})
	}
}

// TestLightFleetAvoidsDeadServers checks that when one in seven servers stops answering, the next in order replace
// them, and reports spread soon enough that few turns meet a dead one.
func TestLightFleetAvoidsDeadServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newLightFleet(259, true)
		f.play(t, 2*time.Second)
		for i, server := range f.daemons[0].servers {
			if i%7 == 0 {
				f.dead[server.ID] = true
			}
		}
		before := f.turns
		f.play(t, 10*time.Second)
		share := float64(f.failed) / float64(f.turns-before)
		t.Logf("%d of %d turns met a dead server: %.3f", f.failed, f.turns-before, share)
		assert.Assert(t, share <= 0.07, "at most half of the share without reports may meet one: %.3f", share)
	})
}
