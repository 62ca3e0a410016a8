package callers

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/transport/network"
)

const (
	// sweepInterval is the time between two searches for connections that have taken too long.
	sweepInterval = 500 * time.Millisecond
	// retryMemory is for requests whose heads exceed the free memory: about the duration of a call.
	retryMemory = 200 * time.Millisecond
	// roomWait is how long a new connection waits at the bound for a request on another one to end.
	roomWait = 50 * time.Millisecond
	// maxRoomTries bounds the connections of a phase that are looked at for one to close.
	maxRoomTries = 8
	// logInterval is the shortest time between two log lines of a set.
	logInterval = time.Second
)

// MetricClosed counts the connections that were closed for a limit, by address and limit.
const MetricClosed = "rookpass_client_connections_closed_total"

// reason is why a connection is closed.
type reason string

// The reasons.
const (
	reasonHeadTooLarge reason = "head-too-large"
	reasonHeadMemory   reason = "head-memory"
	reasonHeadTime     reason = "head-time"
	reasonIdle         reason = "idle"
	// reasonGaveWay: another client needed the connection or the memory of its head.
	reasonGaveWay reason = "gave-way"
	// reasonNoRoom: requests that were received whole are under way on all other connections.
	reasonNoRoom reason = "no-room"
)

// Observer counts; the metrics registry implements it.
type Observer interface {
	Count(name, label string)
}

// Options configure a Set.
type Options struct {
	// Name is that of the address, for logs and metrics.
	Name string
	// MaxConns bounds the connections that are open at once.
	MaxConns int
	// Limits returns the limits in force; zero values mean defaults.
	Limits func() connlimit.Limits
	// Memory accounts for heads.
	Memory   *membudget.Budget
	Observer Observer
	Log      logrus.FieldLogger
}

// Set is the connections of an HTTP server's clients. Use New.
type Set struct {
	options Options
	logged  rate.Sometimes

	// room is signalled when a connection leaves the set.
	room chan struct{}

	mu   sync.Mutex
	open int
	// waiting is set while a new connection waits: the next one to be at rest gives way to it, before it is served again.
	waiting bool
	// byPhase holds the connections, those that have been in their phase for longest first.
	byPhase [connlimit.PhaseCount]list.List
	// largeHeads holds those whose heads take more memory than ordinary ones and are not complete, oldest first.
	largeHeads list.List
}

// place is where a connection stands in its set. The set's lock guards it.
type place struct {
	phase connlimit.Phase
	since time.Time
	// inPhase and inLarge are its elements of Set.byPhase and Set.largeHeads; nil if it is in none.
	inPhase, inLarge *list.Element
	// memory is what is reserved for its head.
	memory int64
	// gone is set once the connection is closed or has given way.
	gone bool
}

// New returns an empty set.
func New(o Options) *Set {
	return &Set{options: o, logged: rate.Sometimes{Interval: logInterval}, room: make(chan struct{}, 1)}
}

// Attach makes a server serve connections of the set. The server must serve the returned listener; its Handler,
// ConnState and ConnContext must be set before. The server's own bounds of heads and of times at rest must not be narrower.
func (s *Set) Attach(server *http.Server, l net.Listener) net.Listener {
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	onState := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if c, ok := c.(*conn); ok && state == http.StateIdle {
			c.expectRequest()
		}
		if onState != nil {
			onState(c, state)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.beginRequest() {
			panic(http.ErrAbortHandler) // the connection has given way
		}
		handler.ServeHTTP(w, r)
	})
	return listener{l, s}
}

// listener accepts connections of a set.
type listener struct {
	net.Listener
	set *Set
}

func (l listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: inner, set: l.set}
		if l.set.add(c) || l.set.addLater(c) {
			return c, nil
		}
		_ = inner.Close() // its client may have closed it
	}
}

// Run closes connections that have taken too long, until ctx ends.
func (s *Set) Run(ctx context.Context) error {
	for wait.For(ctx, sweepInterval) == nil {
		s.sweep(time.Now())
	}
	return ctx.Err()
}

// Open returns the number of open connections.
func (s *Set) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

func (s *Set) limits() connlimit.Limits { return s.options.Limits().OrDefaults() }

// add adds a connection. At the bound another one gives way to it; add returns false if none does.
func (s *Set) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = s.open >= s.options.MaxConns && !s.makeRoom()
	if s.waiting {
		return false
	}
	s.open++
	s.move(c, connlimit.AtRest)
	return true
}

// addLater adds a connection once another one has left, within roomWait. Otherwise it returns false. New connections are
// added by one goroutine.
func (s *Set) addLater(c *conn) bool {
	for timeout := time.After(roomWait); ; {
		select {
		case <-s.room:
			if s.add(c) {
				return true
			}
		case <-timeout:
			s.mu.Lock()
			defer s.mu.Unlock()
			s.waiting = false
			s.count(reasonNoRoom)
			return false
		}
	}
}

