package balance

import (
	"context"
	"errors"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// ErrRestarted is the cancellation cause of calls whose server has restarted.
var ErrRestarted = errors.New("server restarted")

// CancelOnRestart registers the function that cancels the choice's call with ErrRestarted once the server is known to
// have restarted: the start that got the call will never answer. Without it a call to a server that crashed behind a
// network partition would wait until its deadline.
func (c *Choice) CancelOnRestart(cancel context.CancelCauseFunc) {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state.restarted {
		cancel(ErrRestarted)
		return
	}
	if c.state.calls == nil {
		c.state.calls = map[*Choice]context.CancelCauseFunc{}
	}
	c.state.calls[c] = cancel
}

// ServerStarted records a server's start, cancels the calls to earlier starts, and returns how many those were. Calls
// to a start that seems later stay: the clock of the server's VM may have been set back, or the report is old.
func (b *Balancer) ServerStarted(id incarnation.ID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancelled := 0
	for other, s := range b.states {
		if !other.StartedBefore(id) {
			continue
		}
		s.restarted = true
		for c, cancel := range s.calls {
			cancel(ErrRestarted)
			delete(s.calls, c)
			cancelled++
		}
	}
	return cancelled
}
