// Package memnet implements an in-memory network for tests in virtual time. Hosts can be partitioned, frozen and
// killed.
package memnet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc/test/bufconn"
)

// bufferBytes is the buffer size of a connection, in each direction.
const bufferBytes = 64 << 10

var (
	// errRefused is returned by Dial if nobody listens.
	errRefused = fmt.Errorf("memnet: %w", syscall.ECONNREFUSED)
	// errUnreachable is returned by Dial if the hosts are partitioned.
	errUnreachable = fmt.Errorf("memnet: %w", syscall.EHOSTUNREACH)
)

// Fabric connects hosts. Use New.
type Fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]struct{}
	// partitions holds the pairs of hosts that can't connect.
	partitions map[[2]string]bool
	// frozen holds, for each frozen host, a channel that is closed when it thaws.
	frozen   map[string]chan struct{}
	lastThaw time.Time
	// dead holds the killed hosts, which can't connect.
	dead map[string]bool
}

// New returns a fabric without hosts.
func New() *Fabric {
	return &Fabric{
		listeners: map[string]*listener{}, conns: map[*conn]struct{}{},
		partitions: map[[2]string]bool{}, frozen: map[string]chan struct{}{}, dead: map[string]bool{},
	}
}

// listener accepts the connections of one address.
type listener struct {
	host    string
	address string
	fabric  *Fabric
	dialed  chan net.Conn
	close   sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case conn := <-l.dialed:
		return conn, nil
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.fabric.mu.Lock()
	if l.fabric.listeners[l.address] == l {
		delete(l.fabric.listeners, l.address)
	}
	l.fabric.mu.Unlock()
	l.close.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return listenerAddr(l.address) }

// listenerAddr is the address of a listener.
type listenerAddr string

// Network implements net.Addr.
func (a listenerAddr) Network() string { return "memnet" }

// String implements net.Addr.
func (a listenerAddr) String() string { return string(a) }

// ending marks how the accepted end of a connection ended it.
type ending struct{ closed, reset atomic.Bool }

// dial hands one end of a new connection to Accept and returns the other one, and the marks that the accepted end sets
// when it closes or resets the connection.
func (l *listener) dial(ctx context.Context) (net.Conn, *ending, error) {
	dialed, accepted, err := newPipe()
	if err != nil {
		return nil, nil, err
	}
	marks := new(ending)
	select {
	case <-ctx.Done():
		err = ctx.Err()
	case <-l.closed:
		err = net.ErrClosed
	case l.dialed <- &acceptedConn{deadlineConn: &deadlineConn{Conn: accepted}, marks: marks}:
		return dialed, marks, nil
	}
	_ = dialed.Close()
	_ = accepted.Close()
	return nil, nil, err
}

// newPipe returns the two ends of a new connection.
func newPipe() (dialed, accepted net.Conn, err error) {
	l := bufconn.Listen(bufferBytes)
	defer func() { _ = l.Close() }()
	result := make(chan net.Conn, 1)
	go func() {
		conn, _ := l.Accept() // can't fail: the listener is closed only after the result has been received
		result <- conn
	}()
	if dialed, err = l.Dial(); err != nil {
		return nil, nil, err
	}
	return dialed, <-result, nil
}

// acceptedConn is the listener's end of a connection. It can reset the connection as a TCP connection can.
type acceptedConn struct {
	*deadlineConn
	resetOnClose atomic.Bool
	marks        *ending
}

// SetLinger determines, as that of net.TCPConn, whether Close resets the connection: it does if sec is 0.
func (c *acceptedConn) SetLinger(sec int) error {
	c.resetOnClose.Store(sec == 0)
	return nil
}

// Close implements net.Conn. After a reset, the dialer's end reads what was written before and then gets ECONNRESET.
func (c *acceptedConn) Close() error {
	if c.resetOnClose.Load() {
		c.marks.reset.Store(true)
	}
	c.marks.closed.Store(true)
	return c.deadlineConn.Close()
}

