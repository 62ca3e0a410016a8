package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// inColdWindow tells whether it is this daemon's turn to send a request to a cold server. It never is before the daemon knows how
// many there are.
func (b *Balancer) inColdWindow(req *Request, server *catalog.Server, now time.Time) bool {
	if !b.peerDemandKnown {
		return false
	}
	window := policy.ColdSendWindow{Daemon: b.name, Server: server.ID.String(), Daemons: float64(b.daemonCount.Read()), PerSecond: req.ColdPerSecond}
	return window.Open(now.Sub(b.startedAt), now.Sub(b.peekState(server.ID).lastColdSend))
}
