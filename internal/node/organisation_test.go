package node

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// revocationLimit is the time within which every daemon, connected or not, must refuse a revoked key.
	revocationLimit = 5 * time.Second
	// outageDuration is how long the platform's store or a daemon is unavailable around a revocation.
	outageDuration = 9 * time.Second
	// requestInterval is the time between two requests of one organisation at one front.
	requestInterval = 100 * time.Millisecond
)

// disruptions are the ways in which daemons miss changes by operators.
var disruptions = map[string]func(w *cluster){
	"nothing":                               func(*cluster) { time.Sleep(outageDuration) },
	"store silent":                          func(w *cluster) { w.storeOutage(outages["is silent"]) },
	"store resets":                          func(w *cluster) { w.storeOutage(outages["resets"]) },
	"store answers with errors":             func(w *cluster) { w.storeOutage(outages["answers with errors"]) },
	"front cut off from all":                func(w *cluster) { w.cut(w.fronts[0], append(hostNames(w.stores), storeHost), outageDuration) },
	"front cut off from store daemons":      func(w *cluster) { w.cut(w.fronts[0], hostNames(w.stores), outageDuration) },
	"front cut off from the store":          func(w *cluster) { w.cut(w.fronts[0], []string{storeHost}, outageDuration) },
	"store daemon cut off from the store":   func(w *cluster) { w.cut(w.stores[0], []string{storeHost}, outageDuration) },
	"store daemons cut off from the store":  (*cluster).cutStores,
	"front frozen":                          func(w *cluster) { w.freeze(w.fronts[0], 6*time.Second) },
	"store daemon frozen":                   func(w *cluster) { w.freeze(w.stores[0], 6*time.Second) },
	"all started again while it is silent":  func(w *cluster) { w.storeOutageDuring(outages["is silent"], func() { w.restartAll(w.vms()) }) },
	"fronts started again while it resets":  func(w *cluster) { w.storeOutageDuring(outages["resets"], func() { w.restartAll(w.fronts) }) },
	"history forgotten behind a short dark": func(w *cluster) { w.storeOutageDuring(outages["resets"], w.platform.Compact) },
}

func (c *cluster) storeOutage(fault func(http.ResponseWriter)) { c.storeOutageDuring(fault, func() {}) }

// storeOutageDuring makes the store unavailable to all daemons, but not to operators, and calls meanwhile during it.
func (c *cluster) storeOutageDuring(fault func(http.ResponseWriter), meanwhile func()) {
	c.platform.SetFault(fault, false)
	began := time.Now()
	time.Sleep(time.Second)
	meanwhile()
	time.Sleep(time.Until(began.Add(outageDuration)))
	c.platform.SetFault(nil, false)
}

func (c *cluster) cutStores() {
	var cuts sync.WaitGroup
	for _, m := range c.stores {
		cuts.Go(func() { c.cut(m, []string{storeHost}, outageDuration) })
	}
	cuts.Wait()
}

func (c *cluster) freeze(m *vm, d time.Duration) {
	c.checker.AllowLateArrivals(time.Now().Add(d + time.Second))
	c.fabric.Freeze(m.host)
	time.Sleep(d)
	c.fabric.Thaw(m.host)
	time.Sleep(outageDuration - d)
}

// sendToAllFronts keeps sending requests of an organisation to every front until stop is closed.
func (c *cluster) sendToAllFronts(organisation string, pause time.Duration, stop <-chan struct{}, work *sync.WaitGroup) {
	for i, m := range c.fronts {
		caller := c.caller(uint64(i)).ForOrganisation(organisation)
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					work.Go(func() { caller.SendLookup(m.callerAddress()) })
				}
			}
		})
	}
}

// revokeKeys removes an organisation with its keys from the configuration.
func (c *cluster) revokeKeys(name string) {
	for i, o := range c.organisations {
		if o.Name == name {
			c.organisations = append(append([]platformtest.Organisation(nil), c.organisations[:i]...), c.organisations[i+1:]...)
		}
	}
	c.publishConfig()
	c.checker.RecordRevocation(name, time.Now().Add(revocationLimit))
}

// TestRevokedKeyIsRefusedWithinLimit checks that every front refuses a revoked key in time, whichever daemons are cut
// off, frozen or restarted meanwhile, and that the other organisation is served soon afterwards.
func TestRevokedKeyIsRefusedWithinLimit(t *testing.T) {
	for name, disrupt := range disruptions {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newRevocationCluster(t, defaultFronts, defaultStores, revocationLimit)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.sendToAllFronts("north", requestInterval, stop, &work)
				time.Sleep(time.Second)
				var disrupted sync.WaitGroup
				disrupted.Go(func() { disrupt(w) })
				time.Sleep(700 * time.Millisecond)
				before := w.checker.Runs("north")
				assert.Assert(t, before > 0)
				w.revokeKeys("north")
				disrupted.Wait()
				time.Sleep(configDeadline)
				for i, m := range w.fronts {
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("south").SendLookup(m.callerAddress()), http.StatusOK, "%s", m.name)
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("north").SendLookup(m.callerAddress()), http.StatusUnauthorized, "%s", m.name)
				}
				close(stop)
				work.Wait()
				violations := w.checker.Violations()
				assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
			})
		})
	}
}

