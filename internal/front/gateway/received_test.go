package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

// respondRaw returns a server that writes a response head with the given framing header, and a body, and then closes its
// connection.
func respondRaw(framing, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", r.Header.Get("Id"), framing, body)
	}
}

// resettingNetwork is a network on which servers' connections end with a reset after all that was sent on them. A real
// reset may discard what was sent before it.
type resettingNetwork struct{ loopback }

func (n resettingNetwork) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.loopback.dial(ctx, network, address)
	return resettingConn{conn}, err
}

type resettingConn struct{ net.Conn }

func (c resettingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

const chunkedHeader = "Transfer-Encoding: chunked\r\n"

// responseCounts returns the values of the metric of responses by label.
func responseCounts(t *testing.T, r *fixture) map[string]int {
	t.Helper()
	w := httptest.NewRecorder()
	r.metrics.ServeHTTP(w, nil)
	counts := map[string]int{}
	for _, line := range strings.Split(w.Body.String(), "\n") {
		rest, found := strings.CutPrefix(line, `rookpass_responses_total{outcome="`)
		if !found {
			continue
		}
		label, value, _ := strings.Cut(rest, `"} `)
		n, err := strconv.Atoi(value)
		assert.NilError(t, err)
		counts[label] = n
	}
	return counts
}

// TestLogTellsFramingAndEnd guards against broken-off responses that the log and the metric can't tell from complete
// ones.
func TestLogTellsFramingAndEnd(t *testing.T) {
	const cut = "id: 3\nda"
	whole := events(1, 2)
	length := func(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }
	for _, c := range []struct {
		name, path, framing, body string
		reset                     bool
		// log has framing, events and unfinished_bytes of the log line.
		log   string
		count string
		// failed is set if the line must have an error whatever the gateway makes of an end inside an event.
		failed bool
	}{
		{"stream, length", "/stream/x", length(len(whole)), whole, false, "length 2 0", "length-complete", false},
		{"stream, length, cut off", "/stream/x", length(len(whole) + 20), whole + cut, false, "length 2 8", "length-truncated", true},
		{"stream, length, inside an event", "/stream/x", length(len(whole + cut)), whole + cut, false, "length 2 8", "length-truncated", false},
		{"stream, chunks", "/stream/x", chunkedHeader, chunk(whole) + "0\r\n\r\n", false, "chunked 2 0", "chunked-complete", false},
		{"stream, chunks, cut off between events", "/stream/x", chunkedHeader, chunk(whole), false, "chunked 2 0", "chunked-truncated", true},
		{"stream, chunks, inside an event", "/stream/x", chunkedHeader, chunk(whole+cut) + "0\r\n\r\n", false, "chunked 2 8", "chunked-truncated", false},
		{"stream, connection", "/stream/x", "", whole, false, "connection 2 0", "connection-complete", false},
		{"stream, connection, inside an event", "/stream/x", "", whole + cut, false, "connection 2 8", "connection-truncated", false},
		{"stream, connection, no event", "/stream/x", "", "", false, "connection 0 0", "connection-truncated", false},
		{"turn, connection, inside an event", "/turn/x", "", whole + cut, false, "connection 2 8", "connection-truncated", false},
		{"turn, connection, reset", "/turn/x", "", whole + cut, true, "connection 2 8", "connection-truncated", true},
		{"turn, connection, reset between events", "/turn/x", "", whole, true, "connection 2 0", "connection-truncated", true},
		{"plain, length", "/once/x", length(5), "whole", false, "length", "length-complete", false},
		{"plain, length, cut off", "/once/x", length(6), "whole", false, "length", "length-truncated", true},
		{"plain, chunks", "/once/x", chunkedHeader, chunk("whole") + "0\r\n\r\n", false, "chunked", "chunked-complete", false},
		{"plain, chunks, cut off", "/once/x", chunkedHeader, chunk("whole"), false, "chunked", "chunked-truncated", true},
		{"plain, connection", "/once/x", "", "whole", false, "connection", "connection-complete", false},
		{"plain, connection, reset", "/once/x", "", "whole", true, "connection", "connection-truncated", true},
		{"plain, connection, not buffered", "/once/x", "", strings.Repeat("x", 3<<20), false, "connection", "connection-complete", false},
		{"plain, length, not buffered, cut off", "/once/x", length(4 << 20), strings.Repeat("x", 3<<20), false, "length", "length-truncated", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			network := fixtureNetwork(loopback{})
			if c.reset {
				network = resettingNetwork{}
			}
			r := newFixtureOn(t, network, fixtureLimits, 1000, respondRaw(c.framing, c.body))
			r.send(c.path, "hello", "Program", "p")
			<-r.outcomes
			line := r.requestLines[0]
			got := fmt.Sprint(line["framing"])
			if strings.HasPrefix(c.name, "plain") {
				_, logged := line["events"]
				assert.Assert(t, !logged, "events in the line of a plain request")
			} else {
				got = fmt.Sprintf("%v %v %v", line["framing"], line["events"], line["unfinished_bytes"])
			}
			assert.Equal(t, got, c.log)
			if c.failed {
				assert.Assert(t, line["error"] != nil, "%v", line)
			}
			assert.DeepEqual(t, responseCounts(t, r), map[string]int{c.count: 1})
		})
	}
}

