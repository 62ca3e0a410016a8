// Package ledger reads and writes the kept turns and the token budgets of programs on the disks of the
// layout. Any daemon may do so for any program: records never change, and any two quorums share a disk.
package ledger

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

var (
	// ErrTurnNotFound means that no such turn is kept. It is certain.
	ErrTurnNotFound = errors.New("no such turn")
	// ErrUnavailable means that too few disks answered to know.
	ErrUnavailable = errors.New("too few disks answered")
	// ErrBudgetExceeded means that the turn might not fit into what is left of the program's budget.
	ErrBudgetExceeded = errors.New("token budget spent")
)

const (
	// callTimeout bounds one call to a disk. A quorum gathered within it can't hold an acknowledgement of a
	// disk that was lost and has already been copied anew: a VM takes longer to start.
	callTimeout = time.Second
	// retryInterval is the time between two tries to reach a quorum; each asks every disk of the group.
	retryInterval = 60 * time.Millisecond
	// fullGroupGrace is how much longer than for a quorum a reservation waits for the other disks: asking again
	// takes a trip to another data centre and back, 3 ms.
	fullGroupGrace = 5 * time.Millisecond
	// fallbackDelay is when a whole turn's record goes to the disks that were spared: many times a usual answer, also of another
	// region's disk. Sooner, disks that are busy would get more to do for it.
	fallbackDelay = 100 * time.Millisecond
	// failureMemory is for how long a disk that has not answered is asked after all others.
	failureMemory = 3 * time.Second
	// hedgeDelay is when a fetch asks the other disks too: ten times a usual answer of the nearest.
	hedgeDelay = 20 * time.Millisecond
)

// Ledger talks to the disks. Use New.
type Ledger struct {
	links    *peerlink.Pool
	log      logrus.FieldLogger
	topology place.Topology
	layout   atomic.Pointer[layout.Layout]
	cache    *turnCache
	// lastFailure has when a disk, by its ID, last did not answer.
	lastFailure sync.Map
	// background are the writes that go on after their quorum.
	background sync.WaitGroup
}

// New returns a ledger of a daemon at a place. cacheBytes bounds the turns kept in memory.
func New(links *peerlink.Pool, topology place.Topology, cacheBytes int, log logrus.FieldLogger) *Ledger {
	return &Ledger{links: links, topology: topology, cache: newTurnCache(cacheBytes), log: log}
}

// UpdateLayout takes a layout over if it is newer than the one in use.
func (l *Ledger) UpdateLayout(next *layout.Layout) {
	for {
		current := l.layout.Load()
		if current != nil && current.Epoch >= next.Epoch {
			return
		}
		if l.layout.CompareAndSwap(current, next) {
			l.log.WithFields(logrus.Fields{"event": "layout", "epoch": next.Epoch,
				"slots": len(next.Slots)}).Info("layout in force")
			return
		}
	}
}

// Layout returns the layout in use, or nil.
func (l *Ledger) Layout() *layout.Layout { return l.layout.Load() }

// Ready tells whether turns can be kept.
func (l *Ledger) Ready() bool {
	return l.layout.Load() != nil
}

// Reserve makes durable that a turn may generate up to record.Tokens, and tells whether that fits into the
// budget beside all that the program's other turns have generated or reserved. ErrBudget and ErrUnsure mean
// that the turn must not run; Settle then takes the reservation back.
//
// Of turns that reserve at the same moment, one must see all others. Where every disk of the group has
// answered, the one that came last to any one disk does. Where only a quorum has, two that meet on one disk
// each may miss a third, so the disks are asked again once the reservation is durable: the one whose
// reservation became durable last then sees all.
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
	// Spent are the tokens of its other turns, those reserved among them.
	Spent int64
	// CachedPrompts are where its prompts are in cache, as the nearest disk knows them; none where that did not answer.
	CachedPrompts []turn.CachedPrompt
	// TimeBudget is the time that it was given; 0 where that was not said, or where the nearest disk did not answer.
	TimeBudget time.Duration
	// Turns is how many other turns of it the disks know of.
	Turns int
}

// Finish makes a whole turn durable.
func (l *Ledger) Finish(ctx context.Context, record *turn.Record) error {
	if _, err := l.write(ctx, record, false); err != nil {
		return err
	}
	l.cache.add(record)
	return nil
}

// Settle lowers what a reserved turn counts: to nothing where no server has run it nor will, or to what it
// generated. It is tried for a while beside the caller's work: a reservation that stays only counts too much.
func (l *Ledger) Settle(record *turn.Record) {
	l.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
		defer cancel()
		if _, err := l.write(ctx, record, false); err != nil {
			l.log.WithFields(logrus.Fields{"event": "settle-failed", "turn": record.ID, "state": record.State.String(), "error": err}).Warn("reservation stays")
		}
	})
}

// Flush waits for the writes that still go on, until ctx ends.
func (l *Ledger) Flush(ctx context.Context) error { return wait.Group(ctx, &l.background) }

// write sends a record to the disks of its group until a quorum has it. With account the answers tell what the
// disks know of the program.
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

// writeRound is one asking of the disks of a group.
type writeRound struct {
	results chan writeResult
	sent    int
	// fallback asks the disks that were left out at first; nil where there are none.
	fallback func()
	// unacknowledged counts, for each slot, the disks that have not yet said that they hold the record: two while
	// another disk takes the slot over.
	unacknowledged map[int]int
	acknowledged   int
	quorum         int
	turns          map[string]replica.BudgetEntry
	cachedPrompts  []turn.CachedPrompt
	timeBudget     time.Duration
}

func (r *writeRound) complete() bool { return r.acknowledged == len(r.unacknowledged) }

// send asks the disks of the record's group. A whole turn's record goes to the nearest quorum of them alone, and to the rest
// only where those do not all answer soon: it holds all that was said, and its way may be long. All else goes to each. The
// calls go on after the round has been left.
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
			l.recordCallResult(disk.ID, result.err)
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
	// A slot that is leaving counts for nothing, so it is asked for nothing.
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

// recordCallResult remembers whether a disk has answered.
func (l *Ledger) recordCallResult(disk string, err error) {
	if err != nil {
		l.lastFailure.Store(disk, time.Now())
	} else {
		l.lastFailure.Delete(disk)
	}
}

// sortFailedLast puts the slots last whose disks have not answered of late.
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

// collect takes answers until a quorum holds the record; with patience, also for allGrace longer until all do.
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

// startFallback asks the disks that were left out at first.
func (r *writeRound) startFallback() {
	if r.fallback != nil {
		r.fallback()
		r.fallback = nil
	}
}

// addResult counts one answer.
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

// checkHeader turns a disk's answer into an error, and learns the layout that it brings.
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
	default:
		return errDiskFailed
	}
}

var (
	errStaleLayout = errors.New("layout is out of date")
	errWrongDisk   = errors.New("another disk answers at the address")
	errDiskFailed  = errors.New("disk failed")
)

// mergeEntry adds an entry to those known; a later state of a turn wins.
func mergeEntry(turns map[string]replica.BudgetEntry, e replica.BudgetEntry) {
	if e.State > turns[e.ID].State {
		turns[e.ID] = e
	}
}
