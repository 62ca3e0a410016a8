package turnlog

import (
	"sync/atomic"
	"time"
)

// maxSyncDelay bounds the delay after a slow sync, as of a disk that stalls. It is above the 1 to 2 ms of a healthy
// disk.
const maxSyncDelay = 10 * time.Millisecond

// pacer limits syncs to half of the time: each waits, from the end of the previous one, for as long as that took.
// Meanwhile appends gather into one batch and the daemon serves its network; with one processor, a thread that waits
// for the disk holds up all others. A sync after an idle period is not delayed. The zero value is ready for use.
type pacer struct {
	lastSyncEnd      time.Time
	lastSyncDuration time.Duration
	// syncCount and syncNanos are the number of syncs and their total duration. They may be read concurrently.
	syncCount, syncNanos atomic.Int64
}

// delay returns how long the next sync must wait.
func (p *pacer) delay(now time.Time) time.Duration {
	return max(0, p.lastSyncDuration-now.Sub(p.lastSyncEnd))
}

func (p *pacer) recordSync(began, ended time.Time) {
	p.lastSyncEnd = ended
	p.lastSyncDuration = min(ended.Sub(began), maxSyncDelay)
	p.syncCount.Add(1)
	p.syncNanos.Add(int64(ended.Sub(began)))
}
