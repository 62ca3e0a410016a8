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

// Pauses between attempts while the source does not answer. They stay short however long an outage lasts: what is
// changed at its end must be in force soon, and pauses of daemons that read through one another add up.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 200 * time.Millisecond
)

// probeTimeout bounds one question whether the source is back. Further ones are asked meanwhile: a silent source must
// not hold up the notice of its return, and a slow one, with 0.4 s an answer, must not pass for a silent one.
const probeTimeout = time.Second

// endPause is the least time between two returns that end the calls of watchers that had lost nothing: a prefix whose lists
// fail again and again must not cost each of the others more than two calls a second.
const endPause = time.Second

// errReturned ends calls that were sent before their source was back.
var errReturned = errors.New("the source is back")

// SharedSource is what the watchers of one source share: whether it answers. While it does not, one of them at a time is asked
// for, in turn; all go on at the first answer. So an outage costs a daemon the calls of one watcher, and watches that
// wait long learn of its end as soon as the others. Use NewLink.
type SharedSource struct {
	source Source

	mu sync.Mutex
	// lost are the questions of the watchers that wait for the source, the next to be asked first.
	lost []*question
	// returned is closed, and replaced, when a source that was lost answers; callsEnd too, but not twice within endPause.
	returned, callsEnd chan struct{}
	callsEnded         time.Time
}

// question asks a source for the changes of some prefixes after a version.
type question struct {
	prefixes []string
	version  uint64
	// answer holds the first answer, until its watcher takes it.
	answer chan answer
}

// answer is what a source said to a question: changes, or that its history is gone.
type answer struct {
	batch objectapi.Batch
	err   error
}

// NewSharedSource returns the link of a source that counts as answering.
func NewSharedSource(source Source) *SharedSource {
	return &SharedSource{source: source, returned: make(chan struct{}), callsEnd: make(chan struct{})}
}

func newPauses() *backoff.ExponentialBackOff {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, maxPause
	return pauses
}

// cancelAtReturn returns a context that ends with errReturned when the source is back after having been lost.
func (l *SharedSource) cancelAtReturn(parent context.Context) (context.Context, context.CancelFunc) {
	l.mu.Lock()
	callsEnd := l.callsEnd
	l.mu.Unlock()
	ctx, cancel := context.WithCancelCause(parent)
	go func() {
		select {
		case <-callsEnd:
			cancel(errReturned)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// await returns when the source answers again, or ctx ends. It waits for pause at least. The error is errReturned where
// another watcher's question was answered.
func (l *SharedSource) await(ctx context.Context, prefixes []string, version uint64, pause time.Duration) (objectapi.Batch, error) {
	if err := wait.For(ctx, pause); err != nil {
		return objectapi.Batch{}, err
	}
	q := &question{prefixes, version, make(chan answer, 1)}
	l.mu.Lock()
	l.lost = append(l.lost, q)
	first, returned := len(l.lost) == 1, l.returned
	l.mu.Unlock()
	if first {
		l.probe(ctx)
	}
	select {
	case <-returned:
	case <-ctx.Done():
	}
	select {
	case a := <-q.answer:
		return a.batch, a.err
	default:
		return objectapi.Batch{}, errReturned
	}
}

// probe asks again and again, and tells every watcher when there is an answer, or when ctx ends.
func (l *SharedSource) probe(ctx context.Context) {
	defer l.tellReturned()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{}, 1)
	pauses := newPauses()
	for ctx.Err() == nil {
		go l.ask(ctx, l.next(), answered)
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

// ask puts one question. That the history is gone is an answer too.
func (l *SharedSource) ask(ctx context.Context, q *question, answered chan<- struct{}) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	batch, err := l.source.Wait(ctx, q.prefixes, q.version, 0)
	if err != nil && !errors.Is(err, objectapi.ErrGone) {
		return // the watchers that wait have logged the loss
	}
	select {
	case q.answer <- answer{batch, err}:
	default: // it was answered before
	}
	select {
	case answered <- struct{}{}:
	default: // another question was answered first
	}
}

// next returns the question whose turn it is.
func (l *SharedSource) next() *question {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.lost[0]
	l.lost = append(l.lost[1:], q)
	return q
}

func (l *SharedSource) tellReturned() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = nil
	close(l.returned)
	l.returned = make(chan struct{})
	if time.Since(l.callsEnded) < endPause {
		return
	}
	l.callsEnded = time.Now()
	close(l.callsEnd)
	l.callsEnd = make(chan struct{})
}
