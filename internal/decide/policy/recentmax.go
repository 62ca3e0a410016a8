package policy

import "time"

// recentMaxWindow is how long a larger number holds.
const recentMaxWindow = 10 * time.Second

// RecentMax is the largest of the numbers seen of late: where it counts daemons, those that are away for a while count, and one
// that knows few others for now does not lower it. The zero value is ready for use.
type RecentMax struct {
	n  int
	at time.Time
}

// Observe takes a number into account and returns the largest of late.
func (m *RecentMax) Observe(now time.Time, n int) int {
	if n >= m.n || now.Sub(m.at) > recentMaxWindow {
		m.n, m.at = n, now
	}
	return m.n
}

// Read returns the largest number of late.
func (m *RecentMax) Read() int { return m.n }
