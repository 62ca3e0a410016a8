// Package tunnel relays connections between two daemons that can't reach each other through a third one that reaches
// both.
//
// The client sends the target address and a line feed; all further bytes are copied in both directions.
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
	// greetingTimeout limits the receipt of the target address, and the dial to it.
	greetingTimeout = time.Second
	// greetingBytes limits the length of the target address.
	greetingBytes = 64
	// maxTunnels limits the connections that one daemon relays; each takes two descriptors.
	maxTunnels = 64
	// maxAttempts is the number of relays tried by one dial.
	maxAttempts = 3
)

// Dialer connects through relays.
type Dialer struct {
	dial   network.DialContext
	self   string
	relays atomic.Pointer[[]string]
}

// NewDialer returns a dialer without relays. self is this daemon's own address, which is never used as a relay.
func NewDialer(dial network.DialContext, self string) *Dialer {
	d := &Dialer{dial: dial, self: self}
	d.relays.Store(&[]string{})
	return d
}

// SetRelays sets the addresses of the daemons that may relay connections.
func (d *Dialer) SetRelays(addresses []string) { d.relays.Store(&addresses) }

// Dial connects to an address through one of the relays, chosen at random.
func (d *Dialer) Dial(ctx context.Context, kind, address string) (net.Conn, error) {
	relays := *d.relays.Load()
	problems := []error{Error.New("no daemon relays a connection to %s", address)}
	for attempt, i := range rand.Perm(len(relays)) {
		if attempt == maxAttempts || ctx.Err() != nil {
			break
		}
		if relays[i] == d.self {
			continue
		}
		conn, err := d.dial(ctx, kind, relays[i])
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

// Server relays connections for other daemons.
type Server struct {
	dial network.DialContext
	// isAllowed reports whether an address may be dialled: only those of other daemons.
	isAllowed func(address string) bool
	log       logrus.FieldLogger
	open      atomic.Int64
}

// NewServer returns a server that dials only allowed addresses.
func NewServer(dial network.DialContext, isAllowed func(address string) bool, log logrus.FieldLogger) *Server {
	return &Server{dial: dial, isAllowed: isAllowed, log: log}
}

// Serve relays the connections of a listener until it is closed.
func (s *Server) Serve(listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.relay(conn)
	}
}

func (s *Server) relay(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	if s.open.Add(1) > maxTunnels {
		s.open.Add(-1)
		s.log.WithFields(logrus.Fields{"event": "tunnel-refused", "from": conn.RemoteAddr(), "why": "too many"}).Warn("connection not relayed")
		return
	}
	defer s.open.Add(-1)
	_ = conn.SetReadDeadline(time.Now().Add(greetingTimeout)) // in-memory connections have no deadline
	reader := bufio.NewReaderSize(conn, greetingBytes)
	line, err := reader.ReadSlice('\n')
	address := strings.TrimSuffix(string(line), "\n")
	if err != nil || !s.isAllowed(address) {
		s.log.WithFields(logrus.Fields{"event": "tunnel-refused", "from": conn.RemoteAddr(), "to": address, "error": err}).Warn("connection not relayed")
		return
	}
	_ = conn.SetReadDeadline(time.Time{}) // as above
	ctx, cancel := context.WithTimeout(context.Background(), greetingTimeout)
	defer cancel()
	far, err := s.dial(ctx, "tcp", address)
	if err != nil {
		s.log.WithFields(logrus.Fields{"event": "tunnel-failed", "to": address, "error": err}).Warn("connection not relayed")
		return
	}
	s.log.WithFields(logrus.Fields{"event": "tunnel", "from": conn.RemoteAddr(), "to": address}).Info("relaying a connection")
	splice(conn, reader, far)
}

// splice copies in both directions until either side ends.
func splice(near net.Conn, fromNear io.Reader, far net.Conn) {
	var wg sync.WaitGroup
	wg.Go(func() {
		_, _ = io.Copy(far, fromNear) // the end of either side closes both
		_ = far.Close()
	})
	_, _ = io.Copy(near, far) // as above
	_ = near.Close()
	_ = far.Close()
	wg.Wait()
}
