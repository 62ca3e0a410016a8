package exchange_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// id returns an incarnation of a server that never restarts.
func id(server string) incarnation.ID { return incarnation.ID{Server: server} }

func swap(t *testing.T, s *exchange.Service, from string, suspects ...incarnation.ID) exchange.Reply {
	t.Helper()
	var reply exchange.Reply
	assert.NilError(t, s.Swap(&exchange.Args{From: from, Suspects: suspects}, &reply))
	slices.Sort(reply.Peers)
	return reply
}

func TestSwapReturnsOtherDaemonsReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := exchange.NewService()
		swap(t, s, "a", id("s1"), id("s2"))
		swap(t, s, "b", id("s2"))
		got := swap(t, s, "c")
		assert.DeepEqual(t, got, exchange.Reply{Peers: []string{"a", "b"}, Daemons: 2, Here: 2, Suspects: map[incarnation.ID]int{id("s1"): 1, id("s2"): 2}, Failing: map[incarnation.ID]int{},
			Demand: map[string]int{}, Levels: map[exchange.ServiceLevel]int{}, Started: map[exchange.ServiceLevel]int{}, Loads: map[incarnation.ID]int{}})
		// The reply omits the daemon's own report, and only each daemon's latest report counts.
		assert.DeepEqual(t, swap(t, s, "a"), exchange.Reply{Peers: []string{"b", "c"}, Daemons: 2, Here: 2, Suspects: map[incarnation.ID]int{id("s2"): 1}, Failing: map[incarnation.ID]int{},
			Demand: map[string]int{}, Levels: map[exchange.ServiceLevel]int{}, Started: map[exchange.ServiceLevel]int{}, Loads: map[incarnation.ID]int{}})
		time.Sleep(7 * time.Second)
		assert.DeepEqual(t, swap(t, s, "c"), exchange.Reply{Suspects: map[incarnation.ID]int{}, Failing: map[incarnation.ID]int{}, Demand: map[string]int{}, Levels: map[exchange.ServiceLevel]int{}, Started: map[exchange.ServiceLevel]int{}, Loads: map[incarnation.ID]int{}})
	})
}

// TestPeersInReplyAreBounded also checks that the report interval grows with the number of daemons.
func TestPeersInReplyAreBounded(t *testing.T) {
	s := exchange.NewService()
	for i := range 300 {
		swap(t, s, fmt.Sprint("front-", i))
	}
	got := swap(t, s, "another")
	assert.Equal(t, got.Daemons, 300)
	assert.Assert(t, len(got.Peers) <= 16)
	assert.Equal(t, exchange.ReportIntervalFor(0), exchange.ReportInterval)
	assert.Equal(t, exchange.ReportIntervalFor(56), exchange.ReportInterval)
	assert.Equal(t, exchange.ReportIntervalFor(259), 2*exchange.ReportInterval)
	assert.Equal(t, exchange.ReportIntervalFor(400), 3*exchange.ReportInterval)
}

func TestDemandAndLoadsAreSummed(t *testing.T) {
	s := exchange.NewService()
	var reply exchange.Reply
	assert.NilError(t, s.Swap(&exchange.Args{From: "a", Demand: map[string]int{"m": 3}, Loads: map[incarnation.ID]int{id("s1"): 25}}, &reply))
	assert.NilError(t, s.Swap(&exchange.Args{From: "b", Demand: map[string]int{"m": 4}, Loads: map[incarnation.ID]int{id("s1"): 5, id("s2"): 10}}, &reply))
	reply = exchange.Reply{}
	assert.NilError(t, s.Swap(&exchange.Args{From: "c", Demand: map[string]int{"m": 100}}, &reply))
	assert.DeepEqual(t, reply.Demand, map[string]int{"m": 7})
	assert.DeepEqual(t, reply.Loads, map[incarnation.ID]int{id("s1"): 30, id("s2"): 10})
}

// TestDemandExpiresBeforeSuspects checks that the demand of a daemon that stopped reporting expires within about a
// second.
func TestDemandExpiresBeforeSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := exchange.NewService()
		var reply exchange.Reply
		assert.NilError(t, s.Swap(&exchange.Args{From: "a", Demand: map[string]int{"m": 3}, Suspects: []incarnation.ID{id("s")}}, &reply))
		time.Sleep(800 * time.Millisecond)
		reply = exchange.Reply{}
		assert.NilError(t, s.Swap(&exchange.Args{From: "b"}, &reply))
		assert.DeepEqual(t, reply.Demand, map[string]int{"m": 3})
		time.Sleep(400 * time.Millisecond)
		reply = exchange.Reply{}
		assert.NilError(t, s.Swap(&exchange.Args{From: "b"}, &reply))
		assert.DeepEqual(t, reply.Demand, map[string]int{})
		assert.DeepEqual(t, reply.Suspects, map[incarnation.ID]int{id("s"): 1})
	})
}
