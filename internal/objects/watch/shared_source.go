package watch

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Range of the pauses between requests to a source that does not answer. They stay short during long outages: a change
// made at the end of an outage must be in force soon, and the pauses of daemons that read through one another add up.
const (
	initialPause = 50 * time.Millisecond
	maxPause     = 200 * time.Millisecond
)

// probeTimeout limits one probe of a source that does not answer. Further probes are sent in the meantime, so that a
// silent source does not delay the notice of its recovery. It exceeds the response time of a slow source, 0.4 s, which
// must not pass for a silent one.
const probeTimeout = time.Second

// minCallsEndInterval is the least time between two recoveries that cancel the pending polls of other watchers. It
// limits what a prefix whose lists keep failing costs each of the other watchers to two calls a second.
const minCallsEndInterval = time.Second

// errRecovered ends calls that were sent before the source recovered.
var errRecovered = errors.New("source recovered")

// SharedSource is a source with the state of its availability, shared by several watchers. While the source does not
// answer, one watcher probes it on behalf of all that have a list, and the first answer wakes all of them. So an outage
// costs a daemon the calls of one watcher, and watchers with long polls learn of its end as soon as the others. Use
// NewSharedSource.
type SharedSource struct {
	source Source

	mu sync.Mutex
	// waiting holds the probes of the watchers that wait for the source, the next one to send first.
	waiting []*pendingProbe
	// recovered is closed and replaced when the source answers again. endCalls is closed and replaced at the same time,
	// but at most once per minCallsEndInterval.
	recovered, endCalls chan struct{}
	callsEndedAt        time.Time
}

// pendingProbe requests the changes of some prefixes after a version.
type pendingProbe struct {
	prefixes []string
	version  uint64
	// answer receives the first result.
	answer chan probeResult
}

// probeResult is an answer of the source: changes, or ErrGone.
type probeResult struct {
	batch objectapi.Batch
	err   error
}

// NewSharedSource returns a shared source that is taken to be available.
func NewSharedSource(source Source) *SharedSource {
	return &SharedSource{source: source, recovered: make(chan struct{}), endCalls: make(chan struct{})}
}

func newBackOff() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = initialPause, maxPause
	return pauses
}

// cancelOnRecovery returns a context that is cancelled with errRecovered when the source recovers from an outage.
func (s *SharedSource) cancelOnRecovery(parent context.Context) (context.Context, context.CancelFunc) {
	s.mu.Lock()
	endCalls := s.endCalls
	s.mu.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-endCalls:
			cancel(errRecovered)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// awaitRecovery waits for at least pause and until the source answers again or ctx ends. It returns the result of the
// caller's own probe, or errRecovered if another watcher's probe was answered.
func (s *SharedSource) awaitRecovery(ctx context.Context, prefixes []string, version uint64, pause time.Duration) (objectapi.Batch, error) {
	if err := wait.For(ctx, pause); err != nil {
		return objectapi.Batch{}, err
	}
	probe := &pendingProbe{prefixes, version, make(chan probeResult, 1)}
	s.mu.Lock()
	s.waiting = append(s.waiting, probe)
	first, recovered := len(s.waiting) == 1, s.recovered
	s.mu.Unlock()
	if first {
		s.probeUntilAnswer(ctx)
	}
	select {
	case <-recovered:
	case <-ctx.Done():
	}
	select {
	case a := <-probe.answer:
		return a.batch, a.err
	default:
		return objectapi.Batch{}, errRecovered
	}
}

// probeUntilAnswer sends the probes of all waiting watchers in turn. It wakes the watchers at the first answer, or when
// ctx ends.
func (s *SharedSource) probeUntilAnswer(ctx context.Context) {
	defer s.notifyRecovered()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{}, 1)
	pauses := newBackOff()
	for ctx.Err() == nil {
		go s.probeOnce(ctx, s.nextProbe(), answered)
		timer := time.NewTimer(pauses.NextBackOff())
		select {
		case <-answered:
			timer.Stop()
			return
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// probeOnce sends one probe. ErrGone counts as an answer.
func (s *SharedSource) probeOnce(ctx context.Context, probe *pendingProbe, answered chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	batch, err := s.source.Wait(ctx, probe.prefixes, probe.version, 0)
	if err != nil && !errors.Is(err, objectapi.ErrGone) {
		return // the waiting watchers have logged the outage
	}
	select {
	case probe.answer <- probeResult{batch, err}:
	default: // already answered
	}
	select {
	case answered <- struct{}{}:
	default: // another probe was answered first
	}
}

// nextProbe returns the first waiting probe and moves it to the end.
func (s *SharedSource) nextProbe() *pendingProbe {
	s.mu.Lock()
	defer s.mu.Unlock()
	probe := s.waiting[0]
	s.waiting = append(s.waiting[1:], probe)
	return probe
}

// notifyRecovered wakes all waiting watchers and cancels the pending polls of the others.
func (s *SharedSource) notifyRecovered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = nil
	close(s.recovered)
	s.recovered = make(chan struct{})
	if time.Since(s.callsEndedAt) < minCallsEndInterval {
		return
	}
	s.callsEndedAt = time.Now()
	close(s.endCalls)
	s.endCalls = make(chan struct{})
}
