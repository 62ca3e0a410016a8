package balance

import (
	"slices"
	"time"
)

// Outcome is how a request to a server ended.
type Outcome int

// Values of Outcome.
const (
	// Answered requests got a complete response in time.
	Answered Outcome = iota
	// Shed requests were rejected by a server that is full.
	Shed
	// Failed requests got no usable response.
	Failed
	// Abandoned requests were given up by their caller: they say nothing about the server.
	Abandoned
	// HedgeLost requests were given up since another server answered first.
	HedgeLost
)

// HeadReceived records that the head of the response has arrived.
func (c *Choice) HeadReceived() {
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.headReceived {
		return
	}
	c.stopWaiting()
	updateMean(b.headLatencies, c.route, time.Since(c.sentAt).Seconds(), latencyWeight)
}

// stopWaiting removes the request from those without a response. It is called with the lock held.
func (c *Choice) stopWaiting() {
	if c.headReceived {
		return
	}
	c.headReceived = true
	if i := slices.Index(c.state.awaitingHead, c.sentAt); i >= 0 {
		c.state.awaitingHead = slices.Delete(c.state.awaitingHead, i, i+1)
	}
}

// Done records how the request ended. Only the first call has an effect.
func (c *Choice) Done(outcome Outcome) {
	if c.done {
		return
	}
	c.done = true
	b := c.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	s := c.state
	s.inFlight--
	b.callEnded(c.Server.Service)
	delete(s.calls, c)
	s.speed.Ended(c.sentAt)
	unresponsive := !c.headReceived && b.overdue(c.route, c.sentAt, now)
	c.stopWaiting()
	switch outcome {
	case Answered:
		s.failures = 0
		s.failedAt = time.Time{}
		s.ejectedUntil = time.Time{}
		c.observeSpeed(now)
		c.observeCost(now)
	case Shed:
		s.busyUntil = now.Add(shedBackoff)
	case Failed:
		s.failures++
		s.failedAt = now
		if until := now.Add(ejectionFor(s.failures, unresponsive, c.hasSpare)); until.After(s.ejectedUntil) {
			s.ejectedUntil = until
		}
	case HedgeLost:
		c.observeHedgeLost(now)
	case Abandoned:
	}
}

// ejectionFor returns how long a server is ejected after the given number of consecutive failures. unresponsive tells
// whether the last one waited too long for its response head, hasSpare whether there are more servers than the load
// needs.
func ejectionFor(failures int, unresponsive, hasSpare bool) time.Duration {
	switch {
	case unresponsive && hasSpare: // trying it again costs a request, avoiding it nothing
		return spareEjectTime
	case unresponsive: // it is probably dead, and the other daemons have to hear of it meanwhile
		return maxEject
	case failures >= ejectAfter:
		return min(ejectTime<<min(failures-ejectAfter, 4), maxEject)
	default:
		return 0
	}
}

// observeCost feeds the duration of a turn to the cost model of its service. It is called with the lock held.
func (c *Choice) observeCost(now time.Time) {
	if c.Generated == 0 {
		return
	}
	c.observed.Generated = c.Generated
	c.observed.Seconds = now.Sub(c.sentAt).Seconds()
	c.balancer.model(c.Server.Service).Observe(c.observed)
}

// updateMean moves an average towards a new value; the first value is taken as it is.
func updateMean(means map[string]float64, name string, value, weight float64) {
	mean, known := means[name]
	if !known {
		means[name] = value
		return
	}
	means[name] = mean + weight*(value-mean)
}
