package balance

import (
	"slices"
	"time"
)

// Outcome is how a request at a server ended.
type Outcome int

// The outcomes.
const (
	// Answered requests got a whole answer in time.
	Answered Outcome = iota
	// Shed requests were turned away by a server that is full.
	Shed
	// Failed requests got no usable answer.
	Failed
	// Abandoned requests were given up by their caller: they tell nothing of the server.
	Abandoned
	// HedgeLost requests were given up since another server answered first.
	HedgeLost
)

// HeadReceived tells that the head of the answer is there.
func (c *Choice) HeadReceived() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.responded {
		return
	}
	c.stopWaiting()
	blend(b.heads, c.route, time.Since(c.began).Seconds(), headWeight)
}

// stopWaiting takes the request off those without an answer. It is called with the lock held.
func (c *Choice) stopWaiting() {
	if c.responded {
		return
	}
	c.responded = true
	if i := slices.Index(c.state.waiting, c.began); i >= 0 {
		c.state.waiting = slices.Delete(c.state.waiting, i, i+1)
	}
}

// Done tells how the request ended.
func (c *Choice) Done(outcome Outcome) {
	if c.settled {
		return
	}
	c.settled = true
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := c.state
	s.count(now, -1)
	b.ended(c.Server.Service)
	delete(s.calls, c)
	silent := !c.responded && b.tooLong(c.route, c.began, now)
	c.stopWaiting()
	switch outcome {
	case Answered:
		s.failures = 0
		s.failedAt = time.Time{}
		s.ejectedUntil = time.Time{}
		b.learn(c.route, s, now.Sub(c.began).Seconds())
		c.teach(now)
	case Shed:
		s.busyUntil = now.Add(busyTime)
	case Failed:
		s.failures++
		s.failedAt = now
		if until := now.Add(ejectionFor(s.failures, silent, c.spare)); until.After(s.ejectedUntil) {
			s.ejectedUntil = until
		}
	case HedgeLost:
		b.learn(c.route, s, now.Sub(c.began).Seconds())
	case Abandoned:
	}
}

// ejectionFor returns how long a server is passed over after so many failures in a row, the last of them in silence or not;
// spare tells that there are more servers than the work needs.
func ejectionFor(failures int, silent, spare bool) time.Duration {
	switch {
	case silent && spare: // to try it again costs a request, and to leave it alone nothing
		return spareEject
	case silent: // it is more likely dead than unlucky, and the other daemons should hear of it for a while
		return maxEject
	case failures >= ejectAfter:
		return min(ejectTime<<min(failures-ejectAfter, 4), maxEject)
	default:
		return 0
	}
}

// teach tells the service's model what a turn took. It is called with the lock held.
func (c *Choice) teach(now time.Time) {
	if c.Generated == 0 {
		return
	}
	c.observed.Generated = c.Generated
	c.observed.Seconds = now.Sub(c.began).Seconds()
	c.balancer.model(c.Server.Service).Observe(c.observed)
}

// learn compares an answer's time with its route's. It is called with the lock held.
func (b *Balancer) learn(route string, s *state, seconds float64) {
	s.pace.Observe(seconds, b.means[route])
	blend(b.means, route, seconds, headWeight)
}

// blend moves a mean towards a new value; the first value is taken whole.
func blend(means map[string]float64, name string, value, weight float64) {
	mean, known := means[name]
	if !known {
		means[name] = value
		return
	}
	means[name] = mean + weight*(value-mean)
}
