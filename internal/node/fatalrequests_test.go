package node

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
)

const (
	// serverDowntime is the time from the end of a server until another one starts in its place.
	serverDowntime = 400 * time.Millisecond
	// fatalAttempts is how often a caller sends a fatal request, fatalPause the pause between two attempts.
	fatalAttempts = 8
	fatalPause    = 100 * time.Millisecond
	// refusalTime bounds the time until a request is refused that is not sent to any server.
	refusalTime = 50 * time.Millisecond
)

// endOnFatalRequests makes servers end when they run a fatal request. After serverDowntime another one starts in their
// place.
func (c *cluster) endOnFatalRequests() {
	for i, s := range c.servers {
		s.OnFatalRequest(func() { c.endServer(i) })
	}
}

// endServer ends the process of a server at once: its listener and all connections are closed.
func (c *cluster) endServer(i int) {
	s := c.servers[i]
	c.mu.Lock()
	process := c.processes[i]
	c.processes[i] = nil
	c.mu.Unlock()
	if process == nil {
		return // it has ended under another request
	}
	old := s.Entry()
	_ = process.Close()
	c.ended.Go(func() {
		time.Sleep(serverDowntime)
		c.platform.RemoveServer(old.ID.Server)
		entry := s.Replace()
		c.startServer(i)
		c.platform.SetServer(entry)
	})
}

// endServersTogether ends the processes of servers in one moment.
func (c *cluster) endServersTogether(servers []int) {
	var hosts []string
	for _, i := range servers {
		hosts = append(hosts, serverHost(i))
	}
	c.fabric.End(hosts...)
	for _, i := range servers {
		c.endServer(i)
	}
}

func callerAddresses(vms []*vm) []string {
	var addresses []string
	for _, m := range vms {
		addresses = append(addresses, m.callerAddress())
	}
	return addresses
}

// fatalRequests are requests that end servers, by what is special about them.
func fatalRequests() map[string]workload.FatalRequest {
	request := func(path, content, program string) workload.FatalRequest {
		return workload.FatalRequest{Path: path, Content: content, Program: program, Attempts: fatalAttempts, Pause: fatalPause}
	}
	newPrograms := request("/turn/", workload.NewFatalContent(), "")
	newPrograms.NewPrograms = true
	return map[string]workload.FatalRequest{
		"idempotent":                request("/lookup/", workload.NewFatalContent(), ""),
		"at most once":              request("/tool/", workload.NewFatalContent(), ""),
		"turn":                      request("/turn/", workload.NewFatalContent(), "fatal"),
		"turn of new programs":      newPrograms,
		"resumable":                 request("/question/", workload.NewFatalContent(), "fatal"),
		"resumable, after events":   request("/question/", workload.NewLateFatalContent(), "fatal"),
		"call of a program":         request("/tool/", workload.NewFatalContent(), "fatal"),
		"turn, after events":        request("/turn/", workload.NewLateFatalContent(), "fatal"),
		"idempotent, hedged":        request("/lookup/", workload.NewSlowFatalContent(), ""),
		"idempotent of one program": request("/lookup/", workload.NewFatalContent(), "fatal"),
	}
}

// fatalInterval is the time between two fatal requests of the fault matrix.
const fatalInterval = 1500 * time.Millisecond

