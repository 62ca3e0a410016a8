package mirror_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

func object(key string, version uint64) objectapi.Object {
	return objectapi.Object{Key: "k/" + key, Version: version}
}

// list returns a mirror's copy, and an error if it may not be served as current.
func list(m *mirror.Mirror) (objectapi.Snapshot, error) {
	snapshot, _ := m.LastKnown()
	_, err := m.Ages()
	return snapshot, err
}

func TestStaleMirrorRefusesReaders(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	_, err := list(m)
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
	assert.ErrorIs(t, err, objectapi.ErrNotSynced, "an empty mirror has had no outage")
	m.Reset([]objectapi.Object{object("a", 3)}, 5)
	m.Confirm(5, time.Now())
	snapshot, err := list(m)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	m.SourceUnavailable()
	_, err = m.Wait(context.Background(), 5, time.Hour)
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestAgedCopyIsRefused checks that a copy that is no longer confirmed is refused although no call to the API has
// failed.
func TestAgedCopyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New("k/", 2*time.Second)
		m.Reset([]objectapi.Object{object("a", 3)}, 5)
		m.Confirm(5, time.Now())
		time.Sleep(1500 * time.Millisecond)
		_, err := list(m)
		assert.NilError(t, err)
		_, err = m.Wait(context.Background(), 5, time.Second)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable, "the copy exceeded its maximum age while the reader waited")
		_, err = list(m)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		snapshot, known := m.LastKnown()
		assert.Assert(t, known)
		assert.Equal(t, snapshot.Version, uint64(5))
		m.Confirm(6, time.Now())
		_, err = list(m)
		assert.NilError(t, err)
	})
}

// TestOutagesAreReported checks that readers learn the time since the last outage, also if no call failed during it.
func TestOutagesAreReported(t *testing.T) {
	for name, outage := range map[string]func(m *mirror.Mirror){
		"noticed": func(m *mirror.Mirror) { m.SourceUnavailable() },
		"silent":  func(*mirror.Mirror) { time.Sleep(3 * time.Second) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := mirror.New("k/", 2*time.Second)
				m.Reset([]objectapi.Object{object("a", 3)}, 5)
				m.Confirm(5, time.Now())
				sinceOutage := func() time.Duration {
					batch, err := m.Wait(t.Context(), 5, 0)
					assert.NilError(t, err)
					ages, err := m.Ages()
					assert.NilError(t, err)
					assert.Equal(t, batch.SinceOutage, ages.SinceOutage)
					return ages.SinceOutage
				}
				assert.Equal(t, sinceOutage(), time.Duration(0))
				outage(m)
				m.Confirm(6, time.Now())
				assert.Assert(t, sinceOutage() > 0, "an outage that has just ended is reported")
				time.Sleep(time.Second)
				m.Confirm(6, time.Now())
				assert.Equal(t, sinceOutage(), time.Second)
			})
		})
	}
}

// TestDeletionsAreSeenOnce checks that every reader sees a deletion although it carries the object's old version.
func TestDeletionsAreSeenOnce(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset([]objectapi.Object{object("a", 3)}, 5)
	m.Confirm(5, time.Now())
	m.Change(objectapi.Event{Object: object("a", 3), Deleted: true})
	m.Confirm(8, time.Now())
	batch, err := m.Wait(context.Background(), 5, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 1)
	assert.Equal(t, batch.Version, uint64(8))
	batch, err = m.Wait(context.Background(), batch.Version, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 0)
}

func TestWaitReturnsChangesOrErrGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New("k/", time.Hour)
		m.Reset(nil, 5)
		m.Confirm(5, time.Now())
		_, err := m.Wait(context.Background(), 4, 0)
		assert.ErrorIs(t, err, objectapi.ErrGone)
		done := make(chan objectapi.Batch, 1)
		go func() {
			batch, _ := m.Wait(context.Background(), 5, time.Minute)
			done <- batch
		}()
		time.Sleep(time.Second)
		m.Change(objectapi.Event{Object: object("a", 7)})
		m.Confirm(7, time.Now())
		assert.Equal(t, len((<-done).Events), 1)
		began := time.Now()
		batch, err := m.Wait(context.Background(), 7, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Events), 0)
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// TestReaderAheadNeverGoesBack checks that a reader that has seen a newer version elsewhere gets no older changes.
func TestReaderAheadNeverGoesBack(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset(nil, 5)
	m.Confirm(5, time.Now())
	m.Change(objectapi.Event{Object: object("a", 7)})
	m.Confirm(7, time.Now())
	batch, err := m.Wait(context.Background(), 9, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 0)
	assert.Equal(t, batch.Version, uint64(9))
}

