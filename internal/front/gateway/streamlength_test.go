package gateway_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

// withLength returns a server that announces the length of all six events, and then responds as h does.
func withLength(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Length", strconv.Itoa(len(events(1, 6))))
		h(w, r)
	}
}

// TestStreamIsNotFramedByItsServersLength: a caller that gets the length of the first server's stream has a complete
// answer before the gateway knows that it is one.
func TestStreamIsNotFramedByItsServersLength(t *testing.T) {
	t.Run("a server that goes on has longer events", func(t *testing.T) {
		longer := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Id", r.Header.Get("Id"))
			w.Header().Set("Seal", "s")
			_, _ = w.Write([]byte("id: 4\ndata: a much longer event than that of the first server\n\n"))
		}
		h := firstThen(withLength(serveThenBreak), longer)
		got := newFixture(t, h, h).send("/resume/x", "hello")
		want := events(1, 3) + "id: 4\ndata: a much longer event than that of the first server\n\n"
		assert.Assert(t, !got.broken)
		assert.Equal(t, got.body, want)
	})
	t.Run("a server that goes on breaks off after the announced length", func(t *testing.T) {
		h := firstThen(withLength(serveThenBreak), func(w http.ResponseWriter, r *http.Request) {
			serveEvents(w, r)
			panic(http.ErrAbortHandler)
		})
		got := newFixture(t, h, h).send("/resume/x", "hello")
		assert.Assert(t, got.broken, "a broken-off answer looks complete: %q", got.body)
	})
	t.Run("a turn that can't be recorded", func(t *testing.T) {
		r := newFixture(t, withLength(serveEvents))
		r.ledger.fail["finish"] = context.DeadlineExceeded
		got := r.send("/turn/x", "hello", "Program", "p", "Budget", "1000")
		assert.Assert(t, got.broken, "a turn that is not retained looks complete: %q", got.body)
	})
}
