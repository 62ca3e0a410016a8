package feed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/feed"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// fakeSource answers with a fixed version or error.
type fakeSource struct {
	// mu guards the following fields while a source is in use.
	mu      sync.Mutex
	version uint64
	err     error
	asked   int
	// silent sources answer only when the caller gives up.
	silent bool
	// old is the version of its last known content; 0 if there is none.
	old uint64
}

func (s *fakeSource) LastKnown(context.Context, string) (objectapi.Snapshot, error) {
	if s.old == 0 {
		return objectapi.Snapshot{}, objectapi.ErrUnavailable
	}
	return objectapi.Snapshot{Version: s.old}, nil
}

// answer counts a request and returns what a source that is not silent answers.
func (s *fakeSource) answer() (version uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked++
	return s.version, s.err
}

// recover ends the source's errors.
func (s *fakeSource) recover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = nil
}

func (s *fakeSource) List(ctx context.Context, _ string) (objectapi.Snapshot, error) {
	version, err := s.answer()
	if s.silent {
		<-ctx.Done()
		return objectapi.Snapshot{}, ctx.Err()
	}
	return objectapi.Snapshot{Version: version}, err
}

func (s *fakeSource) Wait(ctx context.Context, _ string, _ uint64, wait time.Duration) (objectapi.Batch, error) {
	version, err := s.answer()
	if s.silent {
		ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond) // as mirror.Client
		defer cancel()
		<-ctx.Done()
		return objectapi.Batch{}, errors.Join(objectapi.ErrUnavailable, fmt.Errorf("%w: %w", peerlink.ErrUnreachable, ctx.Err()))
	}
	return objectapi.Batch{Version: version}, err
}

func newFeed(store *fakeSource, mirrors ...*fakeSource) *feed.FailoverSource {
	log := logrus.New()
	log.SetOutput(io.Discard)
	list := func() []feed.NamedMirror {
		var named []feed.NamedMirror
		for i, m := range mirrors {
			named = append(named, feed.NamedMirror{Name: string(rune('a' + i)), Mirror: m})
		}
		return named
	}
	return feed.New(list, feed.NamedSource{Name: "direct", Source: store}, log)
}

func TestMirrorsArePreferredToTheStore(t *testing.T) {
	store, a, b := &fakeSource{version: 9}, &fakeSource{version: 5}, &fakeSource{version: 6}
	f := newFeed(store, a, b)
	snapshot, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	a.err = objectapi.ErrUnavailable
	batch, err := f.Wait(context.Background(), []string{"k/"}, 5, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.Version, uint64(6))
	// It stays with the source that answered.
	a.err, a.asked = nil, 0
	_, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, a.asked, 0)
	a.err, b.err = objectapi.ErrUnavailable, objectapi.ErrUnavailable
	batch, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.Version, uint64(9))
	store.err = objectapi.ErrUnavailable
	_, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestListsNeverGoBack checks that a mirror that is behind an earlier result is skipped.
func TestListsNeverGoBack(t *testing.T) {
	store, a := &fakeSource{version: 9}, &fakeSource{version: 8}
	f := newFeed(store, a)
	a.err = objectapi.ErrUnavailable
	_, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	a.err = nil
	snapshot, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(9))
	_, err = f.List(context.Background(), "other/")
	assert.NilError(t, err)
}

func TestErrGoneIsAnAnswer(t *testing.T) {
	store, a := &fakeSource{version: 9}, &fakeSource{err: objectapi.ErrGone}
	_, err := newFeed(store, a).Wait(context.Background(), []string{"k/"}, 1, time.Second)
	assert.Assert(t, errors.Is(err, objectapi.ErrGone))
	assert.Equal(t, store.asked, 0)
}

