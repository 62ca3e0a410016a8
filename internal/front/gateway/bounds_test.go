package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRemovedServerIsNotRetried checks that a server that is removed while a request runs gets no further attempt of
// it.
func TestRemovedServerIsNotRetried(t *testing.T) {
	for _, path := range []string{"/twice/x", "/once/x", "/turn/x"} {
		var r *fixture
		var tried atomic.Int64
		leave := func(w http.ResponseWriter, req *http.Request) {
			tried.Add(1)
			r.servers.Reset(nil, 2)
			respondNotRun(w, req)
		}
		r = newFixture(t, leave, leave)
		assert.Equal(t, r.send(path, "hello").status, http.StatusServiceUnavailable, path)
		assert.Equal(t, tried.Load(), int64(1), path)
	}
}

// TestBodyMemoryIsBounded checks that bodies of known and unknown length that exceed the free memory are refused as
// not run, and are accepted once other requests have ended.
func TestBodyMemoryIsBounded(t *testing.T) {
	came, release := make(chan struct{}), make(chan struct{})
	r := newFixture(t, func(w http.ResponseWriter, req *http.Request) {
		if req.Header.Get("Hold") != "" {
			close(came)
			<-release
		}
		echo(w, req)
	})
	held := make(chan reply)
	go func() { held <- r.send("/once/x", strings.Repeat("a", 900), "Id", "first", "Hold", "1") }()
	<-came
	refused := r.send("/once/x", strings.Repeat("b", 900), "Id", "second")
	assert.Equal(t, refused.status, http.StatusServiceUnavailable)
	assert.Assert(t, refused.header.Get("Retry-After") != "")
	chunked, err := http.NewRequest(http.MethodPost, r.url+"/once/x", io.MultiReader(strings.NewReader(strings.Repeat("c", 900))))
	assert.NilError(t, err)
	resp, err := http.DefaultTransport.RoundTrip(chunked)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, r.send("/once/x", "small").status, http.StatusOK)
	close(release)
	assert.Equal(t, (<-held).status, http.StatusOK)
	for range 4 {
		<-r.outcomes
	}
	assert.Equal(t, r.send("/once/x", strings.Repeat("b", 900), "Id", "third").status, http.StatusOK)
}

// TestDrainClosesConnections checks a request that arrived before the drain.
func TestDrainClosesConnections(t *testing.T) {
	var r *fixture
	r = newFixture(t, func(w http.ResponseWriter, req *http.Request) {
		r.gateway.Drain()
		echo(w, req)
	})
	got := r.send("/once/x", "hello")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
}
