package journal_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

func TestMain(m *testing.M) {
	testbubble.Prepare()
	m.Run()
}

func entry(id string) *journal.Entry {
	return &journal.Entry{Records: []*peerv1.Record{{ProgramId: id}}}
}

// start runs a writer until the test ends.
func start(t *testing.T, api objectapi.API, options journal.Options) *journal.Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := journal.NewWriter(api, "d.1", rate.NewLimiter(100, 1), options)
	done := make(chan error, 1)
	go func() { done <- w.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return w
}

func TestWriterOutcomes(t *testing.T) {
	for _, row := range []struct {
		name  string
		fault apitest.Fault
		// lasts is the duration of the fault; within is the longest time the commit may take.
		lasts, within time.Duration
	}{
		{"no fault", apitest.None, 0, 100 * time.Millisecond},
		{"outage", apitest.Down, 10 * time.Second, 13 * time.Second},
		{"lost answers", apitest.LostResponses, 10 * time.Second, time.Second},
		{"lost requests", apitest.LostRequests, 10 * time.Second, 13 * time.Second},
		{"read-only", apitest.ReadOnly, 10 * time.Second, 13 * time.Second},
		{"hang", apitest.Hang, 10 * time.Second, 15 * time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				api := apitest.New(memapi.New())
				w := start(t, api, journal.DefaultOptions())
				api.SetFault(row.fault)
				time.AfterFunc(row.lasts, func() { api.SetFault(apitest.None) })
				began := time.Now()
				assert.NilError(t, w.Commit(t.Context(), entry("a")))
				assert.Assert(t, time.Since(began) <= row.within, "took %v", time.Since(began))
				assert.NilError(t, w.Commit(t.Context(), entry("b")))
				segments, err := journal.Seal(t.Context(), api, "d.1", 0, "d.2", "test")
				assert.NilError(t, err)
				assert.Equal(t, len(segments), 2)
			})
		})
	}
}

func TestSealEndsLog(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		api := memapi.New()
		w := start(t, api, journal.DefaultOptions())
		assert.NilError(t, w.Commit(t.Context(), entry("a")))
		segments, err := journal.Seal(t.Context(), api, "d.1", 0, "d.2", "test")
		assert.NilError(t, err)
		assert.Equal(t, len(segments), 1)
		assert.ErrorIs(t, w.Commit(t.Context(), entry("b")), journal.ErrSealed)
		assert.ErrorIs(t, w.Append(entry("c")), journal.ErrSealed)
		again, err := journal.Seal(t.Context(), api, "d.1", 0, "d.3", "test")
		assert.NilError(t, err)
		assert.Equal(t, len(again), 1)
	})
}

// frozen delays the responses of writes until thaw is closed.
type frozen struct {
	*memapi.API
	thaw chan struct{}
}

func (f *frozen) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	object, err := f.API.Put(ctx, key, value, ifVersion)
	<-f.thaw
	return object, err
}

// TestSealDuringSlowWriteIsDetected guards against a daemon that pauses while it writes an intent and then sends
// the call, although another daemon has sealed the log and closed the call meanwhile.
func TestSealDuringSlowWriteIsDetected(t *testing.T) {
	for name, row := range map[string]struct {
		freeze time.Duration
		sealed bool
		want   error
	}{
		"sealed meanwhile":  {12 * time.Second, true, journal.ErrSealed},
		"slow, not sealed":  {12 * time.Second, false, nil},
		"sealed right away": {600 * time.Millisecond, true, journal.ErrSealed},
	} {
		t.Run(name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				api := &frozen{memapi.New(), make(chan struct{})}
				w := start(t, api, journal.DefaultOptions())
				time.AfterFunc(row.freeze, func() { close(api.thaw) })
				time.AfterFunc(100*time.Millisecond, func() {
					if row.sealed {
						_, err := journal.Seal(context.Background(), api.API, "d.1", 0, "d.2", "test")
						assert.Check(t, err)
					}
				})
				applied := false
				e := entry("intent")
				e.Apply = func() { applied = true }
				err := w.Commit(t.Context(), e)
				assert.ErrorIs(t, err, row.want)
				assert.Equal(t, applied, row.want == nil)
			})
		})
	}
}

