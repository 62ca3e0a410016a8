// Package ledger reads and writes the turns and token budgets of programs on the disks of the layout. Any daemon may do
// so for any program: records are immutable, and any two quorums share a disk.
package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

var (
	// ErrTurnNotFound means that the turn does not exist: an absence quorum of disks does not hold it.
	ErrTurnNotFound = errors.New("no such turn")
	// ErrUnavailable means that too few disks answered.
	ErrUnavailable = errors.New("too few disks answered")
	// ErrBudgetExceeded means that the turn might not fit into the rest of the program's budget.
	ErrBudgetExceeded = errors.New("token budget exceeded")
)

const (
	// callTimeout bounds one call to a disk. It is shorter than the start of a VM, so that a quorum can't include an
	// acknowledgement of a disk that was lost and has already been refilled.
	callTimeout = time.Second
	// retryInterval is the time between two attempts to reach a quorum; each asks every disk of the group.
	retryInterval = 60 * time.Millisecond
	// fullGroupGrace is how much longer than for a quorum a reservation waits for the other disks. If they all answer,
	// it saves a second round of calls, which takes a round trip to another data centre, 3 ms.
	fullGroupGrace = 5 * time.Millisecond
	// fallbackDelay is how long the nearest disks may take to acknowledge a finished turn before it is sent to the rest
	// of the group. It is far above a usual answer, also from another region, so that busy disks do not get more work.
	fallbackDelay = 100 * time.Millisecond
	// failureMemory is for how long a disk that has not answered, or took no writes, is written to after all others.
	failureMemory = 3 * time.Second
	// hedgeDelay is how long a fetch waits for an answer before it asks the next disk as well: ten times a usual answer
	// of the nearest disk.
	hedgeDelay = 20 * time.Millisecond
)

// Ledger reads and writes turns on the disks of the layout. Use New.
type Ledger struct {
	links    *peerlink.Pool
	log      logrus.FieldLogger
	topology place.Topology
	layout   atomic.Pointer[layout.Layout]
	cache    *turnCache
	// lastFailure holds, by the ID of a disk, when it last did not answer or took no writes.
	lastFailure sync.Map
	// background tracks the calls that continue after their caller has returned.
	background sync.WaitGroup
}

// New returns the ledger of a daemon. topology tells how far the disks are away; cacheBytes bounds the turns kept in
// memory.
func New(links *peerlink.Pool, topology place.Topology, cacheBytes int, log logrus.FieldLogger) *Ledger {
	return &Ledger{links: links, topology: topology, cache: newTurnCache(cacheBytes), log: log}
}

// WithMemory makes the cached turns count towards a memory budget. It must be called before the first request.
func (l *Ledger) WithMemory(memory *membudget.Budget) *Ledger {
	l.cache.memory = memory
	return l
}

// UpdateLayout replaces the layout if next is newer.
func (l *Ledger) UpdateLayout(next *layout.Layout) {
	for {
		current := l.layout.Load()
		if current != nil && current.Epoch >= next.Epoch {
			return
		}
		if l.layout.CompareAndSwap(current, next) {
			l.log.WithFields(logrus.Fields{"event": "layout", "epoch": next.Epoch,
				"slots": len(next.Slots)}).Info("layout updated")
			return
		}
	}
}

// Layout returns the layout in use, or nil.
func (l *Ledger) Layout() *layout.Layout { return l.layout.Load() }

// Ready reports whether a layout is known, so that turns can be stored.
func (l *Ledger) Ready() bool {
	return l.layout.Load() != nil
}

// Reserve durably records that a turn may generate up to record.Tokens, and checks that this fits into the budget
// beside all that the program's other turns have generated or reserved. After ErrBudgetExceeded or ErrUnavailable the
// turn must not run, and the caller must take the reservation back with Settle.
//
// Of concurrent reservations, one must see all others. Where every disk of the group has answered, the one that came
// last to any disk does. Where only a quorum has, two that share one disk may each miss a third, so the disks are asked
// again once the reservation is durable: the one that became durable last then sees all.
func (l *Ledger) Reserve(ctx context.Context, record *turn.Record, budget int64) (ProgramUsage, error) {
	r, err := l.write(ctx, record, true)
	if err != nil {
		return ProgramUsage{}, err
	}
	if !r.complete() {
		second, err := l.write(ctx, record, true)
		if err != nil {
			return ProgramUsage{}, err
		}
		for _, e := range second.turns {
			mergeEntry(r.turns, e)
		}
	}
	usage := ProgramUsage{CachedPrompts: r.cachedPrompts, TimeBudget: r.timeBudget, Turns: len(r.turns)}
	if _, known := r.turns[record.ID]; known {
		usage.Turns--
	}
	for id, e := range r.turns {
		if id != record.ID {
			usage.Spent += e.Tokens
		}
	}
	if usage.Spent+record.Tokens > budget {
		return usage, ErrBudgetExceeded
	}
	return usage, nil
}

