// Package feed reads the platform's objects through daemons that mirror them, and falls back to the store itself.
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

// Source answers lists and long polls of one prefix.
type Source interface {
	List(ctx context.Context, prefix string) (objectapi.Snapshot, error)
	Wait(ctx context.Context, prefix string, after uint64, wait time.Duration) (objectapi.Batch, error)
}

// Mirror is a source that can also return its last known content while it is not current.
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

// defaultMirrorPollTimeout limits one long poll at a mirror and so how late a dead mirror is noticed. It can be short
// because calls to mirrors are not charged.
const defaultMirrorPollTimeout = time.Second

// hedgeDelay is how long a source may be silent before the next one is asked as well. Mirrors answer within
// milliseconds, while a connection to a VM without power gets no answer at all.
const hedgeDelay = 30 * time.Millisecond

// storeListTimeout limits a first list from the store while mirrors report an outage of it. It exceeds the response
// time of a slow store, 0.4 s.
const storeListTimeout = 500 * time.Millisecond

// FailoverSource implements watch.Source over mirrors and the store. It stays with a source while that one answers, and
// limits the requests to the store, which are charged.
type FailoverSource struct {
	mirrors           func() []NamedMirror
	store             NamedSource
	log               logrus.FieldLogger
	mirrorPollTimeout time.Duration

	mu sync.Mutex
	// current is the source that answered last, newestVersions the highest version seen of each prefix.
	current        string
	newestVersions map[string]uint64
	// storeRetryAt is the time from which the store may be asked again. mirrorOutageAt is the time at which a mirror last
	// reported that it can't read the store.
	storeRetryAt, mirrorOutageAt time.Time
	// mirrorCount is the current number of mirrors.
	mirrorCount int
	// firstListFailures counts failed lists of the store before any content was known.
	firstListFailures int
	// failedRounds counts consecutive polls that no source answered.
	failedRounds int
}

// New returns a source over mirrors and the store. mirrors returns the daemons to ask, in order of preference.
func New(mirrors func() []NamedMirror, store NamedSource, log logrus.FieldLogger) *FailoverSource {
	return &FailoverSource{mirrors: mirrors, store: store, log: log, mirrorPollTimeout: defaultMirrorPollTimeout, newestVersions: map[string]uint64{}}
}

// WithMirrorPollTimeout sets how long a mirror may hold a poll, and returns the source.
func (f *FailoverSource) WithMirrorPollTimeout(d time.Duration) *FailoverSource {
	f.mirrorPollTimeout = d
	return f
}

// errBehind means that a source has an older version than one seen before.
var errBehind = errors.New("source has an older version than seen before")

// List returns the objects of a prefix, never of an older version than seen before. If no source is current and nothing
// was seen before, it returns the last known content of a mirror, marked as stale.
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
		// A list may be large, so it is requested from one source only: the first to answer a probe.
		_, chosen, problem := race(ctx, f, sources, ask)
		problems = append(problems, problem)
		if chosen.Source == nil {
			break
		}
		snapshot, err := f.list(ctx, chosen, prefix)
		if err == nil && !f.advanceVersion(prefix, snapshot.Version) {
			err = errBehind
		}
		if err == nil {
			f.setCurrent(chosen.Name, current, errors.Join(problems...))
			return snapshot, nil
		}
		problems = append(problems, err)
		if ctx.Err() != nil {
			break // cancelled by the caller: not a failure of the source
		}
		f.recordFailure(chosen, err)
		if !f.advanceVersion(prefix, 0) || !f.retryFirstList(chosen) {
			failed.Store(chosen.Name, true)
		}
		sources = slices.DeleteFunc(sources, func(s source) bool {
			_, gone := failed.Load(s.Name)
			return gone
		})
	}
	problem := errors.Join(problems...)
	if !f.advanceVersion(prefix, 0) {
		return objectapi.Snapshot{}, problem
	}
	return f.lastKnown(ctx, prefix, problem)
}

// list requests a list from one source. A first list from the store gets a short timeout while mirrors, which may have
// stale content to offer, report an outage.
func (f *FailoverSource) list(ctx context.Context, s source, prefix string) (objectapi.Snapshot, error) {
	if s.isStore && f.advanceVersion(prefix, 0) && f.mirrorsReportOutage() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, storeListTimeout)
		defer cancel()
	}
	return s.Source.List(ctx, prefix)
}

// probe checks that a mirror can answer, by polling after the highest possible version. The store is not probed, as
// every request to it is charged.
func probe(ctx context.Context, s source, prefix string) error {
	if s.isStore {
		return nil
	}
	_, err := s.Source.Wait(ctx, prefix, math.MaxUint64, 0)
	return err
}