// makeRoom closes the first connection that gives way, if any does. Connections with unread data are spared: the daemon is
// late, not the client. It is called with the lock held.
func (s *Set) makeRoom() bool {
	for _, phase := range connlimit.GiveWay() {
		element := s.byPhase[phase].Front()
		for range maxRoomTries {
			if element == nil {
				break
			}
			c := element.Value.(*conn)
			if phase == connlimit.Refused || !network.HasUnread(c.Conn) {
				s.closeLocked(c, reasonGaveWay)
				return true
			}
			element = element.Next()
		}
	}
	return false
}

// move puts a connection into a phase, which begins now. It is called with the lock held.
func (s *Set) move(c *conn, phase connlimit.Phase) {
	s.take(c)
	c.place.phase, c.place.since = phase, time.Now()
	c.place.inPhase = s.byPhase[phase].PushBack(c)
}

// take takes a connection out of all lists. It is called with the lock held.
func (s *Set) take(c *conn) {
	if c.place.inPhase != nil {
		s.byPhase[c.place.phase].Remove(c.place.inPhase)
	}
	if c.place.inLarge != nil {
		s.largeHeads.Remove(c.place.inLarge)
	}
	c.place.inPhase, c.place.inLarge = nil, nil
}

// enter puts a connection into a phase. It returns false if the connection is closed or has given way.
func (s *Set) enter(c *conn, phase connlimit.Phase) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place.gone {
		return false
	}
	if phase == connlimit.AtRest {
		if s.waiting {
			s.waiting = false
			s.closeLocked(c, reasonGaveWay)
			return false
		}
		s.releaseHead(c)
	}
	if c.place.phase != phase {
		s.move(c, phase)
	}
	return true
}

// grow accounts for the memory of a head that has grown, and for its end if it is complete. It returns the status with which
// the head is refused; 0 if it is not.
func (s *Set) grow(c *conn, memory int64, complete bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place.gone {
		return statusNone
	}
	if c.place.phase == connlimit.AtRest {
		s.move(c, connlimit.InHead)
	}
	if !s.reserve(c, memory) {
		s.count(reasonHeadMemory)
		return http.StatusServiceUnavailable
	}
	switch {
	case complete:
		s.move(c, connlimit.InBody)
	case c.place.inLarge == nil && connlimit.HeadPriority(memory) != membudget.Small:
		c.place.inLarge = s.largeHeads.PushBack(c)
	}
	return 0
}

// reserve reserves the memory of a head. While it does not fit, the oldest of the large heads that are not complete gives
// way. It is called with the lock held.
func (s *Set) reserve(c *conn, memory int64) bool {
	for {
		if s.options.Memory.Reserve(membudget.Heads, memory-c.place.memory, connlimit.HeadPriority(memory)) == nil {
			c.place.memory = memory
			return true
		}
		oldest := s.largeHeads.Front()
		if oldest == nil || oldest.Value.(*conn) == c {
			return false
		}
		s.closeLocked(oldest.Value.(*conn), reasonGaveWay)
	}
}

// releaseHead releases the memory of a connection's head. It is called with the lock held.
func (s *Set) releaseHead(c *conn) {
	s.options.Memory.Release(membudget.Heads, c.place.memory)
	c.place.memory = 0
}

// closeLocked closes a connection for a limit. It is called with the lock held.
func (s *Set) closeLocked(c *conn, why reason) {
	s.count(why)
	s.removeLocked(c)
	_ = c.Conn.Close() // the client may have closed it
}

// remove takes a closed connection out of the set.
func (s *Set) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(c)
}

func (s *Set) removeLocked(c *conn) {
	if c.place.gone {
		return
	}
	c.place.gone = true
	s.take(c)
	s.releaseHead(c)
	s.open--
	select {
	case s.room <- struct{}{}:
	default:
	}
}

// sweep closes the connections that have taken too long. Those with unread data are spared: the daemon is late, not the
// client.
func (s *Set) sweep(now time.Time) {
	limits := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	for phase, why := range map[connlimit.Phase]reason{connlimit.AtRest: reasonIdle, connlimit.InHead: reasonHeadTime} {
		for element := s.byPhase[phase].Front(); element != nil; {
			c := element.Value.(*conn)
			element = element.Next()
			if !limits.Expired(phase, now.Sub(c.place.since)) {
				break
			}
			if !network.HasUnread(c.Conn) {
				s.closeLocked(c, why)
			}
		}
	}
}

// count counts a connection that is closed for a limit, and logs it now and then. Connections at rest are closed in the
// normal course of things.
func (s *Set) count(why reason) {
	s.options.Observer.Count(MetricClosed, s.options.Name+"-"+string(why))
	if why == reasonIdle {
		return
	}
	s.logged.Do(func() {
		s.options.Log.WithFields(logrus.Fields{"event": "client-closed", "address": s.options.Name, "why": string(why),
			"max_connections": s.options.MaxConns, "held_heads": s.options.Memory.Held(membudget.Heads)}).Warn("connections closed for a limit; the metric counts all")
	})
}
