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

// restart says that the first server has started again, at its address and under its name.
func (r *rig) restart(revision uint64, born string) {
	address, _, _ := strings.Cut(string(r.objects[0].Value), " ")
	r.objects[0] = objectapi.Object{Key: r.objects[0].Key, Version: revision, Value: []byte(address + " " + born)}
	r.entries.Reset(r.objects, revision)
}

// TestRequestsAtAnEarlierStartEnd: a server that hangs has started again. What may run twice goes on elsewhere at once, and what
// may not is told that it may have run; nothing waits for the earlier start until the caller's time is over.
func TestRequestsAtAnEarlierStartEnd(t *testing.T) {
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
				if runs.Load() > 1 { // the later start
					answer(w, r)
					return
				}
				if want.begins {
					begin(w, r) // the caller has it before the server starts again
				} else {
					_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection goes unnoticed
					once.Do(func() { close(asked) })
				}
				<-r.Context().Done()
			}
			r := newRig(t, counted(&runs, first), counted(&runs, answer))
			r.restart(2, "100")
			r.entries.Change(objectapi.Event{Object: objectapi.Object{Key: "s/1"}, Deleted: true})
			r.entries.Reset(r.objects[:1], 3) // so that the request goes to the one that hangs
			go func() {
				<-asked
				r.entries.Reset(r.objects, 4)
				r.restart(5, "200")
			}()
			got := r.sendThen(path, "x", func() { once.Do(func() { close(asked) }) })
			assert.Equal(t, got.status, want.status)
			assert.Equal(t, got.broken, want.broken)
			assert.Equal(t, <-r.ended, want.reason)
			assert.Equal(t, runs.Load(), want.runs)
		})
	}
}
