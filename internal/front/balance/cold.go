package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// coldTurn tells whether it is this daemon's turn to send a request to a cold server. It never is before the daemon knows how
// many there are.
func (b *Balancer) coldTurn(ask *Request, server *catalog.Server, now time.Time) bool {
	if !b.demandKnown {
		return false
	}
	turn := policy.ColdSendWindow{Daemon: b.name, Server: server.ID.String(), Daemons: float64(b.daemons.Read()), PerSecond: ask.ColdPerSecond}
	return turn.Open(now.Sub(b.began), now.Sub(b.seen(server.ID).coldSent))
}
