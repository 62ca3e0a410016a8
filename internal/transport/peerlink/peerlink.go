// Package peerlink keeps net/rpc connections to other daemons and bounds each call on them. Where the direct
// way to a daemon fails, calls take a detour if there is one.
package peerlink

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/network"
)

// ErrUnreachable means that no answer came; the call may have been carried out.
var ErrUnreachable = errors.New("daemon unreachable")

const (
	// dialTimeout is far above a connection between data centres, 3 ms.
	dialTimeout = 500 * time.Millisecond
	// redialPause bounds how often a dead daemon is dialled.
	redialPause = 100 * time.Millisecond
	// detourTime is how long calls take the detour before the direct way is tried again.
	detourTime = 2 * time.Second
)

// Pool keeps a link for each address.
type Pool struct {
	dial network.DialContext
	// detour connects to an address through another daemon; nil where there is none.
	detour   network.DialContext
	patience time.Duration

	budget *budget

	mu    sync.Mutex
	links map[string]*Link
}

// NewSet returns an empty set.
func NewSet(dial network.DialContext) *Pool {
	return &Pool{dial: dial, budget: newBudget(), links: map[string]*Link{}}
}

// WithFallback makes calls that have no answer after patience be sent over a detour as well, and returns the
// set. Every call must be idempotent.
func (s *Pool) WithFallback(detour network.DialContext, patience time.Duration) *Pool {
	s.detour, s.patience = detour, patience
	return s
}

// HedgedCalls returns how many calls were sent over a second path.
func (s *Pool) HedgedCalls() int {
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.budget.sent
}

// LinkTo returns the link to an address.
func (s *Pool) LinkTo(address string) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.links[address]
	if link == nil {
		link = &Link{direct: newPath(address, s.dial), patience: s.patience, budget: s.budget}
		if s.detour != nil {
			link.detour = newPath(address, s.detour)
		}
		s.links[address] = link
	}
	return link
}

// Link is the way to one daemon.
type Link struct {
	direct, detour *path
	patience       time.Duration
	budget         *budget

	mu         sync.Mutex
	detourTill time.Time
}

// outcome is how a call on one path ended.
type outcome[Reply any] struct {
	path  *path
	reply *Reply
	err   error
}

// Call calls a method and returns its answer. The answer is a value of its own, so that one that comes after
// ctx has ended writes into memory that nobody reads. A call without an answer may have been carried out.
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
	l.budget.earn()
	go ask(first)
	timer := time.NewTimer(l.patience)
	defer timer.Stop()
	var problem error
	for running := 1; running > 0; {
		select {
		case o := <-ended:
			running--
			if o.err == nil || !errors.Is(o.err, ErrUnreachable) {
				l.settle(o.path, problem != nil || second == nil)
				return o.reply, o.err
			}
			problem = errors.Join(problem, o.err)
			l.failed(o.path)
		case <-timer.C:
		}
		if second != nil && ctx.Err() == nil && l.budget.spend() {
			go ask(second)
			second = nil
			running++
		}
	}
	return nil, problem
}

// order returns the paths in the order in which they are to be tried.
func (l *Link) order() (first, second *path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.detour != nil && time.Now().Before(l.detourTill) {
		return l.detour, l.direct
	}
	return l.direct, l.detour
}

// settle notes which path answered; contested tells that the other one was tried too.
func (l *Link) settle(answered *path, contested bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case answered == l.direct:
		l.detourTill = time.Time{}
	case contested:
		l.detourTill = time.Now().Add(detourTime)
	}
}

// failed notes that a path gave no answer.
func (l *Link) failed(p *path) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p == l.direct && l.detour != nil {
		l.detourTill = time.Now().Add(detourTime)
	} else {
		l.detourTill = time.Time{}
	}
}

// Serve answers calls on a listener until it is closed.
func Serve(listener net.Listener, services map[string]any) error {
	server := rpc.NewServer()
	for name, service := range services {
		if err := server.RegisterName(name, service); err != nil {
			return err
		}
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}
