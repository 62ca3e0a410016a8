package turnlog

import (
	"sync/atomic"
	"time"
)

// maxPause bounds the pause after a sync that took long, as where the disk stalls: above the 1 to 2 ms of a sound one.
const maxPause = 10 * time.Millisecond

// pacer gives a disk half of the time at most: after a sync, the next one waits for as long as that one took. Appends gather
// meanwhile, and the daemon's network is served: with one processor, a thread that waits for the disk holds up all others.
// An append to a disk that rests waits for nobody. The zero value is ready for use.
type pacer struct {
	ended time.Time
	took  time.Duration
	// syncs counts all syncs, busy adds up their time in nanoseconds; both may be read at any time.
	syncs, busy atomic.Int64
}

// pause returns how long the next sync is to wait.
func (p *pacer) pause(now time.Time) time.Duration { return max(0, p.took-now.Sub(p.ended)) }

// synced notes a sync.
func (p *pacer) synced(began, ended time.Time) {
	p.ended = ended
	p.took = min(ended.Sub(began), maxPause)
	p.syncs.Add(1)
	p.busy.Add(int64(ended.Sub(began)))
}
