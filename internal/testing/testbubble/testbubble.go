// Package testbubble runs tests in synctest bubbles, with workarounds for libraries that keep global state.
package testbubble

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// settleTime is longer than any timer that a closed client or server leaves running.
const settleTime = time.Hour

// Prepare must be called from TestMain. It makes libraries that start process-wide goroutines or create channels on
// first use do so outside of a bubble: the date cache of fasthttp and the pool of the segment codec.
func Prepare() {
	var response fasthttp.Response
	response.Header.Header()
	if stored, err := journal.EncodeSegment(&peerv1.Segment{}); err == nil {
		_, _ = journal.DecodeSegment(stored)
	}
}

// Run runs f in a synctest bubble. After f and its cleanups it waits until the timers of closed clients and servers have
// expired.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Registered first, so that it runs last.
		t.Cleanup(func() { time.Sleep(settleTime) })
		f(t)
	})
}
