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
	// pageTimeout bounds one page: a quarter of a megabyte over a link that others use too.
	pageTimeout = 3 * time.Second
	// pullBatchTurns bounds the turns that one question names.
	pullBatchTurns = 500
)

// takeOver copies what the slot must hold from the other slots, then makes this disk the slot's holder. All others are asked
// what they have; what is missing here is then copied once, from the nearest that has it. So a second try goes on where the
// first one failed, and little travels far.
//
// A durable record lies on at least tolerance + 1 slots of its group, so on tolerance of the others; all
// others but tolerance - 1 hold every one between them.
func (c *Controller) takeOver(ctx context.Context, l *layout.Layout, slot int) error {
	began := time.Now()
	missing := newMissingTurns(c.store.index)
	unanswered := c.listMissing(ctx, l, slot, missing)
	if unanswered > max(0, l.Tolerance-1) {
		return Error.New("slot %d: %d of %d disks did not tell what they have", slot, unanswered, l.OccupiedSlots()-1)
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
		"ms": time.Since(began).Milliseconds(), "epoch": next.Epoch}).Info("slot copied")
	return c.putLayout(ctx, next)
}

// listMissing asks all other slots what they have of what the slot must hold, and returns how many did not tell.
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
			c.log.WithFields(logrus.Fields{"event": "list-failed", "slot": slot, "from": other.Disk.Node, "error": err}).Warn("a disk did not tell what it has")
		})
	}
	wg.Wait()
	return unanswered
}

// listFrom asks one disk.
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

// callPage makes one call of a copy.
func callPage[Reply any](ctx context.Context, links *peerlink.Pool, from layout.Disk, method string, args any) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return peerlink.Call[Reply](ctx, links.LinkTo(from.Address), ServiceName+"."+method, args)
}

// copyMissing copies what is missing, from the nearest disks first, and returns how many records were new here.
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
			err = pullErr // another disk may have what this one did not give
		}
	}
	if missing.len() == 0 {
		return copied, nil
	}
	return copied, Error.New("%d records of which others told were given by none: %w", missing.len(), err)
}

// pullFrom copies what one disk has of what is missing. What it no longer has was kept for long enough.
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

// missingTurns is what this disk lacks of what others have. It is safe for concurrent use.
type missingTurns struct {
	own *index

	mu sync.Mutex
	// turns has the latest state of each that is lacked, and who has it so.
	turns map[string]missingTurn
}

type missingTurn struct {
	state   turn.State
	holders []string
}

func newMissingTurns(own *index) *missingTurns {
	return &missingTurns{own: own, turns: map[string]missingTurn{}}
}

// add notes what a disk has.
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

// heldBy returns what is lacked that a disk has.
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

// remove notes that turns are lacked no more.
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

// writeAll makes records durable with as few syncs as come, and returns how many were new here.
func (s *Store) writeAll(records []turn.Record) (int, error) {
	var pending []turnlog.PendingAppend
	var added []int
	for i := range records {
		if record := &records[i]; !s.index.hasState(record.ID, record.State) {
			pending = append(pending, s.files.Append(record))
			added = append(added, i)
		}
	}
	defer func() {
		for _, p := range pending {
			p.Release()
		}
	}()
	for k, p := range pending {
		if err := p.Wait(); err != nil {
			return 0, err
		}
		s.index.add(&records[added[k]], p.Position, time.Now())
	}
	return len(pending), nil
}
