package balance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPartsInUseAreNotForgotten: a shared part that comes with every prompt outlives the private ones, however
// many of those there are.
func TestPartsInUseAreNotForgotten(t *testing.T) {
	s := &state{parts: newPartSet()}
	for i := range 3 * partLimit {
		s.read([]string{"shared", fmt.Sprint("private-", i)})
	}
	sizes := []int64{500, 100}
	last := fmt.Sprint("private-", 3*partLimit-1)
	assert.Equal(t, s.cached([]string{"shared", last}, sizes), int64(600))
	assert.Equal(t, s.cached([]string{"shared", "private-0"}, sizes), int64(500), "the one used longest ago is forgotten")
	assert.Equal(t, s.cached([]string{"unknown", last}, sizes), int64(0), "only what stands at the start is of use")
	assert.Equal(t, s.parts.order.Len(), partLimit)
}
