// Package feed reads the platform's objects through the daemons that mirror them, and from the store itself
// where none of them can say.
package feed

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Source answers lists and watches of one prefix.
type Source interface {
	List(ctx context.Context, prefix string) (objectapi.Snapshot, error)
	Wait(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectapi.Batch, error)
}

// Mirror is a source that may know old content where it knows nothing certain.
type Mirror interface {
	Source
	LastKnown(ctx context.Context, prefix string) (objectapi.Snapshot, error)
}

// NamedSource is a source with a name for logs.
type NamedSource struct {
	Name   string
	Source Source
}

// NamedMirror is a mirror with a name for logs.
type NamedMirror struct {
	Name   string
	Mirror Mirror
}

// mirrorWait is how long a mirror may keep a watch waiting, unless WithMirrorWait says otherwise. It bounds how late a dead
// one is noticed; the calls have no price.
const mirrorWait = time.Second

// stagger is how long a source may be silent before the next one is asked too: an answer takes a few
// milliseconds, while a connection to a VM without power takes forever.
const stagger = 30 * time.Millisecond

// oldCopyPatience is how long a daemon that knows nothing waits for the store where mirrors have lost it: above the 0.4 s
// of a slow store.
const oldCopyPatience = 500 * time.Millisecond

// FailoverSource implements watch.Source. It stays with a source as long as that one answers.
type FailoverSource struct {
	mirrors    func() []NamedMirror
	direct     NamedSource
	log        logrus.FieldLogger
	mirrorWait time.Duration

	mu sync.Mutex
	// current is the source that answered last, newest the highest version seen of each prefix.
	current string
	newest  map[string]uint64
	// directDue is from when on the store itself may be asked, mirrorAnswered when a mirror said last that it can't say.
	directDue, mirrorAnswered time.Time
	// known is how many mirrors there are.
	known int
	// firstLists counts the store's failures while nothing was known.
	firstLists int
	// unanswered counts the latest watches that no source answered.
	unanswered int
}

// New returns a feed. mirrors returns the daemons to ask, the best first.
func New(mirrors func() []NamedMirror, direct NamedSource, log logrus.FieldLogger) *FailoverSource {
	return &FailoverSource{mirrors: mirrors, direct: direct, log: log, mirrorWait: mirrorWait, newest: map[string]uint64{}}
}

// WithMirrorPollTimeout sets how long a mirror may keep a watch waiting, and returns the feed.
func (f *FailoverSource) WithMirrorPollTimeout(d time.Duration) *FailoverSource {
	f.mirrorWait = d
	return f
}

// errBehind means that a source knows less than was seen before.
var errBehind = errors.New("source is behind")

// List returns a prefix's objects, never as of an earlier version than seen before. Where neither the mirrors
// nor the store can say, and nothing was seen before, it returns what a mirror knew last.
func (f *FailoverSource) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	sources, current := f.sources()
	var problems []error
	var failed sync.Map // names of sources
	ask := func(ctx context.Context, s source) (struct{}, error) {
		err := probe(ctx, s, prefix)
		if err != nil && ctx.Err() == nil {
			failed.Store(s.Name, true)
		}
		return struct{}{}, err
	}
	for len(sources) > 0 {
		// A list may be large: one source is asked for it, one that has just answered a small question.
		_, chosen, problem := race(ctx, f, sources, ask)
		problems = append(problems, problem)
		if chosen.Source == nil {
			break
		}
		snapshot, err := f.list(ctx, chosen, prefix)
		if err == nil && !f.saw(prefix, snapshot.Version) {
			err = errBehind
		}
		if err == nil {
			f.settle(chosen.Name, current, errors.Join(problems...))
			return snapshot, nil
		}
		problems = append(problems, err)
		if ctx.Err() != nil {
			break // given up by its reader: no failure
		}
		f.noteFailure(chosen, err)
		if !f.saw(prefix, 0) || !f.noteFirstList(chosen) {
			failed.Store(chosen.Name, true)
		}
		sources = slices.DeleteFunc(sources, func(s source) bool {
			_, gone := failed.Load(s.Name)
			return gone
		})
	}
	problem := errors.Join(problems...)
	if !f.saw(prefix, 0) {
		return objectapi.Snapshot{}, problem
	}
	return f.stale(ctx, prefix, problem)
}

// list asks a source for a list. A reader that knows nothing, and could take a mirror's old copy, does not wait for a
// silent store.
func (f *FailoverSource) list(ctx context.Context, s source, prefix string) (objectapi.Snapshot, error) {
	if s.direct && f.saw(prefix, 0) && f.mirrorsHaveLostIt() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, oldCopyPatience)
		defer cancel()
	}
	return s.Source.List(ctx, prefix)
}

