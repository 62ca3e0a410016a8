package ownership

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// claim makes this daemon the owner of a partition that has no live owner, and recovers the partition.
func (c *Controller) claim(ctx context.Context, number uint32, old cluster.VersionedPartition) error {
	began := time.Now()
	claimed := &peerv1.Partition{Number: number}
	if old.Partition != nil {
		claimed = proto.CloneOf(old.Partition)
		lastSegment := c.Tracker.View().Daemons[old.OwnerIncarnation].LastSegment
		closeRange(claimed, old.OwnerIncarnation, lastSegment)
	}
	claimed.Owner, claimed.OwnerIncarnation = c.Name, c.Incarnation
	claimed.Epoch++
	claimed.Logs = append(claimed.Logs, &peerv1.LogRange{Incarnation: c.Incarnation, From: c.Journal.Position() + 1})
	if _, err := c.replace(ctx, claimed, old.Version); err != nil {
		return err
	}
	if err := c.recover(ctx, claimed); err != nil {
		return err
	}
	c.stats.Claims.Add(1)
	c.Log.WithFields(logrus.Fields{
		"event": "partition.claimed", "partition": number, "epoch": claimed.Epoch, "took": time.Since(began),
	}).Info()
	return nil
}

// closeRange sets the end of the open range of a log to which no further segments are appended.
func closeRange(partition *peerv1.Partition, incarnation string, last uint64) {
	for _, log := range partition.Logs {
		if log.Incarnation == incarnation && log.To == 0 {
			log.To = last
			if last < log.From {
				log.To = log.From - 1
			}
		}
	}
}

// replace writes a partition's object if it is still at the given version. After a write with an unknown outcome it
// retries until one write succeeds or the version has changed, so that no write can take effect later. On ErrConflict
// it returns the stored partition.
func (c *Controller) replace(ctx context.Context, partition *peerv1.Partition, version uint64) (*peerv1.Partition, error) {
	value, err := proto.Marshal(partition)
	if err != nil {
		return nil, err
	}
	uncertain := false
	for {
		if err := c.Limiter.Wait(ctx); err != nil {
			return nil, err
		}
		_, err := c.API.Put(ctx, keyspace.Partition(partition.Number), value, version)
		switch {
		case err == nil:
			return partition, nil
		case errors.Is(err, objectapi.ErrConflict):
			return c.resolveConflict(ctx, partition)
		case errors.Is(err, objectapi.ErrUnavailable) && !uncertain:
			return nil, err
		}
		uncertain = true
		if err := wait.For(ctx, retryDelay); err != nil {
			return nil, err
		}
	}
}

// resolveConflict reads a partition's object after a conflict. It returns no error if the object holds this daemon's
// own write, and ErrConflict otherwise.
func (c *Controller) resolveConflict(ctx context.Context, written *peerv1.Partition) (*peerv1.Partition, error) {
	for {
		object, err := c.API.Get(ctx, keyspace.Partition(written.Number))
		if err == nil {
			stored := &peerv1.Partition{}
			if err := proto.Unmarshal(object.Value, stored); err != nil {
				return nil, err
			}
			if sameWrite(stored, written) {
				return stored, nil
			}
			return stored, objectapi.ErrConflict
		}
		if err := wait.For(ctx, retryDelay); err != nil {
			return nil, err
		}
	}
}

// sameWrite reports whether two states of a partition's object come from the same write: an epoch has one owner,
// and each checkpoint by that owner has a different prefix.
func sameWrite(a, b *peerv1.Partition) bool {
	return a.Epoch == b.Epoch && a.OwnerIncarnation == b.OwnerIncarnation && a.CheckpointPrefix == b.CheckpointPrefix
}

// retryDelay is the time between retries of object API requests, and the retry delay in refusals to peers.
const retryDelay = 100 * time.Millisecond

// recover rebuilds a partition that this daemon owns from its checkpoint and logs, and starts serving it.
func (c *Controller) recover(ctx context.Context, partition *peerv1.Partition) error {
	programs, err := c.load(ctx, partition)
	if err != nil {
		return err
	}
	return c.Holder.Recover(ctx, partition.Number, partition.Epoch, programs)
}

// load reads a partition's checkpoint, replays its logs and returns its programs by ID.
func (c *Controller) load(ctx context.Context, partition *peerv1.Partition) (map[string]*program.Program, error) {
	programs := map[string]*program.Program{}
	err := journal.ReadCheckpoint(ctx, c.API, partition.CheckpointPrefix, partition.CheckpointChunks,
		func(snapshot *peerv1.ProgramSnapshot) { programs[snapshot.Id] = program.FromSnapshot(snapshot) })
	if err != nil {
		return nil, err
	}
	for _, log := range partition.Logs {
		to := log.To
		if to == 0 && log.Incarnation == c.Incarnation {
			to = c.Journal.Position()
		}
		segments, err := c.logs.read(ctx, log.Incarnation, log.From, to)
		if err != nil {
			return nil, err
		}
		replay(programs, partition.Number, segments)
	}
	return programs, nil
}

