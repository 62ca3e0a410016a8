package ledger

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// Chain returns a turn and all turns before it, the oldest first. It returns ErrTurnNotFound if the turn does not
// exist, and ErrUnavailable if it may exist but can't be read.
func (l *Ledger) Chain(ctx context.Context, program, id string) ([]*turn.Record, error) {
	var chain []*turn.Record
	for next := id; next != ""; {
		if record := l.cache.get(next); record != nil {
			chain = append(chain, record)
			next = record.Previous
			continue
		}
		found, err := l.fetchWithRetry(ctx, program, next)
		if errors.Is(err, ErrTurnNotFound) && len(chain) > 0 {
			return nil, fmt.Errorf("%w: turn %s before %s", ErrUnavailable, next, id)
		}
		if err != nil {
			return nil, err
		}
		for i := range found {
			l.cache.add(&found[i])
			chain = append(chain, &found[i])
		}
		next = found[len(found)-1].Previous
	}
	slices.Reverse(chain)
	return chain, nil
}

// fetchWithRetry repeats a fetch while too few disks answer, until ctx ends.
func (l *Ledger) fetchWithRetry(ctx context.Context, program, id string) ([]turn.Record, error) {
	for {
		found, err := l.fetch(ctx, program, id)
		if err == nil || errors.Is(err, ErrTurnNotFound) || ctx.Err() != nil {
			return found, err
		}
		if waitErr := wait.For(ctx, retryInterval); waitErr != nil {
			return nil, err
		}
	}
}

// fetchResult is one disk's answer to a fetch.
type fetchResult struct {
	slot  int
	reply *replica.FetchReply
	err   error
}

// fetch returns a turn and some of those before it, the newest first. It asks one disk after the other, the nearest of
// the program's group first, and goes on to the next when a disk does not hold the turn or does not answer within
// hedgeDelay. Once as many disks as a group has do not hold the turn, it probably does not exist, and the rest are
// asked concurrently. ErrTurnNotFound is returned as soon as an absence quorum does not hold it.
func (l *Ledger) fetch(ctx context.Context, program, id string) ([]turn.Record, error) {
	current := l.layout.Load()
	if current == nil {
		return nil, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	group := current.Group(program)
	order := l.allSlotsNearestFirst(current, group)
	results := make(chan fetchResult, len(order))
	startFetch := func(slot int) {
		disk := current.Slots[slot].Disk
		args := &replica.FetchArgs{Target: replica.Target{Disk: disk.ID, Epoch: current.Epoch}, ID: id}
		go func() {
			result := fetchResult{slot: slot}
			result.reply, result.err = peerlink.Call[replica.FetchReply](ctx, l.links.LinkTo(disk.Address), replica.ServiceName+".Fetch", args)
			results <- result
		}()
	}
	started := 0
	startNext := func() {
		if started < len(order) {
			startFetch(order[started])
			started++
		}
	}
	startNext()
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	absent, answered := 0, 0
	var lastErr error
	for answered < len(order) {
		select {
		case <-hedge.C:
			startNext()
		case result := <-results:
			answered++
			if result.err != nil {
				lastErr = result.err
			} else if err := l.checkHeader(result.reply.Header); err != nil {
				lastErr = err
			} else if len(result.reply.Chain) > 0 {
				return result.reply.Chain, nil
			} else if result.reply.Header.Complete {
				absent++
			}
			if absent >= current.AbsenceQuorum() {
				return nil, ErrTurnNotFound
			}
			startNext()
			for absent >= len(group) && started < len(order) {
				startNext()
			}
		case <-ctx.Done():
			return nil, errors.Join(ErrUnavailable, ctx.Err())
		}
	}
	return nil, errors.Join(ErrUnavailable, lastErr)
}

// allSlotsNearestFirst returns all slots that are not vacant: first those of the group, the nearest first, then the
// others.
func (l *Ledger) allSlotsNearestFirst(current *layout.Layout, group []int) []int {
	order := l.sortNearestFirst(current, group)
	for slot := range current.Slots {
		if !current.Slots[slot].Vacant && !slices.Contains(order, slot) {
			order = append(order, slot)
		}
	}
	return order
}

// departingDistance is greater than the distance to any data centre.
const departingDistance = int(place.OtherRegion) + 1

// sortNearestFirst sorts slots in place: the nearest first, those that are leaving or being taken over last.
func (l *Ledger) sortNearestFirst(current *layout.Layout, slots []int) []int {
	distance := func(i int) int {
		slot := current.Slots[i]
		if slot.Joining != nil || slot.Leaving {
			return departingDistance
		}
		return int(l.topology.DistanceTo(slot.Disk.DataCentre))
	}
	slices.SortStableFunc(slots, func(a, b int) int { return distance(a) - distance(b) })
	return slots
}
