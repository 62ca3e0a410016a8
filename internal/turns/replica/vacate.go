package replica

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const (
	// spareWait is how long a retiring disk waits for a spare disk to take its slot over: several steps of the spare
	// disk's controller.
	spareWait = time.Second
	// lackedBatchTurns is the number of turns in one call of Lacked.
	lackedBatchTurns = 2000
	// lackedTimeout bounds one call of Lacked, pushTimeout the write of one record.
	lackedTimeout = 2 * time.Second
	pushTimeout   = time.Second
	// maxConcurrentPushes bounds the concurrent writes to one disk, which share syncs there.
	maxConcurrentPushes = 16
)

// vacate takes this disk out of the layout where no other disk takes its slot over, in three steps. Each is a new
// layout or a condition for one:
//
//   - This disk stops serving older layouts, then the slot is marked as leaving. All records that became durable with
//     this disk's acknowledgement are on it by then, and no later record counts on it.
//   - Every record on this disk is copied until a quorum of the remaining slots of its group holds it.
//   - The slot becomes vacant. Groups that had it get another slot in its place; a quorum of the remaining slots of the
//     old group is a quorum of the new group.
func (c *Controller) vacate(ctx context.Context, l *layout.Layout, slot int) error {
	if !l.Slots[slot].Leaving {
		return c.startVacating(ctx, l, slot)
	}
	began := time.Now()
	copied, err := c.copyToRemaining(ctx, l, slot)
	if err != nil {
		return err
	}
	next := l.Clone()
	next.Slots[slot] = layout.Slot{DataCentre: l.Slots[slot].DataCentre, Vacant: true}
	c.log.WithFields(logrus.Fields{"event": "slot-vacant", "slot": slot, "records": copied,
		"ms": time.Since(began).Milliseconds(), "epoch": next.Epoch}).Info("slot vacated")
	return c.putLayout(ctx, next)
}

// startVacating marks the slot as leaving once no spare disk has taken it over within spareWait.
func (c *Controller) startVacating(ctx context.Context, l *layout.Layout, slot int) error {
	if c.retiringSince.IsZero() {
		c.retiringSince = time.Now()
	}
	if !l.CanVacate(slot) || time.Since(c.retiringSince) < spareWait {
		return nil
	}
	next := l.Clone()
	next.Slots[slot].Leaving = true
	if err := c.store.raiseFence(next.Epoch); err != nil {
		return err
	}
	c.log.WithFields(logrus.Fields{"event": "slot-leave", "slot": slot, "epoch": next.Epoch, "live": l.OccupiedSlots()}).Info("vacating a slot that no spare disk took over")
	return c.putLayout(ctx, next)
}

// cancelVacating clears the leaving mark of a slot whose retirement was withdrawn.
func (c *Controller) cancelVacating(ctx context.Context, l *layout.Layout, slot int) error {
	c.retiringSince = time.Time{}
	if !l.Slots[slot].Leaving {
		return nil
	}
	next := l.Clone()
	next.Slots[slot].Leaving = false
	return c.putLayout(ctx, next)
}

// copyToRemaining copies every record of this disk to a quorum of the remaining slots of its group, and returns how
// many were sent.
func (c *Controller) copyToRemaining(ctx context.Context, l *layout.Layout, slot int) (int, error) {
	records := c.store.index.allTurns()
	groups := map[string][]int{}
	bySlot := map[int][]int{}
	for i, r := range records {
		group, known := groups[r.program]
		if !known {
			group = l.Group(r.program)
			groups[r.program] = group
		}
		for _, other := range group {
			if other != slot && !l.Slots[other].Leaving {
				bySlot[other] = append(bySlot[other], i)
			}
		}
	}
	holders := make([]int, len(records))
	sent := 0
	for other, wanted := range bySlot {
		lacked, err := c.copyToDisk(ctx, l, l.Slots[other].Disk, records, wanted)
		if err != nil {
			c.log.WithFields(logrus.Fields{"event": "copy-failed", "slot": slot, "to": l.Slots[other].Disk.Node, "error": err}).Warn("records not copied")
			continue
		}
		sent += lacked
		for _, i := range wanted {
			holders[i]++
		}
	}
	for i, n := range holders {
		if n < l.Quorum() {
			return sent, Error.New("slot %d: turn %s of program %s is on %d of %d remaining disks that it needs", slot, records[i].ID, records[i].program, n, l.Quorum())
		}
	}
	return sent, nil
}

// copyToDisk makes one disk hold some of the records, and returns how many it lacked.
func (c *Controller) copyToDisk(ctx context.Context, l *layout.Layout, disk layout.Disk, records []indexedTurn, wanted []int) (int, error) {
	target := Target{Disk: disk.ID, Epoch: l.Epoch}
	link := c.links.LinkTo(disk.Address)
	sent := 0
	for len(wanted) > 0 {
		page := wanted[:min(lackedBatchTurns, len(wanted))]
		wanted = wanted[len(page):]
		args := &LackedArgs{Target: target}
		for _, i := range page {
			args.Turns = append(args.Turns, records[i].TurnState)
		}
		askCtx, cancel := context.WithTimeout(ctx, lackedTimeout)
		reply, err := peerlink.Call[LackedReply](askCtx, link, ServiceName+".Lacked", args)
		cancel()
		if err != nil {
			return sent, err
		}
		if reply.Header.Status != OK {
			return sent, Error.New("%s answered with status %d", disk.Node, reply.Header.Status)
		}
		var group errgroup.Group
		group.SetLimit(maxConcurrentPushes)
		for _, i := range reply.Lacked {
			group.Go(func() error { return c.pushRecord(ctx, link, target, records[page[i]]) })
		}
		if err := group.Wait(); err != nil {
			return sent, err
		}
		sent += len(reply.Lacked)
	}
	return sent, nil
}

// pushRecord sends one record to a disk.
func (c *Controller) pushRecord(ctx context.Context, link *peerlink.Link, target Target, r indexedTurn) error {
	record, err := c.store.files.Read(r.position)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := peerlink.Call[WriteReply](ctx, link, ServiceName+".Write", &WriteArgs{Target: target, Record: record})
	if err != nil {
		return err
	}
	if reply.Header.Status != OK {
		return Error.New("turn %s: status %d", r.ID, reply.Header.Status)
	}
	return nil
}
