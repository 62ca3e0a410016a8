package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/turns/ledger"
)

// echo responds with the request's body, signed.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	_, _ = w.Write(body)
}

func respondNotRun(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func countRequests(n *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		h(w, r)
	}
}

func TestPlainRequests(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		server http.HandlerFunc
		status int
		// sent is how many of three servers must receive the request.
		sent int
	}{
		{"answered", "/twice/x", echo, 200, 1},
		{"answered once", "/once/x", echo, 200, 1},
		{"full everywhere", "/twice/x", respondNotRun, 503, 3},
		{"full everywhere, once", "/once/x", respondNotRun, 503, 3},
		{"broken everywhere", "/twice/x", abortConnection, 502, 3},
		{"broken, once", "/once/x", abortConnection, 502, 1},
		{"unsigned success", "/once/x", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) }, 502, 1},
		{"no route", "/none/x", echo, 404, 0},
		{"body above the limit", "/twice/big", echo, 413, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			h := countRequests(&sent, c.server)
			r := newFixture(t, h, h, h)
			body := "hello"
			if strings.HasSuffix(c.path, "big") {
				body = strings.Repeat("x", 1001)
			}
			got := r.send(c.path, body)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, int(sent.Load()), c.sent)
			if c.status == 503 {
				assert.Assert(t, got.header.Get("Retry-After") != "")
			}
			if c.status == 200 {
				assert.Equal(t, got.body, body)
			}
		})
	}
}

func TestIdempotentRequestsAreRetried(t *testing.T) {
	r := newFixture(t, abortConnection, abortConnection, echo)
	for range 5 {
		assert.Equal(t, r.send("/twice/x", "hello").status, 200)
	}
}

func TestServerErrorIsForwardedUnchanged(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "of the server")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("why"))
	}
	got := newFixture(t, h).send("/once/x", "hello")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "why")
	assert.Equal(t, got.header.Get("Seal"), "of the server")
}

func TestDeadlineExceeded(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	r := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	got := r.send("/once/x", "hello", "Deadline", "50ms")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// stream responds with an event for each word of the request's body.
func stream(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	w.Header().Set("Content-Type", "text/event-stream")
	for i, word := range strings.Fields(string(body)) {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: <%s>\n\n", i+1, word)
		w.(http.Flusher).Flush()
	}
}

func TestTurnsIncludeHistory(t *testing.T) {
	var bodies []string
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(body))
		r.Body = io.NopCloser(strings.NewReader("a b"))
		stream(w, r)
	})
	first := r.send("/turn/x", "one", "Id", "t1", "Program", "p")
	assert.Equal(t, first.body, "id: 1\ndata: <a>\n\nid: 2\ndata: <b>\n\n")
	r.send("/turn/x", "two", "Id", "t2", "Program", "p", "Previous", "t1")
	r.send("/turn/x", "fork", "Id", "t3", "Program", "p", "Previous", "t1")
	r.send("/turn/x", "three", "Id", "t4", "Program", "p", "Previous", "t2")
	// A new program that continues from another program's turn, and one more turn.
	r.send("/turn/x", "new", "Id", "n1", "Program", "q", "Previous", "t2")
	r.send("/turn/x", "next", "Id", "n2", "Program", "q", "Previous", "n1")
	assert.DeepEqual(t, bodies, []string{
		"one",
		"one<a>\n<b>\ntwo",
		"one<a>\n<b>\nfork",
		"one<a>\n<b>\ntwo<a>\n<b>\nthree",
		"one<a>\n<b>\ntwo<a>\n<b>\nnew",
		"one<a>\n<b>\ntwo<a>\n<b>\nnew<a>\n<b>\nnext",
	})
	assert.Equal(t, r.ledger.turns["n1"].Previous, "", "a program's records must not depend on another program's")
	assert.Equal(t, r.ledger.turns["t1"].Tokens, int64(6), "two events of three tokens")
}

func TestTurnRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*memoryLedger)
		server  http.HandlerFunc
		headers []string
		status  int
		voided  bool
	}{
		{"no such turn", func(*memoryLedger) {}, stream, []string{"Previous", "none"}, 404, true},
		{"history unsure", func(b *memoryLedger) { b.fail["chain"] = ledger.ErrUnavailable }, stream, []string{"Previous", "t"}, 503, true},
		{"budget spent", func(b *memoryLedger) { b.spent = 950 }, stream, nil, 402, true},
		{"budget unsure", func(b *memoryLedger) { b.fail["reserve"] = ledger.ErrUnavailable }, stream, nil, 503, true},
		{"servers full", func(*memoryLedger) {}, respondNotRun, nil, 503, true},
		{"broken at the start", func(*memoryLedger) {}, abortConnection, nil, 502, false},
		{"without an id", func(*memoryLedger) {}, stream, []string{"Id", ""}, 400, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			r := newFixture(t, countRequests(&sent, c.server))
			c.prepare(r.ledger)
			got := r.send("/turn/x", "one", append([]string{"Program", "p", "Budget", "1000"}, c.headers...)...)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, len(r.ledger.released) == 1, c.voided)
			if c.status >= 400 && c.status < 500 {
				assert.Equal(t, int(sent.Load()), 0)
			}
		})
	}
}

// TestStreamAbortedWhenTurnIsNotRecorded guards against callers that take a turn for complete that was not stored.
func TestStreamAbortedWhenTurnIsNotRecorded(t *testing.T) {
	r := newFixture(t, stream)
	r.ledger.fail["finish"] = errors.New("ledger unavailable")
	got := r.send("/turn/x", "one", "Program", "p")
	assert.Assert(t, got.broken)
	assert.Equal(t, len(r.ledger.turns), 0)
}

// TestBrokenStreamIsNotRecorded checks that if a server aborts its response, so does the gateway, and no turn is
// stored.
func TestBrokenStreamIsNotRecorded(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		stream(w, r)
		panic(http.ErrAbortHandler)
	})
	got := r.send("/turn/x", "one two", "Program", "p", "Budget", "1000")
	assert.Assert(t, got.broken)
	assert.Equal(t, len(r.ledger.turns), 0)
	assert.Equal(t, len(r.ledger.released), 0, "tokens that were sent must stay counted")
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	for _, path := range []string{"/once/x", "/twice/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			began, stopped := make(chan struct{}), make(chan struct{})
			r := newFixture(t, func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				close(began)
				<-r.Context().Done()
				close(stopped)
			})
			ctx, cancel := context.WithCancel(context.Background())
			req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader("x"))
			assert.NilError(t, err)
			req.Header.Set("Id", "1")
			go func() {
				<-began
				cancel()
			}()
			_, err = http.DefaultTransport.RoundTrip(req)
			assert.ErrorIs(t, err, context.Canceled)
			<-stopped
		})
	}
}

// TestRequestSmuggling checks that a request inside of a body does not reach a server as a request.
func TestRequestSmuggling(t *testing.T) {
	var seen []string
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen = append(seen, r.Method+" "+r.RequestURI+" "+string(body))
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	inner := "GET /once/inner HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 2\r\n\r\n"
	_, err = fmt.Fprintf(conn, "POST /once/outer HTTP/1.1\r\nHost: 127.0.0.1\r\nId: 1\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(inner), inner)
	assert.NilError(t, err)
	_, err = http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, seen, []string{"POST /once/outer " + inner})
}

// TestNotRunStatusOnlyWhenNoServerRan checks that a request that must run at most once is refused as not run only if
// no server may have started it.
func TestNotRunStatusOnlyWhenNoServerRan(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
		for _, path := range []string{"/once/x", "/turn/x"} {
			h := abortConnection
			if v == verdict.NotRun {
				h = respondNotRun
			}
			got := newFixture(t, h, h, h).send(path, "x", "Program", "p")
			assert.Equal(t, got.status == 503, v == verdict.NotRun, "%s %s: %d", path, v, got.status)
		}
	}
}

// TestIdempotentRequestsAreHedged checks that a second server is asked while the first is silent, but not for requests
// that must run at most once.
func TestIdempotentRequestsAreHedged(t *testing.T) {
	var sent atomic.Int64
	release := make(chan struct{})
	defer close(release)
	first := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			return // it is asked whether it has outlived the copy that lost
		}
		if sent.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
			return
		}
		echo(w, r)
	}
	r := newFixture(t, first, first)
	assert.Equal(t, r.send("/twice/x", "hello").status, 200)
	assert.Equal(t, sent.Load(), int64(2))
	sent.Store(0)
	assert.Equal(t, r.send("/once/x", "hello", "Deadline", "600ms").status, http.StatusGatewayTimeout)
	assert.Equal(t, sent.Load(), int64(1))
}
