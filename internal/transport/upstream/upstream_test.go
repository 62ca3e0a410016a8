package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// headerCodec is a minimal codec: the header Id holds the request ID.
type headerCodec struct{ call.HeaderCodec }

func (headerCodec) DecodeResponse(h http.Header, _ int) call.ResponseInfo {
	return call.ResponseInfo{ID: h.Get("Id"), Signed: h.Get("Seal") != ""}
}

// server runs script for each connection and returns its address.
func server(t *testing.T, script func(conn net.Conn, r *bufio.Reader)) string {
	t.Helper()
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
				script(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return listener.Addr().String()
}

// read reads one request and returns its ID and body.
func read(r *bufio.Reader) (string, string, error) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", "", err
	}
	body, err := io.ReadAll(req.Body)
	return req.Header.Get("Id"), string(body), err
}

func rawResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool() *upstream.Pool {
	return upstream.NewPool(network.NewDialer(time.Second, time.Second), headerCodec{}, 100)
}

func request(id string) *upstream.Request {
	return &upstream.Request{Method: "POST", URI: "/p/x?q=1", Host: "h", Header: http.Header{"Id": {id}},
		Body: [][]byte{[]byte("a"), []byte("b")}, ID: id}
}

// send sends a request and returns the response's body or the failure.
func send(ctx context.Context, p *upstream.Pool, address, id string) (string, *upstream.Failure) {
	a, failure := p.Do(ctx, upstream.Endpoint{Address: address}, 0, request(id))
	if failure != nil {
		return "", failure
	}
	defer a.Close()
	body, err := io.ReadAll(a.Body)
	if err != nil {
		return string(body), upstream.NewFailure(verdict.MayHaveRun, "body", err)
	}
	return string(body), nil
}

func background(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestConnectionsAreKept(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, body, err := read(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, rawResponse(id, id+body))
		}
	})
	p := newPool()
	for i := range 5 {
		body, failure := send(background(t), p, address, fmt.Sprint(i))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, body, fmt.Sprint(i)+"ab")
	}
	assert.Equal(t, p.Opened(), int64(1))
	assert.Equal(t, p.Reused(), int64(4))
}

// malformedResponses must all end in a failure.
var malformedResponses = map[string]func(conn net.Conn, id string){
	"cut short": func(c net.Conn, id string) {
		_, _ = io.WriteString(c, strings.TrimSuffix(rawResponse(id, "whole"), "ole"))
	},
	"no answer":          func(net.Conn, string) {},
	"bytes, no protocol": func(c net.Conn, _ string) { _, _ = io.WriteString(c, "\x00\x01garbage\r\n\r\n") },
	"no request id":      func(c net.Conn, _ string) { _, _ = io.WriteString(c, rawResponse("", "whole")) },
	"chunk cut off": func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", id)
	},
	"unframed, reset": func(c net.Conn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\nwhole", id)
		_ = c.(*net.TCPConn).SetLinger(0)
	},
}

func TestMalformedResponsesAreFailures(t *testing.T) {
	for name, fault := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				id, _, err := read(r)
				if err == nil {
					fault(conn, id)
				}
			})
			_, failure := send(background(t), newPool(), address, "1")
			assert.Assert(t, failure != nil)
			assert.Equal(t, failure.Verdict, verdict.MayHaveRun)
		})
	}
}

func TestUnframedAnswerEndsWithItsConnection(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		id, _, _ := read(r)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\nwhole", id)
	})
	p := newPool()
	for range 2 {
		body, failure := send(background(t), p, address, "1")
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, body, "whole")
	}
	assert.Equal(t, p.Opened(), int64(2))
}

// TestLateDuplicateResponseIsSkipped checks that a second response to the previous request is not taken for that of the
// next one.
func TestLateDuplicateResponseIsSkipped(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		first, _, _ := read(r)
		_, _ = io.WriteString(conn, rawResponse(first, "first"))
		second, _, err := read(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, rawResponse(first, "surplus")+rawResponse(second, "second"))
	})
	p := newPool()
	_, failure := send(background(t), p, address, "1")
	assert.Assert(t, failure == nil, "%v", failure)
	body, failure := send(background(t), p, address, "2")
	assert.Assert(t, failure == nil, "%v", failure)
	assert.Equal(t, body, "second")
	assert.Equal(t, p.Opened(), int64(1))
}