// race asks the sources in order, the next one whenever one fails or is silent for hedgeDelay. It returns the first
// answer and its source, or an empty source if there was none. Failed sources are recorded.
func race[T any](ctx context.Context, f *FailoverSource, sources []source, ask func(context.Context, source) (T, error)) (T, source, error) {
	type answer struct {
		source source
		value  T
		err    error
	}
	asking, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(sources))
	asked, answered, silent := 0, 0, 0
	onlyTimeouts := true // no failure so far was anything but a timeout
	// askNext asks the next source, and reports whether there is one that has to wait for further ticks instead.
	askNext := func() (waiting bool) {
		if asked == len(sources) || !f.mayAsk(sources[asked]) {
			return false
		}
		s := sources[asked]
		allFailed := answered == asked && !(s.isStore && onlyTimeouts && f.sparesStore())
		if asked > 0 && !allFailed && f.tooSoon(s, asked, silent) {
			return true
		}
		asked++
		go func() {
			value, err := ask(asking, s)
			answers <- answer{s, value, err}
		}()
		return false
	}
	ticks := time.NewTicker(hedgeDelay)
	defer ticks.Stop()
	problems := []error{objectapi.ErrUnavailable}
	waiting := askNext()
	for answered < asked || waiting {
		var ended <-chan struct{}
		if answered == asked {
			ended = ctx.Done() // otherwise the sources asked return when ctx ends
		}
		select {
		case <-ended:
			waiting = false
		case <-ticks.C:
			silent++
			waiting = askNext()
		case a := <-answers:
			answered++
			if a.err == nil {
				return a.value, a.source, errors.Join(problems...)
			}
			problems = append(problems, a.err)
			onlyTimeouts = onlyTimeouts && errors.Is(a.err, context.DeadlineExceeded)
			if ctx.Err() == nil { // cancellation is not a failure of the source
				f.recordFailure(a.source, a.err)
			}
			waiting = askNext()
		}
	}
	var none T
	return none, source{}, errors.Join(problems...)
}

// lastKnown returns the newest stale content of a prefix among the first mirrorsPerRound mirrors that answer.
func (f *FailoverSource) lastKnown(ctx context.Context, prefix string, problem error) (objectapi.Snapshot, error) {
	var newest objectapi.Snapshot
	var from string
	answered := 0
	for _, m := range f.mirrors() {
		if answered == mirrorsPerRound {
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
	f.advanceVersion(prefix, newest.Version)
	newest.Stale = true
	f.log.WithFields(logrus.Fields{"event": "feed-stale", "prefix": prefix, "version": newest.Version, "source": from,
		"error": problem}).Warn("store unavailable; using stale content of a mirror")
	return newest, nil
}

// Wait is a long poll of exactly one prefix. ErrGone counts as an answer.
//
// Only the current source may hold the poll. If it fails, or wait is 0, the others are asked for their present changes,
// so that several VMs that fail together cost no more time than one.
func (f *FailoverSource) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	prefix := prefixes[0]
	sources, current := f.sources()
	if first := sources[0]; wait > 0 && first.Name == current && !first.isStore {
		changes, err := f.poll(ctx, first, prefix, after, min(wait, f.mirrorPollTimeout))
		if err == nil {
			return changes.batchOrGone()
		}
		if ctx.Err() == nil {
			f.recordFailure(first, err)
		}
		sources = sources[1:]
	}
	changes, chosen, problem := race(ctx, f, sources, func(ctx context.Context, s source) (pollResult, error) {
		limit := time.Duration(0)
		if s.isStore && s.Name == current {
			limit = wait
		}
		return f.poll(ctx, s, prefix, after, limit)
	})
	if ctx.Err() == nil {
		f.recordRound(chosen.Source != nil)
	}
	if chosen.Source == nil {
		return objectapi.Batch{}, problem
	}
	f.setCurrent(chosen.Name, current, problem)
	return changes.batchOrGone()
}

// pollResult is a source's answer to a poll. gone stands for ErrGone.
type pollResult struct {
	batch objectapi.Batch
	gone  bool
}

func (c pollResult) batchOrGone() (objectapi.Batch, error) {
	if c.gone {
		return c.batch, objectapi.ErrGone
	}
	return c.batch, nil
}

// poll requests the changes of a prefix from one source.
func (f *FailoverSource) poll(ctx context.Context, s source, prefix string, after uint64, wait time.Duration) (pollResult, error) {
	batch, err := s.Source.Wait(ctx, prefix, after, wait)
	if errors.Is(err, objectapi.ErrGone) {
		return pollResult{gone: true}, nil
	}
	if err == nil {
		f.advanceVersion(prefix, batch.Version)
	}
	return pollResult{batch: batch}, err
}

// advanceVersion records a version of a prefix. It returns false if a newer one was seen before; version 0 asks whether
// none was seen yet.
func (f *FailoverSource) advanceVersion(prefix string, version uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.newestVersions[prefix] {
		return false
	}
	f.newestVersions[prefix] = version
	return true
}
