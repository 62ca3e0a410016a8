// Package route sends each request to the daemon that owns its program and retries at the next owner if the first
// one fails. Retries are safe, because the owner recognises requests that have run by their program, sequence and
// request id.
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

// Local serves the partitions of this daemon. *holder.Holder implements it.
type Local interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error
}

// Forwarder sends a request to another daemon.
type Forwarder interface {
	// Forward returns, with the error, whether the request may have been sent.
	Forward(ctx context.Context, address string, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) (left bool, err error)
}

// Timeouts and retry delays of the router.
const (
	// ownerTimeout is how long a request is retried while no owner answers.
	ownerTimeout = 15 * time.Second
	// firstPause and maxPause bound the backoff between attempts, before jitter of up to 100%.
	firstPause = 20 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	// noOwnerRetry is the retry delay given to callers when no owner answered.
	noOwnerRetry = time.Second
)

// Retry budget of one daemon, for all attempts after the first of each request.
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

// Execute runs a request at the owner of its program. While there is no owner or ownership changes, the request
// is retried. When the router gives up, the verdict of the error says whether the request may have run.
func (r *Router) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error {
	number := program.PartitionOf(req.ProgramId, r.Partitions)
	giveUp := time.Now().Add(ownerTimeout)
	mayHaveRun := false
	var last error
	for attempt := 0; ; attempt++ {
		if attempt > 0 && !r.retries.Allow() {
			return giveUpError(mayHaveRun, verdict.Overloaded, "retry budget of this daemon is exhausted", last)
		}
		changed := r.Tracker.Changed()
		owner, found := r.Tracker.View().Owner(number)
		if found {
			left, err := r.attempt(ctx, owner, req, send)
			if !retryable(err) {
				return err
			}
			mayHaveRun = mayHaveRun || left
			last = err
		}
		if ctx.Err() != nil || time.Now().After(giveUp) {
			return giveUpError(mayHaveRun, verdict.Unavailable, "no owner of the program answered", last)
		}
		r.pause(ctx, attempt, found, changed)
	}
}

// retryable reports whether a request that failed with err can be retried at the next owner.
func retryable(err error) bool {
	return err != nil && (verdict.IsCode(err, verdict.NotOwner) || verdict.IsCode(err, errForward))
}

// errForward is the internal code of a failed forward. It is never returned to callers.
const errForward verdict.Code = "FORWARD_BROKE"

// ForwardError returns the error of a forward without a complete response.
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
			cancel() // The owner has been replaced; do not wait for it if it hangs.
		case <-stop:
		}
	}()
	return r.Forwarder.Forward(ctx, owner.ForwardAddress, req, send)
}

// pause waits before the next attempt. If there is no owner, a change of the cluster ends the wait early.
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

func giveUpError(mayHaveRun bool, code verdict.Code, reason string, last error) error {
	if mayHaveRun {
		return verdict.Unknown(code, noOwnerRetry, "%s (last: %v)", reason, last)
	}
	return verdict.RetryLater(code, noOwnerRetry, "%s (last: %v)", reason, last)
}
