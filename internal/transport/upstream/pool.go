package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/network"
)

const (
	// defaultKeepAlive is used for servers that do not announce how long they keep idle connections.
	defaultKeepAlive = 4 * time.Second
	// idleMargin is subtracted from the server's keep-alive time, so that a request does not cross the server's close.
	// It allows for the delays of a busy VM, of up to 250 ms. At-most-once requests use the larger margin, since they
	// can't be repeated if the connection turns out to be closed.
	idleMargin           = 250 * time.Millisecond
	atMostOnceIdleMargin = 700 * time.Millisecond
	// maxIdle limits the idle connections to one server.
	maxIdle = 16
)

// Endpoint is the address of one incarnation of a server. Connections to an earlier incarnation at the same address are
// not reused: a request on one ends in a reset, and may not be repeated if it is at-most-once.
type Endpoint struct {
	Address string
	Server  incarnation.ID
}

// Pool keeps connections to servers, by endpoint.
type Pool struct {
	dial  network.DialContext
	codec call.HeaderCodec
	// maxConns limits the connections to all servers together.
	maxConns int

	mu    sync.Mutex
	hosts map[Endpoint]*host
	// open counts the connections to all servers.
	open int

	// onDial is called after each new connection; may be nil.
	onDial func(to Endpoint, took time.Duration)
	// onOpenChange is called with the change of the number of open connections; may be nil. It is called with mu held.
	onOpenChange func(change int)

	// probes are the probes under way, by endpoint.
	probes singleflight.Group

	opened atomic.Int64
	reused atomic.Int64
}

// host holds the connections to one endpoint. It is guarded by Pool.mu.
type host struct {
	idle []*conn
	open int
}

// NewPool returns a pool of at most maxConns connections.
func NewPool(dial network.DialContext, codec call.HeaderCodec, maxConns int) *Pool {
	return &Pool{dial: dial, codec: codec, maxConns: maxConns, hosts: map[Endpoint]*host{}}
}

// OnDial sets a function that is called with the endpoint and duration of each new connection. It must be called before
// the first request.
func (p *Pool) OnDial(onDial func(to Endpoint, took time.Duration)) { p.onDial = onDial }

// OnOpenChange sets a function that is called with each change of the number of open connections. It must be called
// before the first request, and must not call the pool.
func (p *Pool) OnOpenChange(onOpenChange func(change int)) { p.onOpenChange = onOpenChange }

// Opened returns the number of connections opened.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Reused returns the number of requests sent over reused connections.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// Do sends a request to a server and returns its response once the head has arrived. limit bounds the connections to
// this server; 0 means no limit.
func (p *Pool) Do(ctx context.Context, to Endpoint, limit int, r *Request) (*Response, *Failure) {
	c, failure := p.acquire(ctx, to, limit, r.Idempotent)
	if failure != nil {
		return nil, failure
	}
	response, failure := roundTrip(ctx, c, r, p.codec)
	if failure != nil {
		p.countClosed(to)
		return nil, failure
	}
	closeResponse := response.close
	response.close = func(complete bool) {
		closeResponse(complete)
		if response.conn == nil {
			p.countClosed(to)
			return
		}
		p.putIdle(to, c, response.Info.KeepAlive)
	}
	return response, nil
}

// acquire returns an idle connection that is still open, or a new one.
func (p *Pool) acquire(ctx context.Context, to Endpoint, limit int, idempotent bool) (*conn, *Failure) {
	for {
		c := p.popIdle(to, idempotent)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && network.IsOpen(c.Conn) {
			p.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
		p.countClosed(to)
	}
	return p.openConn(ctx, to, limit)
}

// openConn returns a new connection, which is counted.
func (p *Pool) openConn(ctx context.Context, to Endpoint, limit int) (*conn, *Failure) {
	if err := p.reserve(to, limit); err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Reason: ReasonNoConns, err: err}
	}
	p.opened.Add(1)
	began := time.Now()
	c, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		p.countClosed(to)
		return nil, &Failure{Verdict: verdict.NotRun, Reason: ReasonDial, err: err}
	}
	if p.onDial != nil {
		p.onDial(to, time.Since(began))
	}
	return newConn(c), nil
}

