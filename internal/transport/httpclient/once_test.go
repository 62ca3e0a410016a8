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

// What was seen: a call that must not run twice took effect 6 ms after its frozen owner had thawed, behind a call of the
// same program that came after it. Order: the owner froze while it connected to the tool; the call was given up, another
// owner took over and ran the next one; at the thaw the connection was there, and the request went out. Cause: giving a
// request up did not stop one whose connection was still being made.

// TestGivenUpRequestIsNotSent: ctx ends while the connection is being made.
func TestGivenUpRequestIsNotSent(t *testing.T) {
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

// closing tells when its connection is closed.
type closing struct {
	net.Conn
	closed chan struct{}
}

func (c *closing) Close() error {
	defer close(c.closed)
	return c.Conn.Close()
}

// TestRequestOfItsOwnConnection: a body is sent and read whole, and each request has a connection.
func TestRequestOfItsOwnConnection(t *testing.T) {
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
