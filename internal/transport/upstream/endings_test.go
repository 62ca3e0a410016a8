package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// writeFirstConn is a connection whose reads, once armed, wait until a write has failed, so that the write gets the
// error of a reset connection and the read doesn't.
type writeFirstConn struct {
	net.Conn
	armed       chan struct{}
	writeFailed chan struct{}
	once        sync.Once
	writeErr    error
}

func (c *writeFirstConn) Read(p []byte) (int, error) {
	select {
	case <-c.armed:
		<-c.writeFailed
	default:
	}
	return c.Conn.Read(p)
}

func (c *writeFirstConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(func() {
			c.writeErr = err
			close(c.writeFailed)
		})
	}
	return n, err
}

// earlyResetAnswer sends a request with a body that its server does not read. The server answers with the given header
// lines and the bytes "data", and resets the connection once the bytes were read, while the body is still being
// written. It returns what was read and the error of the read.
func earlyResetAnswer(t *testing.T, headers string) (string, error) {
	t.Helper()
	reset := make(chan struct{})
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s\r\ndata", req.Header.Get("Id"), headers)
		<-reset
		_ = conn.(*net.TCPConn).SetLinger(0)
	})
	var c *writeFirstConn
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := (&net.Dialer{}).DialContext(ctx, network, address)
		c = &writeFirstConn{Conn: inner, armed: make(chan struct{}), writeFailed: make(chan struct{})}
		return c, err
	}
	r := request("1")
	r.Body = [][]byte{make([]byte, 32<<20)} // more than the buffers of both ends hold
	a, failure := upstream.NewPool(dial, headerCodec{}, 100).Do(background(t), upstream.Endpoint{Address: address}, 0, r)
	assert.Assert(t, failure == nil, "%v", failure)
	defer a.Close()
	first := make([]byte, len("data"))
	_, err := io.ReadFull(a.Body, first)
	assert.NilError(t, err)
	close(c.armed)
	close(reset)
	rest, err := io.ReadAll(a.Body)
	<-c.writeFailed
	assert.ErrorContains(t, c.writeErr, "connection reset")
	return string(first) + string(rest), err
}

// Guards against an answer without a length that is taken for complete since the write of the request has consumed the
// error of the reset.
func TestResetSeenByWriteBreaksOffAnswerWithoutLength(t *testing.T) {
	got, err := earlyResetAnswer(t, "")
	assert.Equal(t, got, "data")
	assert.Assert(t, err != nil, "the answer is taken for complete")
}

// Guards against an answer with a length or chunks that is taken for complete for the same reason.
func TestResetSeenByWriteBreaksOffFramedAnswer(t *testing.T) {
	for _, headers := range []string{"Content-Length: 40\r\n", "Transfer-Encoding: chunked\r\n\r\n28"} {
		got, err := earlyResetAnswer(t, headers)
		assert.Equal(t, got, "data")
		assert.Assert(t, err != nil, "the answer is taken for complete")
	}
}

// Guards against an early answer without a length that is refused since the rest of the request can't be written after
// the server's close.
func TestEarlyAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\ndata", req.Header.Get("Id"))
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, r) // closing with unread bytes would reset the connection
	})
	r := request("1")
	r.Body = [][]byte{make([]byte, 32<<20)}
	a, failure := newPool().Do(background(t), upstream.Endpoint{Address: address}, 0, r)
	assert.Assert(t, failure == nil, "%v", failure)
	defer a.Close()
	got, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "data")
}
