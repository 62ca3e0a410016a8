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

// claim makes this daemon the owner of a partition without a living one, and recovers it.
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

// closeRange ends the open range of a log that takes no further segments.
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

// replace writes a partition's object if it is still at the given version. After a write whose answer was
// lost it writes again until the answer is certain: either write takes effect or the version has moved past
// both, so that none can take effect later. On ErrConflict it returns what stands.
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
			return c.standing(ctx, partition)
		case errors.Is(err, objectapi.ErrUnavailable) && !uncertain:
			return nil, err
		}
		uncertain = true
		if err := wait.For(ctx, retryPause); err != nil {
			return nil, err
		}
	}
}

// standing reads a partition's object after a conflict. If it is what this daemon wrote, there was none.
func (c *Controller) standing(ctx context.Context, written *peerv1.Partition) (*peerv1.Partition, error) {
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
		if err := wait.For(ctx, retryPause); err != nil {
			return nil, err
		}
	}
}

// sameWrite tells whether two states of a partition's object come from one write: an epoch has one owner,
// and each of its owner's checkpoints another prefix.
func sameWrite(a, b *peerv1.Partition) bool {
	return a.Epoch == b.Epoch && a.OwnerIncarnation == b.OwnerIncarnation && a.CheckpointPrefix == b.CheckpointPrefix
}

// retryPause is the time between attempts whose answer was lost.
const retryPause = 100 * time.Millisecond

// recover rebuilds a partition that this daemon owns from its checkpoint and logs, and puts it in service.
func (c *Controller) recover(ctx context.Context, partition *peerv1.Partition) error {
	programs, err := c.load(ctx, partition)
	if err != nil {
		return err
	}
	return c.Holder.Recover(ctx, partition.Number, partition.Epoch, programs)
}

// load reads what makes up a partition's state.
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

// replay applies a partition's records.
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

// Prepare implements the new owner's side of a hand-over: it expects the partition's state and returns the
// last segment of its log.
func (c *Controller) Prepare(incarnation string, number uint32) (uint64, error) {
	if incarnation != c.Incarnation {
		return 0, verdict.RetryLater(verdict.NotOwner, retryPause, "incarnation %s is over", incarnation)
	}
	if c.draining.Load() {
		return 0, verdict.RetryLater(verdict.Unavailable, retryPause, "daemon is draining")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected[number] = time.Now()
	return c.Journal.Position(), nil
}

// Adopt puts a partition in service whose old owner made this daemon the owner and sends its state.
func (c *Controller) Adopt(incarnation string, number uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error {
	c.mu.Lock()
	_, expected := c.expected[number]
	delete(c.expected, number)
	c.mu.Unlock()
	// Once the grace has passed, the partition is being recovered from the log: the state comes too late.
	if incarnation != c.Incarnation || !expected {
		return verdict.RetryLater(verdict.NotOwner, retryPause, "hand-over was not expected")
	}
	return c.Holder.Adopt(number, epoch, programs)
}

// closeTimeout bounds how long a partition is closed while its last records become durable.
const closeTimeout = time.Second

// handOver gives a partition to another daemon: its calls under way go on here and report to the new owner.
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
		return c.notHandedOver(ctx, partition.Partition, stored, err)
	}
	c.give(number, moved.Epoch)
	c.Holder.Drop(number)
	c.stats.HandOvers.Add(1)
	err = c.Peers.Adopt(ctx, target.PeerAddress, target.Incarnation, number, moved.Epoch, programs)
	c.Log.WithFields(logrus.Fields{
		"event": "partition.handed_over", "partition": number, "to": target.Incarnation,
		"epoch": moved.Epoch, "took": time.Since(began), "adopted": err == nil,
	}).Info()
	return nil
}

// notHandedOver puts a partition back in service if it certainly is still this daemon's. A hand-over whose
// outcome stays unknown leaves it closed: the incarnation is over.
func (c *Controller) notHandedOver(ctx context.Context, old, stored *peerv1.Partition, err error) error {
	switch {
	case ctx.Err() != nil:
	case stored != nil && stored.Epoch > old.Epoch:
		c.give(old.Number, stored.Epoch)
		c.Holder.Drop(old.Number)
	default:
		c.Holder.Reopen(old.Number)
	}
	return err
}

// give remembers that a partition is another daemon's from an epoch on, since the view may show that late.
func (c *Controller) give(number uint32, epoch uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.given[number] = epoch
}

// outdated tells whether the view, which shows a partition at an epoch, lags behind this daemon's own last
// step.
func (c *Controller) outdated(number uint32, shown, epoch uint64, owned bool) bool {
	if owned && epoch > shown {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return shown < c.given[number]
}
