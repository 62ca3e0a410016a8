package memnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// deadlineConn is an end of a connection with reliable read deadlines. The underlying pipe may still apply a deadline
// that was replaced at the moment it passed, and then fails all later reads.
type deadlineConn struct {
	net.Conn

	mu           sync.Mutex
	readDeadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *deadlineConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *deadlineConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !isTimeout(err) || !c.restoreDeadline() {
			return n, err
		}
	}
}

// restoreDeadline sets the current deadline again. It returns false if that has passed.
func (c *deadlineConn) restoreDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
		return false
	}
	return c.Conn.SetReadDeadline(c.readDeadline) == nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
