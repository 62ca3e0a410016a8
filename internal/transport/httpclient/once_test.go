package httpclient_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// TestCancelledRequestIsNotSent guards against a request that is sent after its cancellation because the connection was
// still being made: it would run after later calls of the same program.
func TestCancelledRequestIsNotSent(t *testing.T) {
	var arrived atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived.Add(1) }))
	defer server.Close()
	connected, closed := make(chan struct{}), make(chan struct{})
	client := httpclient.New(server.Listener.Addr().String(), func(addr string) (net.Conn, error) {
		<-connected // the VM is frozen
		conn, err := net.Dial("tcp", addr)
		return &closing{Conn: conn, closed: closed}, err
	}, time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Do(ctx, httpclient.Request{Method: http.MethodPost, Path: "/", Body: []byte("book"), AtMostOnce: true})
	assert.ErrorIs(t, err, httpclient.ErrNoResponse)
	close(connected)
	<-closed
	server.Close() // waits for the requests that it has read
	assert.Equal(t, arrived.Load(), int64(0))
}

// closing is a connection that signals when it is closed.
type closing struct {
	net.Conn
	closed chan struct{}
}

func (c *closing) Close() error {
	defer close(c.closed)
	return c.Conn.Close()
}

func TestAtMostOnceRequestsUseOwnConnections(t *testing.T) {
	var dials atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte(r.Method + r.Header.Get("X-Key")))
	}))
	defer server.Close()
	client := httpclient.New(server.Listener.Addr().String(), func(addr string) (net.Conn, error) {
		dials.Add(1)
		return net.Dial("tcp", addr)
	}, time.Minute)
	defer client.Close()
	for i := range int64(3) {
		resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodPost, Path: "/x", Body: []byte("b"), AtMostOnce: true,
			Header: map[string]string{"X-Key": "k"}})
		assert.NilError(t, err)
		body, err := resp.ReadAll(t.Context(), 1000)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "POSTk")
		assert.Equal(t, resp.Status, http.StatusAccepted)
		assert.Equal(t, resp.RetryAfter, 2*time.Second)
		assert.Equal(t, dials.Load(), i+1)
	}
}