// conn is the dialer's end of a connection. While either host is frozen, reads block and writes are buffered. Writes
// never block: their callers may hold locks, and virtual time does not advance while a goroutine waits for a lock.
type conn struct {
	net.Conn
	fabric   *Fabric
	from, to string
	// marks are set when the listener's end ends the connection.
	marks *ending
	// closed is closed by Close: a read that waits for a frozen host ends then.
	closed    chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	pending []byte
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if (errors.Is(err, io.EOF) || errors.Is(err, io.ErrClosedPipe)) && c.marks.reset.Load() {
		err = &net.OpError{Op: "read", Net: "memnet", Err: syscall.ECONNRESET}
	}
	for {
		frozen := c.fabric.thawChan(c.from, c.to)
		if frozen == nil {
			return n, err
		}
		select {
		case <-frozen:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

// IsOpen reports whether neither end has closed the connection, as far as the dialer's host can know: nothing reaches it while
// either host is frozen.
func (c *conn) IsOpen() bool {
	return !c.marks.closed.Load() || c.fabric.thawChan(c.from, c.to) != nil
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	frozen := c.fabric.thawChan(c.from, c.to)
	if frozen == nil && len(c.pending) == 0 {
		return c.Conn.Write(p)
	}
	if len(c.pending) == 0 {
		go c.deliver()
	}
	c.pending = append(c.pending, p...)
	return len(p), nil
}

// deliver writes the buffered data once both hosts have thawed.
func (c *conn) deliver() {
	for {
		if frozen := c.fabric.thawChan(c.from, c.to); frozen != nil {
			<-frozen
			continue
		}
		c.mu.Lock()
		_, _ = c.Conn.Write(c.pending)
		c.pending = nil
		c.mu.Unlock()
		return
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.fabric.mu.Lock()
	delete(c.fabric.conns, c)
	c.fabric.mu.Unlock()
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// thawChan returns the channel that is closed when the first frozen one of the hosts thaws; nil if none is frozen.
func (f *Fabric) thawChan(hosts ...string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, host := range hosts {
		if frozen := f.frozen[host]; frozen != nil {
			return frozen
		}
	}
	return nil
}

// Listen opens a listener at an address on a host.
func (f *Fabric) Listen(host, address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listeners[address] != nil {
		return nil, errors.New("address in use: " + address)
	}
	l := &listener{host: host, address: address, fabric: f, dialed: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

// Dial connects a host to an address.
func (f *Fabric) Dial(ctx context.Context, host, address string) (net.Conn, error) {
	f.mu.Lock()
	l := f.listeners[address]
	err := f.checkPath(host, l)
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	raw, marks, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: &deadlineConn{Conn: raw}, fabric: f, from: host, to: l.host, marks: marks, closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.checkPath(host, f.listeners[address]); err != nil || f.listeners[address] != l {
		_ = raw.Close() // a host was killed or partitioned meanwhile
		return nil, cmp.Or(err, errRefused)
	}
	f.conns[c] = struct{}{}
	return c, nil
}

// checkPath returns an error if a host can't connect to a listener, which is nil if nobody listens. The caller holds f.mu.
func (f *Fabric) checkPath(host string, to *listener) error {
	switch {
	case f.dead[host]:
		return errUnreachable
	case to == nil:
		return errRefused
	case f.partitions[hostPair(host, to.host)]:
		return errUnreachable
	}
	return nil
}

func hostPair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Partition closes all connections between two hosts and refuses new ones until Heal.
func (f *Fabric) Partition(a, b string) {
	f.mu.Lock()
	f.partitions[hostPair(a, b)] = true
	f.mu.Unlock()
	f.closeConns(func(c *conn) bool { return hostPair(c.from, c.to) == hostPair(a, b) })
}

// Heal ends a partition.
func (f *Fabric) Heal(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.partitions, hostPair(a, b))
}

// Restart lets a killed host connect again.
func (f *Fabric) Restart(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.dead, host)
}

// Kill closes all connections and listeners of a host, as when its process dies.
func (f *Fabric) Kill(host string) {
	f.mu.Lock()
	f.dead[host] = true
	var dead []*listener
	for _, l := range f.listeners {
		if l.host == host {
			dead = append(dead, l)
		}
	}
	f.mu.Unlock()
	for _, l := range dead {
		_ = l.Close()
	}
	f.closeConns(func(c *conn) bool { return c.from == host || c.to == host })
	f.Thaw(host)
}

// End ends the processes of hosts together: from one moment on nobody listens there, and their connections are reset.
func (f *Fabric) End(hosts ...string) {
	var ended []*conn
	f.mu.Lock()
	for address, l := range f.listeners {
		if slices.Contains(hosts, l.host) {
			delete(f.listeners, address)
		}
	}
	for c := range f.conns {
		if slices.Contains(hosts, c.to) {
			c.marks.reset.Store(true)
			c.marks.closed.Store(true)
			ended = append(ended, c)
		}
	}
	f.mu.Unlock()
	for _, c := range ended {
		_ = c.Close()
	}
}

// Freeze suspends a host's network traffic until Thaw.
func (f *Fabric) Freeze(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.frozen[host] == nil {
		f.frozen[host] = make(chan struct{})
	}
}

// Thaw resumes a frozen host's traffic.
func (f *Fabric) Thaw(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if frozen := f.frozen[host]; frozen != nil {
		close(frozen)
		delete(f.frozen, host)
		f.lastThaw = time.Now()
	}
}

// LastThaw returns the time of the last Thaw. Data written before the freeze arrives only then.
func (f *Fabric) LastThaw() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastThaw
}

func (f *Fabric) closeConns(match func(*conn) bool) {
	f.mu.Lock()
	var dead []*conn
	for c := range f.conns {
		if match(c) {
			dead = append(dead, c)
		}
	}
	f.mu.Unlock()
	for _, c := range dead {
		_ = c.Close()
	}
}

// Host is the network of one host. It implements network.Network.
type Host struct {
	Fabric *Fabric
	Name   string
}

// ListenCallers implements network.Network.
func (h Host) ListenCallers(address string) (net.Listener, error) {
	return h.Fabric.Listen(h.Name, address)
}

// ListenHTTP implements network.Network.
func (h Host) ListenHTTP(address string) (net.Listener, error) {
	return h.Fabric.Listen(h.Name, address)
}

// ListenPeers implements network.Network.
func (h Host) ListenPeers(address string) (net.Listener, error) {
	return h.Fabric.Listen(h.Name, address)
}

// DialPeer implements network.Network.
func (h Host) DialPeer(ctx context.Context, address string) (net.Conn, error) {
	return h.Fabric.Dial(ctx, h.Name, address)
}

// DialServer implements network.Network.
func (h Host) DialServer(address string) (net.Conn, error) {
	return h.Fabric.Dial(context.Background(), h.Name, address)
}
