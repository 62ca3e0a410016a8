package framing

import (
	"context"
	"net"
	"sync"

	"github.com/rookpass/rookpass/internal/transport/network"
)

// clientConn fails when it receives a response with faulty framing.
type clientConn struct {
	net.Conn
	// mu guards head: requests may be written while a response is read.
	mu   sync.Mutex
	head Head
}

// NewClientConn returns a connection whose Read fails with ErrFaulty in the head of a response with faulty framing. Requests
// must not be pipelined on it.
func NewClientConn(conn net.Conn) net.Conn {
	return &clientConn{Conn: conn, head: NewHead(Response)}
}

// CheckResponses returns a DialContext whose connections are those of NewClientConn.
func CheckResponses(dial network.DialContext) network.DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewClientConn(conn), nil
	}
}

// Write implements net.Conn. A request makes the connection expect a response.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.head.Complete() {
		c.head = NewHead(Response)
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Read implements net.Conn.
func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.head.Add(p[:n])
	if c.head.Faulty() {
		_ = c.Close()
		return 0, ErrFaulty
	}
	return n, err
}
