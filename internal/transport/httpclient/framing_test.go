package httpclient_test

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

	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// serveRaw answers every request with the same bytes and then closes the connection, with a reset if reset is set. It
// returns its address.
func serveRaw(t *testing.T, answer string, reset bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
					return
				}
				_, _ = conn.Write([]byte(answer))
				if reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestBodyIsCompleteOnlyIfItsFramingSaysSo guards against a response that was broken off and is taken for a complete
// one, on kept connections and on those of one request.
func TestBodyIsCompleteOnlyIfItsFramingSaysSo(t *testing.T) {
	const limit = 1 << 20
	large := strings.Repeat("0123456789abcdef", 4096)
	for _, row := range []struct {
		name, answer string
		reset        bool
		// body is that of a complete response; empty if the response is broken off.
		body string
	}{
		{name: "length", answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", body: "whole"},
		{name: "length not reached", answer: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole"},
		{name: "length without a body", answer: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n"},
		{name: "large length not reached", answer: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(large)+1, large)},
		{name: "length not reached before a reset", answer: "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nwhole", reset: true},
		{name: "chunks", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", body: "whole"},
		{name: "no last chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"},
		{name: "last chunk without its end", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n"},
		{name: "cut chunk", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole"},
		{name: "cut chunk size", answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n1"},
		{name: "no framing", answer: "HTTP/1.1 200 OK\r\n\r\nwhole", body: "whole"},
		{name: "no framing, large", answer: "HTTP/1.1 200 OK\r\n\r\n" + large, body: large},
		{name: "cut headers", answer: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"},
		{name: "cut status", answer: "HTTP/1.1 200"},
		{name: "nothing", answer: ""},
	} {
		for _, once := range []bool{false, true} {
			t.Run(fmt.Sprint(row.name, "/once=", once), func(t *testing.T) {
				client := httpclient.New(serveRaw(t, row.answer, row.reset), httpclient.DialTCP, time.Minute)
				defer client.Close()
				resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/", AtMostOnce: once})
				var body []byte
				if err == nil {
					body, err = resp.ReadAll(t.Context(), limit)
				}
				if row.body == "" {
					assert.Assert(t, err != nil, "complete with %d bytes", len(body))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, len(body), len(row.body))
			})
		}
	}
}

// TestResetEndsNoBody guards against a reset taken for the end of a response that is framed by its connection.
func TestResetEndsNoBody(t *testing.T) {
	for _, once := range []bool{false, true} {
		t.Run(fmt.Sprint("once=", once), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			received := make(chan struct{})
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole"))
				<-received
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
			client := httpclient.New(listener.Addr().String(), httpclient.DialTCP, time.Minute)
			defer client.Close()
			resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/", AtMostOnce: once})
			assert.NilError(t, err)
			close(received)
			body, err := resp.ReadAll(t.Context(), 1<<20)
			assert.Assert(t, err != nil, "complete with %q", body)
		})
	}
}

// TestIdleTimeoutEndsNoBody guards against the client's own close of a silent connection taken for the end of a
// response that is framed by its connection.
func TestIdleTimeoutEndsNoBody(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	done := make(chan struct{})
	defer close(done)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\nwhole"))
		<-done
		_ = conn.Close()
	}()
	client := httpclient.New(listener.Addr().String(), httpclient.DialTCP, 200*time.Millisecond)
	defer client.Close()
	resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	body, err := resp.ReadAll(t.Context(), 1<<20)
	assert.Assert(t, err != nil, "complete with %q", body)
}

// TestChunksOfHTTP10ResponseAreNoBody guards against chunk sizes taken for a part of the body, and against a response that
// is complete although it broke off inside a chunk.
func TestChunksOfHTTP10ResponseAreNoBody(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwh",
		"HTTP/1.0 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\nwhole",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho",
	} {
		for _, once := range []bool{false, true} {
			client := httpclient.New(serveRaw(t, answer, false), httpclient.DialTCP, time.Minute)
			defer client.Close()
			resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodPost, Path: "/", AtMostOnce: once})
			if err == nil {
				body, _ := resp.ReadAll(t.Context(), 1<<20)
				t.Errorf("once=%t: complete with %q of %q", once, body, answer)
				continue
			}
			assert.ErrorIs(t, err, httpclient.ErrNoResponse)
		}
	}
}

// TestSecondResponseOfConnectionIsChecked guards against a check of the first response on a kept connection only.
func TestSecondResponseOfConnectionIsChecked(t *testing.T) {
	var dials atomic.Int64
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			dials.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for _, answer := range []string{"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwho"} {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = conn.Write([]byte(answer))
				}
			}()
		}
	}()
	client := httpclient.New(listener.Addr().String(), httpclient.DialTCP, time.Minute)
	defer client.Close()
	for i := range 2 {
		resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/"})
		if i == 1 {
			assert.ErrorIs(t, err, httpclient.ErrNoResponse)
			continue
		}
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "whole")
		resp.Close() // the next request may use the connection from here on
	}
	assert.Equal(t, dials.Load(), int64(1))
}

// TestSpaceBehindFramingField guards against a length or a coding that is not seen, so that the response ends with its
// connection and is complete wherever it breaks off. fasthttp reads such fields, so that either a failure or the complete
// body is right.
func TestSpaceBehindFramingField(t *testing.T) {
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwho",
		"HTTP/1.1 200 OK\r\nContent-Length : 5\r\n\r\nwho",
	} {
		client := httpclient.New(serveRaw(t, answer, false), httpclient.DialTCP, time.Minute)
		defer client.Close()
		resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/"})
		if err == nil {
			_, err = resp.ReadAll(t.Context(), 1<<20)
		}
		assert.Assert(t, err != nil, "complete: %q", answer)
	}
}

// TestCutHeadIsNoResponse guards against a response with an empty body because its head was cut off.
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 17\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n",
		"HTTP/1.1 200 OK\r\nX-Field: value\r\n", "HTTP/1.0 200 OK\r\nX-Field: value\r\n", "HTTP/1.1 200 OK\nContent-Length: 17\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 17\r\n"} {
		for cut := range len(head) + 1 {
			for _, reset := range []bool{false, true} {
				for _, once := range []bool{false, true} {
					client := httpclient.New(serveRaw(t, head[:cut], reset), httpclient.DialTCP, time.Minute)
					resp, err := client.Do(t.Context(), httpclient.Request{Method: http.MethodGet, Path: "/", AtMostOnce: once})
					if err == nil {
						_, err = resp.ReadAll(t.Context(), 1<<20)
					}
					assert.Assert(t, err != nil, "%q, reset %v, once %v", head[:cut], reset, once)
					client.Close()
				}
			}
		}
	}
}
