package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/share"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// events returns the text of a range of events.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// serveEvents is a server whose response has events 1 to 6. It continues after the request's last event.
func serveEvents(w http.ResponseWriter, r *http.Request) { serveEventsUpTo(w, r, 6) }

func serveEventsUpTo(w http.ResponseWriter, r *http.Request, last int) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "of "+r.Header.Get("Server"))
	for n := after + 1; n <= last; n++ {
		_, _ = fmt.Fprint(w, events(n, n)) // the caller may have left
		w.(http.Flusher).Flush()
	}
}

// serveThenBreak is a server that aborts its response in the fourth event.
func serveThenBreak(w http.ResponseWriter, r *http.Request) {
	serveEventsUpTo(w, r, 3)
	_, _ = fmt.Fprint(w, "id: 4\nda")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// lastEventLog records the last event ids that servers were sent, in order.
type lastEventLog struct {
	mu  sync.Mutex
	ids []string
}

func (s *lastEventLog) wrap(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.ids = append(s.ids, r.Header.Get("Last-Event"))
		s.mu.Unlock()
		h(w, r)
	}
}

// firstThen handles the first request with one handler and all others with another.
func firstThen(one, others http.HandlerFunc) http.HandlerFunc {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		h := others
		once.Do(func() { h = one })
		h(w, r)
	}
}

func TestStreamResumption(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// one handles the first attempt, others all further ones.
		one, others http.HandlerFunc
		whole       bool
		body        string
		told        []string
	}{
		{"another server goes on", "/resume/x", serveThenBreak, serveEvents, true, events(1, 6), []string{"", "3"}},
		{"before the first event", "/resume/x", abortConnection, serveEvents, true, events(1, 6), []string{"", ""}},
		{"no more than the route's attempts", "/resume/x", serveThenBreak, serveThenBreak, false, events(1, 3), []string{"", "3"}},
		{"a server that begins anew is not passed on", "/resume/x", serveThenBreak, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event")
			serveEvents(w, r)
		}, false, events(1, 3), []string{"", "3"}},
		{"a failure does not go into an answer", "/resume/x", serveThenBreak, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "s")
			http.Error(w, "why", http.StatusInternalServerError)
		}, false, events(1, 3), []string{"", "3"}},
		{"a route that does not allow it", "/stream/x", serveThenBreak, serveEvents, false, events(1, 3), []string{""}},
		{"a kept turn", "/turn/x", serveThenBreak, serveEvents, false, events(1, 3), []string{""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var log lastEventLog
			h := log.wrap(firstThen(c.one, c.others))
			r := newFixture(t, h, h)
			got := r.send(c.path, "hello", "Program", "p", "Budget", "1000")
			assert.Equal(t, got.broken, !c.whole)
			assert.Equal(t, got.body, c.body)
			assert.DeepEqual(t, log.ids, c.told)
			assert.Equal(t, len(r.ledger.settled) == 1, c.whole, "only a complete turn must count its tokens")
			assert.Equal(t, len(r.ledger.released), 0)
		})
	}
}

// TestResumedResponseKeepsFirstHead checks that the caller gets the headers of the first server, whichever completes
// the response.
func TestResumedResponseKeepsFirstHead(t *testing.T) {
	var head string
	var mu sync.Mutex
	h := firstThen(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		head = "of " + r.Header.Get("Server")
		mu.Unlock()
		serveThenBreak(w, r)
	}, serveEvents)
	got := newFixture(t, h, h).send("/resume/x", "hello")
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, got.header.Get("Seal"), head)
}

// TestCallerResumesStream checks that the caller's last event id is forwarded to the server.
func TestCallerResumesStream(t *testing.T) {
	var told lastEventLog
	r := newFixture(t, told.wrap(serveEvents))
	assert.Equal(t, r.send("/resume/x", "hello", "After", "4").body, events(5, 6))
	assert.DeepEqual(t, told.ids, []string{"4"})
	assert.Equal(t, r.send("/turn/x", "hello", "After", "4").status, http.StatusBadRequest, "a retained turn can't be resumed")
}

// TestStreamsWithoutRetention checks that tokens of such streams count against the budget, and their text is not
// stored.
func TestStreamsWithoutRetention(t *testing.T) {
	r := newFixture(t, serveEvents)
	assert.Equal(t, r.send("/stream/x", "hello", "Program", "p", "Budget", "100", "Id", "1").body, events(1, 6))
	assert.Equal(t, len(r.ledger.turns), 0)
	assert.Equal(t, len(r.ledger.settled), 1)
	got := r.ledger.settled[0]
	assert.DeepEqual(t, *got, turn.Record{State: turn.Settled, ID: "1", Program: "p", Tokens: 18, Retention: time.Minute, Server: incarnation.ID{Server: "0"}})
	assert.Equal(t, r.send("/stream/x", "hello", "Program", "p", "Budget", "100").status, http.StatusPaymentRequired,
		"18 tokens are spent and the turn reserves 100")
	r.ledger.fail["reserve"] = fmt.Errorf("a stream without a budget must not use the ledger")
	assert.Equal(t, r.send("/stream/x", "hello").body, events(1, 6))
}

// TestEventsAreForwardedImmediately checks that the first event reaches the caller before the server sends the second.
func TestEventsAreForwardedImmediately(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			release := make(chan struct{})
			r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
				serveEventsUpTo(w, r, 1)
				<-release
				_, _ = fmt.Fprint(w, events(2, 2)) // the caller reads to the end
			})
			req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader("x"))
			assert.NilError(t, err)
			req.Header.Set("Id", "1")
			resp, err := http.DefaultTransport.RoundTrip(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			buffer := make([]byte, len(events(1, 1)))
			_, err = resp.Body.Read(buffer)
			close(release)
			assert.NilError(t, err)
			assert.Equal(t, string(buffer), events(1, 1))
		})
	}
}

// TestTurnRefusedWhenNoSlotInTime checks that a turn that can't meet its deadline is refused at once, as not run and
// with a retry time, and its reservation is released.
func TestTurnRefusedWhenNoSlotInTime(t *testing.T) {
	release := make(chan struct{})
	held := make(chan struct{}, 10)
	r := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		held <- struct{}{}
		<-release
		serveEvents(w, r)
	})
	r.scheduler.SetPeerDemand(map[string]dispatch.Demand{"svc": {All: share.Demand{0: 1000}}})
	running := make(chan reply, 1)
	go func() {
		running <- r.send("/stream/x", "one", "Program", "p", "Budget", "1000", "Id", "t1", "Finish", "60s")
	}()
	<-held
	got := r.send("/stream/x", "two", "Program", "q", "Budget", "1000", "Id", "t2", "Finish", "10ms")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.DeepEqual(t, r.ledger.released, []string{"t2"})
	close(release)
	assert.Equal(t, (<-running).body, events(1, 6))
	assert.Equal(t, len(held), 0, "the refused turn must not reach a server")
}
