// Package tunnel carries connections between two daemons that can't reach one another through a third that
// reaches both.
//
// The dialer sends the address that it wants and a line feed; what follows is copied both ways.
package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/transport/network"
)

// Error is the class of this package's errors.
var Error = errs.Class("tunnel")

const (
	// greetingTimeout bounds how long the address may take to come.
	greetingTimeout = time.Second
	// greetingBytes bounds the address.
	greetingBytes = 64
	// maxTunnels bounds what one daemon carries for others; each takes two descriptors.
	maxTunnels = 64
	// tries is how many helpers are asked before a dial fails.
	tries = 3
)

// Dialer connects through helpers.
type Dialer struct {
	dial    network.DialContext
	self    string
	helpers atomic.Pointer[[]string]
}

// NewDialer returns a dialer without helpers. self is this daemon's own address, which is never a helper.
func NewDialer(dial network.DialContext, self string) *Dialer {
	d := &Dialer{dial: dial, self: self}
	d.helpers.Store(&[]string{})
	return d
}

// SetRelays tells which daemons may carry connections.
func (d *Dialer) SetRelays(addresses []string) { d.helpers.Store(&addresses) }

// Dial connects to an address through one of the helpers.
func (d *Dialer) Dial(ctx context.Context, kind, address string) (net.Conn, error) {
	helpers := *d.helpers.Load()
	problems := []error{Error.New("no daemon carries a connection to %s", address)}
	for tried, i := range rand.Perm(len(helpers)) {
		if tried == tries || ctx.Err() != nil {
			break
		}
		if helpers[i] == d.self {
			continue
		}
		conn, err := d.dial(ctx, kind, helpers[i])
		if err != nil {
			problems = append(problems, err)
			continue
		}
		if _, err := io.WriteString(conn, address+"\n"); err != nil {
			problems = append(problems, err, conn.Close())
			continue
		}
		return conn, nil
	}
	return nil, errors.Join(problems...)
}

// Server carries connections for others.
type Server struct {
	dial network.DialContext
	// allowed tells whether an address may be connected to: only other daemons' are.
	allowed func(address string) bool
	log     logrus.FieldLogger
	open    atomic.Int64
}

// NewServer returns a server.
func NewServer(dial network.DialContext, allowed func(address string) bool, log logrus.FieldLogger) *Server {
	return &Server{dial: dial, allowed: allowed, log: log}
}

// Serve carries connections that come to a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.carry(conn)
	}
}

func (s *Server) carry(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.open.Add(1) > maxTunnels {
		s.open.Add(-1)
		s.log.WithFields(logrus.Fields{"event": "tunnel-refused", "from": conn.RemoteAddr(), "why": "too many"}).Warn("connection not carried")
		return
	}
	defer s.open.Add(-1)
	_ = conn.SetReadDeadline(time.Now().Add(greetingTimeout)) // a connection in memory has none
	reader := bufio.NewReaderSize(conn, greetingBytes)
	line, err := reader.ReadSlice('\n')
	address := strings.TrimSuffix(string(line), "\n")
	if err != nil || !s.allowed(address) {
		s.log.WithFields(logrus.Fields{"event": "tunnel-refused", "from": conn.RemoteAddr(), "to": address, "error": err}).Warn("connection not carried")
		return
	}
	_ = conn.SetReadDeadline(time.Time{}) // as above
	ctx, cancel := context.WithTimeout(context.Background(), greetingTimeout)
	defer cancel()
	far, err := s.dial(ctx, "tcp", address)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "tunnel-failed", "to": address, "error": err}).Warn("connection not carried")
		return
	}
	s.log.WithFields(logrus.Fields{"event": "tunnel", "from": conn.RemoteAddr(), "to": address}).Info("carrying a connection")
	splice(conn, reader, far)
}

// splice copies both ways until either side ends.
func splice(near net.Conn, fromNear io.Reader, far net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(far, fromNear) // the end of either side ends both
		_ = far.Close()
	})
	_, _ = io.Copy(near, far) // as above
	_ = near.Close()
	_ = far.Close()
	wg.Wait()
}