// ProgramUsage is what the disks know of a program.
type ProgramUsage struct {
	// Spent is the number of tokens that its other turns have generated or reserved.
	Spent int64
	// CachedPrompts are its prompts in servers' caches, as the nearest disk knows them; empty if that did not answer.
	CachedPrompts []turn.CachedPrompt
	// TimeBudget is the time that the program was given; 0 if none was, or if the nearest disk did not answer.
	TimeBudget time.Duration
	// Turns is the number of its other turns.
	Turns int
}

// Finish makes a finished turn durable.
func (l *Ledger) Finish(ctx context.Context, record *turn.Record) error {
	if _, err := l.write(ctx, record, false); err != nil {
		return err
	}
	l.cache.add(record)
	return nil
}

// Settle lowers the charge of a reserved turn: to nothing where no server has run it nor will, or to what it generated.
// It tries for 2 x callTimeout in the background. A reservation that is not settled only overstates the usage.
func (l *Ledger) Settle(record *turn.Record) {
	l.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		if _, err := l.write(ctx, record, false); err != nil {
			l.log.WithFields(logrus.Fields{"event": "settle-failed", "turn": record.ID, "state": record.State.String(), "error": err}).Warn("reservation not settled")
		}
	})
}

// Flush waits for background writes, until ctx ends.
func (l *Ledger) Flush(ctx context.Context) error { return wait.Group(ctx, &l.background) }

// write sends a record to the disks of its group, again and again until a quorum has it or ctx ends. With wantUsage the
// disks also return what they know of the program.
func (l *Ledger) write(ctx context.Context, record *turn.Record, wantUsage bool) (*writeRound, error) {
	var lastErr error
	for ctx.Err() == nil {
		current := l.layout.Load()
		if current == nil {
			return nil, ErrUnavailable
		}
		r := l.send(ctx, current, record, wantUsage)
		err := r.collect(ctx, l, wantUsage)
		if err == nil {
			return r, nil
		}
		lastErr = err
		if l.layout.Load() == current {
			_ = wait.For(ctx, retryInterval)
		}
	}
	return nil, errors.Join(ErrUnavailable, lastErr)
}

// writeResult is one disk's answer to a write.
type writeResult struct {
	slot  int
	reply *replica.WriteReply
	err   error
}

// writeRound is one attempt to write a record to the disks of a group.
type writeRound struct {
	results chan writeResult
	sent    int
	// fallback writes to the disks that were left out at first; nil if there are none.
	fallback func()
	// unacknowledged counts, by slot, the disks that have not yet acknowledged the record: two while another disk takes
	// the slot over.
	unacknowledged map[int]int
	acknowledged   int
	quorum         int
	turns          map[string]replica.BudgetEntry
	cachedPrompts  []turn.CachedPrompt
	timeBudget     time.Duration
}

func (r *writeRound) complete() bool { return r.acknowledged == len(r.unacknowledged) }

// send starts writing a record to the disks of its group. A finished turn holds the whole input and output, so it goes
// to the nearest quorum only, and to the rest if those do not all answer within fallbackDelay; other records go to all
// disks. The calls continue after the round is left.
func (l *Ledger) send(ctx context.Context, current *layout.Layout, record *turn.Record, wantUsage bool) *writeRound {
	group := l.sortNearestFirst(current, current.Group(record.Program))
	r := &writeRound{results: make(chan writeResult, 2*len(group)), unacknowledged: map[int]int{}, quorum: current.Quorum(), turns: map[string]replica.BudgetEntry{}}
	startWrite := func(slot int, disk layout.Disk) {
		r.sent++
		r.unacknowledged[slot]++
		args := &replica.WriteArgs{Target: replica.Target{Disk: disk.ID, Epoch: current.Epoch}, Record: *record,
			Entries: wantUsage, Places: wantUsage && slot == group[0]}
		l.background.Go(func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			result := writeResult{slot: slot}
			result.reply, result.err = peerlink.Call[replica.WriteReply](callCtx, l.links.LinkTo(disk.Address), replica.ServiceName+".Write", args)
			l.recordWriteResult(disk.ID, result)
			r.results <- result
		})
	}
	startWrites := func(slots []int) {
		for _, slot := range slots {
			assignment := current.Slots[slot]
			startWrite(slot, assignment.Disk)
			if assignment.Joining != nil {
				startWrite(slot, *assignment.Joining)
			}
		}
	}
	// Leaving slots count towards no quorum.
	group = slices.DeleteFunc(group, func(slot int) bool { return current.Slots[slot].Leaving })
	first := len(group)
	if record.State == turn.Finished {
		first = min(first, current.Quorum())
		l.sortFailedLast(current, group)
	}
	startWrites(group[:first])
	if rest := group[first:]; len(rest) > 0 {
		r.fallback = func() { startWrites(rest) }
	}
	return r
}

