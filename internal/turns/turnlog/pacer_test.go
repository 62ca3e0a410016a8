package turnlog

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPacerLimitsSyncsToHalfOfTheTime checks the number of syncs while appends are always pending, on a disk that takes
// 2 ms for a sync.
func TestPacerLimitsSyncsToHalfOfTheTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const sync = 2 * time.Millisecond
		var p pacer
		busy, syncs := time.Duration(0), 0
		began := time.Now()
		for time.Since(began) < time.Second { // an append is always pending
			time.Sleep(p.delay(time.Now()))
			start := time.Now()
			time.Sleep(sync)
			p.recordSync(start, time.Now())
			busy += sync
			syncs++
		}
		assert.Equal(t, syncs, 251) // the first at once, then one every 4 ms
		assert.Equal(t, busy, 502*time.Millisecond)
	})
}

func TestPacerDoesNotDelayIdleDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		assert.Equal(t, p.delay(time.Now()), time.Duration(0))
		began := time.Now()
		time.Sleep(2 * time.Millisecond)
		p.recordSync(began, time.Now())
		time.Sleep(500 * time.Microsecond)
		assert.Equal(t, p.delay(time.Now()), 1500*time.Microsecond)
		time.Sleep(3 * time.Millisecond)
		assert.Equal(t, p.delay(time.Now()), time.Duration(0))
	})
}

// TestPacerDelayIsBoundedAfterStall guards against a long delay after a single slow sync.
func TestPacerDelayIsBoundedAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p pacer
		began := time.Now()
		time.Sleep(time.Second)
		p.recordSync(began, time.Now())
		assert.Equal(t, p.delay(time.Now()), 10*time.Millisecond)
	})
}
