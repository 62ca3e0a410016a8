// Package watch keeps copies of object API prefixes up to date by long polling.
package watch

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Handler receives the objects below one prefix. Its methods are called one at a time, from one goroutine.
type Handler interface {
	// Prefix returns the watched prefix.
	Prefix() string
	// Reset replaces all objects by a list as of version. Confirm follows if the list is current, SourceUnavailable if
	// it may be stale.
	Reset(objects []objectapi.Object, version uint64)
	// Change applies one change.
	Change(event objectapi.Event)
	// Confirm reports that all changes up to version have been delivered, as of the given time. It follows every
	// response, also one without changes.
	Confirm(version uint64, at time.Time)
	// SourceUnavailable reports that the source stopped answering. The next call is Confirm or Reset.
	SourceUnavailable()
}

// WatermarkHandler is a Handler that is also told the watermark of its copy.
type WatermarkHandler interface {
	Handler
	// Watermark reports that every change made before a time has been delivered. It follows Confirm.
	Watermark(at time.Time)
}

// Source answers lists and long polls: the object API or a replacement for it.
type Source interface {
	List(ctx context.Context, prefix string) (objectapi.Snapshot, error)
	Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error)
}

// defaultPollTimeout limits one long poll and so how late a lost connection is noticed.
const defaultPollTimeout = 5 * time.Second

// responseMargin is added to the poll timeout for the response to arrive. It exceeds the response time of a slow
// platform; a connection that went silent is noticed when it has passed.
const responseMargin = time.Second

// listTimeout limits the lists of all prefixes together. It allows for 3,000 servers in six pages of 0.4 s each from a
// slow platform. Sources limit a silent call themselves.
const listTimeout = 5 * time.Second

// outageMargin is the least time between the last confirmation and the end of an outage for the outage to count as
// missed. It covers the difference between the delays of two responses. The last confirmation precedes the outage, so
// only an outage shorter than this is overlooked.
const outageMargin = 500 * time.Millisecond

// neverConfirmed is the age of a watch that has not been confirmed yet.
const neverConfirmed = -time.Second

// errStale means that a list returned last known content while the API is unavailable.
var errStale = errors.New("source returned a stale list")

// Watcher delivers the changes of a source to handlers. Use New, then Run.
type Watcher struct {
	shared      *SharedSource
	handlers    []Handler
	minInterval time.Duration
	pollTimeout time.Duration
	version     uint64
	calls       atomic.Int64
	// confirmedAt is the time of the API's last confirmation; nil before the first one.
	confirmedAt atomic.Pointer[time.Time]
	log         logrus.FieldLogger
	// listed reports that the handlers hold a list to which changes can be applied.
	listed bool
	// failedSince is the time of the first failure of an outage; zero while the source answers.
	failedSince time.Time
}

// New returns a watcher of the handlers' prefixes. minInterval is the least time between two requests: the first change
// after a quiet period is delivered at once, and a stream of changes costs one request per interval.
func New(source *SharedSource, minInterval time.Duration, handlers ...Handler) *Watcher {
	return &Watcher{shared: source, minInterval: minInterval, pollTimeout: defaultPollTimeout, handlers: handlers, log: discardLogger()}
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// WithLog sets the logger of outages and recoveries of the source, and returns the watcher.
func (w *Watcher) WithLog(log logrus.FieldLogger) *Watcher {
	w.log = log
	return w
}

// WithPollTimeout sets how long one poll waits for a change, and returns the watcher.
func (w *Watcher) WithPollTimeout(d time.Duration) *Watcher {
	w.pollTimeout = d
	return w
}

// Age returns the time since the API last confirmed the handlers' content, or a negative value before the first
// confirmation. The age of an idle watch grows up to the poll timeout, plus the age of the source's own copy.
func (w *Watcher) Age() time.Duration {
	confirmed := w.confirmedAt.Load()
	if confirmed == nil {
		return neverConfirmed
	}
	return time.Since(*confirmed)
}

// Calls returns the number of requests sent to the source.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// Run watches until ctx ends and returns its error.
func (w *Watcher) Run(ctx context.Context) error {
	pauses := newBackOff()
	limit := w.pollTimeout
	for ctx.Err() == nil {
		began := time.Now()
		err := w.callSource(ctx, limit)
		limit = w.pollTimeout
		if err != nil && ctx.Err() == nil && !errors.Is(err, objectapi.ErrGone) && !errors.Is(err, errRecovered) {
			began, err = w.awaitSource(ctx, err, pauses.NextBackOff())
		}
		switch {
		case err == nil:
			pauses.Reset()
			w.logRecovery(began)
			_ = wait.For(ctx, w.minInterval-time.Since(began))
		case ctx.Err() != nil: // the watch ends; the source has not failed
		case errors.Is(err, objectapi.ErrGone):
			w.listed = false
		default: // the source has recovered: fetch its current content at once
			limit = 0
		}
	}
	return ctx.Err()
}

// awaitSource reports an outage, waits until the source answers and applies that answer. It returns the time of the
// answer, and an error if the watcher must send a request of its own.
func (w *Watcher) awaitSource(ctx context.Context, cause error, pause time.Duration) (time.Time, error) {
	w.notifyUnavailable(cause)
	if !w.listed {
		// SharedSource waits for a current answer. A list may also be served from a stale copy by a daemon that has
		// just started, so keep listing. After a power loss, front daemons start before those daemons and would
		// otherwise refuse all requests until the store is back.
		_ = wait.For(ctx, pause)
		return time.Now(), errRecovered
	}
	batch, err := w.shared.awaitRecovery(ctx, w.prefixes(), w.version, pause)
	if err == nil {
		w.apply(batch)
	}
	return time.Now(), err
}

// callSource polls once, or lists all prefixes. It returns errRecovered if the source recovered from an outage
// meanwhile, since a request sent before that may never be answered.
func (w *Watcher) callSource(ctx context.Context, limit time.Duration) error {
	ctx, cancel := w.shared.cancelOnRecovery(ctx)
	defer cancel()
	var err error
	if w.listed {
		err = w.poll(ctx, limit)
	} else {
		err = w.listAll(ctx)
	}
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errRecovered) {
		return cause
	}
	return err
}

