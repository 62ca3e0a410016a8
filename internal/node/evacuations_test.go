package node

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
)

// evacuated is the data centre that the test empties.
const evacuated = "dc1"

// TestEvacuatedDataCentreGetsNothingMore: whoever starts or is cut off meanwhile; and all is as before once the evacuation is
// taken back.
func TestEvacuatedDataCentreGetsNothingMore(t *testing.T) {
	for name, meanwhile := range map[string]func(w *world){
		"calm":                  func(*world) { time.Sleep(darkTime) },
		"fronts-start":          func(w *world) { w.restartAll(w.fronts) },
		"store-daemons-start":   func(w *world) { w.restartAll(w.stores) },
		"history-forgotten":     func(w *world) { w.platform.Compact(); time.Sleep(darkTime) },
		"store-away-afterwards": func(w *world) { time.Sleep(time.Second); w.dark(outages["resets"]) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) { evacuate(t, meanwhile) })
		})
	}
}

func evacuate(t *testing.T, meanwhile func(w *world)) {
	w := newWorldWith(t, worldFronts, worldStores, &world{evacuation: 5 * time.Second})
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.ask(workload.IdempotentCalls, stop)
	}()
	time.Sleep(time.Second)
	w.platform.Set("evacuations", evacuated, map[string]any{})
	inside := w.serversIn(evacuated)
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
	w.platform.Delete("evacuations", evacuated)
	time.Sleep(3 * time.Second)
	close(stop)
	<-done
	assert.Equal(t, len(w.checker.Violations()), 0, strings.Join(w.checker.Violations(), "\n"))
	used := 0
	for _, id := range inside {
		used += w.checker.Arrivals(id) - before[id]
	}
	assert.Assert(t, used > 0, "the data centre is not used again")
}

// serversIn returns the names of the servers in a data centre.
func (w *world) serversIn(dataCentre string) []string {
	var names []string
	for _, s := range w.servers {
		if entry := s.Entry(); entry.DataCentre == dataCentre {
			names = append(names, entry.ID.Server)
		}
	}
	return names
}
