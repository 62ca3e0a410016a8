package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// TestPlatformCallsDoNotGrowWithStoreDaemons guards against store daemons that each read the platform's objects: only
// the readers may, since every call has a cost.
func TestPlatformCallsDoNotGrowWithStoreDaemons(t *testing.T) {
	calls := map[int]int{}
	for _, stores := range []int{4, 8, 16} {
		testbubble.Run(t, func(t *testing.T) {
			w := newClusterOf(t, 2, stores)
			time.Sleep(20 * time.Second)
			before := w.platform.Calls()
			time.Sleep(2 * time.Minute)
			calls[stores] = w.platform.Calls() - before
		})
	}
	assert.Assert(t, calls[16] <= calls[4]+calls[4]/10, "calls by store daemons: %v", calls)
}
