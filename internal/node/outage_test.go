package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
)

// updateDeadline is the time after the store's return within which a change must be in force that is made right then.
const updateDeadline = 2 * time.Second

// outages are the ways in which the store is unavailable.
var outages = map[string]func(http.ResponseWriter){
	"answers with errors": func(w http.ResponseWriter) { w.WriteHeader(http.StatusServiceUnavailable) },
	"resets":              func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
	"is silent": func(http.ResponseWriter) {
		time.Sleep(time.Hour)
		panic(http.ErrAbortHandler)
	},
}

// outageDisruptions are faults of daemons during an outage.
var outageDisruptions = map[string]func(w *cluster){
	"nothing":                func(*cluster) {},
	"fronts killed":          func(w *cluster) { w.restartAll(w.fronts[:2]) },
	"store daemon killed":    func(w *cluster) { w.restartAll(w.stores[:1]) },
	"all daemons killed":     func(w *cluster) { w.restartAll(w.vms()) },
	"fronts cut off briefly": func(w *cluster) { w.cut(w.fronts[0], hostNames(w.stores), time.Second) },
}

// TestUpdatesArriveInTimeAfterOutage guards against retry pauses of store daemons and fronts that add up after an
// outage, so that fronts serve an old configuration or use a server that leaves.
func TestUpdatesArriveInTimeAfterOutage(t *testing.T) {
	for how, fault := range outages {
		for disruption, disrupt := range outageDisruptions {
			for _, length := range []time.Duration{4 * time.Second, 8 * time.Second} {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%v", how, disruption, length), " ", "-"), func(t *testing.T) {
					t.Parallel()
					runWithLookups(t, func(w *cluster) {
						w.outage(fault, disrupt, length)
						w.checkUpdates()
					})
				})
			}
		}
	}
}

// runWithLookups runs a test while callers send calls, and checks that no guarantee is violated.
func runWithLookups(t *testing.T, run func(w *cluster)) {
	testbubble.Run(t, func(t *testing.T) {
		w := newCluster(t)
		stop := make(chan struct{})
		var work sync.WaitGroup
		work.Go(func() { w.runCallers(workload.IdempotentCalls, stop) })
		run(w)
		close(stop)
		work.Wait()
		violations := w.checker.Violations()
		assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
	})
}

// outage makes the store unavailable for a time, and disrupts daemons after a third of it.
func (c *cluster) outage(fault func(http.ResponseWriter), disrupt func(*cluster), length time.Duration) {
	began := time.Now()
	c.platform.SetFault(fault, false)
	time.Sleep(length / 3)
	disrupt(c)
	time.Sleep(time.Until(began.Add(length)))
	c.platform.SetFault(nil, false)
}

// checkUpdates makes a change of each kind at the store's return, and checks that each is in force in time.
func (c *cluster) checkUpdates() {
	returned := time.Now()
	version := c.publishConfig()
	c.platform.SetServer(c.servers[1].Drain()) // the checker reports requests that still reach it too late
	retiring := c.stores[1]
	c.platform.Set("retirements", retiring.name, map[string]float64{"duration_s": 8})
	time.Sleep(time.Until(returned.Add(updateDeadline)))
	caller := c.caller(99)
	for _, front := range c.fronts {
		if !caller.HasConfigVersion(front.callerAddress(), front.host, version) {
			c.checker.AddViolation("%s does not serve version %d %v after the store's return", front.host, version, updateDeadline)
		}
	}
	if status := c.platform.Status("retirements", retiring.name); status == "" {
		c.checker.AddViolation("%s has not reported its retirement %v after the store's return", retiring.host, updateDeadline)
	}
	time.Sleep(3 * time.Second) // requests to the drained server would arrive now
}

// TestFrontStartsWhileStoreIsUnresponsive guards against a front that waits for the store although store daemons have
// copies.
func TestFrontStartsWhileStoreIsUnresponsive(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		w := newCluster(t)
		w.platform.SetFault(outages["is silent"], false)
		time.Sleep(4 * time.Second)
		w.kill(w.fronts[0])
		w.start(w.fronts[0], false)
		began := time.Now()
		w.awaitReady()
		assert.Assert(t, time.Since(began) <= time.Second, "ready after %v", time.Since(began))
	})
}

// TestExpiredServersStayInUseAfterOutage guards against refused requests when the entries of all servers expire in an
// outage, because servers can't renew them. A server that does not renew its entry afterwards must get no requests.
func TestExpiredServersStayInUseAfterOutage(t *testing.T) {
	for how, fault := range outages {
		for _, begin := range []time.Duration{0, 500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
			length := shortestExpiry + begin // three short outages and a long one
			if begin == 0 {
				length = 8 * time.Second
			}
			t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%v", how, length), " ", "-"), func(t *testing.T) {
				t.Parallel()
				runWithLookups(t, func(w *cluster) {
					time.Sleep(begin)
					w.outage(fault, func(w *cluster) {
						time.Sleep(length*2/3 - 100*time.Millisecond)
						for _, s := range w.servers {
							w.platform.RemoveServer(s.Entry().ID.Server)
						}
					}, length)
					w.renewAllButOne()
					assert.Equal(t, w.checker.Counts()["status 503"], 0, "%v", w.checker.Counts())
				})
			})
		}
	}
}

// renewAllButOne restores the entries of all servers but the last, and lets the checker watch that one.
func (c *cluster) renewAllButOne() {
	returned := time.Now()
	expired := len(c.servers) - 1
	time.Sleep(removalTime - updateDeadline)
	c.checker.RecordDraining(c.servers[expired].Entry().ID.Server) // requests to it are violations from updateDeadline later on
	time.Sleep(time.Until(returned.Add(renewalTime)))
	for _, s := range c.servers[:expired] {
		c.platform.SetServer(s.Entry())
	}
	time.Sleep(4 * time.Second)
}

const (
	// shortestExpiry is the shortest outage in which entries expire: three heartbeats of 1.2 s, the first of which may
	// have come just before the outage.
	shortestExpiry = 2400 * time.Millisecond
	// renewalTime is the time after the store's return by which a running server has renewed its entry.
	renewalTime = 2 * time.Second
	// removalTime is the time after the store's return from which a server without an entry may get no requests.
	removalTime = 2800 * time.Millisecond
)

// TestFrontsStartBeforeStoreDaemonsDuringOutage checks that after a power loss, with the store unavailable, fronts
// serve from the store daemons' saved copies as soon as those daemons run.
func TestFrontsStartBeforeStoreDaemonsDuringOutage(t *testing.T) {
	for how, fault := range outages {
		t.Run(strings.ReplaceAll(how, " ", "-"), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				w := newCluster(t)
				time.Sleep(2 * time.Second) // copies are saved once a second
				w.platform.SetFault(fault, false)
				for _, m := range w.vms() {
					w.kill(m)
				}
				for _, m := range w.fronts {
					w.start(m, false)
				}
				time.Sleep(2 * time.Second)
				for _, m := range w.stores {
					w.start(m, false)
				}
				began := time.Now()
				w.awaitReady()
				assert.Assert(t, time.Since(began) <= updateDeadline, "ready after %v", time.Since(began))
			})
		})
	}
}
