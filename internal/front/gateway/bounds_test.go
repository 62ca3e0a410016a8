package gateway_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLeavingServerGetsNoFurtherTry: a server whose entry goes while a request is being tried elsewhere gets
// nothing more, though it was there when the request came.
func TestLeavingServerGetsNoFurtherTry(t *testing.T) {
	for _, path := range []string{"/twice/x", "/once/x", "/turn/x"} {
		var r *rig
		var tried atomic.Int64
		leave := func(w http.ResponseWriter, req *http.Request) {
			tried.Add(1)
			r.entries.Reset(nil, 2)
			shed(w, req)
		}
		r = newRig(t, leave, leave)
		assert.Equal(t, r.send(path, "hello").status, http.StatusServiceUnavailable, path)
		assert.Equal(t, tried.Load(), int64(1), path)
	}
}

// TestBodiesHoldBoundedMemory: what does not fit beside the bodies of other requests is refused as not run, with
// and without a known length, and fits once they have ended.
func TestBodiesHoldBoundedMemory(t *testing.T) {
	came, release := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
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
		<-r.ended
	}
	assert.Equal(t, r.send("/once/x", strings.Repeat("b", 900), "Id", "third").status, http.StatusOK)
}

// TestCallerThatDoesNotReadIsLeft: its answer does not fit into the connection, and the request ends soon after
// its time all the same.
func TestCallerThatDoesNotReadIsLeft(t *testing.T) {
	r := newRig(t, func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Id", req.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		block := make([]byte, 64<<10)
		for req.Context().Err() == nil {
			if _, err := w.Write(block); err != nil {
				return
			}
		}
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /twice/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: slow\r\nDeadline: 100ms\r\n\r\n")
	assert.NilError(t, err)
	select {
	case reason := <-r.ended:
		assert.Equal(t, reason, "caller-left")
	case <-time.After(10 * time.Second):
		t.Fatal("the request is still held")
	}
}

// TestStoppingDaemonAsksCallersToLeave: also those whose requests came before.
func TestStoppingDaemonAsksCallersToLeave(t *testing.T) {
	var r *rig
	r = newRig(t, func(w http.ResponseWriter, req *http.Request) {
		r.gateway.Drain()
		echo(w, req)
	})
	got := r.send("/once/x", "hello")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.closes)
}
