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

// echo answers with the request's body, signed.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	_, _ = w.Write(body)
}

func shed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func hangUp(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func counted(n *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
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
		// sent is how many servers of three must have got the request.
		sent int
	}{
		{"answered", "/twice/x", echo, 200, 1},
		{"answered once", "/once/x", echo, 200, 1},
		{"full everywhere", "/twice/x", shed, 503, 3},
		{"full everywhere, once", "/once/x", shed, 503, 3},
		{"broken everywhere", "/twice/x", hangUp, 502, 3},
		{"broken, once", "/once/x", hangUp, 502, 1},
		{"unsigned success", "/once/x", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("Id", r.Header.Get("Id")) }, 502, 1},
		{"no route", "/none/x", echo, 404, 0},
		{"body above the limit", "/twice/big", echo, 413, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			h := counted(&sent, c.server)
			r := newRig(t, h, h, h)
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

func TestIdempotentRequestsGoOnToAnotherServer(t *testing.T) {
	r := newRig(t, hangUp, hangUp, echo)
	for range 5 {
		assert.Equal(t, r.send("/twice/x", "hello").status, 200)
	}
}

func TestServersFailureIsPassedOnUnchanged(t *testing.T) {
	h := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "of the server")
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = w.Write([]byte("why"))
	}
	got := newRig(t, h).send("/once/x", "hello")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body, "why")
	assert.Equal(t, got.header.Get("Seal"), "of the server")
}

func TestRouteTimeoutGetsAFinalAnswer(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	r := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-release
	})
	got := r.send("/once/x", "hello", "Deadline", "50ms")
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
}

// stream answers with events that hold the request's body, one for each word.
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

func TestTurnsGetTheirHistory(t *testing.T) {
	var bodies []string
	r := newRig(t, func(w http.ResponseWriter, r *http.Request) {
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
	// A new program that goes on from another's turn, and one turn more.
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
	assert.Equal(t, r.books.turns["n1"].Previous, "", "a program's records must not depend on another program's")
	assert.Equal(t, r.books.turns["t1"].Tokens, int64(6), "two events of three tokens")
}

func TestTurnRefusals(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*books)
		server  http.HandlerFunc
		headers []string
		status  int
		voided  bool
	}{
		{"no such turn", func(*books) {}, stream, []string{"Previous", "none"}, 404, true},
		{"history unsure", func(b *books) { b.fail["chain"] = ledger.ErrUnavailable }, stream, []string{"Previous", "t"}, 503, true},
		{"budget spent", func(b *books) { b.spent = 950 }, stream, nil, 402, true},
		{"budget unsure", func(b *books) { b.fail["reserve"] = ledger.ErrUnavailable }, stream, nil, 503, true},
		{"servers full", func(*books) {}, shed, nil, 503, true},
		{"broken at the start", func(*books) {}, hangUp, nil, 502, false},
		{"without an id", func(*books) {}, stream, []string{"Id", ""}, 400, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sent atomic.Int64
			r := newRig(t, counted(&sent, c.server))
			c.prepare(r.books)
			got := r.send("/turn/x", "one", append([]string{"Program", "p", "Budget", "1000"}, c.headers...)...)
			assert.Equal(t, got.status, c.status)
			assert.Equal(t, len(r.books.voided) == 1, c.voided)
			if c.status >= 400 && c.status < 500 {
				assert.Equal(t, int(sent.Load()), 0)
			}
		})
	}
}

// TestTurnThatIsNotKeptDoesNotEnd: a caller must not take a turn for whole that could be lost.
func TestTurnThatIsNotKeptDoesNotEnd(t *testing.T) {
	r := newRig(t, stream)
	r.books.fail["finish"] = errors.New("disks away")
	got := r.send("/turn/x", "one", "Program", "p")
	assert.Assert(t, got.broken)
	assert.Equal(t, len(r.books.turns), 0)
}

// TestBrokenStreamDoesNotEnd: the server breaks off in the middle; the caller sees that, and nothing is kept.
func TestBrokenStreamDoesNotEnd(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		stream(w, r)
		panic(http.ErrAbortHandler)
	})
	got := r.send("/turn/x", "one two", "Program", "p", "Budget", "1000")
	assert.Assert(t, got.broken)
	assert.Equal(t, len(r.books.turns), 0)
	assert.Equal(t, len(r.books.voided), 0, "what was handed out counts")
}

// TestCallerThatLeavesStopsTheServer: the server's connection closes when the caller's does.
func TestCallerThatLeavesStopsTheServer(t *testing.T) {
	for _, path := range []string{"/once/x", "/twice/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			began, stopped := make(chan struct{}), make(chan struct{})
			r := newRig(t, func(_ http.ResponseWriter, r *http.Request) {
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

// TestSmuggledRequestStaysABody: what looks like a request inside a body reaches no server as one.
func TestSmuggledRequestStaysABody(t *testing.T) {
	var seen []string
	r := newRig(t, func(w http.ResponseWriter, r *http.Request) {
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

// TestRefusalsPromiseOnlyWhatHolds: over all ways in which a server may fail a request that must not run
// twice, the answer says "not run" only if no server may have begun on it.
func TestRefusalsPromiseOnlyWhatHolds(t *testing.T) {
	for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun} {
		for _, path := range []string{"/once/x", "/turn/x"} {
			h := hangUp
			if v == verdict.NotRun {
				h = shed
			}
			got := newRig(t, h, h, h).send(path, "x", "Program", "p")
			assert.Equal(t, got.status == 503, v == verdict.NotRun, "%s %s: %d", path, v, got.status)
		}
	}
}

// TestSilentServerIsOvertaken: a request that may run twice is asked of another server while the first is
// silent; one that must not is not.
func TestSilentServerIsOvertaken(t *testing.T) {
	var sent atomic.Int64
	release := make(chan struct{})
	defer close(release)
	first := func(w http.ResponseWriter, r *http.Request) {
		if sent.Add(1) == 1 {
			_, _ = io.Copy(io.Discard, r.Body)
			<-release
			return
		}
		echo(w, r)
	}
	r := newRig(t, first, first)
	assert.Equal(t, r.send("/twice/x", "hello").status, 200)
	assert.Equal(t, sent.Load(), int64(2))
	sent.Store(0)
	assert.Equal(t, r.send("/once/x", "hello", "Deadline", "600ms").status, http.StatusGatewayTimeout)
	assert.Equal(t, sent.Load(), int64(1))
}
