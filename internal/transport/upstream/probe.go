package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/network"
)

const (
	// probeTimeout bounds a connection attempt of a probe. It covers a round trip to the farthest data centre, and delays the
	// next attempt of a request whose server's network failed.
	probeTimeout = 100 * time.Millisecond
	// probeSettleTime is how long a probe's connection must stay open. A process that is ending may accept a connection
	// until its listener is closed.
	probeSettleTime = 5 * time.Millisecond
	// probeRounds is how many connections a probe opens if they are accepted and closed at once.
	probeRounds = 3
)

// Liveness is what a probe tells about the process that listened at an endpoint.
type Liveness string

// Values of Liveness.
const (
	// Alive means that a connection was accepted and stayed open.
	Alive Liveness = "alive"
	// Listening means that a process listens, which may be another one than before. Probe does not return it.
	Listening Liveness = "listening"
	// Ended means that nobody listens at the address.
	Ended Liveness = "ended"
	// Unknown means that there was no answer, so that the network may be the cause.
	Unknown Liveness = "unknown"
	// Closing means that connections are accepted and closed at once: by a process that ends, or that has no room.
	Closing Liveness = "closing"
	// Unprobed means that no further connection is allowed.
	Unprobed Liveness = "unprobed"
)

// Probe finds out whether the process at an endpoint has ended, after a connection to it broke. Concurrent probes of one
// endpoint share their result. The connection of a probe is kept for later requests, within limit as in Do.
func (p *Pool) Probe(ctx context.Context, to Endpoint, limit int) Liveness {
	// The first caller's cancellation must not end the probe of the others; the probe has its own time limits.
	result := p.probes.DoChan(to.Address+" "+to.Server.String(), func() (any, error) {
		return p.probe(context.WithoutCancel(ctx), to, limit), nil
	})
	select {
	case r := <-result:
		return r.Val.(Liveness)
	case <-ctx.Done():
		return Unknown
	}
}

func (p *Pool) probe(ctx context.Context, to Endpoint, limit int) Liveness {
	for range probeRounds {
		c, failure := p.probeConn(ctx, to, limit)
		if failure != nil {
			switch {
			case errors.Is(failure, syscall.ECONNREFUSED):
				return Ended
			case failure.Reason == ReasonNoConns:
				return Unprobed
			}
			return Unknown
		}
		_ = wait.For(ctx, probeSettleTime)
		if network.IsOpen(c.Conn) {
			p.putIdle(to, c, 0)
			return Alive
		}
		_ = c.Close()
		p.countClosed(to)
	}
	return Closing
}

// probeConn opens a connection within probeTimeout.
func (p *Pool) probeConn(ctx context.Context, to Endpoint, limit int) (*conn, *Failure) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return p.openConn(ctx, to, limit)
}

// HasOlder reports whether a connection to an endpoint that was opened before a time is still open. If another connection to it
// broke since, the process has not ended: that would have closed all of them.
func (p *Pool) HasOlder(to Endpoint, than time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	return h != nil && slices.ContainsFunc(h.idle, func(c *conn) bool { return c.connectedAt.Before(than) && network.IsOpen(c.Conn) })
}

const (
	// minHeldTime is for how long a held connection must be usable: servers close idle ones.
	minHeldTime = time.Second
	// maxAskedBytes bounds the body of a response to Ask.
	maxAskedBytes = 64 << 10
)

// Held is a connection to a server that no request uses. The end of the server's process closes it.
type Held struct {
	pool *Pool
	to   Endpoint
	conn *conn
	// asked is closed once Ask has ended; nil before it is called. reusable is set then if the connection can be used again.
	asked    chan struct{}
	reusable bool
}

// Hold takes the oldest idle connection to an endpoint out of use, or opens one within limit as in Do. It returns nil if there is
// none to be had.
func (p *Pool) Hold(ctx context.Context, to Endpoint, limit int) *Held {
	c := p.takeOldest(to, time.Now().Add(minHeldTime))
	if c == nil {
		var failure *Failure
		if c, failure = p.probeConn(ctx, to, limit); failure != nil {
			return nil // what follows from that is decided by a probe
		}
		c.expires = time.Now().Add(defaultKeepAlive - idleMargin)
	}
	return &Held{pool: p, to: to, conn: c}
}

// takeOldest removes and returns the idle connection to an endpoint that was opened first among those that stay usable until a time,
// or nil.
func (p *Pool) takeOldest(to Endpoint, until time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	if h == nil {
		return nil
	}
	oldest := -1
	for i, c := range h.idle {
		if c.expires.After(until) && (oldest < 0 || c.connectedAt.Before(h.idle[oldest].connectedAt)) && network.IsOpen(c.Conn) {
			oldest = i
		}
	}
	if oldest < 0 {
		return nil
	}
	c := h.idle[oldest]
	h.idle = slices.Delete(h.idle, oldest, oldest+1)
	return c
}

// Open reports whether the process that accepted the connection has not closed it. After Ask it is false unless the connection can be
// used again.
func (h *Held) Open() bool {
	if h.asked != nil {
		select {
		case <-h.asked:
		default:
			return false
		}
		if !h.reusable {
			return false
		}
	}
	return network.IsOpen(h.conn.Conn)
}

// Ask sends a request without an ID for a path on the connection, which no server runs, and returns a channel that gets nil with the
// first byte of the response, or the error with which the connection ended. Any byte shows that the server's process lives.
func (h *Held) Ask(path string) <-chan error {
	asked, answer := make(chan struct{}), make(chan error, 1)
	h.asked, h.reusable = asked, false
	go func() {
		defer close(asked)
		request, err := h.ask(path)
		answer <- err
		h.reusable = err == nil && h.readWhole(request)
	}()
	return answer
}

func (h *Held) ask(path string) (*http.Request, error) {
	request, err := http.NewRequest(http.MethodGet, "http://"+h.to.Address+path, nil)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := request.Write(h.conn); err != nil {
		return nil, Error.Wrap(err)
	}
	_, err = h.conn.reader.Peek(1)
	return request, Error.Wrap(err)
}

// readWhole reads a response and reports whether the connection can be used again. The body is not closed, since that reads it to an end
// that may never come.
func (h *Held) readWhole(request *http.Request) bool {
	if _, err := h.conn.peekHead(); err != nil { // bounds the head
		return false
	}
	response, err := http.ReadResponse(h.conn.reader, request)
	if err != nil {
		return false
	}
	n, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxAskedBytes))
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return err == nil && n < maxAskedBytes && framed && !response.Close && h.conn.reader.Buffered() == 0
}

// Expired reports whether the server may close the connection, as it has been idle for long.
func (h *Held) Expired() bool { return !time.Now().Before(h.conn.expires) }

// Usable reports whether the connection can be asked on again, once the response to Ask has been read, for which it waits for a time.
func (h *Held) Usable(ctx context.Context, limit time.Duration) bool {
	if h.asked != nil {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		select {
		case <-h.asked:
		case <-ctx.Done():
		}
	}
	return h.Open() && !h.Expired()
}

// Release gives the connection back to the pool if it can be used again. An answer that is due is no longer waited for.
func (h *Held) Release() {
	usable := h.Open()
	if h.asked != nil && !usable {
		_ = h.conn.Close()
		<-h.asked
	}
	if left := time.Until(h.conn.expires); left > 0 && usable {
		h.pool.putIdle(h.to, h.conn, left+idleMargin)
		return
	}
	_ = h.conn.Close()
	h.pool.countClosed(h.to)
}