// reserve counts a new connection to a server, or returns an error if a limit is reached. At the limit of the pool it
// closes an idle connection to another server instead.
func (p *Pool) reserve(to Endpoint, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.host(to); limit > 0 && h.open >= limit {
		return Error.New("all %d connections to %s are busy", limit, to.Address)
	}
	if p.open >= p.maxConns && !p.evictIdle() {
		return Error.New("all %d connections to servers are busy", p.maxConns)
	}
	p.host(to).open++
	p.addOpen(1)
	return nil
}

// evictIdle closes the oldest idle connection of some server. The caller holds mu.
func (p *Pool) evictIdle() bool {
	for to, h := range p.hosts {
		if len(h.idle) == 0 {
			continue
		}
		_ = h.idle[0].Close()
		h.idle = h.idle[1:]
		p.countClosedLocked(to, h)
		return true
	}
	return false
}

// countClosedLocked counts a connection as closed. The caller holds mu.
func (p *Pool) countClosedLocked(to Endpoint, h *host) {
	h.open--
	p.addOpen(-1)
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, to)
	}
}

// addOpen changes the number of open connections. The caller holds mu.
func (p *Pool) addOpen(change int) {
	p.open += change
	if p.onOpenChange != nil {
		p.onOpenChange(change)
	}
}

func (p *Pool) host(to Endpoint) *host {
	h := p.hosts[to]
	if h == nil {
		h = &host{}
		p.hosts[to] = h
	}
	return h
}

// popIdle removes and returns the most recently used idle connection. It returns nil if there is none, or if it has
// been idle too long for an at-most-once request.
func (p *Pool) popIdle(to Endpoint, idempotent bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(to)
	if len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	if !idempotent && !c.usableFor(false, time.Now()) {
		return nil
	}
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// HasIdle reports whether there is an idle connection to a server that a request may use.
func (p *Pool) HasIdle(to Endpoint, idempotent bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	return h != nil && len(h.idle) > 0 && h.idle[len(h.idle)-1].usableFor(idempotent, time.Now())
}

// usableFor reports whether an idle connection is far enough from its expiry for a request.
func (c *conn) usableFor(idempotent bool, now time.Time) bool {
	needed := time.Duration(0)
	if !idempotent {
		needed = atMostOnceIdleMargin - idleMargin
	}
	return !now.Add(needed).After(c.expires)
}

// quiet reports whether nothing has arrived on an idle connection. A server may send without end behind a response. It looks once
// after each use: a connection is looked at again before it is reused.
func (c *conn) quiet() bool {
	if c.checked {
		return true
	}
	c.checked = true
	return network.IsOpen(c.Conn)
}

func (p *Pool) putIdle(to Endpoint, c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultKeepAlive
	}
	keep -= idleMargin
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(to)
	if keep <= 0 || len(h.idle) >= maxIdle {
		_ = c.Close()
		p.countClosedLocked(to, h)
		return
	}
	c.expires, c.checked = time.Now().Add(keep), false
	h.idle = append(h.idle, c)
}

// countClosed counts a connection as closed.
func (p *Pool) countClosed(to Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countClosedLocked(to, p.host(to))
}

// CloseIdle closes expired connections, all idle ones to endpoints for which wanted returns false, and those on which bytes or an
// end arrived since the last response.
func (p *Pool) CloseIdle(wanted func(Endpoint) bool) {
	now := time.Now()
	var closing []net.Conn
	p.mu.Lock()
	for to, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) && wanted(to) && c.quiet() {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
			h.open--
			p.addOpen(-1)
		}
		h.idle = kept
		if h.open <= 0 && len(h.idle) == 0 {
			delete(p.hosts, to)
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		_ = c.Close()
	}
}

func appendInt(b []byte, n int) []byte { return strconv.AppendInt(b, int64(n), 10) }
