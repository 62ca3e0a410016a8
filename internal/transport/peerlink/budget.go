package peerlink

import "sync"

const (
	// secondShare of the calls may be sent a second time. Where all answers are late because a shared link is full, second calls
	// would fill it further, and nothing would ever empty it.
	secondShare = 0.1
	// mostSeconds may be sent at once: a daemon that is cut off has lost its way to all others.
	mostSeconds = 60
)

// budget bounds the calls that are sent over a second path.
type budget struct {
	mu   sync.Mutex
	left float64
	sent int
}

func newBudget() *budget { return &budget{left: mostSeconds} }

// earn counts a call.
func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(mostSeconds, b.left+secondShare)
}

// spend tells whether a call may be sent a second time.
func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	b.sent++
	return true
}
