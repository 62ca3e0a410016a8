package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// TestForeignEntriesDisableServer checks that an invalid entry takes only its own server out of use, whether it arrives
// as a change or in a list after an outage, and that a valid entry puts the server back into use.
func TestForeignEntriesDisableServer(t *testing.T) {
	variants := len(platformtest.InvalidEntries(workload.NewServer(0, "a:1", workload.NewChecker()).Entry()))
	for i := range variants {
		for _, away := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/store-away-%t", i, away), func(t *testing.T) {
				t.Parallel()
				testbubble.Run(t, func(t *testing.T) { overwriteOneEntry(t, i, away) })
			})
		}
	}
}

func overwriteOneEntry(t *testing.T, variant int, away bool) {
	w := newCluster(t)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.runCallers(workload.IdempotentCalls, stop)
	}()
	time.Sleep(time.Second)
	if away {
		w.platform.SetFault(func(r http.ResponseWriter) { r.WriteHeader(http.StatusServiceUnavailable) }, false)
	}
	overwritten := w.servers[1].Entry()
	w.platform.Set("servers", overwritten.ID.Server, platformtest.InvalidEntries(overwritten)[variant])
	if away {
		time.Sleep(faultDuration)
		w.platform.SetFault(nil, false)
	}
	w.checker.RecordDraining(overwritten.ID.Server)
	time.Sleep(4 * time.Second)
	w.checker.RecordReturned(overwritten.ID.Server)
	before := w.checker.Arrivals(overwritten.ID.Server)
	w.platform.SetServer(overwritten)
	time.Sleep(2 * time.Second)
	close(stop)
	<-done
	assert.Equal(t, len(w.checker.Violations()), 0, "%s\n%v", strings.Join(w.checker.Violations(), "\n"), w.checker.Counts())
	assert.Assert(t, w.checker.Arrivals(overwritten.ID.Server) > before, "the server gets no requests after its entry was restored")
	assert.Assert(t, w.checker.Counts()["call whole"] > 0, "%v", w.checker.Counts())
}