// TestStaleContentServesTheFirstListOnly checks that a reader that has just started gets stale content in an outage of
// the store, and later lists fail.
func TestStaleContentServesTheFirstListOnly(t *testing.T) {
	store, a, b := &fakeSource{err: objectapi.ErrUnavailable}, &fakeSource{err: objectapi.ErrUnavailable, old: 4}, &fakeSource{err: objectapi.ErrUnavailable, old: 6}
	f := newFeed(store, a, b)
	snapshot, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(6))
	assert.Assert(t, snapshot.Stale)
	_, err = f.List(context.Background(), "k/")
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestFailedStoreIsRetriedRarely checks that readers rarely ask a failed store while a mirror answers for it.
func TestFailedStoreIsRetriedRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{err: objectapi.ErrUnavailable}, &fakeSource{err: objectapi.ErrUnavailable}
		f := newFeed(store, a)
		for range 60 {
			_, err := f.List(context.Background(), "k/")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, store.asked, 2)
		assert.Equal(t, a.asked, 60)
	})
}

// TestSilentSourceDoesNotDelayLists checks that the next source is asked after hedgeDelay.
func TestSilentSourceDoesNotDelayLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a, b := &fakeSource{version: 9}, &fakeSource{silent: true}, &fakeSource{silent: true}
		began := time.Now()
		snapshot, err := newFeed(store, a, b).List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(9))
		assert.Equal(t, time.Since(began), 60*time.Millisecond)
	})
}

// TestFailedMirrorsCostOnePollTimeout checks that a change is seen after one poll timeout if the current mirror and two
// others fail together.
func TestFailedMirrorsCostOnePollTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a, b, c, d := &fakeSource{version: 9}, &fakeSource{version: 5}, &fakeSource{version: 5}, &fakeSource{version: 5}, &fakeSource{version: 5}
		f := newFeed(store, a, b, c, d)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		a.silent, b.silent, c.silent, d.version = true, true, true, 6
		began := time.Now()
		batch, err := f.Wait(context.Background(), []string{"k/"}, 5, 1500*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, batch.Version, uint64(6))
		assert.Equal(t, time.Since(began), 1560*time.Millisecond)
		assert.Equal(t, store.asked, 0)
	})
}

// countingSource counts its lists.
type countingSource struct {
	fakeSource
	lists int
}

func (c *countingSource) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	c.lists++
	time.Sleep(200 * time.Millisecond) // a large list over a slow link
	return c.fakeSource.List(ctx, prefix)
}

// TestOneSourceIsAskedForAList checks that a slow list is not requested from several sources.
func TestOneSourceIsAskedForAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		var all []*countingSource
		var mirrors []feed.NamedMirror
		for i := range 5 {
			c := &countingSource{fakeSource: fakeSource{version: 5}}
			all = append(all, c)
			mirrors = append(mirrors, feed.NamedMirror{Name: string(rune('a' + i)), Mirror: c})
		}
		f := feed.New(func() []feed.NamedMirror { return mirrors }, feed.NamedSource{Name: "direct", Source: &fakeSource{version: 9}}, log)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		lists := 0
		for _, c := range all {
			lists += c.lists
		}
		assert.Equal(t, lists, 1)
	})
}

// TestMirrorsArePolledBesideASilentStore checks that a poll without a wait asks recovered mirrors too while the store,
// which is the current source, is silent.
func TestMirrorsArePolledBesideASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{version: 5}, &fakeSource{err: objectapi.ErrUnavailable}
		f := newFeed(store, a)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		store.silent, a.err, a.version = true, nil, 7
		began := time.Now()
		batch, err := f.Wait(context.Background(), []string{"k/"}, 5, 0)
		assert.NilError(t, err)
		assert.Equal(t, batch.Version, uint64(7))
		assert.Assert(t, time.Since(began) <= 30*time.Millisecond)
	})
}

// TestStoreIsRetriedSoonWithoutMirrors checks that the store's recovery is noticed soon if no mirror is reachable.
func TestStoreIsRetriedSoonWithoutMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{err: objectapi.ErrUnavailable}, &fakeSource{err: fmt.Errorf("%w: %w", objectapi.ErrUnavailable, peerlink.ErrUnreachable)}
		f := newFeed(store, a)
		for range 60 {
			_, err := f.Wait(context.Background(), []string{"k/"}, 5, 0)
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, store.asked, 12)
		store.err, store.version = nil, 7
		returned := time.Now()
		for {
			if _, err := f.Wait(context.Background(), []string{"k/"}, 5, 0); err == nil {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		assert.Assert(t, time.Since(returned) <= 500*time.Millisecond)
	})
}