// sendFatalRequests sends one fatal request after the other to fronts that the fault does not affect, beside lookups. Servers end
// under them in one way after the other, beginning with another one for each fault.
func (c *cluster) sendFatalRequests(f fault, stop <-chan struct{}) {
	var others sync.WaitGroup
	others.Go(func() { c.runCallers(workload.IdempotentCalls, stop) })
	fronts := slices.DeleteFunc(slices.Clone(c.fronts), func(m *vm) bool {
		return f.affectedFront >= 0 && m == c.fronts[f.affectedFront]
	})
	caller, endings := c.caller(9), serverEndings()
	next := slices.IndexFunc(faults(), func(other fault) bool { return other.name == f.name })
	send := func(fronts []*vm, known bool) {
		ending := endings[next%len(endings)]
		next++
		c.endBy(serverEnding{name: ending.name, end: func(c *cluster, i int) { ending.end(c, i); c.replaceLater(i) }})
		request := workload.FatalRequest{Path: "/lookup/", Content: workload.NewFatalContent(), Attempts: fatalAttempts, Pause: fatalPause}
		if next%2 == 0 { // its caller gives up while the server may still end
			request.Content, request.Patience = workload.NewDelayedFatalContent(), 150*time.Millisecond
		}
		got := caller.SendFatal(callerAddresses(fronts), request)
		if n := c.checker.ServerEnds(request.Content); known && n > workload.MaxServerEnds {
			c.checker.AddViolation("%d servers ended (%s) under the request %s, answered with %v", n, ending.name, request.Content, got.Statuses)
		}
	}
	for running := true; running; {
		send(fronts, !stopsStores[f.name])
		select {
		case <-stop:
			running = false
		case <-time.After(fatalInterval):
		}
	}
	others.Wait()
	c.awaitReady()
	time.Sleep(configDeadline)
	for range endings {
		send(c.fronts, true)
	}
}

// TestRequestUnderWhichServersEndIsNotSentOn guards against a request that ends one server after the other because its
// caller repeats it with new IDs.
func TestRequestUnderWhichServersEndIsNotSentOn(t *testing.T) {
	for name, request := range fatalRequests() {
		for fronts, label := range map[int]string{1: "one front", defaultFronts: "three fronts", 8: "eight fronts"} {
			t.Run(strings.ReplaceAll(name+"/"+label, " ", "-"), func(t *testing.T) {
				t.Parallel()
				testbubble.Run(t, func(t *testing.T) {
					w := newClusterWith(t, fronts, defaultStores, &cluster{serverCount: 24})
					w.endOnFatalRequests()
					w.checkFatalRequest(request, w.fronts)
				})
			})
		}
	}
}

// checkFatalRequest sends a fatal request to front daemons that are in touch, beside other requests. It must be refused at
// once from the third end on, and nothing else may be refused.
func (c *cluster) checkFatalRequest(f workload.FatalRequest, fronts []*vm) {
	stop := make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { c.caller(1).Run(workload.IdempotentCalls, stop) })
	got := c.caller(2).SendFatal(callerAddresses(fronts), f)
	close(stop)
	others.Wait()
	assert.Equal(c.t, c.checker.ServerEnds(f.Content), workload.MaxServerEnds, "%v", got.Statuses)
	assert.Assert(c.t, got.Refused() > 0, "%v", got.Statuses)
	for i, status := range got.Statuses[len(got.Statuses)-got.Refused():] {
		assert.Equal(c.t, status, http.StatusServiceUnavailable, "%v", got.Statuses)
		assert.Assert(c.t, got.Took[len(got.Took)-got.Refused()+i] < refusalTime, "%v", got.Took)
	}
	assert.Equal(c.t, c.checker.Counts()["status 503"], got.Refused(), "others were refused: %v", c.checker.Counts())
	assert.Assert(c.t, c.checker.Counts()["call whole"] > 0)
	assert.Equal(c.t, len(c.checker.Violations()), 0, "%v", c.checker.Violations())
}

