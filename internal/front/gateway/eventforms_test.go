package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

// eventForms are streams whose events have other forms than those of events.
var eventForms = []struct {
	name, body string
	// blank ends each event.
	blank string
	// step is the distance of the places at which the stream is cut, except near its events' ends.
	step int
}{
	{"lines that end with CR and LF", "id: 1\r\ndata: 1\r\n\r\nid: 2\r\ndata: 2\r\n\r\n", "\r\n\r\n", 1},
	{"several data lines", "id: 1\ndata: a\ndata: b\ndata:\n\nid: 2\ndata: c\ndata: d\n\n", "\n\n", 1},
	{"a comment at the end", events(1, 1) + ": end\n\n", "\n\n", 1},
	{"an event larger than the reader's buffer", "id: 1\ndata: " + strings.Repeat("e", 5000) + "\n\n" + events(2, 2), "\n\n", 256},
}

// checkEventForms checks the endings of interest of all forms on routes without resumption, at every sparse-th place.
func checkEventForms(t *testing.T, by []framing, sparse int, interest func(inside bool, e ending) bool) {
	for _, form := range eventForms {
		t.Run(form.name, func(t *testing.T) {
			f := newEndingFixture(t, nil)
			var found faults
			for _, by := range by {
				a := rawAnswer{status: "200 OK", framing: by, body: form.body, chunk: max(7, form.step)}
				a.framed = a.rest()
				for _, reset := range []bool{false, true} {
					for _, e := range steppedCuts(a, reset, 0, sparse*form.step, 20/sparse) {
						if inside := !strings.HasSuffix(a.delivered(e.cut), form.blank); !interest(inside, e) {
							continue
						}
						f.checkStream(&found, "/turn/x", a, e, form.blank)
						f.checkStream(&found, "/stream/x", a, e, form.blank)
					}
				}
			}
			found.report(t)
		})
	}
}

// Guards against events of other forms that are taken for complete when their connection is closed inside one.
func TestEventFormsAreBrokenOffInsideEvent(t *testing.T) {
	checkEventForms(t, []framing{byConnection}, 1, func(inside bool, e ending) bool { return !e.reset && inside && e.cut > 0 })
}

// Guards against events of other forms that are taken for broken off when their connection is closed between two.
func TestEventFormsAreWholeBetweenEvents(t *testing.T) {
	checkEventForms(t, []framing{byConnection}, 1, func(inside bool, e ending) bool { return !e.reset && !inside })
}

// Guards against events of other forms that are taken for complete after a reset.
func TestEventFormsAreBrokenOffByReset(t *testing.T) {
	checkEventForms(t, []framing{byConnection}, 3, func(_ bool, e ending) bool { return e.reset })
}

// Guards against events of other forms that are taken for complete before the end of their length or chunks.
func TestEventFormsAreBrokenOffByFraming(t *testing.T) {
	checkEventForms(t, []framing{byLength, byChunks}, 9, func(bool, ending) bool { return true })
}

// checkSpilledEvent checks endings of an event that is forwarded in pieces since it does not fit into memory.
func checkSpilledEvent(t *testing.T, by []framing, interest func(inside bool, e ending) bool) {
	s := &endingServer{}
	body := "id: 1\ndata: " + strings.Repeat("e", 100<<10) + "\ndata: " + strings.Repeat("f", 5000) + "\n\n" + events(2, 2)
	f := &endingFixture{fixture: newFixtureOn(t, loopback{}, membudget.Limits{Total: 64 << 10}, 1000, s.ServeHTTP), server: s}
	var found faults
	for _, by := range by {
		a := rawAnswer{status: "200 OK", framing: by, body: body, chunk: 5000}
		a.framed = a.rest()
		for _, reset := range []bool{false, true} {
			for _, e := range steppedCuts(a, reset, 80<<10, 4096, 6) {
				delivered := a.delivered(e.cut)
				if inside := !strings.HasSuffix(delivered, "\n\n"); !interest(inside, e) {
					continue
				}
				found.tried++
				id, got := f.get(http.MethodPost, "/stream/x", a, e)
				where := fmt.Sprintf("framed by %s, %s", by, e)
				whole, allowed := got.status == http.StatusOK && !got.broken, a.streamAllowed(e, "\n\n")
				if whole && allowed == mustBeBroken || !whole && allowed == mustBeWhole {
					found.add("%s: taken for complete %t, with %d of %d bytes", where, whole, len(got.body), len(body))
				}
				if !strings.HasPrefix(delivered, got.body) || whole && got.body != delivered {
					found.add("%s: %d bytes that differ from those of the server", where, len(got.body))
				}
				if f.settled(id) != whole {
					found.add("%s: counted as complete %t, complete for the caller %t", where, !whole, whole)
				}
			}
		}
	}
	found.report(t)
	assert.Assert(t, len(f.exceeded()) > 0, "no event was forwarded in pieces")
}