func TestSpillIsBounded(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		api := apitest.New(memapi.New())
		api.SetFault(apitest.Down)
		options := journal.DefaultOptions()
		options.MaxPendingBytes = 100
		w := start(t, api, options)
		var err error
		count := 0
		for ; err == nil; count++ {
			err = w.Append(entry("program"))
		}
		assert.ErrorIs(t, err, journal.ErrFull)
		assert.Assert(t, w.Full())
		assert.Assert(t, w.PendingBytes() <= 100)
		api.SetFault(apitest.None)
		assert.NilError(t, waitUntil(func() bool { return w.PendingBytes() == 0 }))
		segments, err := journal.Seal(t.Context(), api, "d.1", 0, "d.2", "test")
		assert.NilError(t, err)
		assert.Equal(t, len(records(segments)), count-1, "accepted entries must be durable")
	})
}

func TestBusyWriterGathers(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		api := apitest.New(memapi.New())
		api.SetDelay(50 * time.Millisecond)
		w := start(t, api, journal.DefaultOptions())
		for i := range 100 {
			assert.NilError(t, w.Append(entry(fmt.Sprint(i))))
		}
		assert.NilError(t, w.Commit(t.Context(), entry("last")))
		assert.Assert(t, w.Segments() <= 2, "%d segments", w.Segments())
	})
}

// TestSealProperty checks that, for any sequence of faults and time of the seal, the sealed log holds exactly the
// entries that were reported durable, in order.
func TestSealProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		testbubble.Run(t, func(t *testing.T) {
			api := apitest.New(memapi.New())
			api.SetDelay(time.Duration(rapid.IntRange(0, 30).Draw(r, "delay")) * time.Millisecond)
			w := start(t, api, journal.DefaultOptions())
			var entries []*journal.Entry
			steps := rapid.SliceOfN(rapid.IntRange(0, 6), 1, 30).Draw(r, "steps")
			for i, step := range steps {
				switch step {
				case 0:
					api.SetFault(apitest.LostResponses)
				case 1:
					api.SetFault(apitest.LostRequests)
				case 2:
					api.SetFault(apitest.None)
				default:
					e := entry(fmt.Sprint(i))
					assert.NilError(t, w.Append(e))
					entries = append(entries, e)
				}
				<-time.After(time.Duration(step) * 10 * time.Millisecond)
			}
			api.SetFault(apitest.None)
			segments, err := journal.Seal(t.Context(), api, "d.1", 0, "d.2", "test")
			assert.NilError(t, err)
			kept := records(segments)
			for i, e := range entries {
				<-time.After(5 * time.Second)
				stands := i < len(kept) && kept[i] == e.Records[0].ProgramId
				select {
				case <-e.Done():
					assert.Equal(t, e.Err() == nil, stands, "entry %d: %v", i, e.Err())
				default:
					t.Errorf("entry %d has no outcome", i)
				}
			}
		})
	})
}

func records(segments []*peerv1.Segment) []string {
	var ids []string
	for _, segment := range segments {
		for _, record := range segment.Records {
			ids = append(ids, record.ProgramId)
		}
	}
	return ids
}

func waitUntil(holds func() bool) error {
	for range 100 {
		if holds() {
			return nil
		}
		<-time.After(100 * time.Millisecond)
	}
	return errors.New("condition not met within 10 s")
}

func TestCheckpointRoundTrip(t *testing.T) {
	api := memapi.New()
	write := func(ctx context.Context, key string, value []byte) error {
		_, err := api.Put(ctx, key, value, objectapi.MustNotExist)
		return err
	}
	chunks, err := journal.WriteCheckpoint(t.Context(), "checkpoint/1/", [][]byte{{0x0a, 1, 'a'}, {0x0a, 1, 'b'}}, write)
	assert.NilError(t, err)
	var ids []string
	visit := func(s *peerv1.ProgramSnapshot) { ids = append(ids, s.Id) }
	assert.NilError(t, journal.ReadCheckpoint(t.Context(), api, "checkpoint/1/", chunks, visit))
	assert.DeepEqual(t, ids, []string{"a", "b"})
	err = journal.ReadCheckpoint(t.Context(), api, "checkpoint/1/", chunks+1, visit)
	assert.ErrorIs(t, err, objectapi.ErrNotFound)
}

func FuzzDecodeSegment(f *testing.F) {
	stored, err := journal.EncodeSegment(&peerv1.Segment{Incarnation: "d.1", Number: 3})
	assert.NilError(f, err)
	f.Add(stored)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, stored []byte) {
		segment, err := journal.DecodeSegment(stored)
		if err == nil && segment == nil {
			t.Error("no segment and no error")
		}
	})
}
