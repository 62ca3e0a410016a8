package feed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/feed"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// source answers with a version, or fails.
type source struct {
	version uint64
	err     error
	asked   int
	// silent sources answer only when the asker gives up.
	silent bool
	// old is the version of what it knew last; 0 where it knows nothing.
	old uint64
}

func (s *source) LastKnown(context.Context, string) (objectapi.Snapshot, error) {
	if s.old == 0 {
		return objectapi.Snapshot{}, objectapi.ErrUnavailable
	}
	return objectapi.Snapshot{Version: s.old}, nil
}

func (s *source) List(ctx context.Context, _ string) (objectapi.Snapshot, error) {
	s.asked++
	if s.silent {
		<-ctx.Done()
		return objectapi.Snapshot{}, ctx.Err()
	}
	return objectapi.Snapshot{Version: s.version}, s.err
}

func (s *source) Wait(ctx context.Context, _ string, _ uint64, wait time.Duration) (objectapi.Batch, error) {
	s.asked++
	if s.silent {
		ctx, cancel := context.WithTimeout(ctx, wait+500*time.Millisecond) // as mirror.Client
		defer cancel()
		<-ctx.Done()
		return objectapi.Batch{}, objectapi.ErrUnavailable
	}
	return objectapi.Batch{Version: s.version}, s.err
}

func newFeed(direct *source, mirrors ...*source) *feed.FailoverSource {
	log := logrus.New()
	log.SetOutput(io.Discard)
	list := func() []feed.NamedMirror {
		var named []feed.NamedMirror
		for i, m := range mirrors {
			named = append(named, feed.NamedMirror{Name: string(rune('a' + i)), Mirror: m})
		}
		return named
	}
	return feed.New(list, feed.NamedSource{Name: "direct", Source: direct}, log)
}

func TestMirrorsComeFirstAndTheStoreLast(t *testing.T) {
	direct, a, b := &source{version: 9}, &source{version: 5}, &source{version: 6}
	f := newFeed(direct, a, b)
	snapshot, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	a.err = objectapi.ErrUnavailable
	batch, err := f.Wait(context.Background(), []string{"k/"}, 5, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.Version, uint64(6))
	// It stays with the one that answered.
	a.err, a.asked = nil, 0
	_, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, a.asked, 0)
	a.err, b.err = objectapi.ErrUnavailable, objectapi.ErrUnavailable
	batch, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.NilError(t, err)
	assert.Equal(t, batch.Version, uint64(9))
	direct.err = objectapi.ErrUnavailable
	_, err = f.Wait(context.Background(), []string{"k/"}, 6, time.Second)
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestListsNeverGoBack: a mirror that is behind what was seen before is passed over.
func TestListsNeverGoBack(t *testing.T) {
	direct, a := &source{version: 9}, &source{version: 8}
	f := newFeed(direct, a)
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

func TestHistoryThatIsGoneIsAnAnswer(t *testing.T) {
	direct, a := &source{version: 9}, &source{err: objectapi.ErrGone}
	_, err := newFeed(direct, a).Wait(context.Background(), []string{"k/"}, 1, time.Second)
	assert.Assert(t, errors.Is(err, objectapi.ErrGone))
	assert.Equal(t, direct.asked, 0)
}

// TestOldContentServesThoseWhoKnowNothing: after a loss of power everywhere, with the store away.
func TestOldContentServesThoseWhoKnowNothing(t *testing.T) {
	direct, a, b := &source{err: objectapi.ErrUnavailable}, &source{err: objectapi.ErrUnavailable, old: 4}, &source{err: objectapi.ErrUnavailable, old: 6}
	f := newFeed(direct, a, b)
	snapshot, err := f.List(context.Background(), "k/")
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(6))
	assert.Assert(t, snapshot.Stale)
	_, err = f.List(context.Background(), "k/")
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestFailedStoreIsLeftAlone: mirrors ask it too, so each reader asks it only now and then.
func TestFailedStoreIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{err: objectapi.ErrUnavailable}, &source{err: objectapi.ErrUnavailable}
		f := newFeed(direct, a)
		for range 60 {
			_, err := f.List(context.Background(), "k/")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, direct.asked, 2)
		assert.Equal(t, a.asked, 60)
	})
}

// TestSilentSourceHoldsNoListUp: a VM without power keeps a connection waiting; the next source is asked soon.
func TestSilentSourceHoldsNoListUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a, b := &source{version: 9}, &source{silent: true}, &source{silent: true}
		began := time.Now()
		snapshot, err := newFeed(direct, a, b).List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(9))
		assert.Equal(t, time.Since(began), 60*time.Millisecond)
	})
}

