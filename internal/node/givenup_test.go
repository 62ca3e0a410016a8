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

// givenUpAttempts is how often a caller sends a request that it gives up early.
const givenUpAttempts = 40

// endTime is when a server ends under a request.
type endTime struct {
	name       string
	newContent func() string
	kinds      []string
}

func endTimes() []endTime {
	return []endTime{
		{"at once", workload.NewFatalContent, fatalKinds},
		{"0.3 s after it was sent", workload.NewDelayedFatalContent, fatalKinds},
		{"midway", workload.NewLateFatalContent, []string{"turn", "resumable"}},
	}
}

// TestRequestIsNotSentOnWhenItsCallerLeaves guards against a request that ends one server after the other because nobody watches its
// copies once their caller has left.
func TestRequestIsNotSentOnWhenItsCallerLeaves(t *testing.T) {
	for n, at := range endTimes() {
		for i, ending := range serverEndings() {
			for k, patience := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
				kind := at.kinds[(n+i+k)%len(at.kinds)]
				t.Run(endingName(at.name, ending.name, kind, patience.String()), func(t *testing.T) {
					runCallerLeaves(t, noTrouble, ending, kind, at.newContent, 150*time.Millisecond, patience)
				})
			}
		}
	}
}

// TestRequestThatEndsServersLongAfterItsCallerLeftIsNotSentOn guards against a request that ends one server after the other because they
// work on for longer than its copies are watched.
func TestRequestThatEndsServersLongAfterItsCallerLeftIsNotSentOn(t *testing.T) {
	for i, ending := range serverEndings() {
		for k, patience := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			kind := fatalKinds[(i+k)%len(fatalKinds)]
			t.Run(endingName(ending.name, kind, patience.String()), func(t *testing.T) {
				runCallerLeaves(t, noTrouble, ending, kind, workload.NewLongDelayedFatalContent, 150*time.Millisecond, patience)
			})
		}
	}
}

// noTrouble leaves the system alone.
var noTrouble = trouble{run: func(_ *cluster, stop <-chan struct{}) { <-stop }}

// runCallerLeaves runs a request of a kind whose caller gives each try up after patience.
func runCallerLeaves(t *testing.T, tr trouble, ending serverEnding, kind string, newContent func() string, pause, patience time.Duration) {
	t.Parallel()
	testbubble.Run(t, func(t *testing.T) {
		f := fatalRequests()[kind]
		f.Content, f.Attempts, f.Pause, f.Patience = newContent(), givenUpAttempts, pause, patience
		runGivenUp(t, tr, ending, f)
	})
}

// runGivenUp sends a request that ends servers beside a trouble, and checks how many end.
func runGivenUp(t *testing.T, tr trouble, ending serverEnding, f workload.FatalRequest) {
	var output lockedBuffer
	w := newClusterWith(t, 8, defaultStores, &cluster{serverCount: 96, output: &output})
	w.endBy(ending)
	stop, ended := make(chan struct{}), make(chan struct{})
	var others, around sync.WaitGroup
	others.Go(func() { w.caller(1).Run(workload.IdempotentCalls, ended) })
	around.Go(func() { tr.run(w, stop) })
	time.Sleep(100 * time.Millisecond)
	got := w.caller(2).SendFatal(callerAddresses(w.fronts), f)
	close(stop)
	around.Wait()
	close(ended)
	others.Wait()
	ends := w.checker.ServerEnds(f.Content)
	assert.Assert(t, ends <= workload.MaxServerEnds, "%d ended: %v", ends, got.Statuses)
	refused := innocentRefusals(output.String())
	assert.Equal(t, refused, "", "%.1500s", refused)
	assert.Equal(t, len(w.checker.Violations()), 0, "%v", w.checker.Violations())
}

// replaceFront kills a front and starts one with a new name in its place.
func replaceFront(w *cluster, m *vm) {
	w.kill(m)
	time.Sleep(200 * time.Millisecond)
	m.name += "-new"
	w.start(m, true)
}

