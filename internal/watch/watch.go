// Package watch keeps copies of object API prefixes up to date with one waiting call.
package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/rookpass/rookpass/internal/objectapi"
	"github.com/rookpass/rookpass/internal/wait"
)

// Handler receives the objects below one prefix. Calls come one at a time, from one goroutine.
type Handler interface {
	// Prefix returns the watched prefix.
	Prefix() string
	// Reset replaces all objects by a list as of version.
	Reset(objects []objectapi.Object, version uint64)
	// Change applies one change.
	Change(event objectapi.Event)
	// Confirm tells that every change up to version has been seen. It is called after each answer of the
	// API, also when nothing changed.
	Confirm(version uint64)
	// Lost tells that the API stopped answering; the next call is Confirm or Reset.
	Lost()
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

// Pauses between attempts while the API does not answer.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
)

// Watcher feeds handlers. Use New, then Run.
type Watcher struct {
	api      Source
	handlers []Handler
	pace     time.Duration
	waitTime time.Duration
	version  uint64
	calls    atomic.Int64
}

// New returns a watcher of the handlers' prefixes. pace is the least time between two calls to the API: the
// first change after a quiet time is seen at once, while a stream of changes costs one call for each pace.
func New(api Source, pace time.Duration, handlers ...Handler) *Watcher {
	return &Watcher{api: api, pace: pace, waitTime: waitTime, handlers: handlers}
}

// WithWait sets how long one call waits for a change, and returns the watcher.
func (w *Watcher) WithWait(d time.Duration) *Watcher {
	w.waitTime = d
	return w
}

// Calls returns how many calls to the API the watcher has made.
func (w *Watcher) Calls() int64 { return w.calls.Load() }

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstPause, maxPause
	listed := false
	for ctx.Err() == nil {
		var err error
		began := time.Now()
		if listed {
			err = w.wait(ctx)
		} else {
			err = w.list(ctx)
		}
		if err == nil {
			listed = true
			pauses.Reset()
			_ = wait.For(ctx, w.pace-time.Since(began))
			continue
		}
		if errors.Is(err, objectapi.ErrGone) {
			listed = false
			continue
		}
		for _, handler := range w.handlers {
			handler.Lost()
		}
		_ = wait.For(ctx, pauses.NextBackOff())
	}
	return ctx.Err()
}

// list reads every prefix. The watch goes on from the oldest of the lists, so nothing between them is
// missed; handlers see some changes twice.
func (w *Watcher) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.waitTime)
	defer cancel()
	snapshots := make([]objectapi.Snapshot, len(w.handlers))
	for i, handler := range w.handlers {
		w.calls.Add(1)
		snapshot, err := w.api.List(ctx, handler.Prefix())
		if err != nil {
			return err
		}
		snapshots[i] = snapshot
	}
	oldest := snapshots[0].Version
	for i, handler := range w.handlers {
		handler.Reset(snapshots[i].Objects, snapshots[i].Version)
		handler.Confirm(snapshots[i].Version)
		oldest = min(oldest, snapshots[i].Version)
	}
	w.version = oldest
	return nil
}

func (w *Watcher) wait(ctx context.Context) error {
	prefixes := make([]string, len(w.handlers))
	for i, handler := range w.handlers {
		prefixes[i] = handler.Prefix()
	}
	ctx, cancel := context.WithTimeout(ctx, w.waitTime+answerMargin)
	defer cancel()
	w.calls.Add(1)
	batch, err := w.api.Wait(ctx, prefixes, w.version, w.waitTime)
	if err != nil {
		return err
	}
	for _, handler := range w.handlers {
		deliver(handler, batch)
	}
	w.version = batch.Version
	return nil
}

func deliver(handler Handler, batch objectapi.Batch) {
	prefix := handler.Prefix()
	for _, event := range batch.Events {
		if len(event.Key) >= len(prefix) && event.Key[:len(prefix)] == prefix {
			handler.Change(event)
		}
	}
	handler.Confirm(batch.Version)
}
