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
	// retryPause is the time between two tries to reach a quorum; each asks every disk of the group.
	retryPause = 60 * time.Millisecond
	// allGrace is how much longer than for a quorum a reservation waits for the other disks: asking again
	// takes a trip to another data centre and back, 3 ms.
	allGrace = 5 * time.Millisecond
	// spareDelay is when a whole turn's record goes to the disks that were spared: many times a usual answer, also of another
	// region's disk. Sooner, disks that are busy would get more to do for it.
	spareDelay = 100 * time.Millisecond
	// spareMemory is for how long a disk that has not answered is asked after all others.
	spareMemory = 3 * time.Second
	// hedgeDelay is when a fetch asks the other disks too: ten times a usual answer of the nearest.
	hedgeDelay = 20 * time.Millisecond
)

// Ledger talks to the disks. Use New.
type Ledger struct {
	links  *peerlink.Pool
	log    logrus.FieldLogger
	place  place.Topology
	layout atomic.Pointer[layout.Layout]
	cache  *cache
	// failed has when a disk, by its ID, last did not answer.
	failed sync.Map
	// background are the writes that go on after their quorum.
	background sync.WaitGroup
}

// New returns a ledger of a daemon at a place. cacheBytes bounds the turns kept in memory.
func New(links *peerlink.Pool, at place.Topology, cacheBytes int, log logrus.FieldLogger) *Ledger {
	return &Ledger{links: links, place: at, cache: newCache(cacheBytes), log: log}
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
	if !r.all() {
		again, err := l.write(ctx, record, true)
		if err != nil {
			return ProgramUsage{}, err
		}
		for _, e := range again.known {
			merge(r.known, e)
		}
	}
	account := ProgramUsage{CachedPrompts: r.places, TimeBudget: r.aim, Turns: len(r.known)}
	if _, known := r.known[record.ID]; known {
		account.Turns--
	}
	for id, e := range r.known {
		if id != record.ID {
			account.Spent += e.Tokens
		}
	}
	if account.Spent+record.Tokens > budget {
		return account, ErrBudgetExceeded
	}
	return account, nil
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
func (l *Ledger) write(ctx context.Context, record *turn.Record, account bool) (*round, error) {
	var lastErr error
	for ctx.Err() == nil {
		current := l.layout.Load()
		if current == nil {
			return nil, ErrUnavailable
		}
		round := l.send(ctx, current, record, account)
		err := round.gather(ctx, l, account)
		if err == nil {
			return round, nil
		}
		lastErr = err
		if l.layout.Load() == current {
			_ = wait.For(ctx, retryPause)
		}
	}
	return nil, errors.Join(ErrUnavailable, lastErr)
}

// ack is one disk's answer to a write.
type ack struct {
	slot  int
	reply *replica.WriteReply
	err   error
}

// round is one asking of the disks of a group.
type round struct {
	answers chan ack
	sent    int
	// spared asks the disks that were left out at first; nil where there are none.
	spared func()
	// open counts, for each slot, the disks that have not yet said that they hold the record: two while
	// another disk takes the slot over.
	open   map[int]int
	held   int
	quorum int
	known  map[string]replica.BudgetEntry
	places []turn.CachedPrompt
	aim    time.Duration
}

func (r *round) all() bool { return r.held == len(r.open) }

// send asks the disks of the record's group. A whole turn's record goes to the nearest quorum of them alone, and to the rest
// only where those do not all answer soon: it holds all that was said, and its way may be long. All else goes to each. The
// calls go on after the round has been left.
func (l *Ledger) send(ctx context.Context, current *layout.Layout, record *turn.Record, account bool) *round {
	group := l.nearestFirst(current, current.Group(record.Program))
	r := &round{answers: make(chan ack, 2*len(group)), open: map[int]int{}, quorum: current.Quorum(), known: map[string]replica.BudgetEntry{}}
	ask := func(slot int, disk layout.Disk) {
		r.sent++
		r.open[slot]++
		args := &replica.WriteArgs{Target: replica.Target{Disk: disk.ID, Epoch: current.Epoch}, Record: *record,
			Entries: account, Places: account && slot == group[0]}
		l.background.Go(func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			a := ack{slot: slot}
			a.reply, a.err = peerlink.Call[replica.WriteReply](callCtx, l.links.LinkTo(disk.Address), replica.ServiceName+".Write", args)
			l.noteAnswer(disk.ID, a.err)
			r.answers <- a
		})
	}
	askAll := func(slots []int) {
		for _, slot := range slots {
			place := current.Slots[slot]
			ask(slot, place.Disk)
			if place.Joining != nil {
				ask(slot, *place.Joining)
			}
		}
	}
	// A slot that is leaving counts for nothing, so it is asked for nothing.
	group = slices.DeleteFunc(group, func(slot int) bool { return current.Slots[slot].Leaving })
	first := len(group)
	if record.State == turn.Finished {
		first = min(first, current.Quorum())
		l.silentLast(current, group)
	}
	askAll(group[:first])
	if rest := group[first:]; len(rest) > 0 {
		r.spared = func() { askAll(rest) }
	}
	return r
}