// drainFront stops a front in an orderly way and starts it again.
func drainFront(w *cluster, m *vm) {
	m.stop()
	<-m.done
	w.start(m, false)
}

// frontTroubles are troubles in which fronts end that watch copies.
func frontTroubles() []trouble {
	var all []trouble
	for _, tr := range troubles() {
		switch tr.name {
		case "fronts killed one by one":
			all = append(all, tr, trouble{name: "fronts killed while the store is away", run: func(w *cluster, stop <-chan struct{}) {
				w.platform.SetFault(outages["resets"], false)
				tr.run(w, stop)
				w.platform.SetFault(nil, false)
			}, pause: tr.pause})
		case "fronts frozen one by one", "store is silent", "a disk lost":
			all = append(all, tr)
		}
	}
	return append(all, trouble{name: "fronts replaced", run: inTurn(allFronts, 400*time.Millisecond, replaceFront), pause: 500 * time.Millisecond},
		trouble{name: "fronts drained", run: inTurn(allFronts, 400*time.Millisecond, drainFront), pause: 500 * time.Millisecond})
}

// TestStreamThatFallsSilentIsNotSentOnWhileFrontsEnd guards against a request that silences one server after the other in the middle
// of its streams, because only fronts that end know of its copies.
func TestStreamThatFallsSilentIsNotSentOnWhileFrontsEnd(t *testing.T) {
	for _, tr := range frontTroubles() {
		for _, ending := range serverEndings() {
			if ending.name != "silent" && ending.name != "frozen" {
				continue
			}
			for _, kind := range []string{"turn, after events", "resumable, after events", "idempotent"} {
				t.Run(endingName(tr.name, ending.name, kind), func(t *testing.T) {
					t.Parallel()
					testbubble.Run(t, func(t *testing.T) {
						f := fatalRequests()[kind]
						f.Attempts, f.Pause = troubleAttempts, tr.pause
						runGivenUp(t, tr, ending, f)
					})
				})
			}
		}
	}
}

// TestRequestIsNotSentOnWhenItsCallerLeavesInTrouble guards against copies that nobody watches once their caller has left, beside
// troubles of the system that take away those who do.
func TestRequestIsNotSentOnWhenItsCallerLeavesInTrouble(t *testing.T) {
	for n, tr := range frontTroubles() {
		for i, ending := range serverEndings() {
			at := endTimes()[(n+i)%len(endTimes())]
			kind := at.kinds[(n+i)%len(at.kinds)]
			t.Run(endingName(tr.name, ending.name, at.name, kind), func(t *testing.T) {
				runCallerLeaves(t, tr, ending, kind, at.newContent, 400*time.Millisecond, 200*time.Millisecond)
			})
		}
	}
}

// TestRequestWithOtherHeadersIsNotSentOn guards against a request that ends one server after the other because each try has another
// header that says nothing about its work.
func TestRequestWithOtherHeadersIsNotSentOn(t *testing.T) {
	set := func(name string) func(int, *http.Request) {
		return func(n int, r *http.Request) { r.Header.Set(name, fmt.Sprint("v", n)) }
	}
	for what, vary := range map[string]func(int, *http.Request){
		"user agent": set("User-Agent"), "cookie": set("Cookie"), "unknown header": set("X-Agent-Step"), "accept": set("Accept"),
		"query": func(n int, r *http.Request) { r.URL.RawQuery = fmt.Sprint("try=", n) },
	} {
		for _, kind := range fatalKinds {
			t.Run(endingName(what, kind), func(t *testing.T) {
				t.Parallel()
				testbubble.Run(t, func(t *testing.T) {
					w := newClusterWith(t, defaultFronts, defaultStores, &cluster{serverCount: 48})
					w.endBy(serverEndings()[0])
					f := fatalRequests()[kind]
					f.Attempts, f.Vary = endlessAttempts, vary
					w.checkFatalRequest(f, w.fronts)
				})
			})
		}
	}
}

// impatientCallers is how many callers give up their requests early at the same time.
const impatientCallers = 6

