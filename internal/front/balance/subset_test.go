package balance_test

import (
	"fmt"
	"math/rand/v2"
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

// lightFleet is many daemons that have little to do before many servers, both spread over five data centres.
type lightFleet struct {
	random  *rand.Rand
	hubs    []*exchange.Service
	daemons []*lightDaemon
	// tells lets daemons tell one another what they have under way.
	tells bool
	// dead servers answer nothing.
	dead map[incarnation.ID]bool

	turns, failed, sharedReads int
	// readBy are the servers that have read the shared part.
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

// newLightFleet has 5.4 servers and half a turn a second for each daemon.
func newLightFleet(daemons int, tells bool) *lightFleet {
	f := &lightFleet{random: rand.New(rand.NewPCG(3, 4)), tells: tells, dead: map[incarnation.ID]bool{},
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
		f.daemons = append(f.daemons, &lightDaemon{balancer: balance.New(fmt.Sprint("front-", i), place.Topology{DataCentre: fmt.Sprint("dc", at)}), servers: orders[at]})
	}
	return f
}

// play lets the fleet work. Daemons swap as they do on a fleet of their number.
func (f *lightFleet) play(t *testing.T, length time.Duration) {
	perHub := len(f.daemons)
	if perHub > 150 {
		perHub /= len(f.hubs)
	}
	pause := int(exchange.ReportIntervalFor(perHub) / lightStep)
	perStep := 0.52 * float64(len(f.daemons)) * lightStep.Seconds()
	due := 0.0
	for tick := range int(length / lightStep) {
		for place := tick % pause; place < len(f.daemons); place += pause {
			f.swap(t, place)
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
}

func (f *lightFleet) swap(t *testing.T, place int) {
	d := f.daemons[place]
	args := &exchange.Args{From: fmt.Sprint(place), Suspects: d.balancer.Suspects(), Failing: d.balancer.Failing(), Loads: d.balancer.Loads(),
		Demand: d.balancer.Calls()}
	var reply exchange.Reply
	assert.NilError(t, f.hubOf(place).Swap(args, &reply))
	d.balancer.SetPeerReports(reply.Suspects, reply.Failing)
	d.balancer.SetPeerCount(reply.Daemons)
	d.balancer.SetPeerLoads(reply.Loads)
	if f.tells {
		d.balancer.SetPeerDemand(reply.Demand)
	}
}

// hubOf returns where a daemon meets others: few all meet at one.
func (f *lightFleet) hubOf(place int) *exchange.Service {
	if len(f.daemons) <= 150 {
		return f.hubs[0]
	}
	return f.hubs[place%len(f.hubs)]
}

// relay lets the hubs tell one another their sums.
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

// turn is a program's first turn.
func (f *lightFleet) turn(t *testing.T, d *lightDaemon) {
	req := balance.Request{Route: "r", Servers: d.servers, DataCentres: lightDataCentres, PromptTokens: 3590,
		Parts: []call.PromptPart{{ID: "shared", Tokens: lightSharedTokens}, {ID: fmt.Sprint("own", f.turns), Tokens: 1030}}}
	choice := pick(t, d.balancer, req)
	f.turns++
	server := choice.Server.ID
	if f.dead[server] {
		time.Sleep(2 * time.Second)
		f.failed++
		choice.Done(balance.Failed)
		return
	}
	if !f.readBy[server] {
		f.readBy[server] = true
		f.sharedReads++
	}
	time.Sleep(lightTurnTime)
	choice.HeadReceived()
	choice.Generated = 24
	choice.Done(balance.Answered)
}

// TestLightFleetSharesCachedPrompts: how many servers read the shared part of a prompt follows the work, and not how many
// daemons or servers there are. Where each daemon chooses among all servers, each makes one of its own read it.
func TestLightFleetSharesCachedPrompts(t *testing.T) {
	for _, daemons := range []int{57, 259, 865} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newLightFleet(daemons, true)
				for place := range f.daemons {
					f.swap(t, place)
					f.swap(t, place)
				}
				f.play(t, 10*time.Second)
				share := float64(f.sharedReads) / float64(f.turns)
				t.Logf("%d turns, %d servers read the shared part: %.3f", f.turns, f.sharedReads, share)
				assert.Assert(t, f.sharedReads <= lightDataCentres*max(16, daemons/20), "%d servers read the shared part", f.sharedReads)
			})
		})
	}
}

// TestLightFleetAvoidsDeadServers: one in seven servers goes dark for good. Those next in order stand in for them, and word
// of the dark ones goes round soon enough that few turns meet one.
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
		t.Logf("%d of %d turns met a dark server: %.3f", f.failed, f.turns-before, share)
		assert.Assert(t, share <= 0.07, "as many as half of those that would if nobody told: %.3f", share)
	})
}
