// Package upstream sends single requests to backend servers over kept connections and says of each failure
// whether the request may have run. It never sends a request twice by itself.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/call"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

const (
	// inlineBodyBytes is written before the answer is read; a larger body is written beside it, since a
	// server may answer and stop reading in the middle. The smallest windows of the platform's links hold it.
	inlineBodyBytes = 8 << 10
	// maxStrayAnswers bounds how many answers of earlier requests are passed over on one connection.
	maxStrayAnswers = 4
)

// Request is what one server is to get.
type Request struct {
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   [][]byte
	// ID must come back in the answer.
	ID string
	// Idempotent requests may run more than once.
	Idempotent bool
}

func (r *Request) bodyLength() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// Response is a server's answer whose body is still to be read. Body ends with io.EOF only where the answer is
// whole. Close must be called.
type Response struct {
	Status int
	Header http.Header
	Info   call.ResponseInfo
	// Length of the body, or -1 when only its end tells.
	Length int64
	Body   io.Reader

	conn  *conn
	resp  *http.Response
	whole bool
	close func(reusable bool)
}

// Close releases the connection; it is kept only if the answer was read to its end.
func (a *Response) Close() {
	if a.close != nil {
		a.close(a.whole)
		a.close = nil
	}
}

// Failure tells why a request got no usable answer.
type Failure struct {
	Verdict verdict.Verdict
	// Reason is a stable word for logs and counters.
	Reason string
	// Reused tells that the connection had served other requests before.
	Reused bool
	err    error
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason + ": " + f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// The reasons of failures.
const (
	ReasonDial      = "dial"
	ReasonNoConns   = "no-connections"
	ReasonWrite     = "write"
	ReasonRead      = "read"
	ReasonTimeout   = "timeout"
	ReasonMalformed = "garbled"
	ReasonCanceled  = "canceled"
)

// conn is one connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// expires is when the server may close the idle connection.
	expires time.Time
}

func newConn(c net.Conn) *conn { return &conn{Conn: c, reader: bufio.NewReaderSize(c, 4<<10)} }

// exchange sends a request on a connection and reads the head of its answer. The connection is closed when
// ctx ends, so that the server learns that nobody waits.
func exchange(ctx context.Context, c *conn, r *Request, dialect call.HeaderCodec) (*Response, *Failure) {
	reused := c.used
	c.used = true
	fail := func(v verdict.Verdict, reason string, err error) (*Response, *Failure) {
		_ = c.Close()
		switch {
		case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
			reason = ReasonTimeout
		case ctx.Err() != nil:
			reason = ReasonCanceled
		}
		return nil, &Failure{Verdict: v, Reason: reason, Reused: reused, err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	if ctx.Err() != nil {
		stop()
		return fail(verdict.NotRun, ReasonCanceled, context.Cause(ctx))
	}
	written := make(chan error, 1)
	head := appendHead(nil, r)
	if r.bodyLength() <= inlineBodyBytes {
		written <- writeAll(c, head, r.Body)
	} else {
		go func() { written <- writeAll(c, head, r.Body) }()
	}
	resp, reply, err := readHead(c, r, dialect)
	var writeErr error
	writeDone := true
	select {
	case writeErr = <-written:
	default:
		writeDone = false
	}
	if err != nil {
		stop()
		reason := ReasonMalformed
		if isBroken(err) {
			reason = ReasonRead
		}
		if writeErr != nil {
			reason = ReasonWrite
			err = writeErr
		}
		return fail(verdict.MayHaveRun, reason, err)
	}
	answer := &Response{Status: resp.StatusCode, Header: resp.Header, Info: reply, Length: resp.ContentLength, conn: c, resp: resp}
	answer.Body = &wholeReader{answer: answer}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep := framed && !resp.Close && writeDone && writeErr == nil
	answer.close = func(whole bool) {
		ended := stop()
		if !whole || !keep || !ended || c.reader.Buffered() > 0 {
			_ = c.Close()
			answer.conn = nil
		}
	}
	return answer, nil
}

// isBroken tells a connection that ended from bytes that are no answer.
func isBroken(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// errGarbled marks bytes that are not an answer to the request.
var errGarbled = Error.New("not an answer to this request")

// readHead reads answers until one names the request: an answer of an earlier request on the connection may
// still come.
func readHead(c *conn, r *Request, dialect call.HeaderCodec) (*http.Response, call.ResponseInfo, error) {
	asked := &http.Request{Method: r.Method}
	for range maxStrayAnswers {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, call.ResponseInfo{}, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		reply := dialect.DecodeResponse(resp.Header, resp.StatusCode)
		if reply.ID == r.ID {
			return resp, reply, nil
		}
		if reply.ID == "" {
			return nil, reply, errGarbled
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, reply, err
		}
		if resp.Close {
			return nil, reply, errGarbled
		}
	}
	return nil, call.ResponseInfo{}, errGarbled
}

// wholeReader notes when a body has been read to its end.
type wholeReader struct{ answer *Response }

func (w *wholeReader) Read(p []byte) (int, error) {
	n, err := w.answer.resp.Body.Read(p)
	if errors.Is(err, io.EOF) {
		w.answer.whole = true
	}
	return n, err
}

func writeAll(c net.Conn, head []byte, body [][]byte) error {
	buffers := make(net.Buffers, 0, len(body)+1)
	buffers = append(buffers, head)
	for _, part := range body {
		if len(part) > 0 {
			buffers = append(buffers, part)
		}
	}
	_, err := buffers.WriteTo(c)
	return err
}

// appendHead appends the request line and headers. Header names and values come from a parsed request, so
// they hold no line ends.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	n := r.bodyLength()
	if n > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = appendInt(b, n)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// NewFailure returns a failure found by the reader of an answer.
func NewFailure(v verdict.Verdict, reason string, err error) *Failure {
	return &Failure{Verdict: v, Reason: reason, err: err}
}
