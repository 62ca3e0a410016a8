// Package testbubble runs tests in virtual time, with the libraries that need some care there.
package testbubble

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/valyala/fasthttp"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// settleTime is longer than any timer that a closed client or server leaves behind.
const settleTime = time.Hour

// Prepare must be called once for a test binary, from TestMain. Some libraries make goroutines and channels
// for the whole process at their first use, which must not be in a bubble: fasthttp's date and the codec's
// pool of coders.
func Prepare() {
	var response fasthttp.Response
	response.Header.Header()
	if stored, err := journal.EncodeSegment(&peerv1.Segment{}); err == nil {
		_, _ = journal.DecodeSegment(stored)
	}
}

// Run runs f in a bubble of virtual time. Once f and its cleanups are done, timers of closed clients and
// servers run out.
func Run(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// Cleanups run last in, first out: this one is the last.
		t.Cleanup(func() { time.Sleep(settleTime) })
		f(t)
	})
}