func TestHistoryIsBounded(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset(nil, 1)
	m.Confirm(1, time.Now())
	for v := uint64(2); v < 5000; v++ {
		m.Change(objectapi.Event{Object: object(fmt.Sprint(v%7), v)})
		m.Confirm(v, time.Now())
	}
	_, err := m.Wait(context.Background(), 1, 0)
	assert.ErrorIs(t, err, objectapi.ErrGone)
	batch, err := m.Wait(context.Background(), 4900, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 99)
}

// TestRelistIsServedAsChanges checks that readers continue without a new list after the mirror had to list again.
func TestRelistIsServedAsChanges(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset([]objectapi.Object{object("same", 1), object("changed", 2), object("gone", 3)}, 5)
	m.Confirm(5, time.Now())
	m.Reset([]objectapi.Object{object("same", 1), object("changed", 8), object("new", 7)}, 9)
	m.Confirm(9, time.Now())
	batch, err := m.Wait(context.Background(), 5, 0)
	assert.NilError(t, err)
	assert.Equal(t, batch.Version, uint64(9))
	seen := map[string]bool{}
	for _, e := range batch.Events {
		seen[fmt.Sprint(e.Key, " ", e.Version, " ", e.Deleted)] = true
	}
	assert.DeepEqual(t, seen, map[string]bool{"k/changed 8 false": true, "k/new 7 false": true, "k/gone 3 true": true})
	snapshot, err := list(m)
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Objects), 3)
}

func TestSnapshotIsEncodedOncePerVersion(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	var objects []objectapi.Object
	for i := range 3000 {
		o := object(fmt.Sprint("server-", i), uint64(i+1))
		o.Value = []byte(fmt.Sprintf(`{"service":"x","address":"10.0.0.%d:80","state":"ready"}`, i))
		objects = append(objects, o)
	}
	m.Reset(objects, 4000)
	m.Confirm(4000, time.Now())
	var first, again mirror.ListReply
	service := mirror.NewService(m)
	assert.NilError(t, service.List(&mirror.ListArgs{Prefix: "k/"}, &first))
	assert.NilError(t, service.List(&mirror.ListArgs{Prefix: "k/"}, &again))
	assert.Assert(t, &first.Packed[0] == &again.Packed[0], "encoded twice")
	assert.Assert(t, len(first.Packed) < 120_000, "%d bytes", len(first.Packed))
	snapshot, err := mirror.DecodeSnapshot(first.Packed)
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Objects), 3000)
	m.Change(objectapi.Event{Object: object("server-1", 4001)})
	m.Confirm(4001, time.Now())
	assert.NilError(t, service.List(&mirror.ListArgs{Prefix: "k/"}, &again))
	snapshot, err = mirror.DecodeSnapshot(again.Packed)
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(4001))
	_, err = mirror.DecodeSnapshot([]byte("no list"))
	assert.ErrorContains(t, err, "mirror")
}

// TestWatermarkOverAHop checks that a watermark is never overstated by the delay of a reply, nor understated by the
// time for which the call was held.
func TestWatermarkOverAHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		m := mirror.New("k/", time.Hour)
		m.Reset([]objectapi.Object{object("a", 3)}, 5)
		m.Confirm(5, time.Now())
		m.Watermark(time.Now())
		confirmed := time.Now()
		l, err := fabric.Listen("store", "store:1")
		assert.NilError(t, err)
		go func() { _ = peerlink.Serve(l, map[string]any{mirror.ServiceName: mirror.NewService(m)}) }()
		dial := func(ctx context.Context, _, address string) (net.Conn, error) {
			return fabric.Dial(ctx, "front", address)
		}
		client := mirror.NewClient(peerlink.NewPool(dial).LinkTo("store:1"))
		defer func() {
			fabric.Kill("store")
			time.Sleep(time.Minute) // timers of closed connections run out
		}()
		batch, err := client.Wait(t.Context(), "k/", 5, time.Second)
		assert.NilError(t, err)
		assert.Assert(t, !batch.Certain.After(confirmed), "later by %v", batch.Certain.Sub(confirmed))
		assert.Assert(t, batch.Certain.After(confirmed.Add(-50*time.Millisecond)), "earlier by %v", confirmed.Sub(batch.Certain))
		for _, delay := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			go func() {
				fabric.Freeze("front")
				time.Sleep(delay)
				fabric.Thaw("front")
			}()
			batch, err = client.Wait(t.Context(), "k/", 5, 0)
			assert.NilError(t, err)
			assert.Assert(t, !batch.Certain.After(confirmed), "after %v: later by %v", delay, batch.Certain.Sub(confirmed))
			snapshot, err := client.List(t.Context(), "k/")
			assert.NilError(t, err)
			assert.Assert(t, !snapshot.Certain.After(confirmed))
		}
		m.SourceUnavailable()
		_, err = client.Wait(t.Context(), "k/", 5, 0)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
	})
}