// TestRequestsAreNotQuarantinedBecauseServersCrash guards against refusals of requests that have nothing to do with the ends
// of servers: servers end all the time, one by one or several at once, beside requests of every kind and beside copies of
// one request that many callers send.
func TestRequestsAreNotQuarantinedBecauseServersCrash(t *testing.T) {
	for name, crashes := range map[string]struct {
		servers int
		pause   time.Duration
	}{"one by one": {1, 60 * time.Millisecond}, "five at once": {5, 400 * time.Millisecond}, "half of all": {12, time.Second}} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				var output lockedBuffer
				w := newClusterWith(t, 8, defaultStores, &cluster{serverCount: 24, output: &output})
				stop := make(chan struct{})
				var callers sync.WaitGroup
				for i, work := range []workload.Work{workload.Programs, workload.ResumablePrograms, workload.AtMostOnceCalls, workload.IdempotentCalls} {
					callers.Go(func() { w.caller(uint64(i)).Run(work, stop) })
				}
				for i := range 12 {
					c := w.caller(uint64(10 + 2*i)) // of one organisation
					callers.Go(func() { c.RunPopular(stop) })
				}
				for began, i := time.Now(), 0; time.Since(began) < 20*time.Second; {
					var servers []int
					for range crashes.servers {
						servers = append(servers, i%len(w.servers))
						i++
					}
					w.endServersTogether(servers)
					time.Sleep(crashes.pause)
				}
				close(stop)
				callers.Wait()
				assert.Assert(t, strings.Contains(output.String(), "event=server-ended"), "no server ended under a request")
				assert.Assert(t, !strings.Contains(output.String(), "outcome=quarantined"), "%.600s", linesWith(output.String(), "quarantine"))
				assert.Assert(t, w.checker.Counts()["call whole"] > 0 && w.checker.Counts()["turn whole"] > 0)
			})
		})
	}
}

// linesWith returns the lines of a text that contain a word.
func linesWith(text, word string) string {
	var lines []string
	for line := range strings.Lines(text) {
		if strings.Contains(line, word) {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "")
}

// TestQuarantineIsOfOneOrganisation guards against an organisation that has another's requests refused by sending the same.
func TestQuarantineIsOfOneOrganisation(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		w := newClusterWith(t, defaultFronts, defaultStores, &cluster{serverCount: 24})
		w.endOnFatalRequests()
		f := fatalRequests()["at most once"]
		got := w.caller(1).ForOrganisation("north").SendFatal(callerAddresses(w.fronts), f)
		assert.Equal(t, got.Refused(), fatalAttempts-workload.MaxServerEnds)
		got = w.caller(1).ForOrganisation("south").SendFatal(callerAddresses(w.fronts), f)
		assert.Equal(t, got.Refused(), fatalAttempts-workload.MaxServerEnds, "the other organisation's request was refused for the first one's")
	})
}

// TestQuarantineOutlivesDaemons guards against daemons that send a quarantined request on after a restart of their own, of
// the registrars one by one, or of all other front daemons.
func TestQuarantineOutlivesDaemons(t *testing.T) {
	for name, restart := range map[string]func(w *cluster){
		"front": func(w *cluster) { w.restart(w.fronts[0], 300*time.Millisecond, false) },
		"stores one by one": func(w *cluster) {
			for _, m := range w.stores {
				w.restart(m, 300*time.Millisecond, false)
				time.Sleep(4 * time.Second)
			}
			w.restart(w.fronts[0], 300*time.Millisecond, false)
		},
		"all fronts": func(w *cluster) { w.restartAll(w.fronts) },
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			t.Parallel()
			testbubble.Run(t, func(t *testing.T) {
				w := newClusterWith(t, defaultFronts, defaultStores, &cluster{serverCount: 24})
				w.endOnFatalRequests()
				f := fatalRequests()["idempotent"]
				w.caller(1).SendFatal(callerAddresses(w.fronts[1:]), f)
				assert.Equal(t, w.checker.ServerEnds(f.Content), workload.MaxServerEnds)
				restart(w)
				w.awaitReady()
				got := w.caller(1).SendFatal(callerAddresses(w.fronts[:1]), f)
				assert.Equal(t, w.checker.ServerEnds(f.Content), workload.MaxServerEnds)
				assert.Equal(t, got.Refused(), fatalAttempts, "%v", got.Statuses)
			})
		})
	}
}
