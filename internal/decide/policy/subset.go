package policy

import (
	"math"
	"time"
)

const (
	// leastWidth is how many servers a data centre's daemons turn to however little there is to do: some may go dark at once.
	leastWidth = 16
	// serversPerCall is how many servers they turn to for each call: calls seldom meet at one, and some may be slow or dark.
	serversPerCall = 1.5
)

// SubsetSize returns to how many servers of a service the daemons of one data centre turn, where all daemons together have so
// many calls there and its servers stand in so many data centres. It follows the work and not the size of the service: what
// a server must read before its first turn, and a connection to it, are paid for by many turns.
//
// It answers a light load before many servers; where servers are fewer than calls it leaves none out.
func SubsetSize(calls float64, dataCentres int) int {
	return max(leastWidth, int(math.Ceil(serversPerCall*calls/float64(max(1, dataCentres)))))
}

// peakMemory is the time in which a peak falls to a third.
const peakMemory = 10 * time.Second

// DecayingMax is the most that a value has been of late: it rises at once and falls slowly. The zero value is ready for use.
type DecayingMax struct {
	value float64
	at    time.Time
}

// Observe takes a value into account.
func (p *DecayingMax) Observe(now time.Time, value float64) {
	if value >= p.Read(now) {
		p.value, p.at = value, now
	}
}

// Read returns the peak.
func (p *DecayingMax) Read(now time.Time) float64 {
	if p.at.IsZero() {
		return 0
	}
	return p.value * math.Exp(-now.Sub(p.at).Seconds()/peakMemory.Seconds())
}
