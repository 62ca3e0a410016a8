package balance

import (
	"context"
	"errors"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// ErrRestarted is the cause with which calls end whose server has started again.
var ErrRestarted = errors.New("the server has started again")

// CancelOnRestart lets the choice's call be cancelled with ErrRestarted once the server is known to have started again: the start
// that was asked will never answer. Without it a call at a server that crashed behind a cut is silent until its deadline.
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

// ServerStarted takes note of a server's start, and cancels the calls at earlier ones. It returns how many those were. A start
// that seems earlier than one with calls leaves them alone: the clock of the server's VM may have been set back, or the
// word is old; those calls end as before, with their answer or their time.
func (b *Balancer) ServerStarted(id incarnation.ID) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	cancelled := 0
	for other, s := range b.states {
		if other.Server != id.Server || other.Born == 0 || other.Born >= id.Born {
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
