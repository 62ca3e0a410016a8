package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

// rawReply is what a caller receives on a connection of its own.
type rawReply struct {
	head string
	body string
	// err is the error that ended the connection, nil if it was closed in order.
	err error
}

// sendRaw sends a POST request with a protocol version and returns everything up to the end of the connection.
func (r *fixture) sendRaw(version, path string, headers ...string) rawReply {
	r.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(r.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(r.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: 127.0.0.1\r\nId: id-x\r\nContent-Length: 1\r\n%s\r\nx", path, version, strings.Join(headers, ""))
	assert.NilError(r.t, err)
	all, err := io.ReadAll(bufio.NewReader(conn))
	head, body, _ := strings.Cut(string(all), "\r\n\r\n")
	return rawReply{head: head, body: body, err: err}
}

// serveLargeThenBreak is a server that aborts a response of unknown length after more than the gateway buffers.
func serveLargeThenBreak(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "s")
	_, _ = io.WriteString(w, strings.Repeat("x", 600<<10)) // the caller may have left
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// TestAbortedResponseOfHTTP10CallerIsReset guards against a broken-off response that a caller takes for a complete one:
// without chunks and length, an orderly close of the connection ends the response.
func TestAbortedResponseOfHTTP10CallerIsReset(t *testing.T) {
	for _, c := range []struct {
		name   string
		path   string
		server http.HandlerFunc
	}{
		{"stream", "/stream/x", serveThenBreak},
		{"retained turn", "/turn/x", serveThenBreak},
		{"resumed stream without a further server", "/resume/x", serveThenBreak},
		{"plain response", "/once/x", serveLargeThenBreak},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, c.server, c.server)
			got := r.sendRaw("HTTP/1.0", c.path)
			assert.Assert(t, strings.HasPrefix(got.head, "HTTP/1.0 200"), "%q", got.head)
			assert.Assert(t, !strings.Contains(got.head, "Content-Length"), "%q", got.head)
			assert.Assert(t, errors.Is(got.err, syscall.ECONNRESET), "the connection ended with error %v after %d bytes", got.err, len(got.body))
		})
	}
}

// TestTurnNotKeptOfHTTP10CallerIsReset guards against a complete-looking response to a turn that could not be recorded.
func TestTurnNotKeptOfHTTP10CallerIsReset(t *testing.T) {
	r := newFixture(t, serveEvents)
	r.ledger.fail["finish"] = errors.New("no quorum")
	got := r.sendRaw("HTTP/1.0", "/turn/x")
	assert.Assert(t, errors.Is(got.err, syscall.ECONNRESET), "the connection ended with error %v after %d bytes", got.err, len(got.body))
}

// TestAbortedResponseOfClosingCallerHasNoEnd guards against a last chunk after a broken-off response to a caller whose
// connection ends with the response anyway.
func TestAbortedResponseOfClosingCallerHasNoEnd(t *testing.T) {
	for _, path := range []string{"/stream/x", "/turn/x", "/once/x"} {
		t.Run(path, func(t *testing.T) {
			h := serveThenBreak
			if path == "/once/x" {
				h = serveLargeThenBreak
			}
			r := newFixture(t, h)
			got := r.sendRaw("HTTP/1.1", path, "Connection: close\r\n")
			assert.Assert(t, strings.Contains(got.head, "Transfer-Encoding: chunked"), "%q", got.head)
			assert.Assert(t, !strings.HasSuffix(got.body, "\r\n0\r\n\r\n"), "%q", got.body[max(0, len(got.body)-100):])
		})
	}
}

// serveEventsWithLength is a server whose response has events 1 to 6 and a Content-Length.
func serveEventsWithLength(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Length", fmt.Sprint(len(events(1, 6))))
	serveEvents(w, r)
}

// TestTurnNotKeptHasNoEndDespiteLength guards against a turn whose response reaches its Content-Length before the turn is
// recorded: the caller would take it for complete although it can't be continued.
func TestTurnNotKeptHasNoEndDespiteLength(t *testing.T) {
	r := newFixture(t, serveEventsWithLength)
	r.ledger.fail["finish"] = errors.New("no quorum")
	got := r.send("/turn/x", "hello")
	assert.Equal(t, <-r.outcomes, "turn-not-kept")
	assert.Assert(t, got.broken, "the caller got %q as a complete response", got.body)
}

