package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
)

const evacuatedDataCentre = "dc1"

// TestEvacuatedDataCentreGetsNoRequests checks that daemons which start or lose their connections meanwhile comply as
// well, and that requests return once the evacuation is withdrawn.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	for name, meanwhile := range map[string]func(w *cluster){
		"calm":                  func(*cluster) { time.Sleep(outageDuration) },
		"fronts-start":          func(w *cluster) { w.restartAll(w.fronts) },
		"store-daemons-start":   func(w *cluster) { w.restartAll(w.stores) },
		"history-forgotten":     func(w *cluster) { w.platform.Compact(); time.Sleep(outageDuration) },
		"store-away-afterwards": func(w *cluster) { time.Sleep(time.Second); w.storeOutage(outages["resets"]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) { runEvacuation(t, meanwhile) })
		})
	}
}

func runEvacuation(t *testing.T, meanwhile func(w *cluster)) {
	w := newClusterWith(t, defaultFronts, defaultStores, &cluster{maxEvacuationDelay: 5 * time.Second})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.runCallers(workload.IdempotentCalls, stop)
	}()
	time.Sleep(time.Second)
	w.platform.Set("evacuations", evacuatedDataCentre, map[string]any{})
	inside := w.serversIn(evacuatedDataCentre)
	assert.Assert(t, len(inside) > 0)
	for _, id := range inside {
		w.checker.RecordDraining(id)
	}
	meanwhile(w)
	time.Sleep(3 * time.Second)
	before := map[string]int{}
	for _, id := range inside {
		w.checker.RecordReturned(id)
		before[id] = w.checker.Arrivals(id)
	}
	w.platform.Delete("evacuations", evacuatedDataCentre)
	time.Sleep(3 * time.Second)
	close(stop)
	<-done
	assert.Equal(t, len(w.checker.Violations()), 0, strings.Join(w.checker.Violations(), "\n"))
	used := 0
	for _, id := range inside {
		used += w.checker.Arrivals(id) - before[id]
	}
	assert.Assert(t, used > 0, "the data centre gets no requests after the evacuation")
}

// serversIn returns the names of the servers in a data centre.
func (c *cluster) serversIn(dataCentre string) []string {
	var names []string
	for _, s := range c.servers {
		if entry := s.Entry(); entry.DataCentre == dataCentre {
			names = append(names, entry.ID.Server)
		}
	}
	return names
}
