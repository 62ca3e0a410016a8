package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldUtilisation is how much of what a cold server bears is used: daemons know of one another late.
	coldUtilisation = 0.6
	// coldWindowLength is how long a daemon's turn lasts. Were it open for long, all daemons could use theirs in one second.
	coldWindowLength = 200 * time.Millisecond
)

// ColdSendWindow spreads what all daemons send to a cold server over time, so that together they stay below what it bears in
// every second: each has a short turn now and then, at a time that its name and the server's give, and sends one request in it.
//
// It answers servers that all start at once, with nothing warm beside them.
type ColdSendWindow struct {
	Daemon, Server string
	// Daemons is how many send to the server, PerSecond what it bears.
	Daemons, PerSecond float64
}

// period returns the time from one turn to the next.
func (c ColdSendWindow) period() time.Duration {
	seconds := max(1, c.Daemons) / (coldUtilisation * c.PerSecond)
	return max(2*coldWindowLength, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// Open tells whether a turn is open at a time, by a steady clock of the daemon's, and has not been used by the request that
// went last so long ago.
func (c ColdSendWindow) Open(elapsed, sinceLast time.Duration) bool {
	if c.PerSecond <= 0 {
		return false
	}
	period := c.period()
	phase := time.Duration(xxhash.Sum64String(c.Daemon+" "+c.Server) % uint64(period))
	return (elapsed+phase)%period < coldWindowLength && sinceLast >= period-coldWindowLength
}
