package balance_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// id returns the ID of a server that has one start only.
func id(server string) incarnation.ID { return incarnation.ID{Server: server} }

func servers(n int) []*catalog.Server {
	var list []*catalog.Server
	for i := range n {
		list = append(list, &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: "here", Slots: 6})
	}
	return list
}

func pick(t *testing.T, b *balance.Balancer, req balance.Request) *balance.Choice {
	t.Helper()
	choice, found := b.Pick(&req)
	assert.Assert(t, found)
	return choice
}

func TestLoadIsSpread(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	counts := map[incarnation.ID]int{}
	for range 40 {
		counts[pick(t, b, balance.Request{Servers: servers(4)}).Server.ID]++
	}
	for server, n := range counts {
		assert.Equal(t, n, 10, "server %s", server)
	}
}

func TestDrainingAndTriedServersAreExcluded(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	list := servers(3)
	list[0].Draining = true
	for range 20 {
		choice := pick(t, b, balance.Request{Servers: list, Tried: map[incarnation.ID]bool{id("1"): true}})
		assert.Equal(t, choice.Server.ID, id("2"))
	}
	_, found := b.Pick(&balance.Request{Servers: list, Tried: map[incarnation.ID]bool{id("1"): true, id("2"): true}})
	assert.Assert(t, !found)
}

func TestFailingServerIsEjectedForATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		fail := func() {
			choice := pick(t, b, balance.Request{Servers: servers(1)})
			choice.Done(balance.Failed)
		}
		fail()
		fail()
		for range 20 {
			choice := pick(t, b, balance.Request{Servers: servers(2)})
			assert.Equal(t, choice.Server.ID, id("1"))
			choice.Done(balance.Answered)
		}
		// A server that seems to fail is better than none.
		last := pick(t, b, balance.Request{Servers: servers(1)})
		assert.Equal(t, last.Server.ID, id("0"))
		last.Done(balance.Abandoned) // a request without a response would count against it too
		time.Sleep(time.Second)
		seen := map[incarnation.ID]bool{}
		for range 20 {
			seen[pick(t, b, balance.Request{Servers: servers(2)}).Server.ID] = true
		}
		assert.Assert(t, seen[id("0")])
	})
}

func TestAbandonedRequestsDoNotCount(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	for range 10 {
		pick(t, b, balance.Request{Servers: servers(1)}).Done(balance.Abandoned)
	}
	seen := map[incarnation.ID]bool{}
	for range 10 {
		seen[pick(t, b, balance.Request{Servers: servers(2)}).Server.ID] = true
	}
	assert.Equal(t, len(seen), 2)
}

// TestTurnsPreferCachedPrompt checks that turns go to the server that has cached their prompt, unless it is far
// busier.
func TestTurnsPreferCachedPrompt(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	b.RecordCached(turn.CachedPrompt{Server: id("2"), Part: "own", Held: 3800})
	req := balance.Request{Servers: servers(4), PromptTokens: 4000, Parts: []call.PromptPart{{ID: "own", Tokens: 4000}}}
	for range 4 {
		assert.Equal(t, pick(t, b, req).Server.ID, id("2"))
	}
	for range 30 {
		pick(t, b, req)
	}
	counts := map[incarnation.ID]int{}
	for range 20 {
		counts[pick(t, b, req).Server.ID]++
	}
	assert.Assert(t, counts[id("2")] < 20, "all of 20 turns went to the server with over 30 in flight")
}

func TestSharedPartsAreRemembered(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	req := balance.Request{Servers: servers(6), PromptTokens: 3000, Parts: []call.PromptPart{{ID: "shared", Tokens: 2500}, {ID: "own", Tokens: 500}}}
	first := pick(t, b, req)
	first.Done(balance.Answered)
	req.Parts = []call.PromptPart{{ID: "shared", Tokens: 2500}, {ID: "another", Tokens: 500}}
	assert.Equal(t, pick(t, b, req).Server.ID, first.Server.ID)
}

func TestForgetsServersThatAreGone(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	choice := pick(t, b, balance.Request{Servers: servers(1)})
	b.Forget(func(incarnation.ID) bool { return false })
	choice.Done(balance.Failed)
	b.Forget(func(incarnation.ID) bool { return false })
	assert.Equal(t, pick(t, b, balance.Request{Servers: servers(1)}).InFlight, 0)
}