// TestResumedStreamIgnoresFirstLength guards against the Content-Length of a broken-off response being used for the
// response that another server continues, which may have another length.
func TestResumedStreamIgnoresFirstLength(t *testing.T) {
	for _, c := range []struct {
		name string
		// last is the last event of the server that continues.
		last int
	}{
		{"longer", 8}, {"shorter", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := firstThen(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", fmt.Sprint(len(events(1, 6))))
				serveThenBreak(w, r)
			}, func(w http.ResponseWriter, r *http.Request) { serveEventsUpTo(w, r, c.last) })
			r := newFixture(t, h, h)
			got := r.send("/resume/x", "hello")
			assert.Equal(t, got.body, events(1, c.last))
			assert.Assert(t, !got.broken)
		})
	}
}

// TestResumedStreamBrokenOffBehindFirstLength guards against a broken-off response that looks complete, since the first
// server's length was reached before the second server broke off.
func TestResumedStreamBrokenOffBehindFirstLength(t *testing.T) {
	h := firstThen(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", fmt.Sprint(len(events(1, 6))))
		serveThenBreak(w, r)
	}, func(w http.ResponseWriter, r *http.Request) {
		serveEvents(w, r)
		panic(http.ErrAbortHandler)
	})
	got := newFixture(t, h, h).send("/resume/x", "hello")
	assert.Assert(t, got.broken, "a broken-off response looks complete: %q", got.body)
}

// TestStreamBrokenBeforeFirstEvent guards against a connection that ends without a status where nothing of the response
// had been sent.
func TestStreamBrokenBeforeFirstEvent(t *testing.T) {
	for _, path := range []string{"/stream/x", "/turn/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			h := func(w http.ResponseWriter, r *http.Request) {
				serveEventsUpTo(w, r, 0)
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			}
			r := newFixture(t, h, h)
			got := r.send(path, "hello")
			assert.Equal(t, got.status, http.StatusBadGateway)
		})
	}
}

// TestResumptionNeedsEventIDs guards against a response that has the same events twice: a server that is asked to continue
// a stream without event ids starts over.
func TestResumptionNeedsEventIDs(t *testing.T) {
	withoutIDs := func(w http.ResponseWriter, r *http.Request, last int) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		for n := 1; n <= last; n++ {
			_, _ = fmt.Fprintf(w, "data: %d\n\n", n) // the caller may have left
			w.(http.Flusher).Flush()
		}
	}
	h := firstThen(func(w http.ResponseWriter, r *http.Request) {
		withoutIDs(w, r, 2)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) { withoutIDs(w, r, 4) })
	r := newFixture(t, h, h)
	got := r.send("/resume/x", "hello")
	assert.Equal(t, got.body, "data: 1\n\ndata: 2\n\n")
	assert.Assert(t, got.broken)
}

// TestEventStreamOnPlainRoute guards against an event stream of any framing that ends inside an event and is forwarded as
// complete by a route that does not forward events one by one.
func TestEventStreamOnPlainRoute(t *testing.T) {
	for name, c := range endsInsideEvent(events(1, 3) + "id: 4\nda") {
		for _, path := range []string{"/twice/x", "/once/x"} {
			t.Run(name+path, func(t *testing.T) {
				h := serveRaw("Content-Type: text/event-stream\r\n"+c.fields, c.body, false)
				r := newFixture(t, h, h, h)
				got := r.send(path, "hello")
				assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
				assert.Assert(t, responseCounts(t, r)[name+"-truncated"] > 0)
			})
		}
	}
}

// TestLargeEventStreamOnPlainRoute guards against the same where the stream is too large to be buffered whole.
func TestLargeEventStreamOnPlainRoute(t *testing.T) {
	large := "data: " + strings.Repeat("e", 400<<10)
	for name, c := range endsInsideEvent(large) {
		t.Run(name, func(t *testing.T) {
			h := serveRaw("Content-Type: text/event-stream\r\n"+c.fields, c.body, false)
			got := newFixture(t, h).send("/once/x", "hello")
			assert.Assert(t, got.broken, "%d bytes", len(got.body))
		})
	}
	whole := serveRaw("Content-Type: text/event-stream\r\n", large+"\n\n", false)
	got := newFixture(t, whole).send("/once/x", "hello")
	assert.Assert(t, !got.broken)
	assert.Equal(t, got.body, large+"\n\n")
}

// framedBody is the header fields that frame a body, and the body with its framing.
type framedBody struct{ fields, body string }

// endsInsideEvent returns a body in each framing.
func endsInsideEvent(body string) map[string]framedBody {
	return map[string]framedBody{
		"connection": {"", body},
		"length":     {fmt.Sprintf("Content-Length: %d\r\n", len(body)), body},
		"chunked":    {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)},
	}
}