// TestImpatientCallersOfHealthyServersAreNotRefused guards against refusals of requests whose callers leave early, again and again,
// from servers that are slow, stand still for a moment or are cut off, and end none of them.
func TestImpatientCallersOfHealthyServersAreNotRefused(t *testing.T) {
	for name, disturb := range map[string]func(w *cluster, stop <-chan struct{}){
		"nothing": noTrouble.run,
		"slow servers": func(w *cluster, stop <-chan struct{}) {
			for _, s := range w.servers {
				s.SetFault(workload.ReadLate)
			}
			<-stop
		},
		"servers that pause": pauseServers,
		"servers cut off from a front": func(w *cluster, stop <-chan struct{}) {
			w.disturbServers(stop, func(i int) { w.cut(w.fronts[i%len(w.fronts)], []string{serverHost(i)}, 800*time.Millisecond) })
		},
		"an outage of the store": func(w *cluster, stop <-chan struct{}) {
			w.platform.SetFault(outages["resets"], false)
			<-stop
			w.platform.SetFault(nil, false)
		},
		"pauses in an outage of the store": func(w *cluster, stop <-chan struct{}) {
			w.platform.SetFault(outages["resets"], false)
			pauseServers(w, stop)
			w.platform.SetFault(nil, false)
		},
	} {
		for _, path := range []string{"/lookup/", "/tool/", "/turn/", "/question/"} {
			t.Run(endingName(name, strings.Trim(path, "/")), func(t *testing.T) {
				t.Parallel()
				testbubble.Run(t, func(t *testing.T) { runImpatient(t, path, disturb) })
			})
		}
	}
}

// TestImpatientCallersAreNotRefusedWhereServersEndAllTheTime guards against refusals of requests whose callers leave early from servers
// that end soon after for other reasons.
func TestImpatientCallersAreNotRefusedWhereServersEndAllTheTime(t *testing.T) {
	for _, path := range []string{"/lookup/", "/tool/", "/turn/", "/question/"} {
		t.Run(strings.Trim(path, "/"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				runImpatient(t, path, func(w *cluster, stop <-chan struct{}) {
					w.disturbServers(stop, func(i int) { w.endForGood(i); w.replaceLater(i) })
				})
			})
		})
	}
}

// runImpatient runs callers that leave early beside others, and checks that no request is refused for the ends of servers.
func runImpatient(t *testing.T, path string, disturb func(w *cluster, stop <-chan struct{})) {
	var output lockedBuffer
	w := newClusterWith(t, 8, defaultStores, &cluster{serverCount: 24, output: &output})
	stop := make(chan struct{})
	var others, around, impatient sync.WaitGroup
	others.Go(func() { w.caller(1).Run(workload.IdempotentCalls, stop) })
	others.Go(func() { w.caller(3).Run(workload.Programs, stop) })
	around.Go(func() { disturb(w, stop) })
	for i := range impatientCallers {
		caller := w.caller(uint64(20 + i))
		impatient.Go(func() {
			caller.RunImpatient(path, 60, 20*time.Millisecond, 150*time.Millisecond, 50*time.Millisecond*time.Duration(i))
		})
	}
	impatient.Wait()
	close(stop)
	around.Wait()
	others.Wait()
	refused := innocentRefusals(output.String())
	assert.Equal(t, refused, "", "%.1500s", refused)
}

// pauseServers makes one server after the other stand still for a moment.
func pauseServers(w *cluster, stop <-chan struct{}) {
	w.checker.AllowLateArrivals(time.Now().Add(time.Hour))
	w.disturbServers(stop, func(i int) {
		w.fabric.Freeze(serverHost(i))
		time.Sleep(800 * time.Millisecond)
		w.fabric.Thaw(serverHost(i))
	})
}

// disturbServers does something to two servers after another every 300 ms until stop is closed.
func (c *cluster) disturbServers(stop <-chan struct{}, do func(i int)) {
	var doing sync.WaitGroup
	defer doing.Wait()
	for i := 0; ; i += 2 {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		for next := i; next < i+2; next++ {
			doing.Go(func() { do(next % len(c.servers)) })
		}
	}
}
