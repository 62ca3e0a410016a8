// Package upstream sends single requests to backend servers over pooled connections. Each failure tells whether the
// request may have run. Requests are never retried.
package upstream

import (
	"bufio"
	"bytes"
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
	"github.com/rookpass/rookpass/internal/transport/framing"
)

// Error is the class of this package's errors.
var Error = errs.Class("upstream")

const (
	// inlineBodyBytes is the largest body that is written before the response is read. A larger one is written
	// concurrently, since a server may respond and stop reading. The smallest windows of the platform's links hold it.
	inlineBodyBytes = 8 << 10
	// maxStrayResponses limits the late responses to earlier requests that are skipped on a connection.
	maxStrayResponses = 4
	// maxHeadBytes limits the head of a response, of which each connection may hold two copies.
	maxHeadBytes = 64 << 10
	// headTime bounds the time from the first byte of a head to its last.
	headTime = 2 * time.Second
	// maxDiscardBytes and discardTime bound what is read of a body that nobody needs, so that its connection can be reused.
	maxDiscardBytes = 64 << 10
	discardTime     = 200 * time.Millisecond
)

// Request is a request to a server.
type Request struct {
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   [][]byte
	// ID must be repeated in the response.
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

// Response is a server's response whose body is still to be read. Body returns io.EOF only after a complete response.
// Close must be called.
type Response struct {
	Status int
	Header http.Header
	Info   call.ResponseInfo
	// Length of the body, or -1 if unknown.
	Length int64
	// Framing is how the end of the body is marked.
	Framing Framing
	Body    io.Reader
	// ConnectedAt is when the connection was opened.
	ConnectedAt time.Time

	ctx     context.Context
	conn    *conn
	resp    *http.Response
	writing *requestWrite
	ending  Ending
	close   func(reusable bool)
}

// Framing is how the end of a response's body is marked.
type Framing string

// Framings of responses.
const (
	FramingLength  Framing = "length"
	FramingChunked Framing = "chunked"
	// FramingConnection means that the body ends with its connection.
	FramingConnection Framing = "connection"
	// FramingNone means that the response can't have a body, whatever its headers say.
	FramingNone Framing = "none"
)

// framingOf returns the framing of a response to a request with the given method.
func framingOf(method string, resp *http.Response) Framing {
	switch {
	case method == http.MethodHead, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		return FramingNone
	case len(resp.TransferEncoding) > 0:
		return FramingChunked
	case resp.ContentLength >= 0:
		return FramingLength
	default:
		return FramingConnection
	}
}

// Ending is how a response's body ended.
type Ending string

// Endings of responses.
const (
	// EndingUnknown means that the body was not read to its end, or that the request was cancelled before.
	EndingUnknown   Ending = ""
	EndingComplete  Ending = "complete"
	EndingTruncated Ending = "truncated"
)

// Ending returns how the body ended, by its framing only.
func (a *Response) Ending() Ending { return a.ending }

// Close releases the connection. It is reused only if the body was read to its end.
func (a *Response) Close() {
	if a.close != nil {
		a.close(a.ending == EndingComplete)
		a.close = nil
	}
}

// Failure describes why a request got no usable response.
type Failure struct {
	Verdict verdict.Verdict
	// Reason is one of the Reason constants, for logs and counters.
	Reason string
	// Reused reports that the connection had been used by earlier requests.
	Reused bool
	// Framing is that of the response, or empty if the failure is not about a response.
	Framing Framing
	err     error
}

// Error implements error.
func (f *Failure) Error() string { return f.Reason + ": " + f.err.Error() }

// Unwrap returns the cause.
func (f *Failure) Unwrap() error { return f.err }

// Reasons of failures.
const (
	ReasonDial      = "dial"
	ReasonNoConns   = "no-connections"
	ReasonWrite     = "write"
	ReasonRead      = "read"
	ReasonTimeout   = "timeout"
	ReasonMalformed = "garbled"
	ReasonCanceled  = "canceled"
)

// conn is a connection to a server.
type conn struct {
	net.Conn
	reader *bufio.Reader
	used   bool
	// connectedAt is when the connection was opened.
	connectedAt time.Time
	// expires is the time from which the server may close the idle connection.
	expires time.Time
	// checked is set once the connection was found quiet after its last use.
	checked bool
}

func newConn(c net.Conn) *conn {
	return &conn{Conn: c, reader: bufio.NewReaderSize(c, 4<<10), connectedAt: time.Now()}
}

// peekHead returns what the head of the next response says of its framing. The head stays unread.
func (c *conn) peekHead() (framing.Head, error) {
	head := framing.NewHead(framing.Response)
	defer func() { _ = c.SetReadDeadline(time.Time{}) }() // a closed connection shows when it is read
	for seen := 0; !head.Complete(); {
		if seen == c.reader.Size() {
			if seen >= maxHeadBytes {
				return head, errMalformed
			}
			c.growReader()
		}
		if _, err := c.reader.Peek(seen + 1); err != nil {
			return head, err
		}
		if seen == 0 {
			_ = c.SetReadDeadline(time.Now().Add(headTime))
		}
		received, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
		head.Add(received[seen:])
		seen = len(received)
	}
	return head, nil
}

// growReader doubles the buffer of the reader, which is full.
func (c *conn) growReader() {
	received, _ := c.reader.Peek(c.reader.Buffered()) // can't fail
	source := io.MultiReader(bytes.NewReader(received), c.Conn)
	c.reader = bufio.NewReaderSize(source, 2*c.reader.Size())
	_, _ = c.reader.Peek(len(received)) // can't fail
}

// roundTrip sends a request on a connection and reads the head of its response. The connection is closed when ctx ends,
// which tells the server that the request was cancelled.
func roundTrip(ctx context.Context, c *conn, r *Request, codec call.HeaderCodec) (*Response, *Failure) {
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
	writing := startWrite(c, r)
	resp, reply, err := readHead(c, r, codec)
	writeDone, writeErr := writing.poll()
	if err != nil {
		stop()
		reason := ReasonMalformed
		if isConnError(err) {
			reason = ReasonRead
		}
		if writeErr != nil {
			reason = ReasonWrite
			err = writeErr
		}
		return fail(verdict.MayHaveRun, reason, err)
	}
	response := &Response{Status: resp.StatusCode, Header: resp.Header, Info: reply, Length: resp.ContentLength,
		Framing: framingOf(r.Method, resp), ctx: ctx, conn: c, resp: resp, writing: writing, ConnectedAt: c.connectedAt}
	response.Body = &eofTracker{response: response}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	keep := framed && !resp.Close && writeDone && writeErr == nil
	response.close = func(complete bool) {
		ended := stop()
		if !complete || !keep || !ended || c.reader.Buffered() > 0 {
			_ = c.Close()
			response.conn = nil
		}
	}
	return response, nil
}

// isConnError reports whether err is a failure of the connection rather than of parsing.
func isConnError(err error) bool {
	var network net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) || errors.As(err, &network)
}

