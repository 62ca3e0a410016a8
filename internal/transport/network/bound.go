package network

import (
	"container/list"
	"net"
	"sync"
)

// boundedListener bounds the connections that are open at once.
type boundedListener struct {
	net.Listener
	most   int
	closed func()

	mu sync.Mutex
	// quiet holds the open connections, the one on which nothing has been received for longest first.
	quiet list.List
}

// BoundConns returns a listener with at most a number of open connections. At the bound, the one on which nothing has been
// received for longest gives way to a new one, and closed is called.
func BoundConns(l net.Listener, most int, closed func()) net.Listener {
	return &boundedListener{Listener: l, most: most, closed: closed}
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &boundedConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quiet.Len() >= l.most {
		first := l.quiet.Remove(l.quiet.Front()).(*boundedConn)
		first.element = nil
		_ = first.Conn.Close() // its client may have closed it
		l.closed()
	}
	c.element = l.quiet.PushBack(c)
	return c, nil
}

// boundedConn is a connection of a boundedListener, whose lock guards element; it is nil once the connection is closed.
type boundedConn struct {
	net.Conn
	listener *boundedListener
	element  *list.Element
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if n > 0 && c.element != nil {
		c.listener.quiet.MoveToBack(c.element)
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.listener.mu.Lock()
	if c.element != nil {
		c.listener.quiet.Remove(c.element)
		c.element = nil
	}
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
