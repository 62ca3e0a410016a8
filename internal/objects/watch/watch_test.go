package watch_test

import (
	"cmp"
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// recordingHandler is a handler that keeps a copy.
type recordingHandler struct {
	prefix  string // "a/" if empty
	objects map[string]uint64
	version uint64
	at      time.Time
	lost    atomic.Int64
}

func (c *recordingHandler) Prefix() string { return cmp.Or(c.prefix, "a/") }

func (c *recordingHandler) Reset(objects []objectapi.Object, _ uint64) {
	c.objects = map[string]uint64{}
	for _, object := range objects {
		c.objects[object.Key] = object.Version
	}
}

func (c *recordingHandler) Change(event objectapi.Event) {
	if event.Deleted {
		delete(c.objects, event.Key)
		return
	}
	c.objects[event.Key] = event.Version
}

func (c *recordingHandler) Confirm(version uint64, at time.Time) { c.version, c.at = version, at }
func (c *recordingHandler) SourceUnavailable()                   { c.lost.Add(1) }

// timesLost returns how often the source was reported as unavailable.
func (c *recordingHandler) timesLost() int { return int(c.lost.Load()) }

func TestWatchCatchesUp(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault func(*apitest.API, *memapi.API)
	}{
		{"no fault", func(*apitest.API, *memapi.API) {}},
		{"outage", func(a *apitest.API, _ *memapi.API) { a.SetFault(apitest.Down) }},
		{"hang", func(a *apitest.API, _ *memapi.API) { a.SetFault(apitest.Hang) }},
		{"place lost", func(_ *apitest.API, m *memapi.API) { m.Compact() }},
		{"place lost in an outage", func(a *apitest.API, m *memapi.API) { a.SetFault(apitest.Down); m.Compact() }},
	} {
		t.Run(row.name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				store := memapi.New()
				api := apitest.New(store)
				c := &recordingHandler{}
				stop := run(t, watch.New(watch.NewSharedSource(api), 100*time.Millisecond, c))
				first, err := store.Put(t.Context(), "a/1", nil, objectapi.MustNotExist)
				assert.NilError(t, err)
				<-time.After(time.Second)
				row.fault(api, store)
				_, err = store.Put(t.Context(), "a/2", nil, objectapi.MustNotExist)
				assert.NilError(t, err)
				_, err = store.Delete(t.Context(), "a/1", first.Version)
				assert.NilError(t, err)
				row.fault(api, store)
				<-time.After(20 * time.Second)
				api.SetFault(apitest.None)
				<-time.After(10 * time.Second)
				stop()
				assert.DeepEqual(t, c.objects, map[string]uint64{"a/2": 2})
				assert.Equal(t, c.version, uint64(3))
			})
		})
	}
}

// TestOutageIsLoggedOnce checks that an outage logs one line at its start and one at its end, and that stopping the
// watcher logs none.
func TestOutageIsLoggedOnce(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		api := apitest.New(memapi.New())
		c := &recordingHandler{}
		log, lines := logtest.NewNullLogger()
		w := watch.New(watch.NewSharedSource(api), 100*time.Millisecond, c).WithLog(log)
		assert.Assert(t, w.Age() < 0)
		stop := run(t, w)
		<-time.After(time.Second)
		api.SetFault(apitest.Down)
		<-time.After(20 * time.Second)
		assert.Assert(t, w.Age() > 10*time.Second, "%v", w.Age())
		api.SetFault(apitest.None)
		<-time.After(10 * time.Second)
		lost := c.timesLost()
		stop()
		assert.Equal(t, c.timesLost(), lost)
		var events []any
		for _, line := range lines.AllEntries() {
			events = append(events, line.Data["event"])
		}
		assert.DeepEqual(t, events, []any{"watch-lost", "watch-regained"})
		outage := lines.LastEntry().Data["outage_ms"].(int64)
		assert.Assert(t, outage > 15_000 && outage < 20_300, "%d ms", outage)
	})
}

func TestWatchIsPaced(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		store := memapi.New()
		c := &recordingHandler{}
		w := watch.New(watch.NewSharedSource(store), 100*time.Millisecond, c)
		stop := run(t, w)
		<-time.After(2 * time.Second)
		before := w.Calls()
		for i := range 500 {
			_, err := store.Put(t.Context(), fmt.Sprintf("a/%d", i), nil, objectapi.MustNotExist)
			assert.NilError(t, err)
			<-time.After(2 * time.Millisecond)
		}
		assert.Assert(t, w.Calls()-before <= 11, "%d calls for one second of changes", w.Calls()-before)
		<-time.After(time.Second)
		stop()
		assert.Equal(t, len(c.objects), 500)
	})
}