// TestShortOutageRefusesNoRequests guards against refused keys when the store is away for less than the limit allows.
func TestShortOutageRefusesNoRequests(t *testing.T) {
	for how, fault := range outages {
		t.Run(strings.ReplaceAll(how, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newRevocationCluster(t, defaultFronts, defaultStores, revocationLimit)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.sendToAllFronts("north", requestInterval, stop, &work)
				time.Sleep(time.Second)
				w.outage(fault, func(*cluster) {}, shortOutage)
				time.Sleep(3 * time.Second)
				close(stop)
				work.Wait()
				assert.Equal(t, w.checker.Counts()["status 503"], 0, "%v", w.checker.Counts())
			})
		})
	}
}

// shortOutage is the longest outage of the store during which daemons must still accept every valid key.
const shortOutage = revocationLimit * 6 / 10

// TestAddedKeyIsAccepted guards against a new key that is denied as unknown by daemons that missed the change.
func TestAddedKeyIsAccepted(t *testing.T) {
	for name, disrupt := range disruptions {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newRevocationCluster(t, defaultFronts, defaultStores, revocationLimit)
				var disrupted sync.WaitGroup
				disrupted.Go(func() { disrupt(w) })
				time.Sleep(700 * time.Millisecond)
				w.organisations = append(w.organisations, workload.OrganisationOf("west", 100))
				w.publishConfig()
				time.Sleep(configDeadline)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.sendToAllFronts("west", requestInterval, stop, &work)
				disrupted.Wait()
				time.Sleep(configDeadline)
				for i, m := range w.fronts {
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("west").SendLookup(m.callerAddress()), http.StatusOK, "%s", m.name)
				}
				close(stop)
				work.Wait()
				assert.Equal(t, w.checker.Counts()["status 401"], 0, "%v", w.checker.Counts())
			})
		})
	}
}

// TestLimitHoldsAcrossFronts sends many times an organisation's limit to every front. The organisation must get about
// its limit and never exceed the tolerance in any window, whatever happens to the store daemons that count.
func TestLimitHoldsAcrossFronts(t *testing.T) {
	const perSecond = 10
	maxRuns := (perSecond*5+perSecond)*1.1 + 20
	for name, disrupt := range map[string]func(w *cluster){
		"nothing":                   func(*cluster) { time.Sleep(outageDuration) },
		"one home killed":           func(w *cluster) { w.restart(w.stores[0], outageDuration, false) },
		"homes killed in turn":      func(w *cluster) { w.killInTurn(w.stores) },
		"all homes killed":          func(w *cluster) { w.restartAll(w.stores) },
		"a home frozen":             func(w *cluster) { w.freeze(w.stores[1], 6*time.Second) },
		"front cut off from homes":  func(w *cluster) { w.cut(w.fronts[0], hostNames(w.stores), outageDuration) },
		"homes cut off from fronts": func(w *cluster) { w.cut(w.stores[0], hostNames(w.fronts), outageDuration) },
		"a front started again":     func(w *cluster) { w.restart(w.fronts[0], time.Second, false) },
		"store silent":              func(w *cluster) { w.storeOutage(outages["is silent"]) },
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newCluster(t)
				w.organisations[0] = workload.OrganisationOf("north", perSecond)
				w.publishConfig()
				time.Sleep(configDeadline)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.sendToAllFronts("north", 30*time.Millisecond, stop, &work) // ten times the limit
				time.Sleep(2 * time.Second)
				began, before := time.Now(), w.checker.Runs("north")
				disrupt(w)
				time.Sleep(4 * time.Second)
				ran, passed := w.checker.Runs("north")-before, time.Since(began)
				close(stop)
				work.Wait()
				n := w.checker.MaxRunsWithin("north", 5*time.Second)
				assert.Assert(t, float64(n) <= maxRuns, "%d requests in a window, limit %.0f", n, maxRuns)
				assert.Assert(t, ran >= int(passed.Seconds()*perSecond/2), "only %d requests in %v", ran, passed)
				violations := w.checker.Violations()
				assert.Equal(t, len(violations), 0, strings.Join(violations, "\n"))
			})
		})
	}
}

// killInTurn restarts daemons one after the other.
func (c *cluster) killInTurn(vms []*vm) {
	for _, m := range vms {
		c.restart(m, 300*time.Millisecond, false)
		time.Sleep(time.Second)
	}
}

// TestKeysAreNotLogged guards against keys in any log line of any daemon, whatever the outcome of the requests.
func TestKeysAreNotLogged(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		var lines lockedBuffer
		w := newLoggedCluster(t, &lines)
		stop := make(chan struct{})
		var work sync.WaitGroup
		w.sendToAllFronts("north", requestInterval, stop, &work)
		w.sendToAllFronts("nobody's", requestInterval, stop, &work)
		work.Go(func() { w.caller(1).Run(workload.Programs, stop) })
		time.Sleep(time.Second)
		w.revokeKeys("north")
		w.restart(w.fronts[0], time.Second, false)
		time.Sleep(configDeadline)
		close(stop)
		work.Wait()
		text := lines.String()
		assert.Assert(t, strings.Contains(text, "organisation=north"), "the log does not name the organisation")
		assert.Assert(t, strings.Contains(text, "outcome=key-unknown"))
		assert.Assert(t, !strings.Contains(text, "key-of-"), "the log contains a key")
	})
}
