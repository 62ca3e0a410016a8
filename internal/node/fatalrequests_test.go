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
		"idempotent of one program": request("/lookup/", workload.NewFatalContent(), "fatal"),
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
