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
	// withdrawalBound is within which a withdrawn key must be refused by every daemon, in touch or not.
	withdrawalBound = 5 * time.Second
	// darkTime is how long the platform's store, or a daemon, is away around a withdrawal.
	darkTime = 9 * time.Second
	// askPause is the time between two requests of one organisation at one front.
	askPause = 100 * time.Millisecond
)

// darkness are the ways in which daemons miss what operators write.
var darkness = map[string]func(w *world){
	"nothing":                               func(*world) { time.Sleep(darkTime) },
	"store silent":                          func(w *world) { w.dark(outages["is silent"]) },
	"store resets":                          func(w *world) { w.dark(outages["resets"]) },
	"store answers with errors":             func(w *world) { w.dark(outages["answers with errors"]) },
	"front cut off from all":                func(w *world) { w.cut(w.fronts[0], append(hosts(w.stores), storeHost), darkTime) },
	"front cut off from store daemons":      func(w *world) { w.cut(w.fronts[0], hosts(w.stores), darkTime) },
	"front cut off from the store":          func(w *world) { w.cut(w.fronts[0], []string{storeHost}, darkTime) },
	"store daemon cut off from the store":   func(w *world) { w.cut(w.stores[0], []string{storeHost}, darkTime) },
	"store daemons cut off from the store":  (*world).cutStores,
	"front frozen":                          func(w *world) { w.freeze(w.fronts[0], 6*time.Second) },
	"store daemon frozen":                   func(w *world) { w.freeze(w.stores[0], 6*time.Second) },
	"all started again while it is silent":  func(w *world) { w.darkWith(outages["is silent"], func() { w.restartAll(w.members()) }) },
	"fronts started again while it resets":  func(w *world) { w.darkWith(outages["resets"], func() { w.restartAll(w.fronts) }) },
	"history forgotten behind a short dark": func(w *world) { w.darkWith(outages["resets"], w.platform.Compact) },
}

func (w *world) dark(fault func(http.ResponseWriter)) { w.darkWith(fault, func() {}) }

// darkWith takes the store away from all daemons, but not from operators, and does something meanwhile.
func (w *world) darkWith(fault func(http.ResponseWriter), meanwhile func()) {
	w.platform.SetFault(fault, false)
	began := time.Now()
	time.Sleep(time.Second)
	meanwhile()
	time.Sleep(time.Until(began.Add(darkTime)))
	w.platform.SetFault(nil, false)
}

func (w *world) cutStores() {
	var cuts sync.WaitGroup
	for _, m := range w.stores {
		cuts.Go(func() { w.cut(m, []string{storeHost}, darkTime) })
	}
	cuts.Wait()
}

func (w *world) freeze(m *member, d time.Duration) {
	w.checker.AllowLateArrivals(time.Now().Add(d + time.Second))
	w.fabric.Freeze(m.host)
	time.Sleep(d)
	w.fabric.Thaw(m.host)
	time.Sleep(darkTime - d)
}

// askAll asks every front again and again on behalf of an organisation, until stop is closed.
func (w *world) askAll(organisation string, pause time.Duration, stop <-chan struct{}, work *sync.WaitGroup) {
	for i, m := range w.fronts {
		caller := w.caller(uint64(i)).ForOrganisation(organisation)
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
					work.Go(func() { caller.SendLookup(m.callers()) })
				}
			}
		})
	}
}

// withdraw takes an organisation away with its keys, and returns when that was acknowledged.
func (w *world) withdraw(name string) {
	for i, o := range w.organisations {
		if o.Name == name {
			w.organisations = append(append([]platformtest.Organisation(nil), w.organisations[:i]...), w.organisations[i+1:]...)
		}
	}
	w.configure()
	w.checker.RecordRevocation(name, time.Now().Add(withdrawalBound))
}

// TestWithdrawnKeyIsRefusedInTime: everywhere, whoever is dark, frozen or started again meanwhile. The other organisation
// is served again soon after.
func TestWithdrawnKeyIsRefusedInTime(t *testing.T) {
	for name, dark := range darkness {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newStrictWorld(t, worldFronts, worldStores, withdrawalBound)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.askAll("north", askPause, stop, &work)
				time.Sleep(time.Second)
				var struck sync.WaitGroup
				struck.Go(func() { dark(w) })
				time.Sleep(700 * time.Millisecond)
				before := w.checker.Runs("north")
				assert.Assert(t, before > 0)
				w.withdraw("north")
				struck.Wait()
				time.Sleep(inForce)
				for i, m := range w.fronts {
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("south").SendLookup(m.callers()), http.StatusOK, "%s", m.name)
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("north").SendLookup(m.callers()), http.StatusUnauthorized, "%s", m.name)
				}
				close(stop)
				work.Wait()
				broken := w.checker.Violations()
				assert.Equal(t, len(broken), 0, strings.Join(broken, "\n"))
			})
		})
	}
}