// Guards against an event forwarded in pieces that is taken for complete when its connection is closed inside it.
func TestSpilledEventIsBrokenOffInside(t *testing.T) {
	checkSpilledEvent(t, []framing{byConnection}, func(inside bool, e ending) bool { return !e.reset && inside })
}

// Guards against an event forwarded in pieces that is taken for broken off when its connection is closed after it.
func TestSpilledEventIsWholeAtItsEnd(t *testing.T) {
	checkSpilledEvent(t, []framing{byConnection}, func(inside bool, e ending) bool { return !e.reset && !inside })
}

// Guards against an event forwarded in pieces that is taken for complete before the end of its framing or after a reset.
func TestSpilledEventIsBrokenOffByFramingOrReset(t *testing.T) {
	checkSpilledEvent(t, []framing{byConnection}, func(_ bool, e ending) bool { return e.reset })
	checkSpilledEvent(t, []framing{byLength, byChunks}, func(_ bool, e ending) bool { return !e.reset })
}

// serveThenReset writes an answer without a length up to a part of event 3, and resets the connection after the caller
// has read events 1 and 2.
func serveThenReset(read <-chan struct{}, part string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		a := rawAnswer{status: "200 OK", framing: byConnection}
		_, _ = io.WriteString(conn, a.head(r.Header.Get("Id"))+events(1, 2)+part)
		<-read
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Guards against a stream that is taken for complete when its connection is reset after the caller has read its events.
func TestResetAfterEventsWereReadBreaksOff(t *testing.T) {
	for _, path := range []string{"/turn/x", "/stream/x", "/resume/x"} {
		for _, part := range []string{"", "id: 3\nda", events(3, 3)[:len(events(3, 3))-1]} {
			t.Run(fmt.Sprintf("%s%q", path, part), func(t *testing.T) {
				read := make(chan struct{})
				var log lastEventLog
				h := log.wrap(firstThen(serveThenReset(read, part), func(w http.ResponseWriter, r *http.Request) { serveEventsUpTo(w, r, 3) }))
				f := newFixture(t, h, h)
				got := f.sendThen(path, "hello", func() { close(read) }, "Program", "p", "Budget", "1000", "Id", "1")
				<-f.outcomes
				if path == "/resume/x" {
					assert.Assert(t, !got.broken)
					assert.Equal(t, got.body, events(1, 3))
					assert.Equal(t, len(log.ids), 2)
					return
				}
				assert.Assert(t, got.broken)
				assert.Assert(t, strings.HasPrefix(events(1, 2), got.body) && wholeEvents(got.body, "\n\n") == got.body, "%q", got.body)
				assert.Equal(t, len(f.ledger.turns)+len(f.ledger.settled)+len(f.ledger.released), 0)
				assert.Equal(t, len(log.ids), 1)
			})
		}
	}
}

// Guards against whole streams that are refused for the form of their events.
func TestUnusualFormsOfEventsAreWhole(t *testing.T) {
	for _, body := range []string{"data: 1\n\r\n", "data: 1\r\n\n", "\ufeffdata: 1\n\n", "data\n\n", "data: 1\n\n: bye\n\n", "data: 1\n\n\n\n",
		"event: done\n\n", "id: 7\n\n", "retry: 7\n\n"} {
		for _, path := range []string{"/stream/x", "/turn/x", "/resume/x", "/once/x"} {
			t.Run(fmt.Sprintf("%q%s", body, path), func(t *testing.T) {
				h := serveRaw("Content-Type: text/event-stream\r\n", body, false)
				got := newFixture(t, h, h, h).send(path, "hello")
				assert.Assert(t, got.status == http.StatusOK && !got.broken, "status %d, broken off %t", got.status, got.broken)
				assert.Equal(t, got.body, body)
			})
		}
	}
}

// Guards against a stream that is taken for whole although its connection ended before any event.
func TestCommentsAreNoEvents(t *testing.T) {
	for _, body := range []string{": hi\n\n", "\n"} {
		got := newFixture(t, serveRaw("Content-Type: text/event-stream\r\n", body, false)).send("/stream/x", "hello")
		assert.Assert(t, got.broken, "status %d", got.status)
	}
}

// Guards against an event that is sent twice in a whole answer, since it counts as none and another server starts over.
func TestEventsOfUnusualFormAreNotRepeated(t *testing.T) {
	for _, first := range []string{"data\n\n", "\ufeffid: 1\ndata\n\n", "\ufeffdata: 1\n\n"} {
		for _, reset := range []bool{false, true} {
			h := firstThen(serveRaw("Content-Type: text/event-stream\r\n", first, reset), serveEvents)
			got := newFixture(t, h, h).send("/resume/x", "hello")
			count := strings.Count(got.body, "data")
			assert.Check(t, got.broken || got.body == first || count == 6, "complete: %q", got.body)
		}
	}
}
