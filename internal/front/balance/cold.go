package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// inColdWindow reports whether this daemon may send a request to a cold server now. It may not before it knows how
// many daemons there are.
func (b *Balancer) inColdWindow(req *Request, server *catalog.Server, now time.Time) bool {
	if !b.peerDemandKnown {
		return false
	}
	window := policy.ColdSendWindow{Daemon: b.name, Server: server.ID.String(), Daemons: float64(b.daemonCount.Read()), PerSecond: req.ColdPerSecond}
	return window.Open(now.Sub(b.startedAt), now.Sub(b.peekState(server.ID).lastColdSend))
}
