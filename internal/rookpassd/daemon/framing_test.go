package daemon

import (
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// TestChunksOfHTTP10RequestAreRefused guards against a request that runs without its body, and against bytes behind a
// request with two framings being taken for a further request.
func TestChunksOfHTTP10RequestAreRefused(t *testing.T) {
	const inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n"
	for _, c := range []struct {
		name, sent string
		runs       int64
	}{
		{"chunks", "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 0},
		{"chunks and a length", "POST / HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 0},
		{"space behind the name", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 0},
		{"two lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 0},
		{"two framings", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			log := logrus.New()
			log.SetOutput(io.Discard)
			server := newHTTPServer(func(*fasthttp.RequestCtx) { runs.Add(1) }, newClients(log))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Shutdown() }()
			conn, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
			_, err = io.WriteString(conn, c.sent+inner)
			assert.NilError(t, err)
			got, _ := io.ReadAll(conn) // unread requests may make the close a reset
			assert.Equal(t, runs.Load(), c.runs, "%q", got)
			assert.Assert(t, c.runs > 0 || !strings.Contains(string(got), " 200 "), "%q", got)
		})
	}
}
