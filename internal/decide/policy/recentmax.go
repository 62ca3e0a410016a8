package policy

import "time"

// recentMaxWindow is how long a maximum is kept after it was last reached.
const recentMaxWindow = 10 * time.Second

// RecentMax is the largest of the numbers observed recently. Counting daemons by it, a temporary drop has no effect,
// as when some are away or when the observer knows only few of them. The zero value is ready for use.
type RecentMax struct {
	n  int
	at time.Time
}

// Observe records a number and returns the recent maximum.
func (m *RecentMax) Observe(now time.Time, n int) int {
	if n >= m.n || now.Sub(m.at) > recentMaxWindow {
		m.n, m.at = n, now
	}
	return m.n
}

// Read returns the recent maximum as of the last Observe.
func (m *RecentMax) Read() int { return m.n }
