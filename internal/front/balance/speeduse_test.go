package balance_test

import (
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// TestEqualServersAreChosenAsBefore checks that among servers of equal speed each request goes to one with the fewest
// in flight, as it did before speeds were estimated, for plain requests and for turns.
func TestEqualServersAreChosenAsBefore(t *testing.T) {
	for _, tokens := range []int64{0, 500} {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(7, 8))
			b := balance.New("front", place.Topology{DataCentre: "here"})
			var mu sync.Mutex // responses that end at the same time run in parallel
			inFlight := map[incarnation.ID]int{}
			for range 4000 {
				choice := pick(t, b, balance.Request{Route: "r", Servers: servers(8), PromptTokens: tokens})
				least := 1 << 30
				mu.Lock()
				for _, s := range servers(8) {
					least = min(least, inFlight[s.ID])
				}
				assert.Equal(t, inFlight[choice.Server.ID], least)
				inFlight[choice.Server.ID]++
				mu.Unlock()
				go func() {
					time.Sleep(100 * time.Millisecond)
					choice.HeadReceived()
					choice.Done(balance.Answered)
					mu.Lock()
					inFlight[choice.Server.ID]--
					mu.Unlock()
				}()
				time.Sleep(time.Duration(random.IntN(8)) * time.Millisecond)
				synctest.Wait()
			}
			for _, s := range servers(8) {
				assert.Equal(t, b.View(s.ID).Speed, 1.0)
			}
			assert.Equal(t, b.EffectiveSlots(allSlots(8)), 48)
			assert.Equal(t, len(b.Speeds()), 0)
			time.Sleep(time.Second)
		})
	}
}

// TestMomentarySlownessKeepsLoad guards against load that moves for single slow responses: one in 100 requests takes ten
// times as long, all on half of the servers, whose work is thereby 9% more.
func TestMomentarySlownessKeepsLoad(t *testing.T) {
	for _, daemons := range []int{2, 66} {
		synctest.Test(t, func(t *testing.T) {
			const servers = 12
			r := &speedRun{daemons: daemons, turns: true, servers: servers, perSecond: 6 * servers, scatter: 0.1}
			r.speed = func(int, time.Duration) float64 { return 1 }
			r.slowEvery = func(server int) int {
				if server < servers/2 {
					return 100
				}
				return 0
			}
			r.run(t, 20*time.Second)
			share := meanOf(r.sent, 4*time.Second, 20*time.Second, upTo(0, servers/2)...) / meanOf(r.sent, 4*time.Second, 20*time.Second, upTo(servers/2, servers)...)
			t.Logf("%d daemons: %.2f", daemons, share)
			assert.Assert(t, share > 0.75, "%.2f", share)
		})
	}
}

// toldSpeeds returns a balancer to which others have reported speeds.
func toldSpeeds(reported map[incarnation.ID]exchange.SpeedReports) *balance.Balancer {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	b.SetPeerSpeeds(reported)
	return b
}

func reports(perMille, reporters int) exchange.SpeedReports {
	return exchange.SpeedReports{Total: perMille * reporters, Reporters: reporters}
}

// allSlots returns a request that may use n servers.
func allSlots(n int) *balance.Request {
	return &balance.Request{Servers: servers(n), Slots: 6 * n}
}

// TestEffectiveSlots checks that the slots of slower servers count for less, those of faster ones for at most 1.5 times
// as much.
func TestEffectiveSlots(t *testing.T) {
	b := toldSpeeds(map[incarnation.ID]exchange.SpeedReports{id("0"): reports(250, 50), id("1"): reports(2000, 50)})
	slots := b.EffectiveSlots(allSlots(4))
	assert.Assert(t, slots >= 22 && slots <= 23, "6 + 6 + about 1.5 + 9 at most: %d", slots)
	draining := allSlots(4)
	draining.Servers[0].Draining = true
	draining.Slots -= 6
	slots = b.EffectiveSlots(draining)
	assert.Assert(t, slots >= 20 && slots <= 21, "without the slow one: %d", slots)
}

