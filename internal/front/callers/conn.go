// Package callers serves the connections of clients, some of which don't keep to the limits. It bounds their number, the
// size of the heads of their requests, the memory that these take before anything else sees them, and the time that they
// take.
package callers

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/transport/framing"
)

const (
	// lingerTime and lingerBytes bound what is discarded of a client whose head was refused. A close with unread data would
	// reset the connection under the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// conn is a client's connection of an HTTP server. It follows the heads of the requests that it receives.
type conn struct {
	net.Conn
	set *Set
	// place is where the connection stands in the set, which guards it.
	place place

	// serving is set while a request is served: what is received belongs to its body or to later requests, whose heads are
	// followed from the end of its response on.
	serving atomic.Bool
	// mu guards head: net/http watches a connection for its end while a request is served.
	mu   sync.Mutex
	head framing.Head
}

// Read implements net.Conn. It fails as if a deadline had passed once the connection is closed for its head or gives way to
// another one; net/http does not respond then.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	if refusal := c.receive(p[:n]); refusal != 0 {
		c.refuse(refusal)
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// statusNone closes a connection without a response.
const statusNone = -1

// receive adds what was received to the head, if it is not complete. It returns the status with which the head is refused;
// 0 if it is not.
func (c *conn) receive(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.Complete() || c.serving.Load() {
		return 0
	}
	c.head.Add(p)
	if c.set.limits().HeadTooLarge(c.head.Bytes()) {
		c.set.count(reasonHeadTooLarge)
		return http.StatusRequestHeaderFieldsTooLarge
	}
	return c.set.grow(c, connlimit.HeadMemory(c.head.Bytes(), c.head.Lines()), c.head.Complete())
}

// refuse responds to a head that is not complete and closes the sending side. No other response can be under way, since
// the one to the request before has been sent.
func (c *conn) refuse(status int) {
	if status == statusNone {
		return
	}
	c.set.enter(c, connlimit.Refused)
	_ = c.SetWriteDeadline(time.Now().Add(lingerTime))
	text := strconv.Itoa(status) + " " + http.StatusText(status)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + strconv.FormatFloat(retryMemory.Seconds(), 'f', 3, 64) + "\r\n"
	}
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+text+"\r\n"+retry+"Content-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+text) // the client may have left
	if status == http.StatusServiceUnavailable {
		return // the memory of its head is needed
	}
	_ = c.CloseWrite() // as above
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes) // as above
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}

// expectRequest makes the next bytes those of a new request.
func (c *conn) expectRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head = framing.NewHead(framing.Request)
	c.serving.Store(false)
	c.set.enter(c, connlimit.AtRest)
}

// beginRequest notes that a request is served. It returns false if the connection has given way.
func (c *conn) beginRequest() bool {
	c.serving.Store(true)
	return c.set.enter(c, connlimit.InBody)
}

// Received notes that a request has been received whole: from now on its connection does not give way to others. It
// returns false if it has done so already. Requests of servers whose connections are not in a Set are not concerned.
func Received(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return !ok || c.set.enter(c, connlimit.InRequest)
}

func (c *conn) requestHead() framing.Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// SetLinger sets what a close does with unsent data, as that of *net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if inner, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return inner.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// CloseWrite closes the writing side. net/http does so before it closes a connection with unread data, which would
// otherwise reset it under the response.
func (c *conn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return errors.ErrUnsupported
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

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

// FramingOf returns what the framing of a request allows. A request of HTTP/1.0 that was sent before the response to the
// one before it has an unknown head: its body, if it may have one, is not certain. Requests of servers whose connections are
// not in a Set are Sound.
func FramingOf(r *http.Request) Verdict {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		return Sound
	}
	head := c.requestHead()
	unknown := !(head.Complete() && head.VersionKnown()) && !r.ProtoAtLeast(1, 1)
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
