// Package feed reads the platform's objects through the daemons that mirror them, and from the store itself
// where none of them can say.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objectapi"
)

// Source answers lists and watches of one prefix.
type Source interface {
	List(ctx context.Context, prefix string) (objectapi.Snapshot, error)
	Wait(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectapi.Batch, error)
}

// Mirror is a source that may know old content where it knows nothing certain.
type Mirror interface {
	Source
	Stale(ctx context.Context, prefix string) (objectapi.Snapshot, error)
}

// Named is a source with a name for logs.
type Named struct {
	Name   string
	Source Source
}

// NamedMirror is a mirror with a name for logs.
type NamedMirror struct {
	Name   string
	Mirror Mirror
}

// mirrorWait is how long a mirror may keep a watch waiting. It bounds how late a dead one is noticed; the
// calls have no price.
const mirrorWait = time.Second

// directPause is how long the store itself is left alone after it has failed, where mirrors ask it too: they
// say when it is back.
const directPause = 3 * time.Second

// Feed implements watch.Source. It stays with a source as long as that one answers.
type Feed struct {
	mirrors func() []NamedMirror
	direct  Named
	log     logrus.FieldLogger

	mu sync.Mutex
	// current is the source that answered last, newest the highest version seen of each prefix.
	current string
	newest  map[string]uint64
	// directFailed is when the store itself failed last.
	directFailed time.Time
}

// New returns a feed. mirrors returns the daemons to ask, the best first.
func New(mirrors func() []NamedMirror, direct Named, log logrus.FieldLogger) *Feed {
	return &Feed{mirrors: mirrors, direct: direct, log: log, newest: map[string]uint64{}}
}

// errBehind means that a source knows less than was seen before.
var errBehind = errors.New("source is behind")

// List returns a prefix's objects, never as of an earlier version than seen before. Where neither the mirrors
// nor the store can say, and nothing was seen before, it returns what a mirror knew last.
func (f *Feed) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	var snapshot objectapi.Snapshot
	err := f.try(func(source Named, _ bool) error {
		var err error
		snapshot, err = source.Source.List(ctx, prefix)
		if err == nil && !f.saw(prefix, snapshot.Version) {
			return errBehind
		}
		return err
	})
	if err == nil || !f.saw(prefix, 0) {
		return snapshot, err
	}
	return f.stale(ctx, prefix, err)
}

// stale returns the newest old content of a prefix that a mirror has.
func (f *Feed) stale(ctx context.Context, prefix string, problem error) (objectapi.Snapshot, error) {
	var newest objectapi.Snapshot
	var from string
	for _, m := range f.mirrors() {
		snapshot, err := m.Mirror.Stale(ctx, prefix)
		if err == nil && snapshot.Version > newest.Version {
			newest, from = snapshot, m.Name
		}
	}
	if from == "" {
		return newest, problem
	}
	f.saw(prefix, newest.Version)
	f.log.WithFields(logrus.Fields{"event": "feed-stale", "prefix": prefix, "version": newest.Version, "source": from,
		"error": problem}).Warn("the store can't be read; using what a mirror knew last")
	return newest, nil
}

// Wait returns the changes of exactly one prefix.
func (f *Feed) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	var batch objectapi.Batch
	err := f.try(func(source Named, mirrored bool) error {
		if mirrored {
			wait = min(wait, mirrorWait)
		}
		var err error
		batch, err = source.Source.Wait(ctx, prefixes[0], after, wait)
		if err == nil {
			f.saw(prefixes[0], batch.Version)
		}
		return err
	})
	return batch, err
}

// saw notes a version and tells whether it is as new as any seen before.
func (f *Feed) saw(prefix string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.newest[prefix] {
		return false
	}
	f.newest[prefix] = version
	return true
}

// try asks the sources in turn, the one that answered last first, until one answers. ErrGone is an answer.
func (f *Feed) try(ask func(source Named, mirrored bool) error) error {
	mirrors := f.mirrors()
	f.mu.Lock()
	current := f.current
	skipDirect := len(mirrors) > 0 && time.Since(f.directFailed) < directPause
	f.mu.Unlock()
	var sources []Named
	for _, m := range mirrors {
		sources = append(sources, Named{Name: m.Name, Source: m.Mirror})
	}
	for i, source := range sources {
		if source.Name == current {
			sources[0], sources[i] = sources[i], sources[0]
		}
	}
	if !skipDirect {
		sources = append(sources, f.direct)
	}
	problems := []error{objectapi.ErrUnavailable}
	for i, source := range sources {
		mirrored := i < len(mirrors)
		err := ask(source, mirrored)
		if err == nil || errors.Is(err, objectapi.ErrGone) {
			f.settle(source.Name, current, problems)
			return err
		}
		problems = append(problems, err)
		if !mirrored {
			f.mu.Lock()
			f.directFailed = time.Now()
			f.mu.Unlock()
		}
	}
	return errors.Join(problems...)
}

func (f *Feed) settle(name, before string, problems []error) {
	if name == before {
		return
	}
	f.mu.Lock()
	f.current = name
	f.mu.Unlock()
	f.log.WithFields(logrus.Fields{"event": "feed-source", "source": name, "before": before, "error": errors.Join(problems...)}).Info("reading from another source")
}
