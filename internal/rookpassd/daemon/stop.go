package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// maxPeerConfigAge is the maximum age of the last confirmation at which this daemon reports its configuration to peers
// as fresh.
const maxPeerConfigAge = 8 * time.Second

// drainPollInterval is how often a stopping daemon checks whether all partitions were handed over.
const drainPollInterval = 50 * time.Millisecond

// Drain begins a planned stop: partitions move to other daemons, calls in flight finish, then Run returns. Further
// calls have no effect.
func (d *Daemon) Drain() {
	if d.draining.Swap(true) {
		return
	}
	close(d.drain)
}

// Ready returns nil if this daemon can take new callers, and the reason otherwise.
func (d *Daemon) Ready() error {
	switch {
	case d.draining.Load():
		return Error.New("daemon is stopping")
	case !d.config.Fresh(time.Duration(d.settings.MaxConfigAgeMillis) * time.Millisecond):
		return Error.New("configuration is not confirmed")
	case !d.joined():
		return Error.New("daemon has not joined the cluster")
	}
	return nil
}

// Holds reports whether the daemon serves a program's partition.
func (d *Daemon) Holds(programID string) bool {
	_, owned := d.current.Load().holder.Owns(program.PartitionOf(programID, d.settings.Partitions))
	return owned
}

// joined reports whether this incarnation is in the view and every partition has an owner.
func (d *Daemon) joined() bool {
	view := d.tracker.View()
	if _, found := view.Daemons[d.current.Load().name]; !found {
		return false
	}
	for number := range view.Partitions {
		if _, found := view.Owner(uint32(number)); !found {
			return false
		}
	}
	return true
}

// stop waits for Drain and performs the planned stop. It returns false if ctx ends before Drain is called.
func (d *Daemon) stop(ctx context.Context, s *servers) bool {
	select {
	case <-d.drain:
	case <-ctx.Done():
		return false
	}
	d.log.WithField("event", "daemon.draining").Info()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.settings.DrainTimeoutMillis)*time.Millisecond)
	defer cancel()
	in := d.current.Load()
	in.ownership.Drain()
	in.lease.SetDraining()
	d.handOverAll(ctx, in)
	var waitErr error
	if guard.Enabled(guard.GracefulStop) {
		s.finishCallers(ctx)
		waitErr = in.holder.Wait(ctx)
	}
	d.endIncarnation(ctx, in)
	d.log.WithFields(logrus.Fields{"event": "daemon.stopped", "calls_cut": waitErr != nil}).Info()
	return true
}

// handOverTimeout bounds how long a stopping daemon tries to hand over its partitions. Hand-overs need the object API;
// other daemons recover the remaining partitions from the log.
const handOverTimeout = 15 * time.Second

// handOverAll waits until this daemon serves no partition, no other daemon could own one, or handOverTimeout expires.
func (d *Daemon) handOverAll(ctx context.Context, in *incarnation) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for ctx.Err() == nil && !in.ownership.OwnsNone() {
		if d.onlyCandidate(in) {
			return
		}
		_ = wait.For(ctx, drainPollInterval)
	}
}

// onlyCandidate reports whether no other daemon could own partitions.
func (d *Daemon) onlyCandidate(in *incarnation) bool {
	for _, candidate := range d.tracker.View().Candidates(d.tracker.Alive) {
		if candidate != in.name {
			return false
		}
	}
	return true
}

// endIncarnation ends the incarnation and, if it owns no partition, marks its lease sealed, so that other daemons need
// not wait for the lease to expire.
func (d *Daemon) endIncarnation(ctx context.Context, in *incarnation) {
	in.spending.SettleAll(ctx)
	in.end(errPlannedStop)
	key := keyspace.Daemon(in.name)
	for ctx.Err() == nil {
		object, err := d.api.Get(ctx, key)
		if err != nil {
			return // The lease expires instead.
		}
		lease := &peerv1.Daemon{}
		if proto.Unmarshal(object.Value, lease) != nil || lease.Sealed || !in.ownership.OwnsNone() {
			return
		}
		lease.Sealed, lease.LastSegment, lease.SealedAtUnixMs = true, in.journal.Position(), time.Now().UnixMilli()
		value, err := proto.Marshal(lease)
		if err != nil {
			return
		}
		if _, err := d.api.Put(ctx, key, value, object.Version); !errors.Is(err, objectapi.ErrConflict) {
			return
		}
	}
}
