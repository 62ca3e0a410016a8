// Package peerlink keeps net/rpc connections to other daemons and applies a timeout to each call. If the direct path to
// a daemon fails or is slow, calls use a fallback path, if there is one.
package peerlink

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/network"
)

// ErrUnreachable means that no reply arrived; the call may have been executed.
var ErrUnreachable = errors.New("daemon unreachable")

const (
	// dialTimeout is far above the time to connect between data centres, 3 ms.
	dialTimeout = 500 * time.Millisecond
	// redialPause is the least time between two dials to a failed daemon.
	redialPause = 100 * time.Millisecond
	// fallbackTime is how long calls use the fallback path first before the direct one is tried again.
	fallbackTime = 2 * time.Second
)

// Pool keeps a link for each address.
type Pool struct {
	dial network.DialContext
	// fallback connects to an address through another daemon; nil if there is none.
	fallback   network.DialContext
	hedgeDelay time.Duration

	hedges *hedgeBudget

	mu    sync.Mutex
	links map[string]*Link
}

// NewPool returns an empty pool without a fallback path.
func NewPool(dial network.DialContext) *Pool {
	return &Pool{dial: dial, hedges: newHedgeBudget(), links: map[string]*Link{}}
}

// WithFallback sets a fallback path and returns the pool. Calls without a reply after hedgeDelay are sent over the
// fallback path as well, so every call must be idempotent.
func (p *Pool) WithFallback(fallback network.DialContext, hedgeDelay time.Duration) *Pool {
	p.fallback, p.hedgeDelay = fallback, hedgeDelay
	return p
}

// HedgedCalls returns the number of calls that were sent over both paths.
func (p *Pool) HedgedCalls() int {
	p.hedges.mu.Lock()
	defer p.hedges.mu.Unlock()
	return p.hedges.sent
}

// LinkTo returns the link to an address.
func (p *Pool) LinkTo(address string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	link := p.links[address]
	if link == nil {
		link = &Link{direct: newPath(address, p.dial), hedgeDelay: p.hedgeDelay, hedges: p.hedges}
		if p.fallback != nil {
			link.fallback = newPath(address, p.fallback)
		}
		p.links[address] = link
	}
	return link
}

// Link calls one daemon, over a direct and possibly a fallback path.
type Link struct {
	direct, fallback *path
	hedgeDelay       time.Duration
	hedges           *hedgeBudget

	mu            sync.Mutex
	fallbackUntil time.Time
}

// outcome is the result of a call on one path.
type outcome[Reply any] struct {
	path  *path
	reply *Reply
	err   error
}

// Call calls a method and returns its reply. Every attempt writes to a reply of its own, so that one that arrives after
// ctx has ended is discarded. A call that fails with ErrUnreachable may have been executed.
func Call[Reply any](ctx context.Context, l *Link, method string, args any) (*Reply, error) {
	first, second := l.order()
	ended := make(chan outcome[Reply], 2)
	ask := func(p *path) {
		reply := new(Reply)
		err := p.call(ctx, method, args, reply)
		ended <- outcome[Reply]{p, reply, err}
	}
	if second == nil {
		ask(first)
		o := <-ended
		return o.reply, o.err
	}
	l.hedges.addCall()
	go ask(first)
	timer := time.NewTimer(l.hedgeDelay)
	defer timer.Stop()
	var problem error
	for running := 1; running > 0; {
		select {
		case o := <-ended:
			running--
			if o.err == nil || !errors.Is(o.err, ErrUnreachable) {
				l.recordAnswer(o.path, problem != nil || second == nil)
				return o.reply, o.err
			}
			problem = errors.Join(problem, o.err)
			l.recordFailure(o.path)
		case <-timer.C:
		}
		if second != nil && ctx.Err() == nil && l.hedges.spend() {
			go ask(second)
			second = nil
			running++
		}
	}
	return nil, problem
}

// order returns the paths in the order in which to try them.
func (l *Link) order() (first, second *path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fallback != nil && time.Now().Before(l.fallbackUntil) {
		return l.fallback, l.direct
	}
	return l.direct, l.fallback
}

// recordAnswer records which path answered; contested means that the other one was tried too.
func (l *Link) recordAnswer(answered *path, contested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered == l.direct:
		l.fallbackUntil = time.Time{}
	case contested:
		l.fallbackUntil = time.Now().Add(fallbackTime)
	}
}

// recordFailure records that a path gave no answer, so that the other one is tried first for a while.
func (l *Link) recordFailure(p *path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p == l.direct && l.fallback != nil {
		l.fallbackUntil = time.Now().Add(fallbackTime)
	} else {
		l.fallbackUntil = time.Time{}
	}
}
