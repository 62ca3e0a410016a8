package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
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

// TestFaultyFramingIsRefused guards against framing being forwarded as the body of a complete response: the end of a
// response with a faulty framing is not known.
func TestFaultyFramingIsRefused(t *testing.T) {
	const chunks = "4\r\nfour\r\n0\r\n\r\n"
	long := strings.Repeat("Pad: "+strings.Repeat("p", 1000)+"\r\n", 10) // more than the connection's buffer
	for _, c := range []struct{ name, version, fields, body string }{
		{"chunks in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, with a length", "HTTP/1.0", "Content-Length: 14\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, kept open", "HTTP/1.0", "Connection: keep-alive\r\nContent-Length: 14\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, behind many fields", "HTTP/1.0", long + "Transfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, behind a long name", "HTTP/1.0", strings.Repeat("n", 70) + ": 1\r\nTransfer-Encoding: chunked\r\n", chunks},
		{"chunks in HTTP/1.0, on a continued line", "HTTP/1.0", "Transfer-Encoding:\r\n chunked\r\n", chunks},
		{"chunks in HTTP/0.9", "HTTP/0.9", "transfer-encoding:chunked\r\n", chunks},
		{"another coding in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: gzip\r\n", "four"},
		{"no coding in HTTP/1.0", "HTTP/1.0", "Transfer-Encoding: identity\r\nContent-Length: 4\r\n", "four"},
		{"space behind the coding's name", "HTTP/1.1", "Transfer-Encoding : chunked\r\n", "4\r\nfou"},
		{"space behind the length's name", "HTTP/1.1", "Content-Length : 5\r\n", "four"},
		{"another coding", "HTTP/1.1", "Transfer-Encoding: gzip\r\n", "four"},
		{"two codings", "HTTP/1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", chunks},
		{"two lengths", "HTTP/1.1", "Content-Length: 4\r\nContent-Length: 14\r\n", "four"},
		{"list of two lengths", "HTTP/1.1", "Content-Length: 4, 14\r\n", "four"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = read(r)
				_, _ = fmt.Fprintf(conn, "%s 200 OK\r\nId: 1\r\nSeal: s\r\n%s\r\n%s", c.version, c.fields, c.body)
			})
			body, failure := send(background(t), newPool(), address, "1")
			assert.Assert(t, failure != nil, "%q", body)
			assert.Equal(t, failure.Verdict, verdict.MayHaveRun)
		})
	}
}

// TestSoundHTTP10Responses guards against responses of HTTP/1.0 that are refused although their end is known.
func TestSoundHTTP10Responses(t *testing.T) {
	long := strings.Repeat("Pad: "+strings.Repeat("p", 1000)+"\r\n", 10)
	for _, c := range []struct{ name, method, sent, body string }{
		{"length", "POST", "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\nContent-Length: 4\r\n\r\nfour", "four"},
		{"long head", "POST", "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\n" + long + "Content-Length: 4\r\n\r\nfour", "four"},
		{"connection", "POST", "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nfour", "four"},
		{"interim response with chunks", "POST", "HTTP/1.0 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nSeal: s\r\n\r\nfour", "four"},
		{"no body", "HEAD", "HTTP/1.0 200 OK\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
		{"no content", "POST", "HTTP/1.0 204 No Content\r\nId: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				_, _, _ = read(r)
				_, _ = io.WriteString(conn, c.sent)
			})
			r := request("1")
			if r.Method = c.method; c.method == "HEAD" {
				r.Body, r.Header = nil, http.Header{"Id": {"1"}}
			}
			response, failure := newPool().Do(background(t), upstream.Endpoint{Address: address}, 0, r)
			assert.Assert(t, failure == nil, "%v", failure)
			defer response.Close()
			body, err := io.ReadAll(response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(body), c.body)
		})
	}
}

// TestMalformedHeadFailsAtOnce guards against waiting for the rest of a head that can't be one.
func TestMalformedHeadFailsAtOnce(t *testing.T) {
	for _, sent := range []string{"nonsense\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n"} {
		done := make(chan struct{})
		address := server(t, func(conn net.Conn, r *bufio.Reader) {
			_, _, _ = read(r)
			_, _ = io.WriteString(conn, sent)
			<-done
		})
		_, failure := send(background(t), newPool(), address, "1")
		close(done)
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Reason, upstream.ReasonMalformed, "%q", sent)
	}
}

// TestKeptHTTP10ConnectionEndsAfterFaultyFraming guards against a connection that is used again although nobody can tell
// where its next response begins.
func TestKeptHTTP10ConnectionEndsAfterFaultyFraming(t *testing.T) {
	address := server(t, func(conn net.Conn, r *bufio.Reader) {
		for {
			id, _, err := read(r)
			if err != nil {
				return
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.0 204 No Content\r\nConnection: keep-alive\r\nId: %s\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n", id)
		}
	})
	p := newPool()
	for i := range 2 {
		response, failure := p.Do(background(t), upstream.Endpoint{Address: address}, 0, request(fmt.Sprint(i)))
		assert.Assert(t, failure == nil, "%v", failure)
		_, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		response.Close()
	}
	assert.Equal(t, p.Reused(), int64(0))
}
