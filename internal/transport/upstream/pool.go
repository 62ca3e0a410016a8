package upstream

import (
	"context"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/network"
)

const (
	// defaultKeep is how long an idle connection is trusted to a server that does not say how long it keeps
	// them.
	defaultKeep = 4 * time.Second
	// keepMargin is subtracted from what the server says: a request must not cross its close. It is above a busy VM's delays
	// of up to 250 ms. What must not run twice keeps further away: a connection that was lost unnoticed costs it an answer.
	keepMargin       = 250 * time.Millisecond
	keepMarginAtMost = 700 * time.Millisecond
	// maxIdle bounds the idle connections to one server.
	maxIdle = 16
)

// Endpoint is where one start of a server is reached. Connections to an earlier start are of no use to a later one at
// the same address: a request on one ends in a reset, and may then not be sent again where it must run once at most.
type Endpoint struct {
	Address string
	Server  incarnation.ID
}

// Pool keeps connections to servers, by endpoint.
type Pool struct {
	dial    network.DialContext
	dialect call.HeaderCodec
	// most bounds the connections to all servers.
	most int

	mu    sync.Mutex
	hosts map[Endpoint]*host
	// open counts the connections to all servers.
	open int

	// dialled is told of each connection made; nil where nobody asks.
	dialled func(to Endpoint, took time.Duration)

	opened atomic.Int64
	reused atomic.Int64
}

// host is one server's connections; guarded by Pool.mu.
type host struct {
	idle []*conn
	open int
}

// NewPool returns an empty pool of at most so many connections.
func NewPool(dial network.DialContext, dialect call.HeaderCodec, most int) *Pool {
	return &Pool{dial: dial, dialect: dialect, most: most, hosts: map[Endpoint]*host{}}
}

// OnDial makes the pool tell of each connection that it makes, and how long that took. It is called before the first request.
func (p *Pool) OnDial(dialled func(to Endpoint, took time.Duration)) { p.dialled = dialled }

// Opened returns how many connections were opened, Reused how many requests went over kept ones.
func (p *Pool) Opened() int64 { return p.opened.Load() }

// Reused returns how many requests went over kept connections.
func (p *Pool) Reused() int64 { return p.reused.Load() }

// Do sends a request to a server and returns the head of its answer. limit bounds the connections to it; 0 means none.
func (p *Pool) Do(ctx context.Context, to Endpoint, limit int, r *Request) (*Response, *Failure) {
	c, failure := p.take(ctx, to, limit, r.Idempotent)
	if failure != nil {
		return nil, failure
	}
	answer, failure := exchange(ctx, c, r, p.dialect)
	if failure != nil {
		p.drop(to)
		return nil, failure
	}
	finish := answer.close
	answer.close = func(whole bool) {
		finish(whole)
		if answer.conn == nil {
			p.drop(to)
			return
		}
		p.put(to, c, answer.Info.KeepAlive)
	}
	return answer, nil
}

// take returns an idle connection that is still open, or a new one.
func (p *Pool) take(ctx context.Context, to Endpoint, limit int, repeatable bool) (*conn, *Failure) {
	for {
		c := p.pop(to, repeatable)
		if c == nil {
			break
		}
		if time.Now().Before(c.expires) && network.IsOpen(c.Conn) {
			p.reused.Add(1)
			return c, nil
		}
		_ = c.Close()
		p.drop(to)
	}
	if err := p.enter(to, limit); err != nil {
		return nil, &Failure{Verdict: verdict.NotRun, Reason: ReasonNoConns, err: err}
	}
	p.opened.Add(1)
	began := time.Now()
	c, err := p.dial(ctx, "tcp", to.Address)
	if err != nil {
		p.drop(to)
		return nil, &Failure{Verdict: verdict.NotRun, Reason: ReasonDial, err: err}
	}
	if p.dialled != nil {
		p.dialled(to, time.Since(began))
	}
	return newConn(c), nil
}

// enter counts a new connection to a server, or says why there can be none. Where there are too many in all,
// an idle one to another server gives way.
func (p *Pool) enter(to Endpoint, limit int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.host(to); limit > 0 && h.open >= limit {
		return Error.New("all %d connections to %s are busy", limit, to.Address)
	}
	if p.open >= p.most && !p.closeOneIdle() {
		return Error.New("all %d connections to servers are busy", p.most)
	}
	p.host(to).open++
	p.open++
	return nil
}

// closeOneIdle closes the idle connection of any server that has rested longest there. It is called with the
// lock held.
func (p *Pool) closeOneIdle() bool {
	for to, h := range p.hosts {
		if len(h.idle) == 0 {
			continue
		}
		_ = h.idle[0].Close()
		h.idle = h.idle[1:]
		p.left(to, h)
		return true
	}
	return false
}

// left counts a connection as closed. It is called with the lock held.
func (p *Pool) left(to Endpoint, h *host) {
	h.open--
	p.open--
	if h.open <= 0 && len(h.idle) == 0 {
		delete(p.hosts, to)
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

// pop takes the connection out that was used last, or returns nil where there is none or it has rested too long for a
// request that must not run twice.
func (p *Pool) pop(to Endpoint, repeatable bool) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(to)
	if len(h.idle) == 0 {
		return nil
	}
	c := h.idle[len(h.idle)-1]
	if !repeatable && !c.lasts(false, time.Now()) {
		return nil
	}
	h.idle = h.idle[:len(h.idle)-1]
	return c
}

// HasIdle tells whether a connection to a server rests that a request may use.
func (p *Pool) HasIdle(to Endpoint, repeatable bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[to]
	return h != nil && len(h.idle) > 0 && h.idle[len(h.idle)-1].lasts(repeatable, time.Now())
}

// lasts tells whether a resting connection is far enough from its server's close for a request.
func (c *conn) lasts(repeatable bool, now time.Time) bool {
	needed := time.Duration(0)
	if !repeatable {
		needed = keepMarginAtMost - keepMargin
	}
	return !now.Add(needed).After(c.expires)
}

func (p *Pool) put(to Endpoint, c *conn, keep time.Duration) {
	if keep == 0 {
		keep = defaultKeep
	}
	keep -= keepMargin
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(to)
	if keep <= 0 || len(h.idle) >= maxIdle {
		_ = c.Close()
		p.left(to, h)
		return
	}
	c.expires = time.Now().Add(keep)
	h.idle = append(h.idle, c)
}

// drop counts a connection as closed.
func (p *Pool) drop(to Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left(to, p.host(to))
}

// CloseIdle closes connections that have expired, and all idle ones to servers that are not wanted.
func (p *Pool) CloseIdle(wanted func(Endpoint) bool) {
	now := time.Now()
	var closing []net.Conn
	p.mu.Lock()
	for to, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) && wanted(to) {
				kept = append(kept, c)
				continue
			}
			closing = append(closing, c)
			h.open--
			p.open--
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
