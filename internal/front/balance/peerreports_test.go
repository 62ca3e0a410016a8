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
)

func TestServersFailingManyDaemonsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		b.SetPeerReports(nil, map[incarnation.ID]int{id("0"): 3, id("1"): 2})
		seen := map[incarnation.ID]bool{}
		for range 60 {
			seen[pick(t, b, balance.Request{Servers: servers(4)}).Server.ID] = true
		}
		assert.DeepEqual(t, seen, map[incarnation.ID]bool{id("1"): true, id("2"): true, id("3"): true})
		fail := func(i int) {
			pick(t, b, balance.Request{Servers: servers(4)[i : i+1]}).Done(balance.Failed)
		}
		fail(2)
		fail(3)
		pick(t, b, balance.Request{Servers: servers(4)[3:]}).Done(balance.Answered)
		assert.DeepEqual(t, b.Failing(), []incarnation.ID{id("2")}) // a server that has answered since is not failing
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(b.Failing()), 0)
	})
}

// crowd is a set of daemons that send to the same servers and exchange reports.
type crowd struct {
	daemons []*balance.Balancer
	hub     *exchange.Service
	servers []*catalog.Server
	random  *rand.Rand
	// reportFailing is set if daemons report which servers fail them.
	reportFailing bool
	// demand is how many calls all daemons have under way.
	demand int
}

// callTime is how long a call counts as under way.
const callTime = 150 * time.Millisecond

func newCrowd(daemons, servers int, reportFailing bool) *crowd {
	c := &crowd{hub: exchange.NewService(), random: rand.New(rand.NewPCG(1, 2)), reportFailing: reportFailing}
	for range daemons {
		c.daemons = append(c.daemons, balance.New("front", place.Topology{DataCentre: "here"}))
	}
	for i := range servers {
		c.servers = append(c.servers, &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: "here", Slots: 6})
	}
	return c
}

// swap sends a daemon's report to the hub and applies the reply.
func (c *crowd) swap(i int) error {
	b := c.daemons[i]
	args := &exchange.Args{From: fmt.Sprint(i), Suspects: b.Suspects()}
	if c.reportFailing {
		args.Failing = b.Failing()
	}
	var reply exchange.Reply
	err := c.hub.Swap(args, &reply)
	b.SetPeerReports(reply.Suspects, reply.Failing)
	b.SetPeerDemand(map[string]int{"svc": c.demand})
	return err
}

// play sends perSecond requests a second per server for a time, and returns how many tries failed. fails tells
// whether a server fails a request at a time.
func (c *crowd) play(t *testing.T, perSecond int, length time.Duration, fails func(server int, at time.Duration) bool) (failed int) {
	const step = 10 * time.Millisecond
	c.demand = int(callTime.Seconds() * float64(perSecond*len(c.servers)))
	pause := int(exchange.ReportIntervalFor(len(c.daemons)) / step)
	for tick := range int(length / step) {
		for i := tick % pause; i < len(c.daemons); i += pause {
			assert.NilError(t, c.swap(i))
		}
		for range perSecond * len(c.servers) / int(time.Second/step) {
			b := c.daemons[c.random.IntN(len(c.daemons))]
			choice, found := b.Pick(&balance.Request{Route: "r", Servers: c.servers})
			assert.Assert(t, found)
			var server int
			_, err := fmt.Sscan(choice.Server.ID.Server, &server)
			assert.NilError(t, err)
			choice.HeadReceived()
			if fails(server, time.Duration(tick)*step) {
				failed++
				choice.Done(balance.Failed)
			} else {
				choice.Done(balance.Answered)
			}
		}
		time.Sleep(step)
	}
	return failed
}

// TestPeerReportsLimitFailures has 11 of 145 servers go down and up every half second for 7 s. Among many daemons
// none meets one of them twice soon, so only reports of other daemons keep requests away from them.
func TestPeerReportsLimitFailures(t *testing.T) {
	flapping := func(server int, at time.Duration) bool { return server < 11 && at/(500*time.Millisecond)%2 == 0 }
	for _, daemons := range []int{7, 57, 259, 400} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			play := func(reportFailing bool) (failed int) {
				synctest.Test(t, func(t *testing.T) {
					failed = newCrowd(daemons, 145, reportFailing).play(t, 10, 7*time.Second, flapping)
				})
				return failed
			}
			alone, together := play(false), play(true)
			assert.Assert(t, together <= 220, "%d tries failed, %d without reports", together, alone)
		})
	}
}

// TestFewLostResponsesLeaveServersInUse checks that servers that lose 3% of their responses are not avoided for it.
func TestFewLostResponsesLeaveServersInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(259, 145, true)
		c.play(t, 10, 4*time.Second, func(server int, _ time.Duration) bool { return server < 87 && c.random.IntN(100) < 3 })
		avoided := 0
		for i := range c.servers {
			if c.daemons[0].View(c.servers[i].ID).Failing >= 3 {
				avoided++
			}
		}
		assert.Assert(t, avoided <= 145/10, "%d servers are avoided", avoided)
	})
}
