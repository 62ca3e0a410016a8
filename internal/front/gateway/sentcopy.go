package gateway

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// stallTime is how long a server shows no sign of life until other daemons are told of the request that it got: this daemon may end
// before it is known whether the server has.
const stallTime = 500 * time.Millisecond

// sentCopy is a copy of a request at a server. It is watched until the server is known to have outlived it, also when the request has
// ended: it does not refer to the request and its memory.
type sentCopy struct {
	quarantine.Copy
	g        *Gateway
	to       upstream.Endpoint
	limit    int
	inFlight int
	// healthPath is that of the server's service.
	healthPath string

	mu sync.Mutex
	// over is set once the copy has ended or was given up. timer looks at the server until then.
	over  bool
	timer *time.Timer
	// permit is that of the copy, or the one by which other daemons were told of it; nil if there is none.
	permit *quarantine.Permit
}

// sentCopies are the copies of one request of which more is expected, by server.
type sentCopies struct {
	mu       sync.Mutex
	byServer map[incarnation.ID]*sentCopy
}

// newCopy returns a copy of the request that is sent now, with the permit that the request has got for it.
func (x *exchange) newCopy(choice *balance.Choice) *sentCopy {
	return &sentCopy{
		Copy: quarantine.Copy{Keys: x.keys, Owner: x.owner(), Server: choice.Server.ID, Attempt: x.requestInfo.ID, SentAt: time.Now(), Left: x.timeLeft()},
		g:    x.g, to: endpoint(&choice.Server), limit: x.connectionLimit(&choice.Server), inFlight: choice.InFlight, healthPath: x.healthPath(&choice.Server), permit: x.permit.Swap(nil),
	}
}

// watch tells other daemons of the copy while its server shows no sign of life for stallTime. Those that have given a permit know of it.
func (c *sentCopy) watch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.permit == nil {
		c.timer = time.AfterFunc(stallTime, c.look)
	}
}

// look tells other daemons whether the server shows no sign of life, and looks again later.
func (c *sentCopy) look() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return
	}
	silentFor := time.Since(later(c.SentAt, c.g.quarantine.LastHeard(c.Server)))
	switch {
	case silentFor < stallTime && c.permit != nil:
		c.g.quarantine.Release(c.permit)
		c.permit = nil
	case silentFor >= stallTime && c.permit == nil:
		copied := c.Copy
		copied.Left = max(0, c.Left-time.Since(c.SentAt))
		c.permit = c.g.quarantine.Stalled(&copied)
	}
	pause := stallTime
	if silentFor < stallTime {
		pause -= silentFor
	}
	c.timer.Reset(pause)
}

// finish ends the watch and returns the permit of the copy, which is to be released.
func (c *sentCopy) finish() *quarantine.Permit {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.timer != nil {
		c.timer.Stop()
	}
	c.over = true
	permit := c.permit
	c.permit = nil
	return permit
}

// outlived records that the server has outlived the copy, or never ran it. The copy may be nil.
func (c *sentCopy) outlived() {
	if c != nil {
		c.g.quarantine.Release(c.finish())
	}
}

// keep adds a copy of which more is expected.
func (s *sentCopies) keep(c *sentCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byServer == nil {
		s.byServer = map[incarnation.ID]*sentCopy{}
	}
	s.byServer[c.Server] = c
}

// take returns the copy at a server and forgets it, or nil.
func (s *sentCopies) take(server incarnation.ID) *sentCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.byServer[server]
	delete(s.byServer, server)
	return c
}

// end returns the end of the copy's server.
func (c *sentCopy) end(endedAt time.Time, evidence quarantine.Evidence) quarantine.End {
	return quarantine.End{Server: c.Server, Attempt: c.Attempt, SentAt: c.SentAt, EndedAt: endedAt, Evidence: evidence}
}

func (c *sentCopy) logEnd(event, reason string, evidence quarantine.Evidence) logrus.FieldLogger {
	return c.g.log.WithFields(logrus.Fields{"event": event, "id": c.Attempt, "server": c.Server, "content": c.Keys[len(c.Keys)-1],
		"reason": reason, "evidence": evidence, "ms": time.Since(c.SentAt).Milliseconds(), "in_flight": c.inFlight,
		"list_age_ms": c.g.quarantine.ListAge().Milliseconds()})
}
