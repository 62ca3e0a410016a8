package gateway

import (
	"context"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// silenceTime is how long a server shows no sign of life until an attempt that is given up then may have ended it.
const silenceTime = 300 * time.Millisecond

// failureKind is what a failed attempt leaves open.
type failureKind int

const (
	// serverResponded means that the server has responded.
	serverResponded failureKind = iota
	// connectionBroke means that the connection to the server broke.
	connectionBroke
	// givenUp means that this daemon gave the attempt up.
	givenUp
)

func (x *exchange) kindOf(failure *upstream.Failure) failureKind {
	if failure.Verdict != verdict.MayHaveRun {
		return serverResponded
	}
	switch failure.Reason {
	case upstream.ReasonRead, upstream.ReasonWrite, upstream.ReasonMalformed, reasonRestarted:
		if x.ctx.Err() != nil {
			return givenUp // the connection was closed here
		}
		return connectionBroke
	case upstream.ReasonTimeout, upstream.ReasonCanceled:
		return givenUp
	default:
		return serverResponded
	}
}

// reportFailure reports an attempt that failed, if its server has ended or may have. It waits until the other daemons know if the
// request may be sent to another server, or its caller is told of the failure and may repeat it.
func (x *exchange) reportFailure(choice *balance.Choice, failure *upstream.Failure, mayGoOn bool) {
	c := x.copies.take(choice.Server.ID)
	if c == nil {
		return
	}
	kind := x.kindOf(failure)
	if kind == serverResponded {
		c.outlived()
		return
	}
	known := make(chan struct{})
	ctx := context.WithoutCancel(x.ctx) // the server has ended also if the caller leaves now
	if kind == givenUp {
		go c.watchGivenUp(ctx, failure.Reason, !x.answered.Load(), func() { close(known) })
	} else {
		go func() {
			defer close(known)
			c.reportBroken(ctx, failure.Reason, time.Now())
			c.outlived() // what is known of its server is reported
		}()
	}
	if !mayGoOn && kind == givenUp {
		return // the caller has waited long enough, or has left
	}
	select {
	case <-known:
	case <-x.ctx.Done():
	}
}

// reportBroken finds out what can be known of the server of a copy whose connection broke, and reports it.
func (c *sentCopy) reportBroken(ctx context.Context, reason string, brokeAt time.Time) {
	if reason == reasonRestarted {
		c.reportRecognised(ctx, reason, c.end(brokeAt, quarantine.Restarted))
		return
	}
	result := c.g.sender.Probe(ctx, c.to, c.limit)
	if result == upstream.Alive && !c.g.sender.HasOlder(c.to, c.SentAt) {
		result = upstream.Listening
	}
	c.g.stats.brokenAttempt(string(result))
	switch result {
	case upstream.Ended:
		c.reportRecognised(ctx, reason, c.end(brokeAt, quarantine.Refused))
	case upstream.Alive:
		c.reportOpen(ctx, reason, c.end(brokeAt, quarantine.Broken), false) // it may end soon
	case upstream.Listening:
		c.reportOpen(ctx, reason, c.end(brokeAt, quarantine.Broken), true)
	default:
		c.reportOpen(ctx, reason, c.end(brokeAt, quarantine.Silent), true)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// reportRecognised reports that the server of a copy has ended.
func (c *sentCopy) reportRecognised(ctx context.Context, reason string, end quarantine.End) {
	c.logEnd("server-ended", reason, end.Evidence).Warn("server ended while it ran a request")
	c.g.quarantine.ServerEnded(ctx, c.Keys, c.Owner, end)
}

// reportOpen reports that the server of a copy may have ended. The end counts while that is open if counts is set.
func (c *sentCopy) reportOpen(ctx context.Context, reason string, end quarantine.End, counts bool) {
	if counts {
		c.logEnd("server-fate-open", reason, end.Evidence).Info("attempt failed; its server may have ended")
	}
	c.g.quarantine.AttemptFailed(ctx, quarantine.Suspect{Keys: c.Keys, Owner: c.Owner, End: end, Counts: counts})
}
