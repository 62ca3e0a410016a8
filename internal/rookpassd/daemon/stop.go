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

// configFreshness is how lately the object API must have answered for this daemon's word on the
// configuration to count.
const configFreshness = 8 * time.Second

// drainPoll is how often a stopping daemon looks whether it is done.
const drainPoll = 50 * time.Millisecond

// Drain begins a planned stop: partitions move to other daemons, calls under way finish, then Run returns.
// It may be called again.
func (d *Daemon) Drain() {
	if d.draining.Swap(true) {
		return
	}
	close(d.drain)
}

// Ready returns why this daemon should get no new callers, or nil.
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

// Holds tells whether the daemon holds a program's partition.
func (d *Daemon) Holds(programID string) bool {
	_, owned := d.current.Load().holder.Owns(program.PartitionOf(programID, d.settings.Partitions))
	return owned
}

// joined tells whether this incarnation is in the view and every partition has an owner.
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

// stop waits for Drain and carries the planned stop out. It returns false when ctx ended first.
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
	d.handEverythingOver(ctx, in)
	var cut error
	if guard.Enabled(guard.GracefulStop) {
		s.finishCallers(ctx)
		cut = in.holder.Wait(ctx)
	}
	d.signOff(ctx, in)
	d.log.WithFields(logrus.Fields{"event": "daemon.stopped", "calls_cut": cut != nil}).Info()
	return true
}

// handOverTimeout bounds how long a stopping daemon tries to hand its partitions over. Without the object API
// it can't; another daemon then takes them over from the log.
const handOverTimeout = 15 * time.Second

// handEverythingOver waits until no partition is in service here, or nobody else could take one.
func (d *Daemon) handEverythingOver(ctx context.Context, in *incarnation) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	for ctx.Err() == nil && !in.ownership.OwnsNone() {
		if d.alone(in) {
			return
		}
		_ = wait.For(ctx, drainPoll)
	}
}

// alone tells whether no other daemon could own partitions.
func (d *Daemon) alone(in *incarnation) bool {
	for _, candidate := range d.tracker.View().Candidates(d.tracker.Alive) {
		if candidate != in.name {
			return false
		}
	}
	return true
}

// signOff ends the incarnation and marks its lease sealed, so that nobody waits for it to lapse. The log
// takes no further segment as its writer has ended.
func (d *Daemon) signOff(ctx context.Context, in *incarnation) {
	in.spending.SettleAll(ctx)
	in.end(errStopped)
	key := keyspace.Daemon(in.name)
	for ctx.Err() == nil {
		object, err := d.api.Get(ctx, key)
		if err != nil {
			return // The lease lapses instead.
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