// TestRecoveryIsNoticedSoon checks that the end of an outage is noticed within 400 ms, whatever its length and kind.
func TestRecoveryIsNoticedSoon(t *testing.T) {
	for name, fault := range map[string]apitest.Fault{"refuses": apitest.Down, "is silent": apitest.Hang} {
		for _, length := range []time.Duration{time.Second, 5 * time.Second, time.Minute, 20 * time.Minute} {
			t.Run(fmt.Sprint(name, "/", length), func(t *testing.T) {
				testbubble.Run(t, func(t *testing.T) {
					api := apitest.New(memapi.New())
					c := &recordingHandler{}
					stop := run(t, watch.New(watch.NewSharedSource(api), 0, c))
					defer stop()
					for range 5 {
						<-time.After(time.Second)
						api.SetFault(fault)
						<-time.After(length)
						object, err := api.API.Put(t.Context(), "a/1", nil, c.objects["a/1"])
						assert.NilError(t, err)
						api.SetFault(apitest.None)
						<-time.After(400 * time.Millisecond)
						assert.Equal(t, c.objects["a/1"], object.Version)
						assert.Equal(t, c.version, object.Version)
					}
				})
			})
		}
	}
}

// blackholeSource never answers calls that were pending while it was silent.
type blackholeSource struct {
	*apitest.API
	broken   string // lists of this prefix fail, and watches too if mute is set
	mute     bool
	waits    atomic.Int64
	silent   atomic.Bool
	silences atomic.Int64
}

func (s *blackholeSource) fallSilent() {
	s.silences.Add(1)
	s.silent.Store(true)
}

func (s *blackholeSource) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	if prefix == s.broken {
		return objectapi.Snapshot{}, objectapi.ErrUnavailable
	}
	return s.API.List(ctx, prefix)
}

func (s *blackholeSource) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	s.waits.Add(1)
	if s.mute && prefixes[0] == s.broken {
		return objectapi.Batch{}, objectapi.ErrUnavailable
	}
	silences, silent := s.silences.Load(), s.silent.Load()
	batch, err := s.API.Wait(ctx, prefixes, after, wait)
	if silent || s.silences.Load() > silences {
		<-ctx.Done()
		return objectapi.Batch{}, objectapi.ErrUnavailable
	}
	return batch, err
}

// TestRecoveryEndsLongPolls guards against a long poll that is lost in an outage and delays its watcher: the recovery
// noticed by another watcher of the same source must end it.
func TestRecoveryEndsLongPolls(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		store := memapi.New()
		api := &blackholeSource{API: apitest.New(store)}
		link := watch.NewSharedSource(api)
		quick, slow := &recordingHandler{}, &recordingHandler{prefix: "b/"}
		defer run(t, watch.New(link, 0, quick).WithPollTimeout(time.Second))()
		defer run(t, watch.New(link, 0, slow).WithPollTimeout(time.Hour))()
		<-time.After(time.Second)
		api.fallSilent()
		<-time.After(4 * time.Second)
		_, err := store.Put(t.Context(), "b/1", nil, objectapi.MustNotExist)
		assert.NilError(t, err)
		<-time.After(time.Second)
		assert.Equal(t, len(slow.objects), 0)
		api.silent.Store(false)
		<-time.After(400 * time.Millisecond)
		assert.Equal(t, len(slow.objects), 1)
	})
}

// TestOutageProbesDoNotMultiply checks that the probe rate during an outage does not grow with the number of watchers.
func TestOutageProbesDoNotMultiply(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		api := &blackholeSource{API: apitest.New(memapi.New())}
		link := watch.NewSharedSource(api)
		for i := range 6 {
			defer run(t, watch.New(link, 0, &recordingHandler{prefix: fmt.Sprint("p", i, "/")}).WithPollTimeout(time.Second))()
		}
		<-time.After(time.Second)
		api.SetFault(apitest.Down)
		<-time.After(5 * time.Second)
		before := api.waits.Load()
		<-time.After(100 * time.Second)
		calls := api.waits.Load() - before
		assert.Assert(t, calls < 600, "%d calls in 100 s", calls)
	})
}

