package policy

import (
	"math"
	"time"
)

const (
	// minSubsetSize is the smallest subset, however low the load: several servers may fail at once.
	minSubsetSize = 16
	// serversPerCall is the number of servers per call, so that calls seldom share a server and some servers may be
	// slow or down.
	serversPerCall = 1.5
)

// SubsetSize returns how many servers of a service the daemons of one data centre choose from, where all daemons
// together have the given calls there and the servers are spread over dataCentres. It follows the load and not the
// size of the service, so that the cost of reading a shared prompt and of connecting is spread over many turns.
//
// It limits a light load on many servers; where there are fewer servers than calls, all are used.
func SubsetSize(calls float64, dataCentres int) int {
	return max(minSubsetSize, int(math.Ceil(serversPerCall*calls/float64(max(1, dataCentres)))))
}

// maxDecayTime is the time constant of DecayingMax.
const maxDecayTime = 10 * time.Second

// DecayingMax is a maximum that rises at once and decays exponentially. The zero value is ready for use.
type DecayingMax struct {
	value float64
	at    time.Time
}

// Observe records a value.
func (m *DecayingMax) Observe(now time.Time, value float64) {
	if value >= m.Read(now) {
		m.value, m.at = value, now
	}
}

// Read returns the maximum, decayed up to now.
func (m *DecayingMax) Read(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return m.value * math.Exp(-now.Sub(m.at).Seconds()/maxDecayTime.Seconds())
}
