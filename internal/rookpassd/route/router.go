// Package route brings a request to the daemon that owns its program, and again to the next owner when the
// first one is gone. That is safe for every request: the owner knows by program, sequence and request id what
// has run.
package route

import (
	"context"
	"math/rand/v2"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/time/rate"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Local serves the partitions of this daemon; *holder.Holder implements it.
type Local interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error
}

// Forwarder brings a request to another daemon.
type Forwarder interface {
	// Forward returns whether any byte of the request may have left, with the error.
	Forward(ctx context.Context, address string, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) (left bool, err error)
}

// Times of the router.
const (
	// patience is how long a request waits for an owner.
	patience = 15 * time.Second
	// firstPause and maxPause bound the time between attempts; each is spread by as much again.
	firstPause = 20 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	// noOwnerRetry is what a caller is told when no owner was found.
	noOwnerRetry = time.Second
)

// Retry budget of one daemon: attempts beyond each request's first.
const (
	retriesPerSecond = 200
	retryBurst       = 1000
)

// Options of a Router.
type Options struct {
	Incarnation string
	Partitions  uint32
	Tracker     *cluster.Tracker
	Local       Local
	Forwarder   Forwarder
	Tracer      trace.Tracer
}

// Router routes requests. Use New.
type Router struct {
	Options
	retries *rate.Limiter
}

// New returns a router.
func New(options Options) *Router {
	return &Router{Options: options, retries: rate.NewLimiter(retriesPerSecond, retryBurst)}
}

// Execute runs a request at its program's owner. While there is none, or it is just changing, the request
// waits; once the router gives up, the answer says whether the request may have run.
func (r *Router) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error {
	number := program.PartitionOf(req.ProgramId, r.Partitions)
	giveUp := time.Now().Add(patience)
	mayHaveRun := false
	var last error
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !r.retries.Allow() {
			return gaveUp(mayHaveRun, verdict.Overloaded, "retry budget of this daemon is used up", last)
		}
		changed := r.Tracker.Changed()
		owner, found := r.Tracker.View().Owner(number)
		if found {
			left, err := r.attempt(ctx, owner, req, send)
			if !again(err) {
				return err
			}
			mayHaveRun = mayHaveRun || left
			last = err
		}
		if ctx.Err() != nil || time.Now().After(giveUp) {
			return gaveUp(mayHaveRun, verdict.Unavailable, "no owner of the program answered", last)
		}
		r.pause(ctx, attempt, found, changed)
	}
}

// again tells whether another owner may answer what this one did not.
func again(err error) bool {
	return err != nil && (verdict.IsCode(err, verdict.NotOwner) || verdict.IsCode(err, errForward))
}

// errForward is the code of a forward that broke; it never reaches a caller.
const errForward verdict.Code = "FORWARD_BROKE"

// ForwardError returns the error of a forward that got no whole answer.
func ForwardError(err error) error {
	return verdict.Unknown(errForward, noOwnerRetry, "%v", err)
}

func (r *Router) attempt(ctx context.Context, owner *peerv1.Daemon, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) (bool, error) {
	if owner.Incarnation == r.Incarnation {
		err := r.Local.Execute(ctx, req, send)
		return err != nil && verdict.Of(err).Verdict != verdict.NotRun, err
	}
	ctx, span := r.Tracer.Start(ctx, "forward", trace.WithAttributes(attribute.String("rookpass.owner", owner.Incarnation)))
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Tracker.Ended(owner.Incarnation):
			cancel() // A hung owner has been replaced: another one will answer.
		case <-stop:
		}
	}()
	return r.Forwarder.Forward(ctx, owner.ForwardAddress, req, send)
}

// pause waits before another attempt. Without an owner a change of the cluster ends it.
func (r *Router) pause(ctx context.Context, attempt int, found bool, changed <-chan struct{}) {
	base := min(firstPause<<min(attempt, 8), maxPause)
	timer := time.NewTimer(base + rand.N(base))
	defer timer.Stop()
	if found {
		changed = nil
	}
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func gaveUp(mayHaveRun bool, code verdict.Code, reason string, last error) error {
	if mayHaveRun {
		return verdict.Unknown(code, noOwnerRetry, "%s (last: %v)", reason, last)
	}
	return verdict.RetryLater(code, noOwnerRetry, "%s (last: %v)", reason, last)
}