// TestTrailingBytesEndTheConnection checks that a connection with unread bytes after a response is not reused.
func TestTrailingBytesEndTheConnection(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		id, _, _ := read(r)
		_, _ = io.WriteString(conn, rawResponse(id, "whole")+rawResponse(id, "again"))
		_, _ = r.ReadByte()
	})
	p := newPool()
	for i := range 3 {
		body, failure := send(background(t), p, address, fmt.Sprint(i))
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, body, "whole")
	}
	assert.Equal(t, p.Opened(), int64(3))
}

// TestEarlyResponseEndsTheConnection checks that a connection is not reused if the server responded before it had read
// the body, so that the rest of the body is never taken for another request.
func TestEarlyResponseEndsTheConnection(t *testing.T) {
	rest := make(chan int64, 2)
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, rawResponse(req.Header.Get("Id"), "early"))
		n, _ := io.Copy(io.Discard, r)
		rest <- n
	})
	p := newPool()
	const size = 32 << 20
	for i := range 2 {
		r := request(fmt.Sprint(i))
		r.Body = [][]byte{make([]byte, size)}
		a, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 0, r)
		assert.Assert(t, failure == nil, "%v", failure)
		body, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "early")
		a.Close()
		assert.Assert(t, <-rest <= size)
	}
	assert.Equal(t, p.Opened(), int64(2))
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, failure := send(background(t), newPool(), address, "1")
	assert.Assert(t, failure != nil)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	assert.Equal(t, failure.Reason, upstream.ReasonDial)
}

// TestClosedIdleConnectionIsNotUsed checks that a connection is not reused if the server closed it without notice.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{}, 3)
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		id, _, _ := read(r)
		_, _ = io.WriteString(conn, rawResponse(id, "whole"))
		_ = conn.Close()
		closed <- struct{}{}
	})
	p := newPool()
	for i := range 3 {
		_, failure := send(background(t), p, address, fmt.Sprint(i))
		assert.Assert(t, failure == nil, "%v", failure)
		<-closed
	}
}

func TestCancelledRequestClosesItsConnection(t *testing.T) {
	began, left := make(chan struct{}), make(chan error, 1)
	address := server(t, func(_ net.Conn, r *bufio.Reader) {
		_, _, _ = read(r)
		close(began)
		_, err := r.ReadByte()
		left <- err
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-began
		cancel()
	}()
	_, failure := send(ctx, newPool(), address, "1")
	assert.Equal(t, failure.Reason, upstream.ReasonCanceled)
	assert.Equal(t, failure.Verdict, verdict.MayHaveRun)
	assert.Assert(t, <-left != nil)
}

func TestConnectionLimitPerServer(t *testing.T) {
	release, began := make(chan struct{}), make(chan struct{})
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		id, _, _ := read(r)
		close(began)
		<-release
		_, _ = io.WriteString(conn, rawResponse(id, "whole"))
	})
	p := newPool()
	done := make(chan *upstream.Failure, 1)
	go func() {
		_, failure := send(background(t), p, address, "1")
		done <- failure
	}()
	<-began
	_, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 1, request("2"))
	assert.Equal(t, failure.Reason, upstream.ReasonNoConns)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
	close(release)
	assert.Assert(t, <-done == nil)
}

// TestConnectionLimitOfThePool checks that idle connections to other servers are closed at the limit, and busy ones are
// not.
func TestConnectionLimitOfThePool(t *testing.T) {
	serve := func(conn net.Conn, r *bufio.Reader) {
		for {
			id, _, err := read(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, rawResponse(id, "body"))
		}
	}
	p := upstream.NewPool(network.NewDialer(time.Second, time.Second), headerCodec{}, 2)
	for i := range 4 {
		_, failure := send(background(t), p, server(t, serve), fmt.Sprint(i))
		assert.Assert(t, failure == nil, "%v", failure)
	}
	for i := range 2 {
		held, failure := p.Do(background(t), upstream.Endpoint{Address: server(t, serve)}, 0, request(fmt.Sprint("held", i)))
		assert.Assert(t, failure == nil, "%v", failure)
		defer held.Close()
	}
	_, failure := send(background(t), p, server(t, serve), "too many")
	assert.Equal(t, failure.Reason, upstream.ReasonNoConns)
	assert.Equal(t, failure.Verdict, verdict.NotRun)
}