// TestSingleServerIsUnaffected checks that slowness has no effect where a service has one server.
func TestSingleServerIsUnaffected(t *testing.T) {
	b := toldSpeeds(map[incarnation.ID]exchange.SpeedReports{id("0"): reports(150, 50)})
	assert.Equal(t, b.EffectiveSlots(allSlots(1)), 6)
	var last *balance.Choice
	for range 50 {
		last = pick(t, b, balance.Request{Route: "r", Servers: servers(1)})
		assert.Equal(t, last.Server.ID, id("0"))
	}
	assert.Equal(t, last.HedgeAfter(), b.HedgeAfter("r"))
	assert.Equal(t, b.View(id("0")).LoadShare, 0.0)
}

// TestHedgeDelayFollowsSpeed checks that a server that is known to be slower is given more time, within bounds.
func TestHedgeDelayFollowsSpeed(t *testing.T) {
	b := toldSpeeds(map[incarnation.ID]exchange.SpeedReports{id("0"): reports(700, 50), id("1"): reports(150, 50)})
	delay := func(server string) float64 {
		req := balance.Request{Route: "r", Servers: servers(2), Tried: map[incarnation.ID]bool{id("0"): server != "0", id("1"): server != "1"}}
		return float64(pick(t, b, req).HedgeAfter()) / float64(b.HedgeAfter("r"))
	}
	assert.Assert(t, delay("0") > 1.3 && delay("0") < 1.45, "%.2f", delay("0"))
	assert.Equal(t, delay("1"), 1.5)
}

// TestBusiestServerIsBounded guards against plain requests to a server that is much busier than the others. A turn may go
// there: to read a cached prompt again elsewhere delays all requests of that server.
func TestBusiestServerIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		b.SetPeerCount(10)
		list := servers(4)
		cached := balance.Request{Servers: list, PromptTokens: 12000, Parts: promptOf("shared")}
		cached.Parts[0].Tokens = 12000
		for i, s := range list {
			req := balance.Request{Servers: list[i : i+1], PromptTokens: 100, Parts: promptOf("own" + s.ID.Server)}
			if i == 0 {
				req = cached
				req.Servers = list[:1]
			}
			pick(t, b, req).Done(balance.Abandoned)
		}
		loads := map[incarnation.ID]int{id("0"): 60, id("1"): 60, id("2"): 60, id("3"): 60}
		for range 20 {
			b.SetPeerLoads(loads)
		}
		choice := pick(t, b, cached)
		assert.Equal(t, choice.Server.ID, id("0"), "it has no more than the others")
		choice.Done(balance.Abandoned)
		loads[id("0")] = 100
		for range 20 {
			b.SetPeerLoads(loads)
		}
		for range 20 {
			choice = pick(t, b, balance.Request{Servers: list})
			assert.Assert(t, choice.Server.ID != id("0"))
			choice.Done(balance.Abandoned)
		}
		share := b.View(id("0")).LoadShare
		assert.Assert(t, share > 1.4 && share < 1.45, "%.2f", share)
		_, largest := b.SpeedExtremes()
		assert.Assert(t, largest > 1.4, "%.2f", largest)
		tried := cached
		tried.Tried = map[incarnation.ID]bool{id("1"): true, id("2"): true, id("3"): true}
		choice = pick(t, b, tried)
		assert.Equal(t, choice.Server.ID, id("0"), "no other server is usable")
		choice.Done(balance.Abandoned)
		time.Sleep(3 * time.Second)
		cached.Tried = nil
		choice = pick(t, b, cached)
		assert.Equal(t, b.View(id("0")).LoadShare, 0.0, "the reports are stale")
		choice.Done(balance.Abandoned)
	})
}

// TestReportedSpeedsAreBounded checks that a daemon that uses many servers of changed speed reports 32.
func TestReportedSpeedsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		list := servers(100)
		answer := func(i int, took time.Duration) {
			choice := pick(t, b, balance.Request{Route: "r", Servers: list[i : i+1]})
			time.Sleep(took)
			choice.HeadReceived()
			choice.Done(balance.Answered)
		}
		for i := range list {
			for range 3 {
				answer(i, 10*time.Millisecond)
			}
		}
		for i := range 90 {
			answer(i, 4*time.Millisecond)
			answer(i, 3*time.Millisecond)
			answer(i, 3*time.Millisecond)
		}
		speeds := b.Speeds()
		assert.Assert(t, len(speeds) > 0 && len(speeds) <= 32, "%d", len(speeds))
	})
}
