package gateway

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// silenceTime is how long a server shows no sign of life until an attempt that is given up then may have ended it.
const silenceTime = 300 * time.Millisecond

// failedAttempt is an attempt without a complete response.
type failedAttempt struct {
	choice          *balance.Choice
	sentAt, endedAt time.Time
	reason          string
	// connectionBroke is set unless the attempt was given up by this daemon.
	connectionBroke bool
	// suspected is set if the request had a permit: servers have ended under it before.
	suspected bool
}

// newFailedAttempt returns an attempt of which it has to be found out whether its server has ended, or nil if its server has
// responded.
func (x *exchange) newFailedAttempt(choice *balance.Choice, sentAt time.Time, failure *upstream.Failure) *failedAttempt {
	if failure.Verdict != verdict.MayHaveRun {
		return nil
	}
	a := &failedAttempt{choice: choice, sentAt: sentAt, endedAt: time.Now(), reason: failure.Reason}
	switch failure.Reason {
	case upstream.ReasonRead, upstream.ReasonWrite, upstream.ReasonMalformed, reasonRestarted:
		a.connectionBroke = x.ctx.Err() == nil // else it was closed here
		return a
	case upstream.ReasonTimeout, upstream.ReasonCanceled:
		return a
	default:
		return nil
	}
}

// reportFailure reports an attempt that failed, if its server has ended or may have. It waits until the other daemons know if the
// request may be sent to another server, or its caller is told of the failure and may repeat it.
func (x *exchange) reportFailure(choice *balance.Choice, sentAt time.Time, failure *upstream.Failure, mayGoOn bool) {
	stalled := x.stalled.take(choice.Server.ID)
	a := x.newFailedAttempt(choice, sentAt, failure)
	if a == nil {
		stalled.release()
		return
	}
	permit := x.permit.Swap(nil)
	known := make(chan struct{})
	ctx := context.WithoutCancel(x.ctx) // the server has ended also if the caller leaves now
	go func() {
		defer close(known)
		a.suspected = permit != nil
		x.reportEnd(ctx, a)
		x.g.quarantine.Release(permit)
		stalled.release()
	}()
	if !mayGoOn && !a.connectionBroke {
		return // the caller has waited long enough, or has left
	}
	select {
	case <-known:
	case <-x.ctx.Done():
	}
}

// reportEnd finds out what can be known of the server of a failed attempt, and reports it.
func (x *exchange) reportEnd(ctx context.Context, a *failedAttempt) {
	if !a.connectionBroke {
		heardAt := x.g.quarantine.LastHeard(a.choice.Server.ID)
		silent := a.endedAt.Sub(later(a.sentAt, heardAt)) >= silenceTime || a.suspected && !heardAt.After(a.sentAt)
		x.reportOpen(ctx, a, quarantine.Silent, silent && !x.answered.Load())
		return
	}
	if a.reason == reasonRestarted {
		x.reportRecognised(ctx, a, quarantine.Restarted)
		return
	}
	to := endpoint(&a.choice.Server)
	result := x.g.sender.Probe(ctx, to, x.connectionLimit(&a.choice.Server))
	if result == upstream.Alive && !x.g.sender.HasOlder(to, a.sentAt) {
		result = upstream.Listening
	}
	x.g.stats.brokenAttempt(string(result))
	switch result {
	case upstream.Ended:
		x.reportRecognised(ctx, a, quarantine.Refused)
	case upstream.Alive:
		x.reportOpen(ctx, a, quarantine.Broken, false) // it may end soon
	case upstream.Listening:
		x.reportOpen(ctx, a, quarantine.Broken, true)
	case upstream.Unknown:
		x.reportOpen(ctx, a, quarantine.Silent, true)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (x *exchange) endOf(a *failedAttempt, evidence quarantine.Evidence) quarantine.End {
	return quarantine.End{Server: a.choice.Server.ID, Attempt: x.requestInfo.ID, SentAt: a.sentAt, EndedAt: a.endedAt, Evidence: evidence}
}

// reportRecognised reports that the server of a failed attempt has ended.
func (x *exchange) reportRecognised(ctx context.Context, a *failedAttempt, evidence quarantine.Evidence) {
	x.logEnd("server-ended", a, evidence).Warn("server ended while it ran a request")
	x.g.quarantine.ServerEnded(ctx, x.keys, x.owner(), x.endOf(a, evidence))
}

// reportOpen reports that the server of a failed attempt may have ended. The end counts while that is open if counts is set.
func (x *exchange) reportOpen(ctx context.Context, a *failedAttempt, evidence quarantine.Evidence, counts bool) {
	if counts {
		x.logEnd("server-fate-open", a, evidence).Info("attempt failed; its server may have ended")
	}
	x.g.quarantine.AttemptFailed(ctx, quarantine.Suspect{Keys: x.keys, Owner: x.owner(), End: x.endOf(a, evidence), Counts: counts})
}

func (x *exchange) logEnd(event string, a *failedAttempt, evidence quarantine.Evidence) logrus.FieldLogger {
	return x.g.log.WithFields(logrus.Fields{"event": event, "id": x.requestInfo.ID, "server": a.choice.Server.ID, "content": x.identity(),
		"reason": a.reason, "evidence": evidence, "ms": a.endedAt.Sub(a.sentAt).Milliseconds(), "in_flight": a.choice.InFlight,
		"list_age_ms": x.g.quarantine.ListAge().Milliseconds()})
}
