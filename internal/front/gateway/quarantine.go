package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
)

// Quarantine knows which requests end servers. Requests are given by the keys of their content.
type Quarantine interface {
	// AwaitSync returns once a daemon that has started knows what the others do, or has waited long enough for it.
	AwaitSync(ctx context.Context)
	State(keys []quarantine.Key) quarantine.State
	// Admit returns once a copy of a request may be sent, or with a state that refuses it. left is the time until the request's
	// deadline. Release returns the permit.
	Admit(ctx context.Context, keys []quarantine.Key, owner quarantine.Owner, left time.Duration) (*quarantine.Permit, quarantine.State)
	Release(*quarantine.Permit)
	// Sent reports where a copy with a permit is sent, and returns once that is known elsewhere. Stalled reports a copy without a
	// permit whose server has shown no sign of life, and returns a permit to release, or nil.
	Sent(ctx context.Context, permit *quarantine.Permit, copied *quarantine.Copy)
	Stalled(copied *quarantine.Copy) *quarantine.Permit
	// GivenUp reports a copy that was given up, before its server is known to have outlived it; Decided ends that and releases its
	// permit. If tell is not set, or once ServerAnswered is called, it counts elsewhere only when servers have ended under the request.
	GivenUp(copied *quarantine.Copy, permit *quarantine.Permit, tell bool) *quarantine.AtRisk
	ServerAnswered(*quarantine.AtRisk)
	Decided(*quarantine.AtRisk)
	// Outlived reports that a server has outlived an attempt, TakeBack that an end was reported before.
	Outlived(server incarnation.ID, attempt string)
	TakeBack(copied *quarantine.Copy)
	// ServerEnded reports that a server ended while it ran a request, AttemptFailed that it may have. They return once that is
	// known elsewhere.
	ServerEnded(ctx context.Context, keys []quarantine.Key, owner quarantine.Owner, end quarantine.End) quarantine.State
	AttemptFailed(context.Context, quarantine.Suspect) quarantine.State
	// ServerNews reports that a server has ended.
	ServerNews(server incarnation.ID, evidence quarantine.Evidence)
	// Answered reports that a request was answered well, Responded that a server has responded to some request that was sent
	// at a time on a connection that was opened at another, Heard that a part of a response has arrived.
	Answered(keys []quarantine.Key, owner quarantine.Owner)
	Responded(server incarnation.ID, sentAt, connectedAt time.Time)
	Heard(server incarnation.ID)
	LastHeard(server incarnation.ID) time.Time
	// ListAge returns the time since the list of servers was last known, which decides what is open.
	ListAge() time.Duration
}

const (
	// reasonQuarantined is the refusal reason of requests under which too many servers have ended.
	reasonQuarantined = "quarantined"
	// reasonEndsUnsure is that of requests under which too many servers may have ended, until that is known.
	reasonEndsUnsure = "server-ends-unsure"
)

// notQuarantined refuses requests under which too many servers have ended.
func notQuarantined(x *exchange) *refusal {
	x.g.quarantine.AwaitSync(x.ctx)
	x.quarantine = x.g.quarantine.State(x.keys)
	if x.quarantine.Quarantined {
		return x.quarantineRefusal(nil)
	}
	return nil
}

// admit reports whether the request may be sent to a server now. It waits while too many copies of a suspected request are in
// flight.
func (x *exchange) admit() bool {
	x.releasePermit()
	permit, state := x.g.quarantine.Admit(x.ctx, x.keys, x.owner(), x.timeLeft())
	x.permit.Store(permit)
	x.quarantine = state
	return !state.Quarantined
}

// mayHedge reports whether a second copy of the request may be sent beside the first.
func (x *exchange) mayHedge() bool { return !x.g.quarantine.State(x.keys).Suspect }

// releasePermit returns the permit of a copy that was not sent, if there is one.
func (x *exchange) releasePermit() {
	x.g.quarantine.Release(x.permit.Swap(nil))
}

// quarantineRefusal is for requests that did not run. Their caller may come back when the quarantine is over.
func (x *exchange) quarantineRefusal(err error) *refusal {
	reason := reasonQuarantined
	if x.quarantine.Unsure {
		reason = reasonEndsUnsure
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: time.Until(x.quarantine.Until), err: err}
}

// owner identifies the organisation of the caller.
func (x *exchange) owner() quarantine.Owner { return quarantine.OwnerOf(x.organisationName()) }

// addQuarantine adds to a log line why a request was not sent, or not sent again.
func (x *exchange) addQuarantine(fields logrus.Fields) {
	if !x.quarantine.Quarantined {
		return
	}
	fields["content"] = x.identity()
	fields["ends"], fields["ended_servers"] = len(x.quarantine.Ends), x.quarantine.Servers()
	fields["ends_open"], fields["evidence"] = x.quarantine.Open(), x.quarantine.Evidence()
	fields["knowledge_age_ms"] = x.quarantine.Age(time.Now()).Milliseconds()
	fields["list_age_ms"] = x.g.quarantine.ListAge().Milliseconds()
	fields["refused_for_ms"] = time.Until(x.quarantine.Until).Milliseconds()
}
