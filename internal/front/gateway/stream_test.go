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
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// events returns the text of some events of a stream.
func events(from, to int) string {
	var b strings.Builder
	for n := from; n <= to; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", n, n)
	}
	return b.String()
}

// counting is a server whose answer has events 1 to 6. It goes on behind the event that it is told.
func counting(w http.ResponseWriter, r *http.Request) { countingTo(w, r, 6) }

func countingTo(w http.ResponseWriter, r *http.Request, last int) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("Seal", "of "+r.Header.Get("Server"))
	for n := after + 1; n <= last; n++ {
		_, _ = fmt.Fprint(w, events(n, n)) // the caller may have left
		w.(http.Flusher).Flush()
	}
}

// breaking is a server that breaks off inside the fourth event.
func breaking(w http.ResponseWriter, r *http.Request) {
	countingTo(w, r, 3)
	_, _ = fmt.Fprint(w, "id: 4\nda")
	w.(http.Flusher).Flush()
	panic(http.ErrAbortHandler)
}

// seen notes what servers were told, in order.
type seen struct {
	mu    sync.Mutex
	after []string
}

func (s *seen) by(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.after = append(s.after, r.Header.Get("Last-Event"))
		s.mu.Unlock()
		h(w, r)
	}
}

// first answers the first request with one handler, all others with another.
func first(one, others http.HandlerFunc) http.HandlerFunc {
	var once sync.Once
	return func(w http.ResponseWriter, r *http.Request) {
		h := others
		once.Do(func() { h = one })
		h(w, r)
	}
}

func TestStreamsThatBreakOff(t *testing.T) {
	for _, c := range []struct {
		name string
		path string
		// one answers the first try, others all further ones.
		one, others http.HandlerFunc
		whole       bool
		body        string
		told        []string
	}{
		{"another server goes on", "/resume/x", breaking, counting, true, events(1, 6), []string{"", "3"}},
		{"before the first event", "/resume/x", hangUp, counting, true, events(1, 6), []string{"", ""}},
		{"no more than the route's attempts", "/resume/x", breaking, breaking, false, events(1, 3), []string{"", "3"}},
		{"a server that begins anew is not passed on", "/resume/x", breaking, func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event")
			counting(w, r)
		}, false, events(1, 3), []string{"", "3"}},
		{"a failure does not go into an answer", "/resume/x", breaking, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "s")
			http.Error(w, "why", http.StatusInternalServerError)
		}, false, events(1, 3), []string{"", "3"}},
		{"a route that does not allow it", "/stream/x", breaking, counting, false, events(1, 3), []string{""}},
		{"a kept turn", "/turn/x", breaking, counting, false, events(1, 3), []string{""}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var told seen
			h := told.by(first(c.one, c.others))
			r := newRig(t, h, h)
			got := r.send(c.path, "hello", "Program", "p", "Budget", "1000")
			assert.Equal(t, got.broken, !c.whole)
			assert.Equal(t, got.body, c.body)
			assert.DeepEqual(t, told.after, c.told)
			assert.Equal(t, len(r.books.settled) == 1, c.whole, "only a whole turn counts what it generated")
			assert.Equal(t, len(r.books.voided), 0)
		})
	}
}

// TestResumedAnswerKeepsItsHead: what the first server signed stays, whoever ends the answer.
func TestResumedAnswerKeepsItsHead(t *testing.T) {
	var head string
	var mu sync.Mutex
	h := first(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		head = "of " + r.Header.Get("Server")
		mu.Unlock()
		breaking(w, r)
	}, counting)
	got := newRig(t, h, h).send("/resume/x", "hello")
	mu.Lock()
	defer mu.Unlock()
	assert.Equal(t, got.header.Get("Seal"), head)
}

// TestCallerResumes: what the caller says it got last goes to the server.
func TestCallerResumes(t *testing.T) {
	var told seen
	r := newRig(t, told.by(counting))
	assert.Equal(t, r.send("/resume/x", "hello", "After", "4").body, events(5, 6))
	assert.DeepEqual(t, told.after, []string{"4"})
	assert.Equal(t, r.send("/turn/x", "hello", "After", "4").status, http.StatusBadRequest, "history needs the whole answer")
}

// TestStreamsThatAreNotKept: they count against the budget, and leave no text behind.
func TestStreamsThatAreNotKept(t *testing.T) {
	r := newRig(t, counting)
	assert.Equal(t, r.send("/stream/x", "hello", "Program", "p", "Budget", "100", "Id", "1").body, events(1, 6))
	assert.Equal(t, len(r.books.turns), 0)
	assert.Equal(t, len(r.books.settled), 1)
	got := r.books.settled[0]
	assert.DeepEqual(t, *got, turn.Record{State: turn.Settled, ID: "1", Program: "p", Tokens: 18, Retention: time.Minute, Server: incarnation.ID{Server: "0"}})
	assert.Equal(t, r.send("/stream/x", "hello", "Program", "p", "Budget", "100").status, http.StatusPaymentRequired,
		"18 are spent, and another turn may take 100")
	r.books.fail["reserve"] = fmt.Errorf("no disk is asked where nothing bounds a stream")
	assert.Equal(t, r.send("/stream/x", "hello").body, events(1, 6))
}

// TestEventsGoOnAsTheyCome: the first event reaches the caller while the server holds the second back.
func TestEventsGoOnAsTheyCome(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/turn/x"} {
		t.Run(path, func(t *testing.T) {
			release := make(chan struct{})
			r := newRig(t, func(w http.ResponseWriter, r *http.Request) {
				countingTo(w, r, 1)
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

// TestTurnWithoutAPlaceIsRefused: at once where it could not be served in time, as not run, with a time to come
// back, and its reservation is taken back.
func TestTurnWithoutAPlaceIsRefused(t *testing.T) {
	release := make(chan struct{})
	held := make(chan struct{}, 10)
	r := newRig(t, func(w http.ResponseWriter, r *http.Request) {
		held <- struct{}{}
		<-release
		counting(w, r)
	})
	r.gate.SetPeerDemand(map[string]int{"svc": 1000})
	running := make(chan reply, 1)
	go func() {
		running <- r.send("/stream/x", "one", "Program", "p", "Budget", "1000", "Id", "t1", "Finish", "60s")
	}()
	<-held
	got := r.send("/stream/x", "two", "Program", "q", "Budget", "1000", "Id", "t2", "Finish", "10ms")
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.DeepEqual(t, r.books.voided, []string{"t2"})
	close(release)
	assert.Equal(t, (<-running).body, events(1, 6))
	assert.Equal(t, len(held), 0, "no server saw the other turn")
}