// probe asks a mirror whether it could answer: for changes after the last version that there can be. The store
// itself is not asked: each call to it has a price.
func probe(ctx context.Context, s source, prefix string) error {
	if s.direct {
		return nil
	}
	_, err := s.Source.Wait(ctx, prefix, math.MaxUint64, 0)
	return err
}

// race asks the sources in order, the next one when one fails or is silent for stagger, and returns the first
// good answer with its source, which is empty where there was none. Sources that failed are noted.
func race[T any](ctx context.Context, f *FailoverSource, sources []source, ask func(context.Context, source) (T, error)) (T, source, error) {
	type answer struct {
		source source
		value  T
		err    error
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(sources))
	asked, silent := 0, 0
	askNext := func(allFailed bool) {
		if asked == len(sources) || !f.mayAsk(sources[asked]) || !allFailed && f.tooSoon(sources[asked], asked, silent) {
			return
		}
		s := sources[asked]
		asked++
		go func() {
			value, err := ask(asking, s)
			answers <- answer{s, value, err}
		}()
	}
	askNext(true)
	ticks := time.NewTicker(stagger)
	defer ticks.Stop()
	problems := []error{objectapi.ErrUnavailable}
	for answered := 0; answered < asked; {
		select {
		case <-ticks.C:
			silent++
			askNext(false)
		case a := <-answers:
			answered++
			if a.err == nil {
				return a.value, a.source, errors.Join(problems...)
			}
			problems = append(problems, a.err)
			if ctx.Err() == nil { // a call that its caller gave up says nothing of its source
				f.noteFailure(a.source, a.err)
			}
			askNext(answered == asked)
		}
	}
	var none T
	return none, source{}, errors.Join(problems...)
}

// stale returns the newest old content of a prefix that any of mostMirrors mirrors has, of those that answer.
func (f *FailoverSource) stale(ctx context.Context, prefix string, problem error) (objectapi.Snapshot, error) {
	var newest objectapi.Snapshot
	var from string
	answered := 0
	for _, m := range f.mirrors() {
		if answered == mostMirrors {
			break
		}
		snapshot, err := m.Mirror.LastKnown(ctx, prefix)
		if err == nil {
			answered++
		}
		if err == nil && snapshot.Version > newest.Version {
			newest, from = snapshot, m.Name
		}
	}
	if from == "" {
		return newest, problem
	}
	f.saw(prefix, newest.Version)
	newest.Stale = true
	f.log.WithFields(logrus.Fields{"event": "feed-stale", "prefix": prefix, "version": newest.Version, "source": from,
		"error": problem}).Warn("the store can't be read; using what a mirror knew last")
	return newest, nil
}

// Wait returns the changes of exactly one prefix. ErrGone is an answer.
//
// The source that answered last may keep the watch waiting. Where it fails, and where wait is 0, the others are asked for
// what they have at once, so that several VMs that went dark together cost no more than one.
func (f *FailoverSource) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	prefix := prefixes[0]
	sources, current := f.sources()
	if first := sources[0]; wait > 0 && first.Name == current && !first.direct {
		changes, err := f.changes(ctx, first, prefix, after, min(wait, f.mirrorWait))
		if err == nil {
			return changes.unpack()
		}
		if ctx.Err() == nil {
			f.noteFailure(first, err)
		}
		sources = sources[1:]
	}
	changes, chosen, problem := race(ctx, f, sources, func(ctx context.Context, s source) (changes, error) {
		limit := time.Duration(0)
		if s.direct && s.Name == current {
			limit = wait
		}
		return f.changes(ctx, s, prefix, after, limit)
	})
	if ctx.Err() == nil {
		f.noteRound(chosen.Source != nil)
	}
	if chosen.Source == nil {
		return objectapi.Batch{}, problem
	}
	f.settle(chosen.Name, current, problem)
	return changes.unpack()
}

// changes is a source's answer to a watch. Gone tells that its history does not reach back far enough.
type changes struct {
	batch objectapi.Batch
	gone  bool
}

func (c changes) unpack() (objectapi.Batch, error) {
	if c.gone {
		return c.batch, objectapi.ErrGone
	}
	return c.batch, nil
}

// changes asks one source for the changes of a prefix.
func (f *FailoverSource) changes(ctx context.Context, s source, prefix string, after uint64, wait time.Duration) (changes, error) {
	batch, err := s.Source.Wait(ctx, prefix, after, wait)
	if errors.Is(err, objectapi.ErrGone) {
		return changes{gone: true}, nil
	}
	if err == nil {
		f.saw(prefix, batch.Version)
	}
	return changes{batch: batch}, err
}

// saw notes a version and tells whether it is as new as any seen before.
func (f *FailoverSource) saw(prefix string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.newest[prefix] {
		return false
	}
	f.newest[prefix] = version
	return true
}
