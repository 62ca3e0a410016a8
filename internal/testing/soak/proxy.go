package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the bytes that pass it.
type mode int

const (
	pass mode = iota
	// delay holds each piece up for delayTime.
	delay
	// reset ends every connection, old and new.
	reset
	// oneWay lets nothing back.
	oneWay
	// blackhole lets nothing through either way; the bytes follow once it ends.
	blackhole
)

const addedDelay = 60 * time.Millisecond

// proxy carries connections to a target and harms them.
type proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	mode    mode
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for conn := range p.conns {
			resetConn(conn)
		}
	}
}

// close ends the proxy and all that it carries.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
}

// resetConn ends a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *proxy) forward(client net.Conn) {
	upstream, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || !p.trackConns(client, upstream) {
		resetConn(client)
		if upstream != nil {
			resetConn(upstream)
		}
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(upstream, client, false) })
	wg.Go(func() { p.copy(client, upstream, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, upstream)
	p.mu.Unlock()
}

func (p *proxy) trackConns(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == reset {
		return false
	}
	for _, conn := range conns {
		p.conns[conn] = struct{}{}
	}
	return true
}

// copy passes bytes on until either side ends, and passes the kind of end on too.
func (p *proxy) copy(to, from net.Conn, towardsClient bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.awaitPass(towardsClient) {
			if _, err := to.Write(buffer[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			} else {
				resetConn(to)
			}
			return
		}
	}
}

// awaitPass waits for as long as the mode asks, and tells whether the bytes may pass.
func (p *proxy) awaitPass(towardsClient bool) bool {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == reset:
			return false
		case m == delay:
			time.Sleep(addedDelay)
			return true
		case m == blackhole, m == oneWay && towardsClient:
			<-changed
		default:
			return true
		}
	}
}
