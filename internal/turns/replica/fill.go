package replica

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

// pageTimeout bounds one page of an export: half a megabyte over a link that others use too.
const pageTimeout = 3 * time.Second

// takeOver copies what the slot must hold from the other slots, then makes this disk the slot's holder.
//
// A durable record lies on at least tolerance + 1 slots of its group, so on tolerance of the others; all
// others but tolerance - 1 hold every one between them.
func (c *Controller) takeOver(ctx context.Context, l *layout.Layout, slot int) error {
	began := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	copied, missing := 0, 0
	for i, other := range l.Slots {
		if i == slot || other.Vacant {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, err := c.copyFrom(ctx, l, slot, other.Disk)
			mu.Lock()
			defer mu.Unlock()
			copied += n
			if err != nil {
				missing++
				c.log.WithFields(logrus.Fields{"event": "copy-failed", "slot": slot, "from": other.Disk.Node, "error": err}).Warn("records not copied")
			}
		}()
	}
	wg.Wait()
	if missing > max(0, l.Tolerance-1) {
		return Error.New("slot %d: %d of %d disks gave no records", slot, missing, l.Live()-1)
	}
	next := l.Clone()
	next.Slots[slot].Disk = c.store.Self()
	next.Slots[slot].Joining = nil
	c.log.WithFields(logrus.Fields{"event": "slot-filled", "slot": slot, "records": copied,
		"ms": time.Since(began).Milliseconds(), "epoch": next.Epoch}).Info("slot copied")
	return c.put(ctx, next)
}

// copyFrom copies what the slot must hold from one disk, and returns how many records were new here.
func (c *Controller) copyFrom(ctx context.Context, l *layout.Layout, slot int, from layout.Disk) (int, error) {
	args := ExportArgs{Layout: *l, Slot: slot, From: from.ID}
	copied := 0
	for {
		pageCtx, cancel := context.WithTimeout(ctx, pageTimeout)
		reply, err := peerlink.Call[ExportReply](pageCtx, c.links.To(from.Address), ServiceName+".Export", &args)
		cancel()
		if err != nil {
			return copied, err
		}
		if reply.Header.Status != OK || !reply.Header.Complete {
			return copied, Error.New("%s answered with status %d, complete=%t", from.Node, reply.Header.Status, reply.Header.Complete)
		}
		n, err := c.store.writeAll(reply)
		if err != nil {
			return copied, err
		}
		copied += n
		if reply.Done {
			return copied, nil
		}
		args.After = reply.Last
	}
}

// writeAll makes a page durable with as few syncs as come.
func (s *Store) writeAll(page *ExportReply) (int, error) {
	var tickets []turnlog.Ticket
	var added []int
	for i := range page.Records {
		if record := &page.Records[i]; !s.index.has(record.ID, record.State) {
			tickets = append(tickets, s.files.Append(record))
			added = append(added, i)
		}
	}
	defer func() {
		for _, ticket := range tickets {
			ticket.Done()
		}
	}()
	for k, ticket := range tickets {
		if err := ticket.Wait(); err != nil {
			return 0, err
		}
		s.index.add(&page.Records[added[k]], ticket.Position, time.Now())
	}
	return len(tickets), nil
}
