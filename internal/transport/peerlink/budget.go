package peerlink

import "sync"

const (
	// hedgeShare is the share of calls that may be hedged. When all replies are late because a shared link is full, more
	// hedged calls would keep it full.
	hedgeShare = 0.1
	// maxHedgeTokens is the burst of hedged calls: a daemon that is cut off loses its direct paths to all others at once.
	maxHedgeTokens = 60
)

// hedgeBudget is a token bucket that limits the calls sent over a second path.
type hedgeBudget struct {
	mu     sync.Mutex
	tokens float64
	sent   int
}

func newHedgeBudget() *hedgeBudget { return &hedgeBudget{tokens: maxHedgeTokens} }

// addCall adds the share of one call to the budget.
func (b *hedgeBudget) addCall() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxHedgeTokens, b.tokens+hedgeShare)
}

// spend takes a token and reports whether there was one.
func (b *hedgeBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.sent++
	return true
}
