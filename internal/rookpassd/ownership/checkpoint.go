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

// needsCheckpoint reports whether recovering a partition would read another daemon's log, or more than
// CheckpointSegments segments of this daemon's log.
func (c *Controller) needsCheckpoint(partition *peerv1.Partition) bool {
	for _, log := range partition.Logs {
		if log.Incarnation != c.Incarnation {
			return true
		}
	}
	last := len(partition.Logs) - 1
	return last >= 0 && c.Journal.Position() >= partition.Logs[last].From+c.CheckpointSegments
}

// checkpoint writes a partition's state as the new starting point of its recovery and removes the previous
// checkpoint. The state may include records from after the cut position; replaying those is idempotent.
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

// removeCheckpoint deletes a checkpoint that no partition refers to. It stops at the first error; the remaining
// chunks stay in storage unused.
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

// Trimmer removes the segments of this daemon's log that no partition needs any more. Call Trim periodically.
type Trimmer struct {
	controller *Controller
	published  func() uint64
	// lastTrimmed is the last segment removed.
	lastTrimmed uint64
}

// NewTrimmer returns a Trimmer for the controller's log. published returns the last segment recorded in the
// lease object.
func NewTrimmer(c *Controller, published func() uint64) *Trimmer {
	return &Trimmer{controller: c, published: published}
}

// Trim removes up to limit segments. It keeps the last segment recorded in the lease object, so that a daemon that
// seals the log can find its end.
func (t *Trimmer) Trim(ctx context.Context, limit int) error {
	c := t.controller
	keep := min(t.published(), firstNeeded(c.Tracker.View(), c.Incarnation))
	for ; limit > 0 && t.lastTrimmed+1 < keep; limit-- {
		if err := c.remove(ctx, keyspace.Segment(c.Incarnation, t.lastTrimmed+1)); err != nil {
			return err
		}
		t.lastTrimmed++
	}
	return nil
}