// TestResponsesWithoutBody checks the framing of responses that never have a body.
func TestResponsesWithoutBody(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusNoContent)
	})
	assert.Equal(t, r.send("/once/x", "hello").status, http.StatusNoContent)
	<-r.outcomes
	assert.Equal(t, fmt.Sprint(r.requestLines[0]["framing"]), "none")
	assert.DeepEqual(t, responseCounts(t, r), map[string]int{"none-complete": 1})
}

// TestLogTellsLastResponse checks that the line has the framing of the last attempt with a response, all forwarded
// events, and no framing where no server responded.
func TestLogTellsLastResponse(t *testing.T) {
	h := firstThen(serveThenBreak, respondRaw("", events(4, 6)))
	r := newFixture(t, h, h)
	r.send("/resume/x", "hello")
	<-r.outcomes
	line := r.requestLines[0]
	assert.Equal(t, fmt.Sprintf("%v %v %v", line["framing"], line["events"], line["unfinished_bytes"]), "connection 6 0")
	assert.DeepEqual(t, responseCounts(t, r), map[string]int{"chunked-truncated": 1, "connection-complete": 1})

	r = newFixture(t, respondNotRun)
	r.send("/once/x", "hello")
	<-r.outcomes
	assert.Equal(t, fmt.Sprint(r.requestLines[0]["framing"]), "length", "a refusal of a server is a response too")

	r = newFixture(t, abortConnection)
	r.send("/stream/x", "hello")
	<-r.outcomes
	for _, field := range []string{"framing", "events", "unfinished_bytes"} {
		_, logged := r.requestLines[0][field]
		assert.Assert(t, !logged, field)
	}
	assert.Equal(t, len(responseCounts(t, r)), 0)
}

// TestResumedByCallerWithoutFurtherEvents guards against counting a response as broken off that had nothing to add to
// the events that the caller already had.
func TestResumedByCallerWithoutFurtherEvents(t *testing.T) {
	r := newFixture(t, respondRaw("", ""))
	r.send("/resume/x", "hello", "After", "4")
	<-r.outcomes
	assert.DeepEqual(t, responseCounts(t, r), map[string]int{"connection-complete": 1})
}

// TestUnfinishedBytesOfSpilledEvent checks that the beginning of an event that was forwarded for want of memory counts
// among the unfinished bytes.
func TestUnfinishedBytesOfSpilledEvent(t *testing.T) {
	begun := "data: " + strings.Repeat("x", 1<<20)
	limits := membudget.Limits{Total: 1 << 20}
	r := newFixtureOn(t, loopback{}, limits, 1000, respondRaw("", events(1, 1)+begun))
	r.send("/stream/x", "hello")
	<-r.outcomes
	assert.Equal(t, r.memoryLines[0]["outcome"], "unbuffered")
	line := r.requestLines[0]
	assert.Equal(t, fmt.Sprintf("%v %v %v", line["framing"], line["events"], line["unfinished_bytes"]), fmt.Sprintf("connection 1 %d", len(begun)))
	assert.DeepEqual(t, responseCounts(t, r), map[string]int{"connection-truncated": 1})
}