// TestEmptyStreamOfResumingCaller guards against a response that is refused on a plain route though it had nothing to add
// to the events that the caller has.
func TestEmptyStreamOfResumingCaller(t *testing.T) {
	for _, path := range []string{"/twice/x", "/resume/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			h := serveRaw("Content-Type: text/event-stream\r\n", "", false)
			got := newFixture(t, h, h, h).send(path, "hello", "After", "3")
			assert.Assert(t, got.status == http.StatusOK && !got.broken, "status %d", got.status)
		})
	}
}

// TestEmptyTurnNotKeptHasStatus guards against an end without a status where nothing of the response was sent.
func TestEmptyTurnNotKeptHasStatus(t *testing.T) {
	r := newFixture(t, serveRaw("Content-Type: text/event-stream\r\nContent-Length: 0\r\n", "", false))
	r.ledger.fail["finish"] = errors.New("no quorum")
	assert.Equal(t, r.send("/turn/x", "hello").status, http.StatusBadGateway)
}

// TestHeadKeepsLength guards against a HEAD response that announces an empty body in place of the server's length.
func TestHeadKeepsLength(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		w.Header().Set("Content-Length", "42")
	})
	req, err := http.NewRequest(http.MethodHead, r.url+"/twice/x", nil)
	assert.NilError(t, err)
	req.Header.Set("Id", "id-head")
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(t, resp.ContentLength, int64(42))
}

// TestRequestBodyCutOff guards against a request whose body ends early being sent to a server as a complete one.
func TestRequestBodyCutOff(t *testing.T) {
	for _, c := range []struct{ name, sent string }{
		{"length", "HTTP/1.1\r\nContent-Length: 5\r\n%s\r\nfour"},
		{"length, HTTP/1.0", "HTTP/1.0\r\nContent-Length: 5\r\n%s\r\nfour"},
		{"chunks", "HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n4\r\nfour\r\n"},
		{"chunks, no last line", "HTTP/1.1\r\nTransfer-Encoding: chunked\r\n%s\r\n4\r\nfour\r\n0\r\n"},
	} {
		for _, path := range []string{"/twice/x", "/once/x", "/stream/x", "/turn/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				var requests atomic.Int64
				r := newFixture(t, countRequests(&requests, serveEvents))
				conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
				_, err = io.WriteString(conn, "POST "+path+" "+fmt.Sprintf(c.sent, "Host: 127.0.0.1\r\nId: id-x\r\n"))
				assert.NilError(t, err)
				assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
				got, err := io.ReadAll(conn)
				assert.NilError(t, err)
				assert.Assert(t, strings.Contains(string(got), " 400 "), "%q", got)
				assert.Equal(t, requests.Load(), int64(0))
			})
		}
	}
}

// serveRaw is a server that sends a response without the framing of net/http and ends its connection by a reset or a
// close.
func serveRaw(fields, body string, reset bool) http.HandlerFunc {
	return serveRawAs("HTTP/1.1", fields, body, reset)
}

// serveRawAs is serveRaw with another protocol version.
func serveRawAs(version, fields, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // unread bytes would make a close a reset
		conn, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(out, "%s 200 OK\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", version, r.Header.Get("Id"), fields, body) // the gateway may have left
		_ = out.Flush()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// TestBrokenOffPlainResponseIsReplaced guards against a broken-off response that is buffered whole being forwarded.
func TestBrokenOffPlainResponseIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name   string
		server http.HandlerFunc
		whole  bool
	}{
		{"no length, closed", serveRaw("", "four", false), true},
		{"no length, reset", serveRaw("", "four", true), false},
		{"length, closed", serveRaw("Content-Length: 5\r\n", "four", false), false},
		{"length, reset", serveRaw("Content-Length: 5\r\n", "four", true), false},
		{"chunks, closed", serveRaw("Transfer-Encoding: chunked\r\n", "4\r\nfour\r\n", false), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, c.server, c.server, c.server)
			want := http.StatusBadGateway
			if c.whole {
				want = http.StatusOK
			}
			assert.Equal(t, r.send("/once/x", "hello").status, want)
			assert.Equal(t, r.send("/twice/x", "hello").status, want)
			h := firstThen(c.server, echo)
			r = newFixture(t, h, h)
			got := r.send("/twice/x", "hello")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body == "four", c.whole, "%q", got.body)
		})
	}
}