// notifyUnavailable reports the outage to the handlers and to the log.
func (w *Watcher) notifyUnavailable(err error) {
	for _, handler := range w.handlers {
		handler.SourceUnavailable()
	}
	w.logFailure(err)
}

// logFailure logs the first failure of an outage.
func (w *Watcher) logFailure(err error) {
	if !w.failedSince.IsZero() {
		return
	}
	w.failedSince = time.Now()
	w.log.WithFields(logrus.Fields{"event": "watch-lost", "prefix": w.prefixes(), "version": w.version, "age_ms": w.Age().Milliseconds(),
		"error": err}).Warn("source no longer answers")
}

// logRecovery logs the end of an outage. callBegan is the time at which the answered request was sent.
func (w *Watcher) logRecovery(callBegan time.Time) {
	if w.failedSince.IsZero() {
		return
	}
	w.log.WithFields(logrus.Fields{"event": "watch-regained", "prefix": w.prefixes(), "version": w.version,
		"outage_ms": time.Since(w.failedSince).Milliseconds(), "call_ms": time.Since(callBegan).Milliseconds()}).Info("source answers again")
	w.failedSince = time.Time{}
}

func (w *Watcher) prefixes() []string {
	prefixes := make([]string, len(w.handlers))
	for i, handler := range w.handlers {
		prefixes[i] = handler.Prefix()
	}
	return prefixes
}

// listAll lists every prefix. Polling continues from the oldest of the lists, so that no change between them is missed;
// handlers see some changes twice.
func (w *Watcher) listAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	snapshots := make([]objectapi.Snapshot, len(w.handlers))
	for i, handler := range w.handlers {
		w.calls.Add(1)
		snapshot, err := w.shared.source.List(ctx, handler.Prefix())
		if err != nil {
			return err
		}
		snapshots[i] = snapshot
	}
	oldest, stale, age := snapshots[0].Version, false, w.Age()
	for i, handler := range w.handlers {
		if missedOutage(snapshots[i].SinceOutage, age) {
			handler.SourceUnavailable()
		}
		handler.Reset(snapshots[i].Objects, snapshots[i].Version)
		if !snapshots[i].Stale {
			w.confirm(handler, snapshots[i].Version, snapshots[i].Age, snapshots[i].Certain)
		}
		oldest, stale = min(oldest, snapshots[i].Version), stale || snapshots[i].Stale
	}
	w.version = oldest
	w.listed = true
	if stale {
		return errStale
	}
	return nil
}

// poll requests changes and waits up to limit for one. A limit of 0 returns at once, which confirms that the source
// answers after an outage.
func (w *Watcher) poll(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit+responseMargin)
	defer cancel()
	w.calls.Add(1)
	batch, err := w.shared.source.Wait(ctx, w.prefixes(), w.version, limit)
	if err != nil {
		return err
	}
	w.apply(batch)
	return nil
}

// missedOutage reports whether an outage that ended sinceOutage ago ended after the last confirmation, which is age
// old, and so went unnoticed here. That happens to a watcher that reads through a mirror with old content and then
// through another one that reconnected first. Handlers must learn of it, since leases expire during an outage although
// their owners live, and requests would be refused for want of a server.
func missedOutage(sinceOutage, age time.Duration) bool {
	return sinceOutage > 0 && age > sinceOutage+outageMargin
}

// apply delivers a batch to the handlers.
func (w *Watcher) apply(batch objectapi.Batch) {
	if missedOutage(batch.SinceOutage, w.Age()) {
		for _, handler := range w.handlers {
			handler.SourceUnavailable()
		}
	}
	for _, handler := range w.handlers {
		w.deliver(handler, batch)
	}
	w.version = batch.Version
}

func (w *Watcher) deliver(handler Handler, batch objectapi.Batch) {
	prefix := handler.Prefix()
	for _, event := range batch.Events {
		if len(event.Key) >= len(prefix) && event.Key[:len(prefix)] == prefix {
			handler.Change(event)
		}
	}
	w.confirm(handler, batch.Version, batch.Age, batch.Certain)
}

// confirm records the API's confirmation and passes it, and the watermark if known, to the handler.
func (w *Watcher) confirm(handler Handler, version uint64, age time.Duration, watermark time.Time) {
	at := time.Now().Add(-age)
	w.confirmedAt.Store(&at)
	handler.Confirm(version, at)
	if h, ok := handler.(WatermarkHandler); ok && !watermark.IsZero() {
		h.Watermark(watermark)
	}
}
