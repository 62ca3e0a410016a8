package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

// breakOff reads a request and breaks its connection. The server lives on.
func breakOff(_ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }

// TestBrokenAnswersDoNotQuarantine guards against refusals of requests whose answers are lost by servers that live.
func TestBrokenAnswersDoNotQuarantine(t *testing.T) {
	for _, path := range []string{"/twice/x", "/once/x", "/turn/x", "/resume/x"} {
		t.Run(strings.Split(path, "/")[1], func(t *testing.T) {
			var runs atomic.Int64
			broken := countRequests(&runs, breakOff)
			r := newFixture(t, broken, broken, broken, broken)
			for range 6 {
				got := r.send(path, "x")
				assert.Equal(t, got.status, http.StatusBadGateway)
				assert.Equal(t, <-r.outcomes, "no-whole-answer")
			}
			assert.Assert(t, runs.Load() >= 6)
		})
	}
}

// TestServersAreNotProbedAtDeadlines guards against connections to servers that are only slow, and against ends of servers that
// refuse further connections since they are full.
func TestServersAreNotProbedAtDeadlines(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: first\n\n")
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}
	for _, path := range []string{"/stream/x", "/resume/x", "/twice/x"} {
		inVirtualTime(t, fixtureLimits, func(t *testing.T, r *fixture, fabric *memnet.Fabric) {
			caller := startCall(r, fabric, path, "x", "Deadline", "150ms")
			assert.Assert(t, caller.read().status != 0)
			<-r.outcomes
			time.Sleep(time.Second)
			page := httptest.NewRecorder()
			r.metrics.ServeHTTP(page, nil)
			assert.Assert(t, !strings.Contains(page.Body.String(), "rookpass_broken_attempts_total"), "%s: %s", path, page.Body)
		}, slow, slow)
	}
}

// endServer ends the server of a fixture that gets the request.
func endServer(_ http.ResponseWriter, r *http.Request) {
	server := r.Context().Value(http.ServerContextKey).(*http.Server)
	_ = server.Close() // what remains is closed by the test
}

// callerPause is the shortest pause of callers between two attempts.
const callerPause = 100 * time.Millisecond

// awaitEnds waits until so many ends of servers are known: the last one is looked for when the caller has its answer.
func (r *fixture) awaitEnds(n int) {
	r.t.Helper()
	known := fmt.Sprintf("rookpass_broken_attempts_total{outcome=\"ended\"} %d\n", n)
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		page := httptest.NewRecorder()
		r.metrics.ServeHTTP(page, nil)
		if strings.Contains(page.Body.String(), known) {
			break
		}
		assert.Assert(r.t, time.Since(began) < 5*time.Second, "%s", page.Body)
	}
	time.Sleep(callerPause)
}

// TestQuarantinedRequestIsRefusedTruthfully guards against refusals of quarantined requests that say they did not run although
// they did, or don't tell when to come back, and against refusals of requests for other work.
func TestQuarantinedRequestIsRefusedTruthfully(t *testing.T) {
	r := newFixture(t, endServer, endServer, endServer, endServer, endServer)
	for _, headers := range [][]string{{"Id", "1", "Deadline", "2s"}, {"Id", "2", "Deadline", "1900ms", "Traceparent", "00-1"}} {
		got := r.send("/twice/x", "content", headers...)
		if headers[1] == "1" {
			assert.Equal(t, got.status, http.StatusBadGateway, "three servers have ended under this attempt")
			r.awaitEnds(3)
			continue
		}
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, wait > 60)
	}
	line := r.requestLines[1]
	assert.Equal(t, line["outcome"], "quarantined")
	assert.Equal(t, line["ends"], 3)
	assert.Equal(t, line["attempts"], "")

	for _, other := range [][]string{{"/twice/x", "other content"}, {"/twice/y", "content"}, {"/once/x", "content"}} {
		got := r.send(other[0], other[1], append(other[2:], "Id", "3")...)
		assert.Assert(t, !strings.Contains(got.body, "quarantined"), "%v", other)
	}
	for _, same := range [][]string{{"/twice/x?a=b", "content"}, {"/twice/x", "content", "Cookie", "key=1"}, {"/twice/x", "content", "User-Agent", "other"}} {
		got := r.send(same[0], same[1], append(same[2:], "Id", "4")...)
		assert.Assert(t, strings.Contains(got.body, "quarantined"), "%v", same)
	}
}

// TestQuarantineWithoutBodyIsOfWhatIsAskedFor guards against refusals of requests without a body that ask for something else in their
// query or headers, and against a request that is sent on since its caller calls itself otherwise.
func TestQuarantineWithoutBodyIsOfWhatIsAskedFor(t *testing.T) {
	r := newFixture(t, endServer, endServer, endServer, endServer, endServer)
	got := r.send("/twice/x", "", "Id", "1", "Deadline", "2s")
	assert.Equal(t, got.status, http.StatusBadGateway, "three servers have ended under this attempt")
	r.awaitEnds(3)
	for _, other := range [][]string{{"/twice/x?a=b"}, {"/twice/x", "Cookie", "key=1"}, {"/twice/x", "Object", "1"}} {
		got := r.send(other[0], "", append(other[1:], "Id", "3")...)
		assert.Assert(t, !strings.Contains(got.body, "quarantined"), "%v", other)
	}
	for _, same := range [][]string{{"/twice/x"}, {"/twice/x", "User-Agent", "other"}, {"/twice/x", "Accept", "text/plain"}} {
		got := r.send(same[0], "", append(same[1:], "Id", "4")...)
		assert.Assert(t, strings.Contains(got.body, "quarantined"), "%v", same)
	}
}