// errMalformed means that the received bytes are no response to the request.
var errMalformed = Error.New("malformed response, or response to another request")

// readHead reads responses until one carries the request's ID, since a late response to an earlier request on the same
// connection may come first.
func readHead(c *conn, r *Request, codec call.HeaderCodec) (*http.Response, call.ResponseInfo, error) {
	request := &http.Request{Method: r.Method}
	for range maxStrayResponses {
		head, err := c.peekHead()
		if err != nil {
			return nil, call.ResponseInfo{}, err
		}
		resp, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, call.ResponseInfo{}, err
		}
		if head.Faulty() {
			if framingOf(r.Method, resp) != FramingNone {
				return nil, call.ResponseInfo{}, framing.ErrFaulty
			}
			resp.Close = true
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		reply := codec.DecodeResponse(resp.Header, resp.StatusCode)
		if reply.ID == r.ID {
			return resp, reply, nil
		}
		if reply.ID == "" {
			return nil, reply, errMalformed
		}
		if err := discard(c, resp.Body); err != nil {
			return nil, reply, err
		}
		if resp.Close {
			return nil, reply, errMalformed
		}
	}
	return nil, call.ResponseInfo{}, errMalformed
}

// discard reads a body that nobody needs to its end, within maxDiscardBytes and discardTime.
func discard(c *conn, body io.Reader) error {
	_ = c.SetReadDeadline(time.Now().Add(discardTime)) // on failure the connection is closed, which the read shows
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	if _, err := io.CopyN(io.Discard, body, maxDiscardBytes); !errors.Is(err, io.EOF) {
		return errors.Join(errMalformed, err)
	}
	return nil
}

// Discard reads the rest of the body, if it ends soon, so that the connection can be reused. Close must be called after it.
func (a *Response) Discard() {
	if a.conn != nil {
		_ = discard(a.conn, a.Body) // Close closes the connection unless the body has ended
	}
}

// eofTracker records how a body ended.
type eofTracker struct{ response *Response }

func (w *eofTracker) Read(p []byte) (int, error) {
	n, err := w.response.resp.Body.Read(p)
	if errors.Is(err, io.EOF) && w.response.Framing == FramingConnection && w.response.writing.wasReset() {
		err = errReset
	}
	switch {
	case errors.Is(err, io.EOF):
		w.response.ending = EndingComplete
	case err != nil && w.response.ctx.Err() == nil:
		w.response.ending = EndingTruncated
	}
	return n, err
}

// NewFailure returns a failure found while reading a response.
func NewFailure(v verdict.Verdict, reason string, err error) *Failure {
	return &Failure{Verdict: v, Reason: reason, err: err}
}

// NewFailure returns a failure found while reading this response.
func (a *Response) NewFailure(v verdict.Verdict, reason string, err error) *Failure {
	return &Failure{Verdict: v, Reason: reason, Framing: a.Framing, err: err}
}