// TestDarkMirrorsCostOneWait: the mirror in use and two others lose power together; a change is seen once the
// watch on the first has failed, not after a watch on each.
func TestDarkMirrorsCostOneWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a, b, c, d := &source{version: 9}, &source{version: 5}, &source{version: 5}, &source{version: 5}, &source{version: 5}
		f := newFeed(direct, a, b, c, d)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		a.silent, b.silent, c.silent, d.version = true, true, true, 6
		began := time.Now()
		batch, err := f.Wait(context.Background(), []string{"k/"}, 5, 1500*time.Millisecond)
		assert.NilError(t, err)
		assert.Equal(t, batch.Version, uint64(6))
		assert.Equal(t, time.Since(began), 1560*time.Millisecond)
		assert.Equal(t, direct.asked, 0)
	})
}

// counted is a source that tells how often it was asked for a list.
type counted struct {
	source
	lists int
}

func (c *counted) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	c.lists++
	time.Sleep(200 * time.Millisecond) // a large one over a slow link
	return c.source.List(ctx, prefix)
}

// TestOneSourceIsAskedForAList: a list that takes long must not be asked of every source at once.
func TestOneSourceIsAskedForAList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		var all []*counted
		var mirrors []feed.NamedMirror
		for i := range 5 {
			c := &counted{source: source{version: 5}}
			all = append(all, c)
			mirrors = append(mirrors, feed.NamedMirror{Name: string(rune('a' + i)), Mirror: c})
		}
		f := feed.New(func() []feed.NamedMirror { return mirrors }, feed.NamedSource{Name: "direct", Source: &source{version: 9}}, log)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		lists := 0
		for _, c := range all {
			lists += c.lists
		}
		assert.Equal(t, lists, 1)
	})
}

// TestNewsIsSoughtBesideASilentStore: a reader of the store itself asks, after an outage, what there is now; mirrors that
// are back answer although the store's connection is dead.
func TestNewsIsSoughtBesideASilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{version: 5}, &source{err: objectapi.ErrUnavailable}
		f := newFeed(direct, a)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		direct.silent, a.err, a.version = true, nil, 7
		began := time.Now()
		batch, err := f.Wait(context.Background(), []string{"k/"}, 5, 0)
		assert.NilError(t, err)
		assert.Equal(t, batch.Version, uint64(7))
		assert.Assert(t, time.Since(began) <= 30*time.Millisecond)
	})
}

// TestStoreIsAskedSoonWhereNoMirrorAnswers: all store daemons are down when the store returns, so nobody else says so.
func TestStoreIsAskedSoonWhereNoMirrorAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{err: objectapi.ErrUnavailable}, &source{err: fmt.Errorf("%w: %w", objectapi.ErrUnavailable, peerlink.ErrUnreachable)}
		f := newFeed(direct, a)
		for range 60 {
			_, err := f.Wait(context.Background(), []string{"k/"}, 5, 0)
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, direct.asked, 12)
		direct.err, direct.version = nil, 7
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

// TestGivenUpCallIsNoFailure: a watch that its reader ends must not leave the store alone for seconds.
func TestGivenUpCallIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{version: 5}, &source{err: objectapi.ErrUnavailable}
		f := newFeed(direct, a)
		_, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		direct.silent = true
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err = f.Wait(ctx, []string{"k/"}, 5, time.Second)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		direct.silent = false
		_, err = f.Wait(context.Background(), []string{"k/"}, 5, 0)
		assert.NilError(t, err)
	})
}

// TestGivenUpListIsNoFailure: the same for a daemon that has just started.
func TestGivenUpListIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{silent: true, version: 5}, &source{err: objectapi.ErrUnavailable}
		f := newFeed(direct, a)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, err := f.List(ctx, "k/")
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		direct.silent = false
		snapshot, err := f.List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(5))
	})
}

