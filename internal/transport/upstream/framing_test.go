package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// TestResponseEndings checks for each framing which end of the connection completes a response, so that no broken-off
// response is taken for a complete one.
func TestResponseEndings(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name string
		sent string
		// reset ends the connection by a reset instead of a close.
		reset bool
		// headOnly is set if the head is to be received but not a complete body, failed if not even the head.
		headOnly, failed bool
	}{
		{name: "length", sent: head + "Content-Length: 4\r\n\r\nfour"},
		{name: "length, short", sent: head + "Content-Length: 5\r\n\r\nfour", headOnly: true},
		{name: "length, no body", sent: head + "Content-Length: 5\r\n\r\n", headOnly: true},
		{name: "length, reset", sent: head + "Content-Length: 5\r\n\r\nfour", reset: true, headOnly: true},
		{name: "chunks", sent: chunked + "4\r\nfour\r\n0\r\n\r\n"},
		{name: "chunks, trailer", sent: chunked + "4\r\nfour\r\n0\r\nSum: 1\r\n\r\n"},
		{name: "chunks, none", sent: chunked, headOnly: true},
		{name: "chunks, cut in a size", sent: chunked + "4\r\nfour\r\n1", headOnly: true},
		{name: "chunks, cut in a chunk", sent: chunked + "4\r\nfou", headOnly: true},
		{name: "chunks, cut after a chunk's data", sent: chunked + "4\r\nfour", headOnly: true},
		{name: "chunks, cut between chunks", sent: chunked + "4\r\nfour\r\n", headOnly: true},
		{name: "chunks, cut in the last chunk's size", sent: chunked + "4\r\nfour\r\n0", headOnly: true},
		{name: "chunks, cut after the last chunk's size", sent: chunked + "4\r\nfour\r\n0\r\n", headOnly: true},
		{name: "chunks, cut in the last line feed", sent: chunked + "4\r\nfour\r\n0\r\n\r", headOnly: true},
		{name: "chunks, cut in a trailer", sent: chunked + "4\r\nfour\r\n0\r\nSum: 1", headOnly: true},
		{name: "chunks, cut after a trailer", sent: chunked + "4\r\nfour\r\n0\r\nSum: 1\r\n", headOnly: true},
		{name: "chunks, reset", sent: chunked + "4\r\nfour\r\n", reset: true, headOnly: true},
		{name: "connection", sent: head + "\r\nfour"},
		{name: "connection, HTTP/1.0", sent: "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nfour"},
		{name: "connection, reset", sent: head + "\r\nfour", reset: true, headOnly: true},
		{name: "connection, reset before the body", sent: head + "\r\n", reset: true, headOnly: true},
		{name: "head, no blank line", sent: head, failed: true},
		{name: "head, cut in the blank line", sent: head + "\r", failed: true},
		{name: "head, cut in a header", sent: head + "Content-Length: 1", failed: true},
		{name: "head, cut in the status", sent: "HTTP/1.1 20", failed: true},
		{name: "nothing", failed: true},
		{name: "interim response only", sent: "HTTP/1.1 100 Continue\r\n\r\n", failed: true},
		{name: "two lengths", sent: head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nfour", failed: true},
		{name: "empty length", sent: head + "Content-Length: \r\n\r\nfour", failed: true},
		{name: "unknown coding", sent: head + "Transfer-Encoding: gzip, chunked\r\n\r\nfour", failed: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = read(r)
				_, _ = io.WriteString(conn, c.sent)
				if c.reset {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
			})
			p := newPool()
			response, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 0, request("1"))
			// A reset may overtake the head.
			assert.Assert(t, c.failed == (failure != nil) || c.reset, "%v", failure)
			if failure != nil {
				return
			}
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			assert.Equal(t, err != nil, c.headOnly, "body %q, error %v", body, err)
			if err == nil {
				assert.Equal(t, string(body), "four")
			}
		})
	}
}

// TestUnfinishedResponsesAreNotPooled guards against a connection that is used again although its response has not been
// read to its end, or has no end of its own.
func TestUnfinishedResponsesAreNotPooled(t *testing.T) {
	for _, c := range []struct {
		name string
		sent string
		read int64
		// reused is set if the connection must be used again.
		reused bool
	}{
		{"whole", "Content-Length: 4\r\n\r\nfour", 10, true},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n0\r\n\r\n", 10, true},
		{"unread rest", "Content-Length: 4\r\n\r\nfour", 2, false},
		{"last chunk unread", "Transfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n", 4, false},
		{"more than its length", "Content-Length: 4\r\n\r\nfour more", 10, false},
		{"closing", "Connection: close\r\nContent-Length: 4\r\n\r\nfour", 10, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				for {
					id, _, err := read(r)
					if err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSeal: s\r\n%s", id, c.sent)
				}
			})
			p := newPool()
			for i := range 2 {
				response, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 0, request(fmt.Sprint(i)))
				assert.Assert(t, failure == nil, "%v", failure)
				_, err := io.ReadAll(io.LimitReader(response.Body, c.read))
				assert.NilError(t, err)
				response.Close()
			}
			assert.Equal(t, p.Reused() == 1, c.reused)
		})
	}
}

// TestBodylessResponses checks that a response without a body is complete with its head and its length is kept.
func TestBodylessResponses(t *testing.T) {
	for _, c := range []struct {
		name, method, status, fields string
		length                       int64
	}{
		{"HEAD with a length", "HEAD", "200 OK", "Content-Length: 42\r\n", 42},
		{"HEAD with chunks", "HEAD", "200 OK", "Transfer-Encoding: chunked\r\n", -1},
		{"HEAD", "HEAD", "200 OK", "", -1},
		{"204", "GET", "204 No Content", "", 0},
		{"304 with a length", "GET", "304 Not Modified", "Content-Length: 42\r\n", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = read(r)
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: 1\r\nSeal: s\r\n%s\r\n", c.status, c.fields)
				<-done
			})
			r := request("1")
			r.Method, r.Body, r.Header = c.method, nil, http.Header{"Id": {"1"}}
			response, failure := newPool().Do(background(t), upstream.Endpoint{Address: address}, 0, r)
			assert.Assert(t, failure == nil, "%v", failure)
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, len(body), 0)
			assert.Equal(t, response.Length, c.length)
		})
	}
}

// TestStrayResponseCutOff guards against the rest of a broken-off response to another request being taken for the
// response to this one.
func TestStrayResponseCutOff(t *testing.T) {
	for _, sent := range []string{
		"HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 900\r\n\r\n" + rawResponse("1", "inner"),
		"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfour\r\n",
		"HTTP/1.1 200 OK\r\nId: other\r\n\r\n" + rawResponse("1", "inner"),
	} {
		address := server(t, func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = read(r)
			_, _ = io.WriteString(conn, sent)
		})
		body, failure := send(background(t), newPool(), address, "1")
		assert.Assert(t, failure != nil, "%q", body)
	}
}

// TestChunksOfHTTP10Response guards against chunks of an HTTP/1.0 response being taken for its body: net/http ignores their
// framing, so that a broken-off response looks complete.
func TestChunksOfHTTP10Response(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		_, _, _ = read(r)
		_, _ = io.WriteString(conn, "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfou")
	})
	body, failure := send(background(t), newPool(), address, "1")
	assert.Assert(t, failure != nil, "%q", body)
}
