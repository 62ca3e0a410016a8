package node

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// TestSpeedChangesAreLoggedOnce guards against a line in each sweep for a server that stays slow.
func TestSpeedChangesAreLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		f := &front{base: &base{log: log}, balancer: balance.New("front", place.Topology{DataCentre: "here"})}
		id, logged := incarnation.ID{Server: "s"}, map[incarnation.ID]float64{}
		report := func(perMille int) {
			f.balancer.SetPeerSpeeds(map[incarnation.ID]exchange.SpeedReports{id: {Total: 50 * perMille, Reporters: 50}})
			f.logSpeeds(logged)
			time.Sleep(300 * time.Millisecond)
		}
		report(800)
		assert.Equal(t, len(hook.AllEntries()), 0, "a normal difference")
		for range 5 {
			report(200)
		}
		assert.Equal(t, len(hook.AllEntries()), 1)
		assert.Equal(t, hook.LastEntry().Data["event"], "server-speed")
		for range 5 {
			report(1000)
		}
		assert.Equal(t, len(hook.AllEntries()), 2)
		assert.Equal(t, hook.LastEntry().Level, logrus.InfoLevel)
		f.balancer.Forget(func(incarnation.ID) bool { return false })
		f.logSpeeds(logged)
		assert.Equal(t, len(logged), 0, "servers that are gone are not kept")
	})
}