// TestUnresponsiveServerIsAvoided checks that a server that keeps one request waiting for much longer than usual is
// avoided until it responds.
func TestUnresponsiveServerIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		req := balance.Request{Route: "r", Servers: servers(2)}
		for range 20 {
			choice := pick(t, b, req)
			time.Sleep(50 * time.Millisecond)
			choice.HeadReceived()
			choice.Done(balance.Answered)
		}
		unresponsive := pick(t, b, req)
		time.Sleep(310 * time.Millisecond)
		for range 5 {
			assert.Assert(t, pick(t, b, req).Server.ID != unresponsive.Server.ID)
		}
		unresponsive.HeadReceived()
		assert.Equal(t, pick(t, b, req).Server.ID, unresponsive.Server.ID)
	})
}

func TestHedgeDelayFollowsRouteLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		unknown := b.HedgeAfter("r")
		for range 200 {
			choice := pick(t, b, balance.Request{Route: "r", Servers: servers(2)})
			time.Sleep(40 * time.Millisecond)
			choice.HeadReceived()
			choice.Done(balance.Answered)
		}
		assert.Assert(t, b.HedgeAfter("r") < unknown)
		assert.Assert(t, b.HedgeAfter("r") > 100*time.Millisecond)
		assert.Equal(t, b.HedgeAfter("other"), unknown)
	})
}

// TestPeerSuspicionCounts checks that a server that others suspect is avoided, unless too many are suspected or no
// other is left.
func TestPeerSuspicionCounts(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	b.SetPeerReports(map[incarnation.ID]int{id("0"): 1}, nil)
	for range 20 {
		assert.Assert(t, pick(t, b, balance.Request{Servers: servers(4)}).Server.ID != id("0"))
	}
	assert.Equal(t, pick(t, b, balance.Request{Servers: servers(1)}).Server.ID, id("0"))
	b.SetPeerReports(map[incarnation.ID]int{id("0"): 1, id("1"): 1, id("2"): 1}, nil)
	seen := map[incarnation.ID]bool{}
	for range 40 {
		seen[pick(t, b, balance.Request{Servers: servers(4)}).Server.ID] = true
	}
	assert.Equal(t, len(seen), 4)
}

// TestPartitionedDaemonSuspectsNobody checks that a daemon to which most servers seem dead suspects none: its own
// network is the likelier cause.
func TestPartitionedDaemonSuspectsNobody(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	fail := func(i int) {
		for range 2 {
			pick(t, b, balance.Request{Servers: servers(5)[i : i+1]}).Done(balance.Failed)
		}
	}
	for i := range 5 {
		pick(t, b, balance.Request{Servers: servers(5)[i : i+1]}).Done(balance.Answered)
	}
	fail(3)
	assert.DeepEqual(t, b.Suspects(), []incarnation.ID{id("3")})
	fail(1)
	fail(2)
	assert.Equal(t, len(b.Suspects()), 0)
}

// TestCacheMattersUnderLoad checks that leaving the server that has cached a short prompt is free on idle servers,
// and avoided on busy ones, where it delays other calls.
func TestCacheMattersUnderLoad(t *testing.T) {
	for peers, stays := range map[int]bool{0: false, 50: true} {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		b.SetPeerCount(peers)
		list := servers(4)
		for range 12 { // three calls of this daemon on each server, with other prompts
			pick(t, b, balance.Request{Servers: list, PromptTokens: 100})
		}
		b.RecordCached(turn.CachedPrompt{Server: id("1"), Part: "own", Held: 300})
		req := balance.Request{Servers: list[1:2], PromptTokens: 400, Parts: []call.PromptPart{{ID: "own", Tokens: 400}}}
		for range 5 { // and more on the one that has cached the prompt
			pick(t, b, req)
		}
		req.Servers = list
		assert.Equal(t, pick(t, b, req).Server.ID == id("1"), stays, "with %d other daemons", peers)
	}
}

// TestConnectedServersArePreferred checks that a new connection, which costs a round trip, is only opened where the
// connected servers are busier.
func TestConnectedServersArePreferred(t *testing.T) {
	for _, tokens := range []int64{0, 100} {
		b := balance.New("front", place.Topology{DataCentre: "here"})
		connected := func(s *catalog.Server) bool { return s.ID == id("3") }
		req := balance.Request{Servers: servers(20), PromptTokens: tokens, Connected: connected}
		first := pick(t, b, req)
		assert.Equal(t, first.Server.ID, id("3"))
		assert.Assert(t, pick(t, b, req).Server.ID != id("3"), "the connected server has one request more than the others")
		first.Done(balance.Answered)
		assert.Equal(t, pick(t, b, req).Server.ID, id("3"))
	}
}
