package connlimit

import (
	"bufio"
	"fmt"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

// heldBy returns the memory that n values of make hold, each.
func heldBy(n int, create func() any) int64 {
	values := make([]any, n)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range values {
		values[i] = create()
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(values)
	return (int64(after.HeapAlloc) - int64(before.HeapAlloc)) / int64(n)
}

// TestHeadMemoryCoversWhatHTTPLibraryHolds guards against heads that take more memory than is accounted for.
func TestHeadMemoryCoversWhatHTTPLibraryHolds(t *testing.T) {
	for name, field := range map[string]func(i int) string{
		"names of their own":  func(i int) string { return fmt.Sprintf("a%x:\r\n", i) },
		"one name":            func(int) string { return "a:\r\n" },
		"short values":        func(i int) string { return fmt.Sprintf("a%x: b\r\n", i) },
		"folded":              func(int) string { return "a: b\r\n c\r\n" },
		"ordinary":            func(i int) string { return fmt.Sprintf("X-Something-%d: value of an ordinary length\r\n", i) },
		"long values":         func(i int) string { return fmt.Sprintf("a%x: %s\r\n", i, strings.Repeat("x", 4000)) },
		"names to be changed": func(i int) string { return fmt.Sprintf("x-something-long-%x: v\r\n", i) },
	} {
		for _, size := range []int{500, 4 << 10, 16 << 10, 64 << 10} {
			head := "GET / HTTP/1.1\r\nHost: a\r\n"
			for i := 0; len(head) < size; i++ {
				head += field(i)
			}
			held := heldBy(16, func() any {
				r, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(head+"\r\n"), 16))
				assert.NilError(t, err)
				return r.Header
			})
			accounted := HeadMemory(len(head), strings.Count(head, "\n"))
			t.Logf("%s, %d bytes: %d held, %d accounted for", name, len(head), held, accounted)
			assert.Check(t, accounted >= held, "%s, %d bytes: %d held, %d accounted for", name, len(head), held, accounted)
		}
	}
}

// TestLimitsSpareClientsInsideThem guards against a limit that a client at its very edge meets.
func TestLimitsSpareClientsInsideThem(t *testing.T) {
	l := Limits{HeadBytes: 16384, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}.OrDefaults()
	assert.Assert(t, !l.HeadTooLarge(16384) && !l.HeadTooLarge(16384+uncountedBytes) && l.HeadTooLarge(16384+uncountedBytes+1))
	assert.Assert(t, !l.Expired(InHead, 3*time.Second) && l.Expired(InHead, 3*time.Second+1))
	assert.Assert(t, !l.Expired(AtRest, 15*time.Second) && l.Expired(AtRest, 15*time.Second+1))
	assert.Assert(t, !l.Expired(InRequest, time.Hour))
	// All of the limits hold where a configuration leaves them out.
	none := Limits{}.OrDefaults()
	assert.Assert(t, none.HeadBytes >= l.HeadBytes && none.HeadTime >= l.HeadTime && none.IdleTime >= l.IdleTime)
}

// TestRequestsNeverGiveWay guards against a crowd for whose sake a request that runs is cut off.
func TestRequestsNeverGiveWay(t *testing.T) {
	for _, phase := range GiveWay() {
		assert.Assert(t, phase != InRequest)
	}
	assert.Equal(t, len(GiveWay()), PhaseCount-1)
}

// TestOrdinaryHeadsUseReserve guards against large heads that leave no memory for ordinary ones.
func TestOrdinaryHeadsUseReserve(t *testing.T) {
	assert.Equal(t, HeadPriority(HeadMemory(4<<10, 50)), membudget.Small)
	assert.Equal(t, HeadPriority(HeadMemory(16<<10, 3000)), membudget.Large)
}

// TestBoundsLeaveDescriptors guards against connections that leave no descriptors for files, disks and other daemons.
func TestBoundsLeaveDescriptors(t *testing.T) {
	for _, descriptors := range []int{0, 600, 1024, 4100, 8200, 16384} {
		b, total := BoundsOf(descriptors), descriptors
		if total == 0 {
			total = defaultTotal
		}
		front := b.Callers + b.Servers + 2*b.Pages + 2*b.Relayed
		assert.Check(t, float64(total-front) >= 0.08*float64(total), "%d of %d descriptors used", front, total)
		store := b.Peers + b.Control + b.Pages
		assert.Check(t, float64(total-store) >= 0.2*float64(total), "%d of %d descriptors used", store, total)
	}
}
