package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendBytes sends bytes to the gateway and returns all that comes back until the connection ends.
func (r *fixture) sendBytes(sent string) string {
	r.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(r.t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(r.t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, sent)
	assert.NilError(r.t, err)
	got, err := io.ReadAll(conn)
	assert.NilError(r.t, err, "the connection was not closed in order; received %q", got)
	return string(got)
}

// TestHTTP10RequestWithChunksIsRefused guards against a request that runs without its body or with the framing in it, and
// against chunks that are taken for further requests.
func TestHTTP10RequestWithChunksIsRefused(t *testing.T) {
	const inner = "POST /once/inner HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id-inner\r\nContent-Length: 0\r\n\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner)
	for _, c := range []struct{ name, version, fields, body string }{
		{"chunks", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunks},
		{"kept open", "HTTP/1.0", "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"kept open, with a length", "HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"a length before", "HTTP/1.0", fmt.Sprintf("Content-Length: %d\r\nTransfer-Encoding: chunked\r\n", len(chunks)), chunks},
		{"another coding", "HTTP/1.0", "Transfer-Encoding: gzip\r\nContent-Length: 1\r\n", "x"},
		{"behind many fields", "HTTP/1.0", strings.Repeat("Pad: "+strings.Repeat("p", 1000)+"\r\n", 10) + "Transfer-Encoding: chunked\r\n", chunks},
		{"space behind the name", "HTTP/1.1", "Transfer-Encoding : chunked\r\n", chunks},
		{"another coding, HTTP/1.1", "HTTP/1.1", "Transfer-Encoding: gzip\r\n", chunks},
		{"two lengths", "HTTP/1.1", "Content-Length: 1\r\nContent-Length: 2\r\n", "xx"},
	} {
		for _, path := range []string{"/once/x", "/twice/x", "/stream/x", "/turn/x"} {
			t.Run(c.name+path, func(t *testing.T) {
				var requests atomic.Int64
				r := newFixture(t, countRequests(&requests, serveEvents))
				got := r.sendBytes(fmt.Sprintf("POST %s %s\r\nHost: 127.0.0.1\r\nId: id-x\r\n%s\r\n%s", path, c.version, c.fields, c.body))
				assert.Equal(t, strings.Count(got, "HTTP/1."), 1, "%q", got)
				assert.Assert(t, strings.Contains(got, " 400 ") || strings.Contains(got, " 501 "), "%q", got)
				assert.Equal(t, requests.Load(), int64(0))
			})
		}
	}
}

// TestFaultyRequestOnUsedConnection guards against a check of the first request on a connection only.
func TestFaultyRequestOnUsedConnection(t *testing.T) {
	var requests atomic.Int64
	r := newFixture(t, countRequests(&requests, echo))
	conn, err := net.Dial("tcp", strings.TrimPrefix(r.url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	reader := bufio.NewReader(conn)
	for i, c := range []struct {
		fields, body string
		status       int
	}{
		{"Content-Length: 1\r\n", "x", http.StatusOK},
		{"Content-Length: 1\r\n", "y", http.StatusOK},
		{"Transfer-Encoding: chunked\r\n", "1\r\nz\r\n0\r\n\r\n", http.StatusBadRequest},
	} {
		_, err = fmt.Fprintf(conn, "POST /once/x HTTP/1.0\r\nHost: 127.0.0.1\r\nConnection: keep-alive\r\nId: id-%d\r\n%s\r\n%s", i, c.fields, c.body)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, c.status)
		assert.Equal(t, resp.Close, c.status != http.StatusOK)
	}
	assert.Equal(t, requests.Load(), int64(2))
}

// TestPipelinedRequests guards against requests that are refused, or run without their body, since they were sent before
// the response to the one before them.
func TestPipelinedRequests(t *testing.T) {
	const fields = "Host: 127.0.0.1\r\nConnection: keep-alive\r\nId: id-x\r\n"
	for _, c := range []struct {
		name, first, second string
		statuses            []string
	}{
		{"HTTP/1.1", "POST /twice/x HTTP/1.1\r\nContent-Length: 1\r\n%s\r\nx", "POST /twice/x HTTP/1.1\r\nContent-Length: 1\r\n%s\r\ny", []string{"200", "200"}},
		{"HTTP/1.0, no body", "GET /twice/x HTTP/1.0\r\n%s\r\n", "GET /twice/x HTTP/1.0\r\n%s\r\n", []string{"200", "200"}},
		{"HTTP/1.0, body", "POST /twice/x HTTP/1.0\r\nContent-Length: 1\r\n%s\r\nx", "POST /twice/x HTTP/1.0\r\nContent-Length: 1\r\n%s\r\ny", []string{"200", "400"}},
		{"HTTP/1.0, chunks", "GET /twice/x HTTP/1.0\r\n%s\r\n", "POST /twice/x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n%s\r\n1\r\ny\r\n0\r\n\r\n", []string{"200", "400"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(t, echo)
			last := fields
			if strings.Contains(c.second, "HTTP/1.1") {
				last = strings.Replace(fields, "keep-alive", "close", 1)
			}
			got := r.sendBytes(fmt.Sprintf(c.first, fields) + fmt.Sprintf(c.second, last))
			var statuses []string
			for _, part := range strings.Split(got, "HTTP/1.")[1:] {
				statuses = append(statuses, strings.Fields(part)[1])
			}
			assert.DeepEqual(t, statuses, c.statuses)
		})
	}
}

// TestConnectionEndsAfterTwoFramings guards against bytes behind a request with chunks and a length being taken for a
// further request: a proxy before the gateway may have gone by the length.
func TestConnectionEndsAfterTwoFramings(t *testing.T) {
	var requests atomic.Int64
	r := newFixture(t, countRequests(&requests, echo))
	const inner = "POST /once/inner HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id-inner\r\nContent-Length: 0\r\n\r\n"
	for _, fields := range []string{"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 6\r\n"} {
		requests.Store(0)
		got := r.sendBytes("POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id-x\r\n" + fields + "\r\n1\r\nx\r\n0\r\n\r\n" + inner)
		assert.Equal(t, strings.Count(got, "HTTP/1.1 200"), 1, "%q", got)
		assert.Assert(t, strings.Contains(got, "Connection: close"), "%q", got)
		assert.Equal(t, requests.Load(), int64(1))
	}
}
