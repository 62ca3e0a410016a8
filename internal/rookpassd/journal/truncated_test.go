package journal_test

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// TestTruncatedSegmentIsDamaged guards against a segment that was cut, or is empty, and is taken for one with fewer
// records.
func TestTruncatedSegmentIsDamaged(t *testing.T) {
	for name, segment := range map[string]*peerv1.Segment{
		"records": {Incarnation: "a", Number: 7, Records: []*peerv1.Record{{}, {}, {}}},
		"seal":    {Incarnation: "a", Number: 8, Seal: &peerv1.Seal{By: "b", Reason: "daemon failed"}},
	} {
		stored, err := journal.EncodeSegment(segment)
		assert.NilError(t, err)
		for length := range stored {
			t.Run(fmt.Sprint(name, "/", length), func(t *testing.T) {
				_, err := journal.DecodeSegment(stored[:length])
				assert.Assert(t, err != nil, "%d of %d bytes decode", length, len(stored))
			})
		}
	}
}

// TestTruncatedCheckpointIsDamaged guards against a checkpoint that was cut and is taken for one of fewer programs.
func TestTruncatedCheckpointIsDamaged(t *testing.T) {
	var snapshots [][]byte
	for range 3 {
		encoded, err := proto.Marshal(&peerv1.ProgramSnapshot{})
		assert.NilError(t, err)
		snapshots = append(snapshots, encoded)
	}
	var key string
	var stored []byte
	chunks, err := journal.WriteCheckpoint(t.Context(), "p", snapshots, func(_ context.Context, k string, value []byte) error {
		key, stored = k, value
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, chunks, uint32(1))
	for length := range len(stored) + 1 {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			api := memapi.New()
			_, err := api.Put(t.Context(), key, stored[:length], objectapi.MustNotExist)
			assert.NilError(t, err)
			read := 0
			err = journal.ReadCheckpoint(t.Context(), api, "p", chunks, func(*peerv1.ProgramSnapshot) { read++ })
			if length == len(stored) {
				assert.NilError(t, err)
				assert.Equal(t, read, len(snapshots))
				return
			}
			assert.Assert(t, err != nil, "%d of %d bytes decode to %d of %d programs", length, len(stored), read, len(snapshots))
		})
	}
}

// TestCheckpointWithoutPrograms guards against a checkpoint of a partition without programs that is refused as damaged,
// and against one that was cut and is taken for it.
func TestCheckpointWithoutPrograms(t *testing.T) {
	var key string
	var stored []byte
	chunks, err := journal.WriteCheckpoint(t.Context(), "p", nil, func(_ context.Context, k string, value []byte) error {
		key, stored = k, value
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, chunks, uint32(1))
	for length := range len(stored) + 1 {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			api := memapi.New()
			_, err := api.Put(t.Context(), key, stored[:length], objectapi.MustNotExist)
			assert.NilError(t, err)
			err = journal.ReadCheckpoint(t.Context(), api, "p", chunks, func(*peerv1.ProgramSnapshot) { t.Error("a program") })
			assert.Equal(t, err == nil, length == len(stored), "%d of %d bytes: %v", length, len(stored), err)
		})
	}
}