// replay applies a partition's records from the segments to programs.
func replay(programs map[string]*program.Program, partition uint32, segments []*peerv1.Segment) {
	now := time.Now().UnixMilli()
	for _, segment := range segments {
		for _, record := range segment.Records {
			if record.Partition != partition {
				continue
			}
			p := programs[record.ProgramId]
			if p == nil {
				p = program.New(record.ProgramId)
				programs[record.ProgramId] = p
			}
			p.Apply(record, now)
		}
	}
}

// Prepare announces a hand-over to this daemon, the new owner. It returns the last segment of this daemon's log.
func (c *Controller) Prepare(incarnation string, number uint32) (uint64, error) {
	if incarnation != c.Incarnation {
		return 0, verdict.RetryLater(verdict.NotOwner, retryDelay, "incarnation %s has ended", incarnation)
	}
	if c.draining.Load() {
		return 0, verdict.RetryLater(verdict.Unavailable, retryDelay, "daemon is draining")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectedHandOvers[number] = time.Now()
	return c.Journal.Position(), nil
}

// Adopt starts serving a partition with the state that its previous owner sent after making this daemon the owner.
func (c *Controller) Adopt(incarnation string, number uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error {
	c.mu.Lock()
	_, expected := c.expectedHandOvers[number]
	delete(c.expectedHandOvers, number)
	c.mu.Unlock()
	// After adoptGrace the partition is recovered from the log instead, so a late state is refused.
	if incarnation != c.Incarnation || !expected {
		return verdict.RetryLater(verdict.NotOwner, retryDelay, "hand-over was not expected")
	}
	return c.Holder.Adopt(number, epoch, programs)
}

// closeTimeout bounds how long closing a partition waits for its last records to become durable.
const closeTimeout = time.Second

// handOver transfers a partition to another daemon. Calls in flight continue here and report to the new owner.
func (c *Controller) handOver(ctx context.Context, partition cluster.VersionedPartition, target *peerv1.Daemon) error {
	number := partition.Number
	position, err := c.Peers.Prepare(ctx, target.PeerAddress, target.Incarnation, number)
	if err != nil {
		return err
	}
	began := time.Now()
	closeCtx, cancel := context.WithTimeout(ctx, closeTimeout)
	programs, err := c.Holder.Close(closeCtx, number)
	cancel()
	if err != nil {
		return err
	}
	moved := proto.CloneOf(partition.Partition)
	closeRange(moved, c.Incarnation, c.Journal.Position())
	moved.Owner, moved.OwnerIncarnation = target.Name, target.Incarnation
	moved.Epoch++
	moved.Logs = append(moved.Logs, &peerv1.LogRange{Incarnation: target.Incarnation, From: position + 1})
	stored, err := c.replace(ctx, moved, partition.Version)
	if err != nil {
		return c.abortHandOver(ctx, partition.Partition, stored, err)
	}
	c.recordHandOver(number, moved.Epoch)
	c.Holder.Drop(number)
	c.stats.HandOvers.Add(1)
	err = c.Peers.Adopt(ctx, target.PeerAddress, target.Incarnation, number, moved.Epoch, programs)
	c.Log.WithFields(logrus.Fields{
		"event": "partition.handed_over", "partition": number, "to": target.Incarnation,
		"epoch": moved.Epoch, "took": time.Since(began), "adopted": err == nil,
	}).Info()
	return nil
}

// abortHandOver reopens a partition after a failed hand-over. It drops the partition if the stored epoch is newer, and
// leaves it closed if ctx has ended.
func (c *Controller) abortHandOver(ctx context.Context, old, stored *peerv1.Partition, err error) error {
	switch {
	case ctx.Err() != nil:
	case stored != nil && stored.Epoch > old.Epoch:
		c.recordHandOver(old.Number, stored.Epoch)
		c.Holder.Drop(old.Number)
	default:
		c.Holder.Reopen(old.Number)
	}
	return err
}

// recordHandOver records the epoch from which another daemon owns a partition, since the view may lag behind.
func (c *Controller) recordHandOver(number uint32, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handedOverEpoch[number] = epoch
}

// viewIsStale reports whether the epoch that the view shows for a partition is older than the epoch served here or
// that of the last hand-over by this daemon.
func (c *Controller) viewIsStale(number uint32, shown, epoch uint64, owned bool) bool {
	if owned && epoch > shown {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return shown < c.handedOverEpoch[number]
}
