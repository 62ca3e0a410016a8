// Package httpclient sends single HTTP requests to IP addresses. Each failure tells whether the request may have been
// received. Requests are never retried.
package httpclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/transport/framing"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/propagation"
)

// Limits of connections.
const (
	dialTimeout    = 2 * time.Second
	maxConnections = 4096
)

var (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrNoResponse means that the request may have been received, but no complete response arrived.
	ErrNoResponse = errors.New("no response")
	// ErrTooLarge means that the body of the response exceeds the limit.
	ErrTooLarge = errors.New("response is too large")
)

// DialFunc connects to an IP:port address.
type DialFunc func(addr string) (net.Conn, error)

// DialTCP is the DialFunc for TCP.
func DialTCP(addr string) (net.Conn, error) { return net.DialTimeout("tcp", addr, dialTimeout) }

// dialError marks a failure to connect, before which no byte of the request was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connecting: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// idleConn closes itself when nothing has been read or written for limit, which detects a hung server in the middle of
// a stream too.
type idleConn struct {
	net.Conn
	timer *time.Timer
	limit time.Duration
}

func (c *idleConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.timer.Reset(c.limit)
	}
	return n, err
}

func (c *idleConn) Write(p []byte) (int, error) {
	c.timer.Reset(c.limit)
	return c.Conn.Write(p)
}

func (c *idleConn) Close() error {
	c.timer.Stop()
	return c.Conn.Close()
}

// Client sends HTTP requests to one address.
type Client struct {
	addr string
	dial DialFunc
	// pooled sends requests over kept connections. At-most-once requests get a connection each: a failure on a kept
	// connection that the server has closed meanwhile would leave open whether the request ran.
	pooled *fasthttp.HostClient
}

// New returns a client of one address. idle is the longest time without any byte on a connection.
func New(addr string, dial DialFunc, idle time.Duration) *Client {
	connect := func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, &dialError{err: err}
		}
		withTimeout := &idleConn{Conn: framing.NewClientConn(conn), limit: idle}
		withTimeout.timer = time.AfterFunc(idle, func() { _ = conn.Close() })
		return withTimeout, nil
	}
	pooled := &fasthttp.HostClient{
		Addr:                          addr,
		Dial:                          connect,
		MaxConns:                      maxConnections,
		MaxIdleConnDuration:           idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: false,
		StreamResponseBody:            true,
	}
	return &Client{addr: addr, dial: connect, pooled: pooled}
}

// Addr returns the client's address.
func (c *Client) Addr() string { return c.addr }

// Close closes idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Request is an HTTP request.
type Request struct {
	Method string
	// Path may include a query.
	Path   string
	Body   []byte
	Header map[string]string
	// AtMostOnce requests must not be repeated; each uses a connection of its own.
	AtMostOnce bool
}

// Response is an HTTP response whose body is still to be read.
type Response struct {
	Status int
	// RetryAfter is the value of the Retry-After header; 0 if absent.
	RetryAfter time.Duration
	Body       io.Reader
	// Close must be called once the body is read or no longer needed.
	Close func()
}

// Do sends a request and returns when the headers of its response have arrived or ctx ends.
func (c *Client) Do(ctx context.Context, r Request) (*Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.addr + r.Path)
	req.Header.SetMethod(r.Method)
	req.SetBodyRaw(r.Body)
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	propagation.TraceContext{}.Inject(ctx, headerCarrier{&req.Header})
	send, closeConn := func() error { return c.pooled.Do(req, resp) }, func() {}
	if r.AtMostOnce {
		conn := &singleUseConn{}
		send, closeConn = func() error { return c.sendOnce(ctx, conn, req, resp) }, conn.close
	}
	result := make(chan error, 1)
	go func() { result <- send() }()
	release := sync.OnceFunc(func() {
		_ = resp.CloseBodyStream()
		closeConn()
		fasthttp.ReleaseRequest(req)
		fasthttp.ReleaseResponse(resp)
	})
	select {
	case err := <-result:
		if err != nil {
			release()
			return nil, classifyError(c.addr, err)
		}
		return newResponse(resp, release), nil
	case <-ctx.Done():
		go func() {
			<-result
			release()
		}()
		return nil, fmt.Errorf("%w: %s: %w", ErrNoResponse, c.addr, context.Cause(ctx))
	}
}

// singleUseConn is the connection of one request.
type singleUseConn struct{ conn net.Conn }

func (c *singleUseConn) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}

// sendOnce sends a request over a connection of its own, which is closed with the response. Nothing is sent if ctx ends
// during the dial: a VM that was frozen then must not run a cancelled call after later calls of the same program.
func (c *Client) sendOnce(ctx context.Context, singleUse *singleUseConn, req *fasthttp.Request, resp *fasthttp.Response) error {
	conn, err := c.dial(c.addr)
	if err != nil {
		return err
	}
	singleUse.conn = conn
	if ctx.Err() != nil {
		return &dialError{err: context.Cause(ctx)}
	}
	req.SetConnectionClose()
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	resp.StreamBody = true
	return resp.Read(bufio.NewReader(conn))
}

func newResponse(resp *fasthttp.Response, release func()) *Response {
	body := resp.BodyStream()
	if body == nil {
		body = http.NoBody
	}
	seconds, _ := strconv.Atoi(string(resp.Header.Peek("Retry-After")))
	return &Response{
		Status:     resp.StatusCode(),
		RetryAfter: time.Duration(seconds) * time.Second,
		Body:       body,
		Close:      release,
	}
}

// classifyError wraps err in ErrNotSent or ErrNoResponse.
func classifyError(addr string, err error) error {
	var dial *dialError
	if errors.As(err, &dial) || errors.Is(err, fasthttp.ErrNoFreeConns) || !guard.Enabled(guard.UncertainVerdict) {
		return fmt.Errorf("%w: %s: %w", ErrNotSent, addr, err)
	}
	return fmt.Errorf("%w: %s: %w", ErrNoResponse, addr, err)
}

// ReadAll returns the whole body and closes the response. A body above limit bytes is ErrTooLarge.
func (r *Response) ReadAll(ctx context.Context, limit int64) ([]byte, error) {
	type outcome struct {
		body []byte
		err  error
	}
	result := make(chan outcome, 1)
	go func() {
		body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
		if err == nil && int64(len(body)) > limit {
			err = ErrTooLarge
		}
		result <- outcome{body, err}
		r.Close()
	}()
	select {
	case o := <-result:
		return o.body, o.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// headerCarrier injects the trace context into request headers.
type headerCarrier struct{ header *fasthttp.RequestHeader }

func (c headerCarrier) Get(key string) string { return string(c.header.Peek(key)) }
func (c headerCarrier) Set(key, value string) { c.header.Set(key, value) }
func (c headerCarrier) Keys() []string        { return nil }
