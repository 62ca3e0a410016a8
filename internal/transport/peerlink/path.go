package peerlink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/transport/network"
)

const (
	// restTime is how long a connection is kept without a call: a program's next turn mostly comes sooner. Kept for good, they
	// would be as many as callers times daemons called.
	restTime = 4 * time.Second
	// largeAnswer bytes between two looks make a connection give way to a new one: both ends keep buffers of the largest message
	// that it has carried.
	largeAnswer = 64 << 10
)

// path is the way to a daemon: a connection that is made when it is first needed and again after it broke.
type path struct {
	address string
	dial    network.DialContext

	mu      sync.Mutex
	conn    *conn
	dialing chan struct{}
	failed  time.Time
	lastErr error
	// rest closes the connection when there has been no call for restTime.
	rest *time.Timer
}

// conn is one connection of a path. Its calls are guarded by path.mu.
type conn struct {
	client *rpc.Client
	// calls are under way, or about to be.
	calls int
	// read counts the bytes that came.
	read atomic.Int64
	// seen is read as of the last call's end.
	seen int64
}

// countedConn counts what is read.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

func newPath(address string, dial network.DialContext) *path {
	return &path{address: address, dial: dial}
}

// call waits for the answer until ctx ends. The connection is given up when a call times out, since an answer
// may never come on it.
func (p *path) call(ctx context.Context, method string, args, reply any) error {
	c, err := p.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err)
	}
	defer p.leave(c)
	pending := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		var answered rpc.ServerError
		if pending.Error != nil && !errors.As(pending.Error, &answered) {
			p.drop(c)
			return fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, pending.Error)
		}
		return pending.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			p.drop(c)
		}
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, ctx.Err())
	}
}

// connect returns the connection, for a call that leave must end. One caller dials; the others wait for it.
func (p *path) connect(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	for p.conn == nil && p.dialing != nil {
		dialing := p.dialing
		p.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		p.mu.Lock()
	}
	defer p.mu.Unlock()
	if p.conn == nil {
		if p.lastErr != nil && time.Since(p.failed) < redialPause {
			return nil, p.lastErr
		}
		if err := p.connectOnce(ctx); err != nil {
			return nil, err
		}
	}
	p.conn.calls++
	return p.conn, nil
}

// connectOnce dials. It is called with the lock held, and gives it up meanwhile.
func (p *path) connectOnce(ctx context.Context) error {
	dialing := make(chan struct{})
	p.dialing = dialing
	p.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	way, err := p.dial(dialCtx, "tcp", p.address)
	cancel()
	p.mu.Lock()
	p.dialing = nil
	close(dialing)
	p.lastErr = err
	if err != nil {
		p.failed = time.Now()
		return err
	}
	c := &conn{}
	c.client = rpc.NewClient(countedConn{way, &c.read})
	p.conn = c
	return nil
}

// leave ends a call on a connection. One that has carried a large answer gives way to a new one, and is closed with the last
// call on it.
func (p *path) leave(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	read := c.read.Load()
	if p.conn == c && read-c.seen > largeAnswer {
		p.conn = nil
	}
	c.seen = read
	switch {
	case c.calls > 0:
	case p.conn != c:
		_ = c.client.Close() // it may have been closed already
	case p.rest == nil:
		p.rest = time.AfterFunc(restTime, p.closeAtRest)
	default:
		p.rest.Reset(restTime)
	}
}

// closeAtRest closes the connection unless a call is under way.
func (p *path) closeAtRest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.calls > 0 {
		return
	}
	_ = p.conn.client.Close() // it may have been closed already
	p.conn = nil
}

// drop gives a connection up, with all calls on it.
func (p *path) drop(c *conn) {
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil
	}
	p.mu.Unlock()
	_ = c.client.Close() // it may have been closed already
}
