package exchange_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/share"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// TestDemandWithoutLevelIsLeastUrgent checks that the calls of daemons that report no levels, during an upgrade, count
// behind those whose level is known, and that no call counts twice.
func TestDemandWithoutLevelIsLeastUrgent(t *testing.T) {
	s := exchange.NewService()
	var reply exchange.Reply
	assert.NilError(t, s.Swap(&exchange.Args{From: "old", Demand: map[string]int{"m": 7}}, &reply))
	report := &exchange.Args{From: "new"}
	report.SetDemand(map[string]dispatch.Demand{"m": {All: share.Demand{0: 2, 3: 1}, Started: share.Demand{0: 1}}})
	assert.Equal(t, report.Demand["m"], 3)
	assert.NilError(t, s.Swap(report, &reply))
	reply = exchange.Reply{}
	assert.NilError(t, s.Swap(&exchange.Args{From: "own"}, &reply))
	demand := reply.PeerDemand()["m"]
	assert.Equal(t, demand.All.Total(), 10)
	assert.Equal(t, demand.All.UpTo(0), 2)
	assert.Equal(t, demand.All.UpTo(3), 3)
	assert.Equal(t, demand.Started.Total(), 1)
}
