package ownership

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// needsCheckpoint tells whether a partition's recovery would read too much of this daemon's log, or any of
// another's.
func (c *Controller) needsCheckpoint(partition *peerv1.Partition) bool {
	for _, log := range partition.Logs {
		if log.Incarnation != c.Incarnation {
			return true
		}
	}
	last := len(partition.Logs) - 1
	return last >= 0 && c.Journal.Position() >= partition.Logs[last].From+c.CheckpointSegments
}

// checkpoint writes a partition's state, so that its recovery starts from there, and removes what is no
// longer needed. The state may hold records from after the cut; replaying them changes nothing.
func (c *Controller) checkpoint(ctx context.Context, partition cluster.VersionedPartition) error {
	cut := c.Journal.Position()
	snapshots := c.Holder.Snapshots(partition.Number, c.Retention)
	prefix := keyspace.Checkpoint(partition.Number, partition.Epoch, uint64(time.Now().UnixNano()))
	write := func(ctx context.Context, key string, value []byte) error {
		if err := c.Limiter.Wait(ctx); err != nil {
			return err
		}
		_, err := c.API.Put(ctx, key, value, objectapi.MustNotExist)
		return err
	}
	chunks, err := journal.WriteCheckpoint(ctx, prefix, snapshots, write)
	if err != nil {
		c.removeCheckpoint(ctx, prefix, chunks)
		return err
	}
	next := proto.CloneOf(partition.Partition)
	next.CheckpointPrefix, next.CheckpointChunks = prefix, chunks
	next.Logs = []*peerv1.LogRange{{Incarnation: c.Incarnation, From: cut + 1}}
	if _, err := c.replace(ctx, next, partition.Version); err != nil {
		if errors.Is(err, objectapi.ErrConflict) {
			c.removeCheckpoint(ctx, prefix, chunks)
		}
		return err
	}
	c.stats.Checkpoints.Add(1)
	c.removeCheckpoint(ctx, partition.CheckpointPrefix, partition.CheckpointChunks)
	return nil
}

// removeCheckpoint deletes a checkpoint that no partition refers to. What can't be deleted now stays; it
// only takes room.
func (c *Controller) removeCheckpoint(ctx context.Context, prefix string, chunks uint32) {
	for chunk := range chunks {
		if err := c.remove(ctx, keyspace.CheckpointChunk(prefix, chunk)); err != nil {
			return
		}
	}
}

func (c *Controller) remove(ctx context.Context, key string) error {
	if err := c.Limiter.Wait(ctx); err != nil {
		return err
	}
	object, err := c.API.Get(ctx, key)
	if errors.Is(err, objectapi.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	_, err = c.API.Delete(ctx, key, object.Version)
	return err
}

// Trimmer removes the segments of this daemon's log that no partition needs any more. Use NewTrimmer, then
// Trim now and then.
type Trimmer struct {
	controller *Controller
	published  func() uint64
	// trimmed is the last segment removed.
	trimmed uint64
}

// NewTrimmer returns a trimmer of the controller's log. published returns the last segment that the lease
// object shows.
func NewTrimmer(c *Controller, published func() uint64) *Trimmer {
	return &Trimmer{controller: c, published: published}
}

// Trim removes up to limit segments. What the lease object shows as the newest stays, so that a daemon that
// seals the log always finds its end.
func (t *Trimmer) Trim(ctx context.Context, limit int) error {
	c := t.controller
	keep := min(t.published(), firstNeeded(c.Tracker.View(), c.Incarnation))
	for ; limit > 0 && t.trimmed+1 < keep; limit-- {
		if err := c.remove(ctx, keyspace.Segment(c.Incarnation, t.trimmed+1)); err != nil {
			return err
		}
		t.trimmed++
	}
	return nil
}
