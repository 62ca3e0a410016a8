package memnet

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

// timed is an end of a connection whose lifted read deadline stays lifted. The pipe below it may still carry out a
// deadline that was replaced at the same moment, and would then fail every read that follows.
type timed struct {
	net.Conn

	mu    sync.Mutex
	until time.Time
}

// SetReadDeadline implements net.Conn.
func (c *timed) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *timed) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read implements net.Conn.
func (c *timed) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !isTimeout(err) || !c.renew() {
			return n, err
		}
	}
}

// renew sets the deadline in force again, or returns false where it has passed.
func (c *timed) renew() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.until.IsZero() && !time.Now().Before(c.until) {
		return false
	}
	return c.Conn.SetReadDeadline(c.until) == nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