// TestShortOutageRefusesNobody: while the store is away for less than the bound leaves, keys are believed.
func TestShortOutageRefusesNobody(t *testing.T) {
	for how, fault := range outages {
		t.Run(strings.ReplaceAll(how, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newStrictWorld(t, worldFronts, worldStores, withdrawalBound)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.askAll("north", askPause, stop, &work)
				time.Sleep(time.Second)
				w.outage(fault, func(*world) {}, shortOutage)
				time.Sleep(3 * time.Second)
				close(stop)
				work.Wait()
				assert.Equal(t, w.checker.Counts()["status 503"], 0, "%v", w.checker.Counts())
			})
		})
	}
}

// shortOutage is for how long the platform owes no daemon anything less: a daemon without a way to the store for 0.6 of the
// bound owes nothing.
const shortOutage = withdrawalBound * 6 / 10

// TestAddedKeyIsNeverDenied: once it is in force, by daemons that miss the news either.
func TestAddedKeyIsNeverDenied(t *testing.T) {
	for name, dark := range darkness {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newStrictWorld(t, worldFronts, worldStores, withdrawalBound)
				var struck sync.WaitGroup
				struck.Go(func() { dark(w) })
				time.Sleep(700 * time.Millisecond)
				w.organisations = append(w.organisations, workload.OrganisationOf("west", 100))
				w.configure()
				time.Sleep(inForce)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.askAll("west", askPause, stop, &work)
				struck.Wait()
				time.Sleep(inForce)
				for i, m := range w.fronts {
					assert.Equal(t, w.caller(uint64(i)).ForOrganisation("west").SendLookup(m.callers()), http.StatusOK, "%s", m.name)
				}
				close(stop)
				work.Wait()
				assert.Equal(t, w.checker.Counts()["status 401"], 0, "%v", w.checker.Counts())
			})
		})
	}
}

// TestLimitHoldsOverAllFronts: an organisation that asks at many times its limit, at every front, is served about its
// limit and never more than is borne in any window, whatever strikes those who count.
func TestLimitHoldsOverAllFronts(t *testing.T) {
	const perSecond = 10
	most := (perSecond*5+perSecond)*1.1 + 20
	for name, strike := range map[string]func(w *world){
		"nothing":                   func(*world) { time.Sleep(darkTime) },
		"one home killed":           func(w *world) { w.restart(w.stores[0], darkTime, false) },
		"homes killed in turn":      func(w *world) { w.killInTurn(w.stores) },
		"all homes killed":          func(w *world) { w.restartAll(w.stores) },
		"a home frozen":             func(w *world) { w.freeze(w.stores[1], 6*time.Second) },
		"front cut off from homes":  func(w *world) { w.cut(w.fronts[0], hosts(w.stores), darkTime) },
		"homes cut off from fronts": func(w *world) { w.cut(w.stores[0], hosts(w.fronts), darkTime) },
		"a front started again":     func(w *world) { w.restart(w.fronts[0], time.Second, false) },
		"store silent":              func(w *world) { w.dark(outages["is silent"]) },
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newWorld(t)
				w.organisations[0] = workload.OrganisationOf("north", perSecond)
				w.configure()
				time.Sleep(inForce)
				stop := make(chan struct{})
				var work sync.WaitGroup
				w.askAll("north", 30*time.Millisecond, stop, &work) // ten times the limit
				time.Sleep(2 * time.Second)
				began, before := time.Now(), w.checker.Runs("north")
				strike(w)
				time.Sleep(4 * time.Second)
				ran, passed := w.checker.Runs("north")-before, time.Since(began)
				close(stop)
				work.Wait()
				n := w.checker.MaxRunsWithin("north", 5*time.Second)
				assert.Assert(t, float64(n) <= most, "%d requests in a window, of %.0f", n, most)
				assert.Assert(t, ran >= int(passed.Seconds()*perSecond/2), "only %d requests in %v", ran, passed)
				broken := w.checker.Violations()
				assert.Equal(t, len(broken), 0, strings.Join(broken, "\n"))
			})
		})
	}
}

// killInTurn kills daemons one after the other, each for a moment.
func (w *world) killInTurn(members []*member) {
	for _, m := range members {
		w.restart(m, 300*time.Millisecond, false)
		time.Sleep(time.Second)
	}
}

// TestKeysAreWrittenNowhere: not in any log line of any daemon, whatever becomes of the requests.
func TestKeysAreWrittenNowhere(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		var lines lockedBuffer
		w := newLoggedWorld(t, &lines)
		stop := make(chan struct{})
		var work sync.WaitGroup
		w.askAll("north", askPause, stop, &work)
		w.askAll("nobody's", askPause, stop, &work)
		work.Go(func() { w.caller(1).Run(workload.Programs, stop) })
		time.Sleep(time.Second)
		w.withdraw("north")
		w.restart(w.fronts[0], time.Second, false)
		time.Sleep(inForce)
		close(stop)
		work.Wait()
		text := lines.String()
		assert.Assert(t, strings.Contains(text, "organisation=north"), "the log names organisations")
		assert.Assert(t, strings.Contains(text, "outcome=key-unknown"))
		assert.Assert(t, !strings.Contains(text, "key-of-"), "a key stands in the log")
	})
}