// noteAnswer remembers whether a disk has answered.
func (l *Ledger) noteAnswer(disk string, err error) {
	if err != nil {
		l.failed.Store(disk, time.Now())
	} else {
		l.failed.Delete(disk)
	}
}

// silentLast puts the slots last whose disks have not answered of late.
func (l *Ledger) silentLast(current *layout.Layout, group []int) {
	silent := func(slot int) int {
		at, failed := l.failed.Load(current.Slots[slot].Disk.ID)
		if failed && time.Since(at.(time.Time)) < spareMemory {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(group, func(a, b int) int { return silent(a) - silent(b) })
}

// gather takes answers until a quorum holds the record; with patience, also for allGrace longer until all do.
func (r *round) gather(ctx context.Context, l *Ledger, patience bool) error {
	var grace <-chan time.Time
	var problem error
	spare := time.NewTimer(spareDelay)
	defer spare.Stop()
	for answered := 0; answered < r.sent; {
		select {
		case a := <-r.answers:
			answered++
			if err := r.take(l, a); err != nil {
				problem = err
				r.askSpared()
			}
		case <-spare.C:
			r.askSpared()
			continue
		case <-grace:
			return nil
		case <-ctx.Done():
			if r.held >= r.quorum {
				return nil
			}
			return ctx.Err()
		}
		if r.all() || r.held >= r.quorum && !patience {
			return nil
		}
		if r.held >= r.quorum && grace == nil {
			timer := time.NewTimer(allGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	if r.held >= r.quorum {
		return nil
	}
	return errors.Join(ErrUnavailable, problem)
}

// askSpared asks the disks that were left out at first.
func (r *round) askSpared() {
	if r.spared != nil {
		r.spared()
		r.spared = nil
	}
}

// take counts one answer.
func (r *round) take(l *Ledger, a ack) error {
	if a.err != nil {
		return a.err
	}
	if err := l.judge(a.reply.Header); err != nil {
		return err
	}
	for _, e := range a.reply.Entries {
		merge(r.known, e)
	}
	r.aim = max(r.aim, a.reply.Aim)
	r.places = append(r.places, a.reply.Places...)
	r.open[a.slot]--
	if r.open[a.slot] == 0 {
		r.held++
	}
	return nil
}

// judge turns a disk's answer into an error, and learns the layout that it brings.
func (l *Ledger) judge(header replica.Header) error {
	if header.Layout != nil {
		l.UpdateLayout(header.Layout)
	}
	switch header.Status {
	case replica.OK:
		return nil
	case replica.StaleLayout:
		return errStale
	case replica.WrongDisk:
		return errWrongDisk
	default:
		return errDiskFailed
	}
}

var (
	errStale      = errors.New("layout is out of date")
	errWrongDisk  = errors.New("another disk answers at the address")
	errDiskFailed = errors.New("disk failed")
)

// merge adds an entry to those known; a later state of a turn wins.
func merge(known map[string]replica.BudgetEntry, e replica.BudgetEntry) {
	if e.State > known[e.ID].State {
		known[e.ID] = e
	}
}
