package framing

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// callerConn is a caller's connection of an HTTP server. It remembers the head of the request that it receives.
type callerConn struct {
	net.Conn
	// mu guards head: net/http watches a connection for its end while a request is served.
	mu   sync.Mutex
	head Head
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Add(p[:n])
	return n, err
}

// expectRequest makes the next bytes those of a new request.
func (c *callerConn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = NewHead(Request)
}

func (c *callerConn) requestHead() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// SetLinger sets what a close does with unsent data, as that of *net.TCPConn.
func (c *callerConn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the writing side. net/http does so before it closes a connection with unread data, which would
// otherwise reset it under the response.
func (c *callerConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// listener accepts callerConns.
type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Observe makes the heads of a server's requests known to OfRequest. The server must serve the returned listener.
func Observe(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	onState := server.ConnState
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*callerConn); ok && state == http.StateIdle {
			c.expectRequest()
		}
		if onState != nil {
			onState(conn, state)
		}
	}
	return listener{l}
}

// Verdict is what the framing of a request allows.
type Verdict int

// Verdicts.
const (
	// Sound means that the body is certain.
	Sound Verdict = iota
	// LastRequest means that the body is certain, but not where the next request on the connection begins.
	LastRequest
	// Faulty means that the body is not certain.
	Faulty
)

// OfRequest returns what the framing of a request allows. A request of HTTP/1.0 that was sent before the response to the
// one before it has an unknown head: its body, if it may have one, is not certain. Requests of servers that are not
// observed are Sound.
func OfRequest(r *http.Request) Verdict {
	conn, ok := r.Context().Value(connKey{}).(*callerConn)
	if !ok {
		return Sound
	}
	head := conn.requestHead()
	unknown := !head.Complete() && !r.ProtoAtLeast(1, 1)
	mayHaveBody := r.ContentLength != 0 || r.Method != http.MethodGet && r.Method != http.MethodHead
	switch {
	case head.Faulty(), unknown && mayHaveBody:
		return Faulty
	case head.Contradictory(), unknown:
		return LastRequest
	default:
		return Sound
	}
}
