package node

import (
	"io"
	"net/http"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// TestSmallestVMWithSlowCallers checks that a crowd of slow callers does not make the front daemon of the smallest VM
// exceed its memory, in its own accounts and in what the heap profile shows, that it serves other callers meanwhile, that refusals are
// logged and counted, and that it holds nothing for the crowd afterwards.
func TestSmallestVMWithSlowCallers(t *testing.T) {
	const crowd = 600
	rate := runtime.MemProfileRate
	runtime.MemProfileRate = 1 // records all allocations
	defer func() { runtime.MemProfileRate = rate }()
	testbubble.Run(t, func(t *testing.T) {
		log := &lockedBuffer{}
		w := newClusterWith(t, 1, 3, &cluster{output: log})
		front := w.fronts[0]
		memory := front.front.memory
		idle := memory.Total()
		c := w.caller(1)
		c.Stall(front.callerAddress(), 3, 0) // the size of the route's responses is learnt
		var wg sync.WaitGroup
		for range 5 {
			wg.Go(func() { c.Stall(front.callerAddress(), crowd/5, faultDuration) })
			time.Sleep(200 * time.Millisecond) // calls with large bodies have ended, so that there is room for more
		}
		assert.Assert(t, memory.Total() > memory.Limit()/2, "only %d bytes held", memory.Total())
		for range 50 {
			assert.Equal(t, c.SendLookup(front.callerAddress()), http.StatusOK)
		}
		used, counted := heldOnHeap(), memory.Total()
		assert.Assert(t, used < counted+counted/10 && used > counted/2, "%d bytes used, %d counted", used, counted)
		page := metricsPage(t, w, front)
		assert.Assert(t, regexp.MustCompile(`(?m)^rookpass_memory_held_bytes\{class="bodies"\} [1-9]`).MatchString(page), "%s", page)
		assert.Assert(t, regexp.MustCompile(`(?m)^rookpass_memory_refusals_total\{outcome="bodies"\} [1-9]`).MatchString(page), "%s", page)
		wg.Wait()
		assert.Assert(t, memory.Peak() <= memory.Limit(), "%d of %d bytes", memory.Peak(), memory.Limit())
		assert.Assert(t, w.checker.Counts()["stalled call whole"] > 30, "%v", w.checker.Counts())
		assert.Equal(t, w.checker.Counts()["broken off"], 0, "an answer that was ready was not delivered: %v", w.checker.Counts())
		assert.Assert(t, w.checker.Counts()["status 503"] > 0, "%v", w.checker.Counts())
		assert.Assert(t, strings.Contains(log.String(), "event=memory "), "no log line of a refusal")
		time.Sleep(2 * time.Minute)
		assert.Assert(t, memory.Total() <= idle+1<<20, "%d bytes held, %d before", memory.Total(), idle)
		assert.Equal(t, memory.Held(membudget.RequestBodies)+memory.Held(membudget.Responses), int64(0))
		assert.Equal(t, len(w.checker.Violations()), 0, "%v", w.checker.Violations())
	})
}

// heldOnHeap returns the live memory that was allocated for callers and servers by front daemons: by the gateway, by
// connections to servers and by net/http for requests. It leaves out the network in memory, and the test's servers, which
// use the same code of net/http but hold few requests.
func heldOnHeap() int64 {
	runtime.GC()
	runtime.GC() // the profile is that of the last but one collection
	records := make([]runtime.MemProfileRecord, 100000)
	n, complete := runtime.MemProfile(records, false)
	if !complete {
		return -1
	}
	total := int64(0)
	for _, record := range records[:n] {
		var stack strings.Builder
		frames := runtime.CallersFrames(record.Stack())
		for more := true; more; {
			var frame runtime.Frame
			frame, more = frames.Next()
			stack.WriteString(frame.Function + "\n")
		}
		text := stack.String()
		held := strings.Contains(text, "front/gateway.") || strings.Contains(text, "transport/upstream.") || strings.Contains(text, "net/http.(*conn)")
		if held && !strings.Contains(text, "bufconn") && !strings.Contains(text, "workload.") {
			total += record.InUseBytes()
		}
	}
	return total
}

// metricsPage returns the metrics of a daemon.
func metricsPage(t *testing.T, w *cluster, m *vm) string {
	client := &http.Client{Transport: &http.Transport{DialContext: w.dial, DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.front.settings.MetricsAddress() + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	page, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(page)
}
