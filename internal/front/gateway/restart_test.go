package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// restart makes the first server a new incarnation with the same address and name.
func (r *fixture) restart(revision uint64, born string) {
	address, _, _ := strings.Cut(string(r.objects[0].Value), " ")
	r.objects[0] = objectapi.Object{Key: r.objects[0].Key, Version: revision, Value: []byte(address + " " + born)}
	r.servers.Reset(r.objects, revision)
}

// TestRequestsEndWhenServerRestarts checks requests at a hanging server that restarts. Requests that may run twice are
// retried at once, others end as possibly run. None waits for the earlier incarnation until its deadline.
func TestRequestsEndWhenServerRestarts(t *testing.T) {
	begin := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.WriteString(w, "id: 1\ndata: first\n\n")
		w.(http.Flusher).Flush()
	}
	for path, want := range map[string]struct {
		begins bool
		status int
		broken bool
		reason string
		runs   int64
	}{
		"/twice/x":  {status: http.StatusOK, reason: "answered", runs: 2},
		"/once/x":   {status: http.StatusBadGateway, reason: "no-whole-answer", runs: 1},
		"/turn/x":   {status: http.StatusBadGateway, reason: "no-whole-answer", runs: 1},
		"/resume/x": {begins: true, status: http.StatusOK, reason: "answered", runs: 2},
		"/stream/x": {begins: true, status: http.StatusOK, broken: true, reason: "no-whole-answer", runs: 1},
	} {
		t.Run(strings.Split(path, "/")[1], func(t *testing.T) {
			asked := make(chan struct{})
			var once sync.Once
			var runs atomic.Int64
			answer := func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Last-Event") == "1" {
					w.Header().Set("Id", r.Header.Get("Id"))
					w.Header().Set("Seal", "s")
					_, _ = io.WriteString(w, "id: 2\ndata: second\n\n")
					return
				}
				echo(w, r)
			}
			first := func(w http.ResponseWriter, r *http.Request) {
				if runs.Load() > 1 { // the later incarnation
					answer(w, r)
					return
				}
				if want.begins {
					begin(w, r) // the caller receives the event before the restart
				} else {
					_, _ = io.Copy(io.Discard, r.Body) // needed to detect that the connection is closed
					once.Do(func() { close(asked) })
				}
				<-r.Context().Done()
			}
			r := newFixture(t, countRequests(&runs, first), countRequests(&runs, answer))
			r.restart(2, "100")
			r.servers.Change(objectapi.Event{Object: objectapi.Object{Key: "s/1"}, Deleted: true})
			r.servers.Reset(r.objects[:1], 3) // so that the hanging server is chosen
			go func() {
				<-asked
				r.servers.Reset(r.objects, 4)
				r.restart(5, "200")
			}()
			got := r.sendThen(path, "x", func() { once.Do(func() { close(asked) }) })
			assert.Equal(t, got.status, want.status)
			assert.Equal(t, got.broken, want.broken)
			assert.Equal(t, <-r.outcomes, want.reason)
			assert.Equal(t, runs.Load(), want.runs)
		})
	}
}
