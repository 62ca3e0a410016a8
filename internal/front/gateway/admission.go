package gateway

import (
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
)

const (
	// minFirstEventWait, objectiveFactor and maxGapFactor give the time for which callers wait for the first event of
	// a stream: the longest of minFirstEventWait, objectiveFactor times the route's objective and maxGapFactor times
	// its MaxGap. The user documentation states these values.
	minFirstEventWait = 2 * time.Second
	objectiveFactor   = 4
	maxGapFactor      = 8
	// outputTokenCost is the work of generating a token relative to reading one.
	outputTokenCost = 10
	// minLoggedWait is the shortest wait that is logged, as most turns do not wait.
	minLoggedWait = time.Millisecond
)

// schedulerCall returns the request as the scheduler sees it.
func (s *stream) schedulerCall(p turnContext) *dispatch.Call {
	x := s.x
	c := &dispatch.Call{Service: x.serviceName, Route: x.route.Name, ProgramStarted: p.programStarted, TimeBudget: p.timeBudget,
		Level: x.level(), Organisation: x.organisationName(), Competing: x.table.Competing(), Tokens: outputTokenCost * x.requestInfo.LikelyOutputTokens}
	x.refreshServers(&s.balancerRequest)
	c.Slots = s.balancerRequest.Slots
	c.UnloadedDuration = x.g.balancer.UnloadedDuration(&s.balancerRequest, x.requestInfo.LikelyOutputTokens)
	if x.requestInfo.TimeBudget > 0 {
		c.Deadline = x.arrived.Add(x.requestInfo.TimeBudget)
	}
	c.FirstEventBy = x.arrived.Add(max(minFirstEventWait, objectiveFactor*x.route.Objective, maxGapFactor*x.route.MaxGap))
	if !x.deadline.IsZero() && x.deadline.Before(c.FirstEventBy) {
		c.FirstEventBy = x.deadline
	}
	return c
}

// waitForSlot waits until the scheduler admits the request, or returns a refusal.
func (x *exchange) waitForSlot(c *dispatch.Call) *refusal {
	began := time.Now()
	err := x.g.scheduler.Acquire(x.ctx, c)
	waited := time.Since(began)
	outcome := "let-go"
	if err != nil {
		outcome = "refused"
	}
	x.g.stats.admission(c.Level, outcome)
	if waited < minLoggedWait && err == nil {
		return nil
	}
	x.g.stats.wait(x.route.Name, waited)
	fields := logrus.Fields{"event": "wait", "id": x.requestInfo.ID, "route": x.route.Name, "begun": c.ProgramStarted, "ms": waited.Milliseconds(),
		"alone_ms": c.UnloadedDuration.Milliseconds(), "waiting": x.g.scheduler.Waiting(), "running": x.g.scheduler.Running(), "outcome": outcome,
		"level": c.Level, "organisation": c.Organisation}
	if !c.Deadline.IsZero() {
		fields["slack_ms"] = time.Until(c.Deadline.Add(-c.UnloadedDuration)).Milliseconds()
	}
	x.g.log.WithFields(fields).Info("turn waited for a slot")
	if err != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-place-in-time", retryAfter: jitter(x.g.scheduler.RetryAfter(c)), err: err}
	}
	return nil
}
