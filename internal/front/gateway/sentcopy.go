package gateway

import (
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
)

// stallTime is how long a server shows no sign of life until other daemons are told of the request that it got: this daemon may end
// before it is known whether the server has.
const stallTime = 500 * time.Millisecond

// stalledCopy is a copy of a request at a server, of which other daemons are told if the server shows no sign of life.
type stalledCopy struct {
	quarantine Quarantine
	timer      *time.Timer

	mu sync.Mutex
	// over is set once the copy has ended. permit is that of the copy if others were told.
	over   bool
	permit *quarantine.Permit
}

// stalledCopies are the copies of one request that have failed, and of which other daemons know, by server.
type stalledCopies struct {
	mu       sync.Mutex
	byServer map[incarnation.ID]*stalledCopy
}

func (x *exchange) copyTo(choice *balance.Choice, sentAt time.Time) *quarantine.Copy {
	return &quarantine.Copy{Keys: x.keys, Owner: x.owner(), Server: choice.Server.ID, Attempt: x.requestInfo.ID, SentAt: sentAt, Left: x.timeLeft()}
}

// watchCopy tells other daemons of a copy once its server has shown no sign of life for stallTime.
func (x *exchange) watchCopy(choice *balance.Choice, sentAt time.Time) *stalledCopy {
	s := &stalledCopy{quarantine: x.g.quarantine}
	s.timer = time.AfterFunc(stallTime, func() {
		if s.quarantine.LastHeard(choice.Server.ID).After(sentAt) {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if !s.over {
			s.permit = s.quarantine.Stalled(x.copyTo(choice, sentAt))
		}
	})
	return s
}

// finish ends the watch, and reports whether other daemons have been told of the copy.
func (s *stalledCopy) finish() bool {
	s.timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	return s.permit != nil
}

// release tells other daemons that nothing more is to be known of the copy. It may be nil.
func (s *stalledCopy) release() {
	if s != nil && s.finish() {
		s.quarantine.Release(s.permit)
	}
}

// keep keeps a copy that has failed until its failure is reported.
func (c *stalledCopies) keep(server incarnation.ID, s *stalledCopy) {
	if s == nil || !s.finish() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byServer == nil {
		c.byServer = map[incarnation.ID]*stalledCopy{}
	}
	c.byServer[server] = s
}

// take returns a copy that was kept and forgets it, or nil.
func (c *stalledCopies) take(server incarnation.ID) *stalledCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byServer[server]
	delete(c.byServer, server)
	return s
}
