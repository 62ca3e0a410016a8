package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
)

const (
	// leastSilence is how long every caller waits for the first event of a stream. A caller waits for silentObjectives
	// times the route's objective and silentGaps times its longest pause too, where those are longer: so the users'
	// pages say.
	leastSilence     = 2 * time.Second
	silentObjectives = 4
	silentGaps       = 8
	// lowestPriority is the route's rank that goes last.
	lowestPriority = 9
	// waitWorthALine is the shortest wait that is logged: most turns do not wait.
	waitWorthALine = time.Millisecond
)

// call returns what the dispatcher goes by.
func (s *stream) call(p prepared) *dispatch.Call {
	x := s.x
	c := &dispatch.Call{Service: x.service, Route: x.route.Name, ProgramStarted: p.begun, TimeBudget: p.aim,
		Priority: int32(max(0, lowestPriority-x.priority()))}
	x.look(&s.ask)
	c.Slots = s.ask.Slots
	c.UnloadedDuration = x.g.balancer.UnloadedDuration(&s.ask, x.info.LikelyOutputTokens)
	if x.info.TimeBudget > 0 {
		c.Deadline = x.arrived.Add(x.info.TimeBudget)
	}
	c.FirstEventBy = x.arrived.Add(max(leastSilence, silentObjectives*x.route.Objective, silentGaps*x.route.MaxGap))
	if !x.until.IsZero() && x.until.Before(c.FirstEventBy) {
		c.FirstEventBy = x.until
	}
	return c
}

// enter waits until the request may go to a server, or refuses it.
func (x *exchange) enter(c *dispatch.Call) *refusal {
	began := time.Now()
	err := x.g.gate.Acquire(x.ctx, c)
	waited := time.Since(began)
	if waited < waitWorthALine && err == nil {
		return nil
	}
	x.g.stats.wait(x.route.Name, waited)
	fields := logrus.Fields{"event": "wait", "id": x.info.ID, "route": x.route.Name, "begun": c.ProgramStarted, "ms": waited.Milliseconds(),
		"alone_ms": c.UnloadedDuration.Milliseconds(), "waiting": x.g.gate.Waiting(), "running": x.g.gate.Running(), "outcome": "let-go"}
	if !c.Deadline.IsZero() {
		fields["slack_ms"] = time.Until(c.Deadline.Add(-c.UnloadedDuration)).Milliseconds()
	}
	if err != nil {
		fields["outcome"] = "refused"
	}
	x.g.log.WithFields(fields).Info("turn waited for a place")
	if err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-place-in-time", retryAfter: jitter(x.g.gate.RetryAfter(c)), err: err}
	}
	return nil
}