// recordWriteResult notes whether a disk takes writes. A refusal for another reason is answered by a working disk.
func (l *Ledger) recordWriteResult(disk string, result writeResult) {
	failed := result.err != nil
	if !failed {
		status := result.reply.Header.Status
		failed = status == replica.Failed || status == replica.Unwritable || status == replica.Unsure
	}
	if failed {
		l.lastFailure.Store(disk, time.Now())
	} else {
		l.lastFailure.Delete(disk)
	}
}

// sortFailedLast moves the slots to the end whose disks failed within failureMemory.
func (l *Ledger) sortFailedLast(current *layout.Layout, group []int) {
	recentlyFailed := func(slot int) int {
		at, failed := l.lastFailure.Load(current.Slots[slot].Disk.ID)
		if failed && time.Since(at.(time.Time)) < failureMemory {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(group, func(a, b int) int { return recentlyFailed(a) - recentlyFailed(b) })
}

// collect takes answers until a quorum holds the record; with waitForAll, for up to fullGroupGrace longer until all do.
func (r *writeRound) collect(ctx context.Context, l *Ledger, waitForAll bool) error {
	var grace <-chan time.Time
	var lastErr error
	fallbackTimer := time.NewTimer(fallbackDelay)
	defer fallbackTimer.Stop()
	for answered := 0; answered < r.sent; {
		select {
		case result := <-r.results:
			answered++
			if err := r.addResult(l, result); err != nil {
				lastErr = err
				r.startFallback()
			}
		case <-fallbackTimer.C:
			r.startFallback()
			continue
		case <-grace:
			return nil
		case <-ctx.Done():
			if r.acknowledged >= r.quorum {
				return nil
			}
			return ctx.Err()
		}
		if r.complete() || r.acknowledged >= r.quorum && !waitForAll {
			return nil
		}
		if r.acknowledged >= r.quorum && grace == nil {
			timer := time.NewTimer(fullGroupGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	if r.acknowledged >= r.quorum {
		return nil
	}
	return errors.Join(ErrUnavailable, lastErr)
}

// startFallback writes to the disks that were left out at first.
func (r *writeRound) startFallback() {
	if r.fallback != nil {
		r.fallback()
		r.fallback = nil
	}
}

// addResult adds one disk's answer to the round.
func (r *writeRound) addResult(l *Ledger, result writeResult) error {
	if result.err != nil {
		return result.err
	}
	if err := l.checkHeader(result.reply.Header); err != nil {
		return err
	}
	for _, e := range result.reply.Entries {
		mergeEntry(r.turns, e)
	}
	r.timeBudget = max(r.timeBudget, result.reply.Aim)
	r.cachedPrompts = append(r.cachedPrompts, result.reply.Places...)
	r.unacknowledged[result.slot]--
	if r.unacknowledged[result.slot] == 0 {
		r.acknowledged++
	}
	return nil
}

// checkHeader returns an error unless the disk carried the request out. It adopts the layout that the header holds.
func (l *Ledger) checkHeader(header replica.Header) error {
	if header.Layout != nil {
		l.UpdateLayout(header.Layout)
	}
	switch header.Status {
	case replica.OK:
		return nil
	case replica.StaleLayout:
		return errStaleLayout
	case replica.WrongDisk:
		return errWrongDisk
	case replica.Unwritable:
		return errDiskUnwritable
	case replica.Unsure:
		return errDiskUnsure
	default:
		return errDiskFailed
	}
}

var (
	errStaleLayout = errors.New("layout is out of date")
	errWrongDisk   = errors.New("another disk answers at the address")
	errDiskFailed  = errors.New("disk could not be read or written")
	// errDiskUnwritable means that the record is not on the disk; after errDiskUnsure it may or may not be.
	errDiskUnwritable = errors.New("disk takes no writes")
	errDiskUnsure     = errors.New("disk has not written the record in time")
)

// mergeEntry adds an entry to those known; a later state of a turn wins.
func mergeEntry(turns map[string]replica.BudgetEntry, e replica.BudgetEntry) {
	if e.State > turns[e.ID].State {
		turns[e.ID] = e
	}
}
