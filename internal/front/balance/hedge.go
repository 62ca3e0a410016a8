package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/decide/speed"
)

const (
	// unresponsiveFactor is how many times the route's mean time to the response head a request may wait before its
	// server counts as unresponsive; at least unresponsiveMin, which exceeds the delays of a busy VM.
	unresponsiveFactor = 6
	unresponsiveMin    = 250 * time.Millisecond
	// hedgeFactor and hedgeMin are the same for asking another server too, where a request may run twice.
	hedgeFactor = 4
	hedgeMin    = 60 * time.Millisecond
	// hedgeDefault applies before a route's mean is known.
	hedgeDefault = 300 * time.Millisecond
)

// unresponsive reports whether the server's oldest request without a response head is overdue.
func (b *Balancer) unresponsive(route string, s *serverState, now time.Time) bool {
	if len(s.awaitingHead) == 0 {
		return false
	}
	return b.overdue(route, s.awaitingHead[0], now)
}

// overdue reports whether a request sent at the given time has waited for the response head much longer than usual.
func (b *Balancer) overdue(route string, sent, now time.Time) bool {
	limit := max(unresponsiveMin, time.Duration(unresponsiveFactor*b.headLatencies[route]*float64(time.Second)))
	return now.Sub(sent) > limit
}

// HedgeAfter returns how long to wait for the response head before another server is asked too.
func (b *Balancer) HedgeAfter(route string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	mean := b.headLatencies[route]
	if mean == 0 {
		return hedgeDefault
	}
	return max(hedgeMin, time.Duration(hedgeFactor*mean*float64(time.Second)))
}

// HedgeAfter does the same for the server that was chosen, as its speed lets expect: a server that is always somewhat
// slower than others is not hedged the more for it.
func (c *Choice) HedgeAfter() time.Duration {
	after := c.balancer.HedgeAfter(c.route)
	if !c.hasAlternative {
		return after
	}
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	return time.Duration(float64(after) * speed.HedgeFactor(c.balancer.speedOf(c.state, time.Now())))
}
