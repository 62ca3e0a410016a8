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

// listStagger is how long a source may be silent before the next one is asked for a list too: an answer takes
// a few milliseconds, while a connection to a VM without power takes forever.
const listStagger = 30 * time.Millisecond

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
	snapshot, err := f.race(ctx, prefix)
	if err == nil || !f.saw(prefix, 0) {
		return snapshot, err
	}
	return f.stale(ctx, prefix, err)
}

// listed is one source's answer to a list.
type listed struct {
	source   source
	snapshot objectapi.Snapshot
	err      error
}

// race asks the sources in order, the next one when one fails or is silent for listStagger, and returns the
// first answer that is not behind.
func (f *Feed) race(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sources, current := f.sources()
	answers := make(chan listed, len(sources))
	asked := 0
	askNext := func() {
		if asked == len(sources) {
			return
		}
		s := sources[asked]
		asked++
		go func() {
			snapshot, err := s.Source.List(ctx, prefix)
			answers <- listed{s, snapshot, err}
		}()
	}
	askNext()
	stagger := time.NewTicker(listStagger)
	defer stagger.Stop()
	problems := []error{objectapi.ErrUnavailable}
	for answered := 0; answered < asked; {
		select {
		case <-stagger.C:
			askNext()
		case a := <-answers:
			answered++
			if a.err == nil && !f.saw(prefix, a.snapshot.Version) {
				a.err = errBehind
			}
			if a.err == nil {
				f.settle(a.source.Name, current, problems)
				return a.snapshot, nil
			}
			problems = append(problems, a.err)
			f.noteFailure(a.source)
			askNext()
		}
	}
	return objectapi.Snapshot{}, errors.Join(problems...)
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

// Wait returns the changes of exactly one prefix. ErrGone is an answer.
func (f *Feed) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	sources, current := f.sources()
	problems := []error{objectapi.ErrUnavailable}
	for _, s := range sources {
		limit := wait
		if !s.direct {
			limit = min(wait, mirrorWait)
		}
		batch, err := s.Source.Wait(ctx, prefixes[0], after, limit)
		if err == nil {
			f.saw(prefixes[0], batch.Version)
		}
		if err == nil || errors.Is(err, objectapi.ErrGone) {
			f.settle(s.Name, current, problems)
			return batch, err
		}
		problems = append(problems, err)
		f.noteFailure(s)
	}
	return objectapi.Batch{}, errors.Join(problems...)
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

// source is a mirror or the store itself.
type source struct {
	Named
	direct bool
}

// sources returns whom to ask, in order: the one that answered last, the other mirrors, the store itself unless
// it failed just now. It also returns who answered last.
func (f *Feed) sources() ([]source, string) {
	mirrors := f.mirrors()
	f.mu.Lock()
	defer f.mu.Unlock()
	sources := make([]source, 0, len(mirrors)+1)
	for _, m := range mirrors {
		sources = append(sources, source{Named: Named{Name: m.Name, Source: m.Mirror}})
		if last := len(sources) - 1; m.Name == f.current {
			sources[0], sources[last] = sources[last], sources[0]
		}
	}
	if len(mirrors) == 0 || time.Since(f.directFailed) >= directPause {
		sources = append(sources, source{Named: f.direct, direct: true})
	}
	return sources, f.current
}

// noteFailure remembers that the store itself failed.
func (f *Feed) noteFailure(s source) {
	if !s.direct {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.directFailed = time.Now()
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
