package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats the data that it forwards.
type mode int

const (
	pass mode = iota
	// delay delays each chunk by addedDelay.
	delay
	// reset resets all existing and new connections.
	reset
	// oneWay holds back all data towards the client.
	oneWay
	// blackhole holds back data in both directions. The data is delivered when the mode ends.
	blackhole
)

const addedDelay = 60 * time.Millisecond

// proxy is a TCP proxy to a target that can disturb its connections.
type proxy struct {
	target string

	mu sync.Mutex
	// listener is replaced when the target ends and another one starts.
	listener net.Listener
	mode     mode
	// silent is set while the target has ended without closing its connections.
	silent  bool
	changed chan struct{}
	conns   map[net.Conn]struct{}
}

func newProxy(target string) (*proxy, error) {
	p := &proxy{target: target, changed: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	return p, p.open()
}

// open listens at a new address.
func (p *proxy) open() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = listener
	go p.accept(listener)
	return nil
}

// end closes the listener and resets all connections, as when the target's process ends. open ends that state.
func (p *proxy) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for conn := range p.conns {
		resetConn(conn)
	}
}

// resetConns resets all connections, as when the target's process ends and another one is back at once.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		resetConn(conn)
	}
}

func (p *proxy) address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.listener.Addr().String()
}

// silence holds back all data, as when the target's VM loses power. No fault of the link ends that before wake.
func (p *proxy) silence() {
	p.set(blackhole)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = true
}

// wake resets the connections of the silent target and lets data pass to the one in its place.
func (p *proxy) wake() {
	p.resetConns()
	p.mu.Lock()
	p.silent = false
	p.mu.Unlock()
	p.set(pass)
}

// set sets the mode, unless the target is silent.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return
	}
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
	if m == reset {
		for conn := range p.conns {
			resetConn(conn)
		}
	}
}

// close closes the listener and resets all connections.
func (p *proxy) close() {
	p.end()
	p.set(reset)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept(listener net.Listener) {
	for {
		client, err := listener.Accept()
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

// copy forwards data until either side fails or is closed. It closes the other side in the same way: with or without a
// reset.
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
			p.awaitPass(towardsClient) // the end of a connection is held back like its data
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			} else {
				resetConn(to)
			}
			return
		}
	}
}

// awaitPass blocks as the mode requires and reports whether the data is to be forwarded.
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