// TestFewMirrorsAreAskedWhileNobodyAnswers, and all of them in turn.
func TestFewMirrorsAreAskedWhileNobodyAnswers(t *testing.T) {
	direct := &source{err: objectapi.ErrUnavailable}
	var mirrors []*source
	for range 30 {
		mirrors = append(mirrors, &source{err: objectapi.ErrUnavailable})
	}
	f := newFeed(direct, mirrors...)
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

// TestSilentStoreHoldsNoOldCopyUp: a daemon that starts while the store is silent, and mirrors have lost it.
func TestSilentStoreHoldsNoOldCopyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct, a := &source{silent: true}, &source{err: objectapi.ErrUnavailable, old: 4}
		f := newFeed(direct, a)
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

// TestStoreIsAskedAgainBesideSilentMirrors: power is back everywhere but at the store daemons, as an outage ends 0.1 s after a
// daemon has started. Its first list waited 0.5 s for them.
func TestStoreIsAskedAgainBesideSilentMirrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &source{err: objectapi.ErrUnavailable, version: 7}
		f := newFeed(direct, &source{silent: true}, &source{silent: true}, &source{silent: true})
		began := time.Now()
		go func() {
			time.Sleep(100 * time.Millisecond)
			direct.err = nil
		}()
		snapshot, err := f.List(t.Context(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(7))
		assert.Assert(t, time.Since(began) <= 250*time.Millisecond, "%v", time.Since(began))
		assert.Assert(t, direct.asked <= 4, "%d calls", direct.asked)
	})
}

// TestFirstListWithoutMirrorsEnds: its reader pauses and asks again.
func TestFirstListWithoutMirrorsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		direct := &source{err: objectapi.ErrUnavailable}
		_, err := newFeed(direct).List(t.Context(), "k/")
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		assert.Equal(t, direct.asked, 1)
	})
}

// TestCrowdLeavesAStoreThatItsMirrorsHaveLostAlone: 259 readers before 36 mirrors, in an outage of 8 s. Before, each asked the
// store at once and then every 3 s: 777 priced calls; now at most 163 in thirty outages. With few mirrors each is asked at
// once: the store may turn those away and serve the reader.
func TestCrowdLeavesAStoreThatItsMirrorsHaveLostAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := func(readers, mirrors int) (calls int) {
			var feeds []*feed.FailoverSource
			direct := &source{err: objectapi.ErrUnavailable}
			var lost []*source
			for range mirrors {
				lost = append(lost, &source{version: 5})
			}
			for range readers {
				feeds = append(feeds, newFeed(direct, lost...))
			}
			round := func() {
				for _, f := range feeds {
					_, _ = f.Wait(context.Background(), []string{"k/"}, 5, time.Second) // fails while the store is away
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
			return direct.asked
		}
		most := 0
		for range 10 {
			most = max(most, asked(259, 36))
		}
		assert.Assert(t, most <= 259, "%d calls", most)
		assert.Equal(t, asked(10, 3), 10*3)
	})
}

// TestMirrorsThatKnowNothingYetHaveLostNothing: after a kill of all, fronts start while store daemons wait for their own
// first lists. That says nothing of the store: it is asked at once, however many mirrors there are.
func TestMirrorsThatKnowNothingYetHaveLostNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 20 {
			direct := &source{version: 9}
			mirrors := make([]*source, 9)
			for i := range mirrors {
				mirrors[i] = &source{err: objectapi.ErrNotSynced}
			}
			f := newFeed(direct, mirrors...)
			began := time.Now()
			snapshot, err := f.List(t.Context(), "k/")
			assert.NilError(t, err)
			assert.Equal(t, snapshot.Version, uint64(9))
			assert.Assert(t, time.Since(began) <= 300*time.Millisecond, "known after %v", time.Since(began))
		}
	})
}

// TestBusyMirrorsAreNotAllAsked: where every mirror is slow, as when a fleet starts, a reader asks a few of them and no more,
// however many there are.
func TestBusyMirrorsAreNotAllAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mirrors []*source
		for range 119 {
			mirrors = append(mirrors, &source{silent: true, version: 5})
		}
		direct := &source{}
		f := newFeed(direct, mirrors...)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := f.List(ctx, "k/")
		assert.Assert(t, err != nil)
		asked := 0
		for _, m := range mirrors {
			asked += min(1, m.asked)
		}
		assert.Assert(t, asked > 6 && asked <= 12, "%d mirrors were asked", asked)
		assert.Equal(t, direct.asked, 0, "the store is not asked because a fleet is busy")
	})
}

// TestDarkDataCentreHoldsNoListUp: the six best mirrors, all of one data centre, have no power.
func TestDarkDataCentreHoldsNoListUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mirrors []*source
		for i := range 36 {
			mirrors = append(mirrors, &source{silent: i < 8, version: 5})
		}
		direct := &source{version: 9}
		began := time.Now()
		snapshot, err := newFeed(direct, mirrors...).List(context.Background(), "k/")
		assert.NilError(t, err)
		assert.Equal(t, snapshot.Version, uint64(5))
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond, "%v", time.Since(began))
		assert.Equal(t, direct.asked, 0)
	})
}