// TestBrokenPrefixDoesNotDelayOthers checks that a prefix that can't be listed neither delays the recovery of other
// watchers nor multiplies their calls.
func TestBrokenPrefixDoesNotDelayOthers(t *testing.T) {
	for _, mute := range []bool{false, true} {
		t.Run(fmt.Sprint("watches fail too: ", mute), func(t *testing.T) { testBrokenPrefix(t, mute) })
	}
}

func testBrokenPrefix(t *testing.T, mute bool) {
	testbubble.Run(t, func(t *testing.T) {
		store := memapi.New()
		api := &blackholeSource{API: apitest.New(store), broken: "b/", mute: mute}
		link := watch.NewSharedSource(api)
		c := &recordingHandler{}
		healthy := watch.New(link, 0, c)
		defer run(t, watch.New(link, 0, &recordingHandler{prefix: "b/"}))()
		defer run(t, healthy)()
		<-time.After(time.Second)
		api.SetFault(apitest.Down)
		<-time.After(10 * time.Second)
		_, err := store.Put(t.Context(), "a/1", nil, objectapi.MustNotExist)
		assert.NilError(t, err)
		api.SetFault(apitest.None)
		<-time.After(800 * time.Millisecond)
		assert.Equal(t, len(c.objects), 1)
		before := healthy.Calls()
		<-time.After(20 * time.Second)
		calls := healthy.Calls() - before
		assert.Assert(t, calls <= 45, "%d calls in 20 s", calls)
	})
}

// staleSource returns a stale copy while its API is unavailable.
type staleSource struct {
	*apitest.API
	copy objectapi.Snapshot
}

func (o *staleSource) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	snapshot, err := o.API.List(ctx, prefix)
	if err != nil {
		return o.copy, nil
	}
	return snapshot, nil
}

// TestStaleListIsNotConfirmed checks that a stale list is delivered but counts as an outage until the source answers.
func TestStaleListIsNotConfirmed(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		store := memapi.New()
		object, err := store.Put(t.Context(), "a/1", nil, objectapi.MustNotExist)
		assert.NilError(t, err)
		api := &staleSource{apitest.New(store), objectapi.Snapshot{Objects: []objectapi.Object{object}, Version: object.Version, Stale: true}}
		api.SetFault(apitest.Down)
		c := &recordingHandler{}
		w := watch.New(watch.NewSharedSource(api), 0, c)
		defer run(t, w)()
		<-time.After(3 * time.Second)
		assert.Equal(t, len(c.objects), 1)
		assert.Equal(t, c.version, uint64(0))
		assert.Equal(t, c.timesLost(), 1)
		assert.Assert(t, w.Age() < 0)
		api.SetFault(apitest.None)
		<-time.After(400 * time.Millisecond)
		assert.Equal(t, c.version, object.Version)
		assert.Assert(t, w.Age() >= 0)
	})
}

// run starts a watcher and returns a function that stops it.
func run(t *testing.T, w *watch.Watcher) func() {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.Run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// outageSource reports a configurable time since an outage.
type outageSource struct{ sinceOutage atomic.Int64 }

func (s *outageSource) outage() time.Duration { return time.Duration(s.sinceOutage.Load()) }

func (s *outageSource) List(context.Context, string) (objectapi.Snapshot, error) {
	return objectapi.Snapshot{Version: 1, SinceOutage: s.outage()}, nil
}

func (s *outageSource) Wait(ctx context.Context, _ []string, _ uint64, d time.Duration) (objectapi.Batch, error) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
		return objectapi.Batch{}, ctx.Err()
	}
	return objectapi.Batch{Version: 1, SinceOutage: s.outage()}, nil
}

// TestUnnoticedOutageIsReported checks that handlers learn of an outage between two successful answers.
func TestUnnoticedOutageIsReported(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		source := &outageSource{}
		source.sinceOutage.Store(int64(time.Minute))
		c, other := &recordingHandler{}, &recordingHandler{prefix: "b/"}
		stop := run(t, watch.New(watch.NewSharedSource(source), 100*time.Millisecond, c, other).WithPollTimeout(time.Second))
		defer stop()
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, c.timesLost(), 0, "the outage ended before the watch began")
		source.sinceOutage.Store(int64(100 * time.Millisecond))
		time.Sleep(time.Second)
		assert.Equal(t, c.timesLost(), 1)
		assert.Equal(t, other.timesLost(), 1)
		source.sinceOutage.Store(int64(1100 * time.Millisecond))
		time.Sleep(time.Second)
		assert.Equal(t, c.timesLost(), 1, "the same outage is reported once")
	})
}
