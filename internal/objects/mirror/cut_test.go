package mirror_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// TestCutSnapshotIsNone guards against an encoded list that was cut anywhere, or is empty, and is taken for one with
// fewer objects.
func TestCutSnapshotIsNone(t *testing.T) {
	m := mirror.New("servers/", time.Minute)
	var objects []objectapi.Object
	for i := range 5 {
		objects = append(objects, objectapi.Object{Key: fmt.Sprint("servers/", i), Version: uint64(i + 1), Value: []byte(`{"slots":4}`)})
	}
	m.Reset(objects, 9)
	m.Confirm(9, time.Now())
	data, err := m.EncodedSnapshot()
	assert.NilError(t, err)
	whole, err := mirror.DecodeSnapshot(data)
	assert.NilError(t, err)
	assert.Equal(t, len(whole.Objects), len(objects))
	for length := range data {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			snapshot, err := mirror.DecodeSnapshot(data[:length])
			if err == nil { // only the end of the compression is missing
				assert.DeepEqual(t, snapshot, whole)
			}
		})
	}
}
