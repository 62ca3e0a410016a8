package replica

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

const (
	// pageTimeout bounds the call for one page: up to a quarter of a megabyte over a link that other calls share.
	pageTimeout = 3 * time.Second
	// pullBatchTurns is the number of turns that one call requests.
	pullBatchTurns = 500
)

// takeOver copies what the slot must hold from the other slots, then makes this disk the slot's holder. All others are
// asked which turns they hold; each missing record is then copied once, from the nearest disk that has it. A retry
// copies only what is still missing.
//
// A durable record is on at least tolerance + 1 slots of its group, so on at least tolerance of the others: the lists
// of all others but tolerance - 1 name every durable record.
func (c *Controller) takeOver(ctx context.Context, l *layout.Layout, slot int) error {
	began := time.Now()
	missing := newMissingTurns(c.store.index)
	unanswered := c.listMissing(ctx, l, slot, missing)
	if unanswered > max(0, l.Tolerance-1) {
		return Error.New("slot %d: %d of %d disks did not list their turns", slot, unanswered, l.OccupiedSlots()-1)
	}
	copied, err := c.copyMissing(ctx, l, missing)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "copy-failed", "slot": slot, "records": copied, "missing": missing.len(), "error": err}).Warn("records not copied")
		return err
	}
	next := l.Clone()
	next.Slots[slot].Disk = c.store.Self()
	next.Slots[slot].Joining = nil
	c.log.WithFields(logrus.Fields{"event": "slot-filled", "slot": slot, "records": copied,
		"ms": time.Since(began).Milliseconds(), "epoch": next.Epoch}).Info("slot taken over")
	return c.putLayout(ctx, next)
}

// listMissing asks all other slots which turns they hold of those that the slot must hold, and returns how many disks
// did not answer.
func (c *Controller) listMissing(ctx context.Context, l *layout.Layout, slot int, missing *missingTurns) (unanswered int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, other := range l.Slots {
		if i == slot || other.Vacant {
			continue
		}
		wg.Go(func() {
			err := c.listFrom(ctx, l, slot, other.Disk, missing)
			if err == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			unanswered++
			c.log.WithFields(logrus.Fields{"event": "list-failed", "slot": slot, "from": other.Disk.Node, "error": err}).Warn("disk did not list its turns")
		})
	}
	wg.Wait()
	return unanswered
}

// listFrom asks one disk for the list of its turns, page by page.
func (c *Controller) listFrom(ctx context.Context, l *layout.Layout, slot int, from layout.Disk, missing *missingTurns) error {
	args := ExportArgs{Layout: *l, Slot: slot, From: from.ID}
	for {
		reply, err := callPage[ExportReply](ctx, c.links, from, "Export", &args)
		if err != nil {
			return err
		}
		if reply.Header.Status != OK || !reply.Header.Complete {
			return Error.New("%s answered with status %d, complete=%t", from.Node, reply.Header.Status, reply.Header.Complete)
		}
		missing.add(from, reply.Turns)
		if reply.Done {
			return nil
		}
		args.After = reply.Last
	}
}

// callPage calls one method of a disk's service, bounded by pageTimeout.
func callPage[Reply any](ctx context.Context, links *peerlink.Pool, from layout.Disk, method string, args any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return peerlink.Call[Reply](ctx, links.LinkTo(from.Address), ServiceName+"."+method, args)
}

// copyMissing copies the missing records, from the nearest disks first, and returns how many were new here.
func (c *Controller) copyMissing(ctx context.Context, l *layout.Layout, missing *missingTurns) (copied int, err error) {
	var sources []layout.Disk
	for _, disk := range l.Disks() {
		if disk.ID != c.store.Self().ID {
			sources = append(sources, disk)
		}
	}
	slices.SortStableFunc(sources, func(a, b layout.Disk) int {
		return int(c.topology.DistanceTo(a.DataCentre)) - int(c.topology.DistanceTo(b.DataCentre))
	})
	for _, from := range sources {
		n, pullErr := c.pullFrom(ctx, l, from, missing)
		copied += n
		if pullErr != nil {
			err = pullErr // another disk may have the records
		}
	}
	if missing.len() == 0 {
		return copied, nil
	}
	return copied, Error.New("%d listed records could not be copied from any disk: %w", missing.len(), err)
}

// pullFrom copies the missing records that one disk holds. A turn that the disk no longer holds has expired.
func (c *Controller) pullFrom(ctx context.Context, l *layout.Layout, from layout.Disk, missing *missingTurns) (copied int, err error) {
	ids := missing.heldBy(from)
	for len(ids) > 0 {
		args := PullArgs{Target: Target{Disk: from.ID, Epoch: l.Epoch}, IDs: ids[:min(pullBatchTurns, len(ids))]}
		reply, err := callPage[PullReply](ctx, c.links, from, "Pull", &args)
		if err != nil {
			return copied, err
		}
		if reply.Header.Status != OK || reply.Next <= 0 {
			return copied, Error.New("%s answered with status %d", from.Node, reply.Header.Status)
		}
		n, err := c.store.writeAll(reply.Records)
		if err != nil {
			return copied, err
		}
		copied += n
		missing.remove(ids[:reply.Next])
		ids = ids[reply.Next:]
	}
	return copied, nil
}

// missingTurns are the turns that other disks hold and this one does not. It is safe for concurrent use.
type missingTurns struct {
	own *index

	mu sync.Mutex
	// turns holds, by ID, the latest known state of each turn and the disks that hold it in that state.
	turns map[string]missingTurn
}

type missingTurn struct {
	state   turn.State
	holders []string
}

func newMissingTurns(own *index) *missingTurns {
	return &missingTurns{own: own, turns: map[string]missingTurn{}}
}

// add records what a disk holds.
func (s *missingTurns) add(from layout.Disk, turns []TurnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range turns {
		known, there := s.turns[t.ID]
		switch {
		case s.own.hasState(t.ID, t.State):
		case !there || t.State > known.state:
			s.turns[t.ID] = missingTurn{t.State, []string{from.ID}}
		case t.State == known.state:
			known.holders = append(known.holders, from.ID)
			s.turns[t.ID] = known
		}
	}
}

// heldBy returns the IDs of the missing turns that a disk holds.
func (s *missingTurns) heldBy(from layout.Disk) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids []string
	for id, t := range s.turns {
		if slices.Contains(t.holders, from.ID) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// remove records that turns are no longer missing.
func (s *missingTurns) remove(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		delete(s.turns, id)
	}
}

func (s *missingTurns) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.turns)
}

// writeAll makes records durable, with as few syncs as possible, and returns how many were new here.
func (s *Store) writeAll(records []turn.Record) (int, error) {
	var pending []turnlog.PendingAppend
	var added []int
	for i := range records {
		if record := &records[i]; !s.index.hasState(record.ID, record.State) {
			pending = append(pending, s.files.Append(record))
			added = append(added, i)
		}
	}
	var firstErr error
	timeout := appendTimeout
	for k, p := range pending {
		err := s.await(timeout, p, func() { s.index.add(&records[added[k]], p.Position, time.Now()) })
		if err != nil && firstErr == nil {
			firstErr, timeout = err, 0 // the others only have to be released
		}
	}
	if firstErr != nil {
		return 0, firstErr
	}
	return len(pending), nil
}
