// Package watch keeps copies of object API prefixes up to date with one waiting call.
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

// Handler receives the objects below one prefix. Calls come one at a time, from one goroutine.
type Handler interface {
	// Prefix returns the watched prefix.
	Prefix() string
	// Reset replaces all objects by a list as of version. It is certain once Confirm follows; after a list that may be
	// old, Lost follows.
	Reset(objects []objectapi.Object, version uint64)
	// Change applies one change.
	Change(event objectapi.Event)
	// Confirm tells that every change up to version has been seen, as the API said at a time. It is called after each
	// answer, also when nothing changed.
	Confirm(version uint64, at time.Time)
	// SourceUnavailable tells that the API stopped answering; the next call is Confirm or Reset.
	SourceUnavailable()
}

// WatermarkHandler is a Handler that also wants to know up to when its copy certainly holds every change.
type WatermarkHandler interface {
	Handler
	// Watermark tells that every change made before a time has been seen. It follows Confirm.
	Watermark(at time.Time)
}

// Source answers lists and watches: the object API, or what stands in for it.
type Source interface {
	List(ctx context.Context, prefix string) (objectapi.Snapshot, error)
	Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error)
}

// waitTime is how long one call waits for a change, unless WithWait says otherwise. It bounds how late a
// lost connection is noticed.
const waitTime = 5 * time.Second

// answerMargin is how much longer than waitTime an answer may take. A slow platform answers within 0.3 s; a
// connection that went silent is noticed only by this.
const answerMargin = time.Second

// listTimeout bounds the lists of all prefixes: 3,000 servers are six pages, of 0.4 s each while the platform is slow.
// Sources bound a silent call themselves.
const listTimeout = 5 * time.Second

// outageMargin is by how much a missed outage ended after the last word here at least. Ages of two answers differ by the
// ways that they took; the last word is of before the outage, so only one shorter than this is passed over.
const outageMargin = 500 * time.Millisecond

// neverConfirmed is the age of a watch that nobody has confirmed yet.
const neverConfirmed = -time.Second

// errStale means that a list holds what was known last: it is passed on, but the source is still away.
var errStale = errors.New("only an old copy is known")

// Watcher feeds handlers. Use New, then Run.
type Watcher struct {
	link     *SharedSource
	handlers []Handler
	pace     time.Duration
	waitTime time.Duration
	version  uint64
	calls    atomic.Int64
	// confirmed is when the API said last that nothing else had changed; nil before that.
	confirmed atomic.Pointer[time.Time]
	log       logrus.FieldLogger
	// listed tells that the handlers have a list to which changes can be applied.
	listed bool
	// lostAt is when the source failed first; zero while it answers.
	lostAt time.Time
}

// New returns a watcher of the handlers' prefixes over a link, which it may share with others. pace is the least time
// between two calls to the API: the first change after a quiet time is seen at once, while a stream of changes costs
// one call for each pace.
func New(link *SharedSource, pace time.Duration, handlers ...Handler) *Watcher {
	return &Watcher{link: link, pace: pace, waitTime: waitTime, handlers: handlers, log: discard()}
}

func discard() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// WithLog makes the watcher log when its source stops answering and when it answers again, and returns it.
func (w *Watcher) WithLog(log logrus.FieldLogger) *Watcher {
	w.log = log
	return w
}

// WithPollTimeout sets how long one call waits for a change, and returns the watcher.
func (w *Watcher) WithPollTimeout(d time.Duration) *Watcher {
	w.waitTime = d
	return w
}

// Age returns how long ago the API last confirmed what the handlers know, or a negative time before the first time. An
// idle watch is up to its wait old, and as much older as what it reads through.
func (w *Watcher) Age() time.Duration {
	confirmed := w.confirmed.Load()
	if confirmed == nil {
		return neverConfirmed
	}
	return time.Since(*confirmed) // by the steady clock: the time of day may jump
}

// Calls returns how many calls to the API the watcher has made.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	pauses := newPauses()
	limit := w.waitTime
	for ctx.Err() == nil {
		began := time.Now()
		err := w.step(ctx, limit)
		limit = w.waitTime
		if err != nil && ctx.Err() == nil && !errors.Is(err, objectapi.ErrGone) && !errors.Is(err, errReturned) {
			began, err = w.regain(ctx, err, pauses.NextBackOff())
		}
		switch {
		case err == nil:
			pauses.Reset()
			w.noteAnswer(began)
			_ = wait.For(ctx, w.pace-time.Since(began))
		case ctx.Err() != nil: // the watch ends; its source has not failed
		case errors.Is(err, objectapi.ErrGone):
			w.listed = false
		default: // the source is back: what there is now comes first
			limit = 0
		}
	}
	return ctx.Err()
}