func TestConnectionsToAnEarlierIncarnationAreNotUsed(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, _, err := read(r)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, rawResponse(id, "body"))
		}
	})
	p := newPool()
	for i, born := range []int64{1, 1, 2, 2} {
		to := upstream.Endpoint{Address: address, Server: incarnation.ID{Server: "a", Born: born}}
		a, failure := p.Do(background(t), to, 0, request(fmt.Sprint(i)))
		assert.Assert(t, failure == nil, "%v", failure)
		_, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		a.Close()
	}
	assert.Equal(t, p.Opened(), int64(2))
	assert.Equal(t, p.Reused(), int64(2))
}

// TestFramingAndEnding guards against responses whose framing or end the caller of the package can't tell, and against
// connections that are reused although they mark the end of a response.
func TestFramingAndEnding(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n"
	for _, c := range []struct {
		name, method, status, header, body string
		framing                            upstream.Framing
		ending                             upstream.Ending
		kept                               bool
	}{
		{"length", "POST", "200 OK", "Content-Length: 5\r\n", "whole", upstream.FramingLength, upstream.EndingComplete, true},
		{"length, empty", "POST", "200 OK", "Content-Length: 0\r\n", "", upstream.FramingLength, upstream.EndingComplete, true},
		{"length, cut off", "POST", "200 OK", "Content-Length: 6\r\n", "whole", upstream.FramingLength, upstream.EndingTruncated, false},
		{"chunks", "POST", "200 OK", chunked, "5\r\nwhole\r\n0\r\n\r\n", upstream.FramingChunked, upstream.EndingComplete, true},
		{"chunks, cut off", "POST", "200 OK", chunked, "5\r\nwhole\r\n", upstream.FramingChunked, upstream.EndingTruncated, false},
		{"connection", "POST", "200 OK", "", "whole", upstream.FramingConnection, upstream.EndingComplete, false},
		{"HEAD, length", "HEAD", "200 OK", "Content-Length: 5\r\n", "", upstream.FramingNone, upstream.EndingComplete, true},
		{"HEAD, chunks", "HEAD", "200 OK", chunked, "", upstream.FramingNone, upstream.EndingComplete, true},
		{"HEAD, neither", "HEAD", "200 OK", "", "", upstream.FramingNone, upstream.EndingComplete, false},
		{"no content", "POST", "204 No Content", "", "", upstream.FramingNone, upstream.EndingComplete, true},
		{"not modified", "GET", "304 Not Modified", "Content-Length: 5\r\n", "", upstream.FramingNone, upstream.EndingComplete, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					request, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: %s\r\nSeal: s\r\n%s\r\n%s", c.status, request.Header.Get("Id"), c.header, c.body)
					if !c.kept {
						return
					}
				}
			})
			p := newPool()
			for range 2 {
				r := request("1")
				r.Method = c.method
				a, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 0, r)
				assert.Assert(t, failure == nil, "%v", failure)
				assert.Equal(t, a.Framing, c.framing)
				assert.Equal(t, a.Ending(), upstream.EndingUnknown)
				_, err := io.ReadAll(a.Body)
				assert.Equal(t, err == nil, c.ending == upstream.EndingComplete)
				assert.Equal(t, a.Ending(), c.ending)
				a.Close()
			}
			assert.Equal(t, p.Reused() == 1, c.kept)
		})
	}
}

// TestCancelledResponseHasNoEnding guards against responses that are taken for broken off by the server although the
// request was cancelled.
func TestCancelledResponseHasNoEnding(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		id, _, _ := read(r)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n\r\nbegun", id)
		_, _ = r.ReadByte()
	})
	ctx, cancel := context.WithCancel(background(t))
	a, failure := newPool().Do(ctx, upstream.Endpoint{Address: address}, 0, request("1"))
	assert.Assert(t, failure == nil, "%v", failure)
	defer a.Close()
	cancel()
	_, err := io.ReadAll(a.Body)
	assert.Assert(t, err != nil)
	assert.Equal(t, a.Ending(), upstream.EndingUnknown)
}
