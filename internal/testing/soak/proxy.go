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
	// silent lets nothing through either way; the bytes follow once it ends.
	silent
)

const delayTime = 60 * time.Millisecond

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
			cut(conn)
		}
	}
}

// close ends the proxy and all that it carries.
func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(reset)
}

// cut ends a connection with a reset.
func cut(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.carry(near)
	}
}

func (p *proxy) carry(near net.Conn) {
	far, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil || !p.track(near, far) {
		cut(near)
		if far != nil {
			cut(far)
		}
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(far, near, false) })
	wg.Go(func() { p.copy(near, far, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
}

func (p *proxy) track(conns ...net.Conn) bool {
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
func (p *proxy) copy(to, from net.Conn, back bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && p.admit(back) {
			if _, err := to.Write(buffer[:n]); err != nil {
				cut(from)
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			} else {
				cut(to)
			}
			return
		}
	}
}

// admit waits for as long as the mode asks, and tells whether the bytes may pass.
func (p *proxy) admit(back bool) bool {
	for {
		p.mu.Lock()
		m, changed := p.mode, p.changed
		p.mu.Unlock()
		switch {
		case m == reset:
			return false
		case m == delay:
			time.Sleep(delayTime)
			return true
		case m == silent, m == oneWay && back:
			<-changed
		default:
			return true
		}
	}
}