// TestChunksOfHTTP10ServerReachNoCaller guards against chunk sizes in a caller's body, and against a broken-off response
// that its caller takes for complete.
func TestChunksOfHTTP10ServerReachNoCaller(t *testing.T) {
	for name, body := range map[string]string{"whole": "4\r\nfour\r\n0\r\n\r\n", "broken off": "4\r\nfou"} {
		h := serveRawAs("HTTP/1.0", "Transfer-Encoding: chunked\r\n", body, false)
		for _, path := range []string{"/once/x", "/twice/x", "/stream/x", "/turn/x", "/resume/x"} {
			t.Run(name+path, func(t *testing.T) {
				got := newFixture(t, h, h, h).send(path, "hello")
				assert.Equal(t, got.status, http.StatusBadGateway, "%q", got.body)
			})
		}
		t.Run(name+", another server", func(t *testing.T) {
			h := firstThen(h, echo)
			got := newFixture(t, h, h).send("/twice/x", "hello")
			assert.Equal(t, got.status, http.StatusOK)
			assert.Assert(t, !strings.Contains(got.body, "fou"), "%q", got.body)
		})
	}
}

// TestSpilledEventCutOff guards against a stream that ends inside an event of which the beginning was forwarded, since it
// did not fit into the memory limit, being taken for complete.
func TestSpilledEventCutOff(t *testing.T) {
	for _, size := range []int{100 << 10, 200 << 10, 200<<10 + 1, 200<<10 + 2035} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			h := serveRaw("Content-Type: text/event-stream\r\n", events(1, 1)+"id: 2\ndata: "+strings.Repeat("e", size), false)
			r := newFixtureOn(t, loopback{}, membudget.Limits{Total: 64 << 10}, 1000, h)
			got := r.send("/stream/x", "hello")
			assert.Assert(t, got.broken, "the caller got %d bytes as a complete response", len(got.body))
			assert.Equal(t, r.exceeded()[0]["outcome"], "unbuffered")
		})
	}
}

// TestCallerPastDeadlineIsReset guards against the orderly close of an HTTP/1.0 caller's connection when the response could
// not be written in time.
func TestCallerPastDeadlineIsReset(t *testing.T) {
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		serveEventsUpTo(w, r, 3)
		<-r.Context().Done()
	})
	got := r.sendRaw("HTTP/1.0", "/stream/x", "Deadline: 200ms\r\n")
	assert.Equal(t, got.body, events(1, 3))
	assert.Assert(t, errors.Is(got.err, syscall.ECONNRESET), "the connection ended with error %v", got.err)
}

// TestStreamsWithoutEvents checks that responses without a body, and empty ones that say so, are complete on routes that
// forward events, also where a stream without events that ends with its connection is not.
func TestStreamsWithoutEvents(t *testing.T) {
	for _, c := range []struct {
		name, method string
		server       http.HandlerFunc
		status       int
	}{
		{"HEAD", http.MethodHead, serveRaw("Content-Type: text/event-stream\r\n", "", false), http.StatusOK},
		{"HEAD with a length", http.MethodHead, serveRaw("Content-Type: text/event-stream\r\nContent-Length: 42\r\n", "", false), http.StatusOK},
		{"empty", http.MethodPost, serveRaw("Content-Type: text/event-stream\r\nContent-Length: 0\r\n", "", false), http.StatusOK},
		{"empty chunks", http.MethodPost, serveRaw("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n", false), http.StatusOK},
		{"204", http.MethodPost, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "s")
			w.WriteHeader(http.StatusNoContent)
		}, http.StatusNoContent},
	} {
		for _, path := range []string{"/stream/x", "/resume/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				r := newFixture(t, c.server)
				req, err := http.NewRequest(c.method, r.url+path, nil)
				assert.NilError(t, err)
				req.Header.Set("Id", "id-empty")
				resp, err := http.DefaultTransport.RoundTrip(req)
				assert.NilError(t, err)
				defer func() { _ = resp.Body.Close() }()
				body, err := io.ReadAll(resp.Body)
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, c.status)
				assert.Equal(t, len(body), 0)
				assert.Equal(t, <-r.outcomes, "answered")
			})
		}
	}
}

// TestResumptionWithoutFurtherEvents checks that a resumed stream is complete if it had its last event before the
// resumption.
func TestResumptionWithoutFurtherEvents(t *testing.T) {
	h := firstThen(func(w http.ResponseWriter, r *http.Request) {
		serveEventsUpTo(w, r, 3)
		panic(http.ErrAbortHandler)
	}, serveRaw("Content-Type: text/event-stream\r\n", "", false))
	r := newFixture(t, h, h)
	got := r.send("/resume/x", "hello")
	assert.Equal(t, got.body, events(1, 3))
	assert.Assert(t, !got.broken)
}