// TestCancelledPollIsNoFailure checks that a poll cancelled by its caller does not cause a pause of the store.
func TestCancelledPollIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{version: 5}, &fakeSource{err: objectapi.ErrUnavailable}
		f := newFeed(store, a)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		store.silent = true
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = f.Wait(ctx, []string{"k/"}, 5, time.Second)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		store.silent = false
		_, err = f.Wait(context.Background(), []string{"k/"}, 5, 0)
		assert.NilError(t, err)
	})
}

// TestCancelledListIsNoFailure checks the same for a first list.
func TestCancelledListIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{silent: true, version: 5}, &fakeSource{err: objectapi.ErrUnavailable}
		f := newFeed(store, a)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := f.List(ctx, "k/")
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		store.silent = false
		snapshot, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(5))
	})
}

// TestMirrorsAreSampledInAnOutage checks that each round asks a few mirrors, and the rounds together all of them.
func TestMirrorsAreSampledInAnOutage(t *testing.T) {
	store := &fakeSource{err: objectapi.ErrUnavailable}
	var mirrors []*fakeSource
	for range 30 {
		mirrors = append(mirrors, &fakeSource{err: objectapi.ErrUnavailable})
	}
	f := newFeed(store, mirrors...)
	asked := func() (sum int) {
		for _, m := range mirrors {
			sum += m.asked
		}
		return sum
	}
	for range 11 {
		_, err := f.Wait(context.Background(), []string{"k/"}, 5, 0)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
	}
	assert.Equal(t, asked(), 12+10*3)
	for _, m := range mirrors {
		assert.Assert(t, m.asked == 1 || m.asked == 2, "%d", m.asked)
	}
	mirrors[17].err, mirrors[17].version = nil, 6
	for range 10 {
		if _, err := f.Wait(context.Background(), []string{"k/"}, 5, 0); err == nil {
			return
		}
	}
	t.Fatal("a mirror that is back was not found")
}

// TestSilentStoreDoesNotDelayStaleContent checks that first lists return stale content soon if the store is silent and
// mirrors report an outage.
func TestSilentStoreDoesNotDelayStaleContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, a := &fakeSource{silent: true}, &fakeSource{err: objectapi.ErrUnavailable, old: 4}
		f := newFeed(store, a)
		began := time.Now()
		for _, prefix := range []string{"layout/", "config/", "servers/"} {
			ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
			snapshot, err := f.List(ctx, prefix)
			cancel()
			assert.NilError(t, err)
			assert.Assert(t, snapshot.Stale)
		}
		assert.Assert(t, time.Since(began) <= 600*time.Millisecond, "%v", time.Since(began))
	})
}

// TestStoreIsRetriedBesideSilentMirrors checks that a first list notices the store's recovery within 0.25 s while all
// mirrors are silent.
func TestStoreIsRetriedBesideSilentMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeSource{err: objectapi.ErrUnavailable, version: 7}
		f := newFeed(store, &fakeSource{silent: true}, &fakeSource{silent: true}, &fakeSource{silent: true})
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			store.recover()
		}()
		snapshot, err := f.List(t.Context(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(7))
		assert.Assert(t, time.Since(began) <= 250*time.Millisecond, "%v", time.Since(began))
		assert.Assert(t, store.asked <= 4, "%d calls", store.asked)
	})
}

// TestFirstListWithoutMirrorsAsksOnce checks that List does not retry by itself without mirrors; the caller does.
func TestFirstListWithoutMirrorsAsksOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeSource{err: objectapi.ErrUnavailable}
		_, err := newFeed(store).List(t.Context(), "k/")
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		assert.Equal(t, store.asked, 1)
	})
}