// regain notes that the source does not answer, waits until it does, and takes over what it says then. It returns when
// that was, and an error where the watch must ask for itself.
func (w *Watcher) regain(ctx context.Context, lost error, pause time.Duration) (time.Time, error) {
	w.fail(lost)
	if !w.listed {
		// Not with the link, which waits for a certain answer: a list may also be an old copy, from a daemon that has
		// just started. After a loss of power everywhere fronts start before those, and refused all until the store was back.
		_ = wait.For(ctx, pause)
		return time.Now(), errReturned
	}
	batch, err := w.link.await(ctx, w.prefixes(), w.version, pause)
	if err == nil {
		w.take(batch)
	}
	return time.Now(), err
}

// step makes one call, or one for each list. It ends with errReturned where the source was lost and is back
// meanwhile: a call from before then may never be answered.
func (w *Watcher) step(ctx context.Context, limit time.Duration) error {
	ctx, cancel := w.link.cancelAtReturn(ctx)
	defer cancel()
	var err error
	if w.listed {
		err = w.wait(ctx, limit)
	} else {
		err = w.list(ctx)
	}
	if cause := context.Cause(ctx); err != nil && errors.Is(cause, errReturned) {
		return cause
	}
	return err
}

// fail tells the handlers and the log that the source does not answer.
func (w *Watcher) fail(err error) {
	for _, handler := range w.handlers {
		handler.SourceUnavailable()
	}
	w.noteFailure(err)
}

// noteFailure logs the first failure of an outage.
func (w *Watcher) noteFailure(err error) {
	if !w.lostAt.IsZero() {
		return
	}
	w.lostAt = time.Now()
	w.log.WithFields(logrus.Fields{"event": "watch-lost", "prefix": w.prefixes(), "version": w.version, "age_ms": w.Age().Milliseconds(),
		"error": err}).Warn("source no longer answers")
}

// noteAnswer logs the end of an outage; callBegan is when the answered call was sent.
func (w *Watcher) noteAnswer(callBegan time.Time) {
	if w.lostAt.IsZero() {
		return
	}
	w.log.WithFields(logrus.Fields{"event": "watch-regained", "prefix": w.prefixes(), "version": w.version,
		"outage_ms": time.Since(w.lostAt).Milliseconds(), "call_ms": time.Since(callBegan).Milliseconds()}).Info("source answers again")
	w.lostAt = time.Time{}
}

func (w *Watcher) prefixes() []string {
	prefixes := make([]string, len(w.handlers))
	for i, handler := range w.handlers {
		prefixes[i] = handler.Prefix()
	}
	return prefixes
}

// list reads every prefix. The watch goes on from the oldest of the lists, so nothing between them is
// missed; handlers see some changes twice.
func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	snapshots := make([]objectapi.Snapshot, len(w.handlers))
	for i, handler := range w.handlers {
		w.calls.Add(1)
		snapshot, err := w.link.source.List(ctx, handler.Prefix())
		if err != nil {
			return err
		}
		snapshots[i] = snapshot
	}
	oldest, stale, age := snapshots[0].Version, false, w.Age()
	for i, handler := range w.handlers {
		if missed(snapshots[i].SinceOutage, age) {
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

// wait asks for changes, and waits up to limit for one. A limit of 0 asks whether there is one now: after an outage the
// answer itself is news, and must not wait for a change.
func (w *Watcher) wait(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit+answerMargin)
	defer cancel()
	w.calls.Add(1)
	batch, err := w.link.source.Wait(ctx, w.prefixes(), w.version, limit)
	if err != nil {
		return err
	}
	w.take(batch)
	return nil
}

// missed tells whether an outage that ended sinceOutage ago ended after the API's last word here, of age ago: the watcher has not
// noticed it, since it read through a source that knew old content meanwhile, and then through one that was first to have
// the API's word again. Handlers must know of it all the same: entries lapse in an outage though their owners live, and one
// run in six of a silent outage of 2.9 s refused 39 lookups for want of a server.
func missed(sinceOutage, age time.Duration) bool {
	return sinceOutage > 0 && age > sinceOutage+outageMargin
}

// take hands changes on.
func (w *Watcher) take(batch objectapi.Batch) {
	if missed(batch.SinceOutage, w.Age()) {
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

// confirm tells a handler, and those who ask for the watch's age, how old the API's word is.
func (w *Watcher) confirm(handler Handler, version uint64, age time.Duration, certain time.Time) {
	at := time.Now().Add(-age)
	w.confirmed.Store(&at)
	handler.Confirm(version, at)
	if h, ok := handler.(WatermarkHandler); ok && !certain.IsZero() {
		h.Watermark(certain)
	}
}
