package exchange_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// swapSpeeds sends a report with speeds and returns those in the reply.
func swapSpeeds(t *testing.T, s *exchange.Service, from string, speeds map[incarnation.ID]int) map[incarnation.ID]exchange.SpeedReports {
	t.Helper()
	var reply exchange.Reply
	assert.NilError(t, s.Swap(&exchange.Args{From: from, Speeds: speeds}, &reply))
	return reply.Speeds
}

// TestSpeedsAreAveraged checks that a reply has the mean and number of the other daemons' latest reports, that old
// reports expire, and that impossible speeds are bounded.
func TestSpeedsAreAveraged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := exchange.NewService()
		swapSpeeds(t, s, "a", map[incarnation.ID]int{id("s1"): 300, id("s2"): -7})
		swapSpeeds(t, s, "b", map[incarnation.ID]int{id("s1"): 900})
		swapSpeeds(t, s, "b", map[incarnation.ID]int{id("s1"): 500, id("s3"): 1 << 40})
		got := swapSpeeds(t, s, "c", map[incarnation.ID]int{id("s1"): 2000})
		assert.Equal(t, len(got), 3)
		assert.Equal(t, got[id("s1")].Mean(), 0.4)
		assert.Equal(t, got[id("s1")].Reporters, 2)
		assert.Equal(t, got[id("s2")].Mean(), 0.125)
		assert.Equal(t, got[id("s3")].Mean(), 2.0)
		assert.Equal(t, exchange.SpeedReports{}.Mean(), 1.0)
		time.Sleep(time.Second)
		assert.Equal(t, len(swapSpeeds(t, s, "d", nil)), 0)
	})
}

// TestSpeedsAreBounded checks that reports, replies and relayed sums keep the 32 servers furthest from normal.
func TestSpeedsAreBounded(t *testing.T) {
	s, other := exchange.NewService(), exchange.NewService()
	many := func(from int) map[incarnation.ID]int {
		speeds := map[incarnation.ID]int{}
		for i := range 100 {
			speeds[id(fmt.Sprint("s", from+i))] = 1000 - 8*i
		}
		return speeds
	}
	bounded := exchange.BoundSpeeds(many(0))
	assert.Equal(t, len(bounded), 32)
	assert.Equal(t, bounded[id("s99")], 208)
	_, kept := bounded[id("s35")]
	assert.Assert(t, !kept)
	swapSpeeds(t, s, "a", many(0))
	swapSpeeds(t, s, "b", many(1000))
	swapSpeeds(t, other, "c", many(2000))
	sums := s.Sums("hub")
	assert.Equal(t, len(sums.Speeds), 32)
	assert.NilError(t, other.Relay(sums, nil))
	got := swapSpeeds(t, other, "asker", nil)
	assert.Equal(t, len(got), 32)
	assert.Equal(t, got[id("s99")], exchange.SpeedReports{Total: 208, Reporters: 1})
	assert.Equal(t, got[id("s2099")], exchange.SpeedReports{Total: 208, Reporters: 1})
}

// TestRelayedSpeedsAreMerged checks that the reports to two hubs are averaged, and impossible sums ignored.
func TestRelayedSpeedsAreMerged(t *testing.T) {
	s, other := exchange.NewService(), exchange.NewService()
	swapSpeeds(t, s, "a", map[incarnation.ID]int{id("s1"): 300})
	swapSpeeds(t, other, "b", map[incarnation.ID]int{id("s1"): 500, id("s2"): 700})
	assert.NilError(t, other.Relay(s.Sums("hub"), nil))
	assert.NilError(t, other.Relay(&exchange.Sums{Hub: "wrong", Speeds: map[incarnation.ID]exchange.SpeedReports{
		id("s1"): {Total: 9, Reporters: -1}, id("s3"): {Total: 5}, id("s4"): {Total: -90000, Reporters: 3}}}, nil))
	got := swapSpeeds(t, other, "c", nil)
	assert.DeepEqual(t, got, map[incarnation.ID]exchange.SpeedReports{id("s1"): {Total: 800, Reporters: 2}, id("s2"): {Total: 700, Reporters: 1}, id("s4"): {Total: 375, Reporters: 3}})
}

// TestSpeedsOfOlderDaemon checks that a report without the field changes nothing.
func TestSpeedsOfOlderDaemon(t *testing.T) {
	s := exchange.NewService()
	swapSpeeds(t, s, "old", nil)
	assert.Equal(t, len(swapSpeeds(t, s, "new", map[incarnation.ID]int{id("s1"): 300})), 0)
	assert.Equal(t, len(swapSpeeds(t, s, "old", nil)), 1)
}