// TestManyReadersSpareTheStoreInAnOutage checks that 259 readers of 36 mirrors together send at most one request each
// to the store during an outage of 8 s. With few mirrors every reader asks at once, since the store may refuse the
// mirrors and serve the reader.
func TestManyReadersSpareTheStoreInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := func(readers, mirrors int) (calls int) {
			var feeds []*feed.FailoverSource
			store := &fakeSource{err: objectapi.ErrUnavailable}
			var lost []*fakeSource
			for range mirrors {
				lost = append(lost, &fakeSource{version: 5})
			}
			for range readers {
				feeds = append(feeds, newFeed(store, lost...))
			}
			round := func() {
				for _, f := range feeds {
					_, _ = f.Wait(context.Background(), []string{"k/"}, 5, time.Second) // fails during the outage
				}
			}
			round()
			for _, m := range lost {
				m.err = objectapi.ErrUnavailable
			}
			for range 40 {
				round()
				time.Sleep(200 * time.Millisecond)
			}
			return store.asked
		}
		most := 0
		for range 10 {
			most = max(most, asked(259, 36))
		}
		assert.Assert(t, most <= 259, "%d calls", most)
		assert.Equal(t, asked(10, 3), 10*3)
	})
}

// TestUnsyncedMirrorsReportNoOutage checks that the store is asked at once while mirrors still wait for their first
// lists, as after a restart of all daemons.
func TestUnsyncedMirrorsReportNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			store := &fakeSource{version: 9}
			mirrors := make([]*fakeSource, 9)
			for i := range mirrors {
				mirrors[i] = &fakeSource{err: objectapi.ErrNotSynced}
			}
			f := newFeed(store, mirrors...)
			began := time.Now()
			snapshot, err := f.List(t.Context(), "k/")
			assert.NilError(t, err)
			assert.Equal(t, snapshot.Version, uint64(9))
			assert.Assert(t, time.Since(began) <= 300*time.Millisecond, "known after %v", time.Since(began))
		}
	})
}

// TestBusyMirrorsAreNotAllAsked checks that a reader asks a bounded number of mirrors while all are slow.
func TestBusyMirrorsAreNotAllAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mirrors []*fakeSource
		for range 119 {
			mirrors = append(mirrors, &fakeSource{silent: true, version: 5})
		}
		store := &fakeSource{}
		f := newFeed(store, mirrors...)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := f.List(ctx, "k/")
		assert.Assert(t, err != nil)
		asked := 0
		for _, m := range mirrors {
			asked += min(1, m.asked)
		}
		assert.Assert(t, asked > 6 && asked <= 12, "%d mirrors were asked", asked)
		assert.Equal(t, store.asked, 0, "slow mirrors must not cause requests to the store")
	})
}

// TestStoreIsAskedBesideManySilentMirrors guards against readers that can't start while all mirrors are silent: the
// store must be asked within the 5 s that a watch allows for its lists. It must be asked as soon as all mirrors asked
// have failed if one of them did so otherwise than by silence.
func TestStoreIsAskedBesideManySilentMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			mirrors int
			refused bool
			after   time.Duration
		}{{36, false, 1400 * time.Millisecond}, {119, false, 3570 * time.Millisecond}, {259, false, 3600 * time.Millisecond},
			{119, true, 1880 * time.Millisecond}} {
			var mirrors []*fakeSource
			for range c.mirrors {
				mirrors = append(mirrors, &fakeSource{silent: true})
			}
			if c.refused {
				mirrors[0] = &fakeSource{err: fmt.Errorf("%w: %w", objectapi.ErrUnavailable, peerlink.ErrUnreachable)}
			}
			began := time.Now()
			snapshot, err := newFeed(&fakeSource{version: 9}, mirrors...).List(t.Context(), "k/")
			assert.NilError(t, err)
			assert.Equal(t, snapshot.Version, uint64(9))
			assert.Equal(t, time.Since(began), c.after, "%d mirrors, refused: %v", c.mirrors, c.refused)
		}
	})
}

// TestFailedDataCentreDoesNotDelayLists checks that lists succeed soon if the preferred mirrors, all of one data
// centre, are silent.
func TestFailedDataCentreDoesNotDelayLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mirrors []*fakeSource
		for i := range 36 {
			mirrors = append(mirrors, &fakeSource{silent: i < 8, version: 5})
		}
		store := &fakeSource{version: 9}
		began := time.Now()
		snapshot, err := newFeed(store, mirrors...).List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(5))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond, "%v", time.Since(began))
		assert.Equal(t, store.asked, 0)
	})
}
