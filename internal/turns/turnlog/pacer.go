package turnlog

import (
	"sync/atomic"
	"time"
)

// maxSyncDelay bounds the pause after a sync that took long, as where the disk stalls: above the 1 to 2 ms of a sound one.
const maxSyncDelay = 10 * time.Millisecond

// pacer gives a disk half of the time at most: after a sync, the next one waits for as long as that one took. Appends gather
// meanwhile, and the daemon's network is served: with one processor, a thread that waits for the disk holds up all others.
// An append to a disk that rests waits for nobody. The zero value is ready for use.
type pacer struct {
	lastSyncEnd      time.Time
	lastSyncDuration time.Duration
	// syncCount counts all syncCount, syncNanos adds up their time in nanoseconds; both may be read at any time.
	syncCount, syncNanos atomic.Int64
}

// delay returns how long the next sync is to wait.
func (p *pacer) delay(now time.Time) time.Duration {
	return max(0, p.lastSyncDuration-now.Sub(p.lastSyncEnd))
}

// recordSync notes a sync.
func (p *pacer) recordSync(began, ended time.Time) {
	p.lastSyncEnd = ended
	p.lastSyncDuration = min(ended.Sub(began), maxSyncDelay)
	p.syncCount.Add(1)
	p.syncNanos.Add(int64(ended.Sub(began)))
}
