package daemon

import (
	"context"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
)

// local implements peer.Local for the current incarnation.
type local struct{ *Daemon }

// Probe implements peer.Local.
func (l local) Probe() peer.ProbeReply {
	return peer.ProbeReply{
		Incarnation:    l.current.Load().name,
		ConfigRevision: l.config.View().Revision,
		ConfigAsOf:     l.config.AsOf(),
		ConfigFresh:    l.config.Fresh(maxPeerConfigAge),
		Draining:       l.draining.Load(),
	}
}

// Reach implements peer.Local.
func (l local) Reach(ctx context.Context, address, incarnation string) bool {
	return l.peers.Reach(ctx, address, incarnation)
}

// Config implements peer.Local.
func (l local) Config() objectapi.Snapshot { return l.config.Export() }

// Prepare implements peer.Local.
func (l local) Prepare(incarnation string, partition uint32) (uint64, error) {
	return l.current.Load().ownership.Prepare(incarnation, partition)
}

// Adopt implements peer.Local.
func (l local) Adopt(incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error {
	return l.current.Load().ownership.Adopt(incarnation, partition, epoch, programs)
}

// Report implements peer.Local.
func (l local) Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	return l.current.Load().holder.AcceptReport(ctx, programID, executor, outcome)
}

// Ended implements peer.Local.
func (l local) Ended(programs []string) []string { return l.current.Load().holder.Ended(programs) }

// Drain implements peer.Local.
func (l local) Drain() { l.Daemon.Drain() }

// ObjectAPI implements peer.Local.
func (l local) ObjectAPI() objectapi.API { return l.api.Direct() }
