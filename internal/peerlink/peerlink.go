// Package peerlink keeps one net/rpc connection to another daemon and bounds each call on it.
package peerlink

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/network"
)

// ErrUnreachable means that no answer came; the call may have been carried out.
var ErrUnreachable = errors.New("daemon unreachable")

const (
	// dialTimeout is far above a connection between data centres, 3 ms.
	dialTimeout = 500 * time.Millisecond
	// redialPause bounds how often a dead daemon is dialled.
	redialPause = 100 * time.Millisecond
)

// Link is a connection to one address, made when it is first needed and again after it broke.
type Link struct {
	address string
	dial    network.DialContext

	mu      sync.Mutex
	client  *rpc.Client
	dialing chan struct{}
	failed  time.Time
	lastErr error
}

// New returns a link; nothing is sent before the first call.
func New(address string, dial network.DialContext) *Link {
	return &Link{address: address, dial: dial}
}

// Call calls a method and returns its answer. The answer is a value of its own, so that one that comes after
// ctx has ended writes into memory that nobody reads.
func Call[Reply any](ctx context.Context, l *Link, method string, args any) (*Reply, error) {
	reply := new(Reply)
	if err := l.call(ctx, method, args, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// call waits for the answer until ctx ends. A call without an answer may have been carried out. The
// connection is given up when a call times out, since an answer may never come on it.
func (l *Link) call(ctx context.Context, method string, args, reply any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, err)
	}
	pending := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		var answered rpc.ServerError
		if pending.Error != nil && !errors.As(pending.Error, &answered) {
			l.drop(client)
			return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, pending.Error)
		}
		return pending.Error
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.drop(client)
		}
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, l.address, ctx.Err())
	}
}

// connect returns the connection. One caller dials; the others wait for it.
func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	for {
		if l.client != nil {
			client := l.client
			l.mu.Unlock()
			return client, nil
		}
		if l.dialing == nil {
			break
		}
		dialing := l.dialing
		l.mu.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		l.mu.Lock()
		if l.client == nil && l.lastErr != nil {
			err := l.lastErr
			l.mu.Unlock()
			return nil, err
		}
	}
	if time.Since(l.failed) < redialPause {
		err := l.lastErr
		l.mu.Unlock()
		return nil, err
	}
	dialing := make(chan struct{})
	l.dialing = dialing
	l.mu.Unlock()
	dialCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
	conn, err := l.dial(dialCtx, "tcp", l.address)
	cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	close(dialing)
	l.lastErr = err
	if err != nil {
		l.failed = time.Now()
		return nil, err
	}
	l.client = rpc.NewClient(conn)
	return l.client, nil
}

func (l *Link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

// Close ends the connection.
func (l *Link) Close() {
	l.mu.Lock()
	client := l.client
	l.client = nil
	l.mu.Unlock()
	if client != nil {
		_ = client.Close()
	}
}

// Set keeps a link for each address.
type Set struct {
	dial network.DialContext

	mu    sync.Mutex
	links map[string]*Link
}

// NewSet returns an empty set.
func NewSet(dial network.DialContext) *Set { return &Set{dial: dial, links: map[string]*Link{}} }

// To returns the link to an address.
func (s *Set) To(address string) *Link {
	s.mu.Lock()
	defer s.mu.Unlock()
	link := s.links[address]
	if link == nil {
		link = New(address, s.dial)
		s.links[address] = link
	}
	return link
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
