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
	// idleTimeout is how long a connection is kept without a call. Connections that are kept for good would be as many
	// as callers times daemons called; most turns of a program follow the previous one sooner.
	idleTimeout = 4 * time.Second
	// largeResponseBytes is the number of bytes, read between the ends of two calls, above which a connection is
	// replaced: both ends keep buffers of the size of the largest message that it has carried.
	largeResponseBytes = 64 << 10
)

// path is a way to reach a daemon. Its connection is made on demand, and again after it failed.
type path struct {
	address string
	dial    network.DialContext

	mu       sync.Mutex
	conn     *conn
	dialing  chan struct{}
	failedAt time.Time
	lastErr  error
	// idleTimer closes the connection after idleTimeout without a call.
	idleTimer *time.Timer
}

// conn is a connection of a path. Its fields are guarded by path.mu.
type conn struct {
	client *rpc.Client
	// inFlight counts the calls that are pending or about to be sent.
	inFlight int
	// bytesRead counts the bytes received.
	bytesRead atomic.Int64
	// readAtLastCall is bytesRead at the end of the last call.
	readAtLastCall int64
}

// countedConn counts the bytes read.
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

// call sends a call and waits for its reply until ctx ends. A call that times out closes the connection, since it may
// never answer again.
func (p *path) call(ctx context.Context, method string, args, reply any) error {
	c, err := p.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err)
	}
	defer p.release(c)
	// Go returns once the call is written, which a daemon that reads nothing may delay for long.
	stop := context.AfterFunc(ctx, func() { p.drop(c) })
	pending := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	stop()
	select {
	case <-pending.Done:
		var serverErr rpc.ServerError
		if pending.Error != nil && !errors.As(pending.Error, &serverErr) {
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

// connect returns the connection for a call, which must end with release. One caller dials; the others wait for it.
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
		if p.lastErr != nil && time.Since(p.failedAt) < redialPause {
			return nil, p.lastErr
		}
		if err := p.dialLocked(ctx); err != nil {
			return nil, err
		}
	}
	p.conn.inFlight++
	return p.conn, nil
}

// dialLocked dials. The caller holds mu, which is released during the dial.
func (p *path) dialLocked(ctx context.Context) error {
	dialing := make(chan struct{})
	p.dialing = dialing
	p.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	netConn, err := p.dial(dialCtx, "tcp", p.address)
	cancel()
	p.mu.Lock()
	p.dialing = nil
	close(dialing)
	p.lastErr = err
	if err != nil {
		p.failedAt = time.Now()
		return err
	}
	c := &conn{}
	c.client = rpc.NewClient(countedConn{netConn, &c.bytesRead})
	p.conn = c
	return nil
}

// release ends a call on a connection. A connection that has carried a large response is replaced, and closed with its
// last call.
func (p *path) release(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inFlight--
	read := c.bytesRead.Load()
	if p.conn == c && read-c.readAtLastCall > largeResponseBytes {
		p.conn = nil
	}
	c.readAtLastCall = read
	switch {
	case c.inFlight > 0:
	case p.conn != c:
		_ = c.client.Close() // may be closed already
	case p.idleTimer == nil:
		p.idleTimer = time.AfterFunc(idleTimeout, p.closeIdle)
	default:
		p.idleTimer.Reset(idleTimeout)
	}
}

// closeIdle closes the connection unless a call is in flight.
func (p *path) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conn == nil || p.conn.inFlight > 0 {
		return
	}
	_ = p.conn.client.Close() // may be closed already
	p.conn = nil
}

// drop closes a connection and fails all calls on it.
func (p *path) drop(c *conn) {
	p.mu.Lock()
	if p.conn == c {
		p.conn = nil
	}
	p.mu.Unlock()
	_ = c.client.Close() // may be closed already
}
