package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// newStoreDisruptions happen at the store's return to a store daemon that came new in the outage, or to the others.
var newStoreDisruptions = map[string]func(w *cluster, added *vm){
	"nothing":                 func(*cluster, *vm) {},
	"other stores killed":     func(w *cluster, _ *vm) { w.restartAll(w.stores[:2]) },
	"all other daemons":       func(w *cluster, _ *vm) { w.restartAll(append(w.stores[:len(w.stores)-1:len(w.stores)-1], w.fronts...)) },
	"cut off from the store":  func(w *cluster, added *vm) { w.cut(added, []string{storeHost}, 4*time.Second) },
	"cut off from two stores": func(w *cluster, added *vm) { w.cut(added, hostNames(w.stores[:2]), 4*time.Second) },
}

// TestNewStoreDaemonReadsSoonAfterOutage guards against a store daemon that starts in an outage for the first time and
// knows nothing until long after it: its pauses between attempts must not add up.
func TestNewStoreDaemonReadsSoonAfterOutage(t *testing.T) {
	for how, fault := range outages {
		for disruption, disrupt := range newStoreDisruptions {
			for _, c := range []struct{ before, after time.Duration }{{0, 4 * time.Second}, {2 * time.Second, 6 * time.Second},
				{3 * time.Second, 14 * time.Second}, {3 * time.Second, 300 * time.Millisecond}} {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%v+%v", how, disruption, c.before, c.after), " ", "-"), func(t *testing.T) {
					t.Parallel()
					testbubble.Run(t, func(t *testing.T) {
						lines := &lockedBuffer{}
						w := newLoggedCluster(t, lines)
						w.platform.SetFault(fault, false)
						time.Sleep(c.before)
						added := &vm{name: "store-new", ip: "10.1.0.99", role: "store", dataCentre: "dc0", disk: faultfs.New()}
						w.stores = append(w.stores, added)
						w.start(added, false)
						time.Sleep(c.after)
						w.platform.SetFault(nil, false)
						disrupt(w, added)
						time.Sleep(updateDeadline)
						for _, kind := range []string{"config/", "servers/", "retirements/"} {
							known := false
							for line := range strings.Lines(lines.String()) {
								known = known || strings.Contains(line, "daemon=store-new") && strings.Contains(line, "event=watch-regained") && strings.Contains(line, "["+kind+"]")
							}
							assert.Assert(t, known, "%s not known %v after the store's return\n%s", kind, updateDeadline, linesOf(lines.String(), "store-new"))
						}
					})
				})
			}
		}
	}
}

// linesOf returns the lines that a daemon has logged.
func linesOf(log, daemon string) string {
	var own strings.Builder
	for line := range strings.Lines(log) {
		if strings.Contains(line, "daemon="+daemon) {
			own.WriteString(line)
		}
	}
	return own.String()
}
