package policy

import (
	"math"
	"time"
)

const (
	// minSubsetSize is how many servers a data centre's daemons turn to however little there is to do: some may go dark at once.
	minSubsetSize = 16
	// serversPerCall is how many servers they turn to for each call: calls seldom meet at one, and some may be slow or dark.
	serversPerCall = 1.5
)

// SubsetSize returns to how many servers of a service the daemons of one data centre turn, where all daemons together have so
// many calls there and its servers stand in so many data centres. It follows the work and not the size of the service: what
// a server must read before its first turn, and a connection to it, are paid for by many turns.
//
// It answers a light load before many servers; where servers are fewer than calls it leaves none out.
func SubsetSize(calls float64, dataCentres int) int {
	return max(minSubsetSize, int(math.Ceil(serversPerCall*calls/float64(max(1, dataCentres)))))
}

// maxDecayTime is the time in which a peak falls to a third.
const maxDecayTime = 10 * time.Second

// DecayingMax is the most that a value has been of late: it rises at once and falls slowly. The zero value is ready for use.
type DecayingMax struct {
	value float64
	at    time.Time
}

// Observe takes a value into account.
func (m *DecayingMax) Observe(now time.Time, value float64) {
	if value >= m.Read(now) {
		m.value, m.at = value, now
	}
}

// Read returns the peak.
func (m *DecayingMax) Read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/maxDecayTime.Seconds())
}
