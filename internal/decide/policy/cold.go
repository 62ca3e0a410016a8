package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// coldUtilisation is the fraction of a cold server's rate that is used, since daemons learn of one another late.
	coldUtilisation = 0.6
	// coldWindowLength is how long a daemon's window is open. Long windows could all be used within the same second.
	coldWindowLength = 200 * time.Millisecond
)

// ColdSendWindow spreads the requests of all daemons to a cold server over time, so that their sum stays below the
// server's rate in every second: each daemon has a short periodic window, at an offset derived from its name and the
// server's, and sends one request in it.
//
// It matters when all servers start at once and none is warm.
type ColdSendWindow struct {
	Daemon, Server string
	// Daemons is how many daemons send to the server, PerSecond how many requests a second it can take.
	Daemons, PerSecond float64
}

// period returns the time from one window to the next.
func (c ColdSendWindow) period() time.Duration {
	seconds := max(1, c.Daemons) / (coldUtilisation * c.PerSecond)
	return max(2*coldWindowLength, time.Duration(math.Ceil(seconds*float64(time.Second))))
}

// Open reports whether the window is open, elapsed on a monotonic clock of the daemon, and has not been used by the
// last request, which was sent sinceLast ago.
func (c ColdSendWindow) Open(elapsed, sinceLast time.Duration) bool {
	if c.PerSecond <= 0 {
		return false
	}
	period := c.period()
	phase := time.Duration(xxhash.Sum64String(c.Daemon+" "+c.Server) % uint64(period))
	return (elapsed+phase)%period < coldWindowLength && sinceLast >= period-coldWindowLength
}
