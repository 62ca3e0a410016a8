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

// Named is a source with a name for logs.
type Named struct {
	Name   string
	Source Source
}

// mirrorWait is how long a mirror may keep a watch waiting. It bounds how late a dead one is noticed; the
// calls have no price.
const mirrorWait = time.Second

// Feed implements watch.Source. It stays with a source as long as that one answers.
type Feed struct {
	mirrors func() []Named
	direct  Named
	log     logrus.FieldLogger

	mu sync.Mutex
	// current is the source that answered last, newest the highest version seen of each prefix.
	current string
	newest  map[string]uint64
}

// New returns a feed. mirrors returns the daemons to ask, the best first.
func New(mirrors func() []Named, direct Named, log logrus.FieldLogger) *Feed {
	return &Feed{mirrors: mirrors, direct: direct, log: log, newest: map[string]uint64{}}
}

// errBehind means that a source knows less than was seen before.
var errBehind = errors.New("source is behind")

// List returns a prefix's objects, never as of an earlier version than seen before.
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
	return snapshot, err
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
	f.mu.Lock()
	current := f.current
	f.mu.Unlock()
	sources := append(f.mirrors(), f.direct)
	for i, source := range sources[:len(sources)-1] {
		if source.Name == current {
			sources[0], sources[i] = sources[i], sources[0]
		}
	}
	var problems []error
	for i, source := range sources {
		err := ask(source, i < len(sources)-1)
		if err == nil || errors.Is(err, objectapi.ErrGone) {
			f.settle(source.Name, current, problems)
			return err
		}
		problems = append(problems, err)
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
