package mirror_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/mirror"
	"github.com/rookpass/rookpass/internal/objectapi"
)

func object(key string, version uint64) objectapi.Object {
	return objectapi.Object{Key: "k/" + key, Version: version}
}

func TestNothingIsToldWhileStale(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	_, err := m.List()
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
	m.Reset([]objectapi.Object{object("a", 3)}, 5)
	m.Confirm(5)
	snapshot, err := m.List()
	assert.NilError(t, err)
	assert.Equal(t, snapshot.Version, uint64(5))
	m.Lost()
	_, err = m.Wait(context.Background(), 5, time.Hour)
	assert.ErrorIs(t, err, objectapi.ErrUnavailable)
}

// TestOldCopyIsNotToldAsFresh: the API has fallen silent, so that the copy ages although no call has failed yet.
func TestOldCopyIsNotToldAsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New("k/", 2*time.Second)
		m.Reset([]objectapi.Object{object("a", 3)}, 5)
		m.Confirm(5)
		time.Sleep(1500 * time.Millisecond)
		_, err := m.List()
		assert.NilError(t, err)
		_, err = m.Wait(context.Background(), 5, time.Second)
		assert.ErrorIs(t, err, objectapi.ErrUnavailable, "it grew too old while the reader waited")
		_, err = m.List()
		assert.ErrorIs(t, err, objectapi.ErrUnavailable)
		snapshot, known := m.Stale()
		assert.Assert(t, known)
		assert.Equal(t, snapshot.Version, uint64(5))
		m.Confirm(6)
		_, err = m.List()
		assert.NilError(t, err)
	})
}

// TestDeletionsAreSeenOnce: a deletion carries the object's old version, yet every reader sees it.
func TestDeletionsAreSeenOnce(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset([]objectapi.Object{object("a", 3)}, 5)
	m.Confirm(5)
	m.Change(objectapi.Event{Object: object("a", 3), Deleted: true})
	m.Confirm(8)
	batch, err := m.Wait(context.Background(), 5, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 1)
	assert.Equal(t, batch.Version, uint64(8))
	batch, err = m.Wait(context.Background(), batch.Version, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 0)
}

func TestWaitersWakeAndOldReadersListAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := mirror.New("k/", time.Hour)
		m.Reset(nil, 5)
		m.Confirm(5)
		_, err := m.Wait(context.Background(), 4, 0)
		assert.ErrorIs(t, err, objectapi.ErrGone)
		done := make(chan objectapi.Batch, 1)
		go func() {
			batch, _ := m.Wait(context.Background(), 5, time.Minute)
			done <- batch
		}()
		time.Sleep(time.Second)
		m.Change(objectapi.Event{Object: object("a", 7)})
		m.Confirm(7)
		assert.Equal(t, len((<-done).Events), 1)
		began := time.Now()
		batch, err := m.Wait(context.Background(), 7, time.Second)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Events), 0)
		assert.Equal(t, time.Since(began), time.Second)
	})
}

// TestReaderAheadNeverGoesBack: a reader that has seen more elsewhere is told nothing until the mirror is as
// far.
func TestReaderAheadNeverGoesBack(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset(nil, 5)
	m.Confirm(5)
	m.Change(objectapi.Event{Object: object("a", 7)})
	m.Confirm(7)
	batch, err := m.Wait(context.Background(), 9, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 0)
	assert.Equal(t, batch.Version, uint64(9))
}

func TestHistoryIsBounded(t *testing.T) {
	m := mirror.New("k/", time.Hour)
	m.Reset(nil, 1)
	m.Confirm(1)
	for v := uint64(2); v < 5000; v++ {
		m.Change(objectapi.Event{Object: object(fmt.Sprint(v%7), v)})
		m.Confirm(v)
	}
	_, err := m.Wait(context.Background(), 1, 0)
	assert.ErrorIs(t, err, objectapi.ErrGone)
	batch, err := m.Wait(context.Background(), 4900, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(batch.Events), 99)
}
