package replica

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

// retentionMargin is how much longer than its retention a program is kept: answers reach callers late, and copying to
// another disk takes time.
const retentionMargin = 30 * time.Second

// indexEntry is one turn. Its record is in the log.
type indexEntry struct {
	id       string
	previous string
	state    turn.State
	tokens   int64
	position turnlog.Position
	// sequence orders entries by their last change, for exports.
	sequence uint64
	program  *program
}

type program struct {
	name  string
	turns []*indexEntry
	// cachedPrompts holds the program's prompts in servers' caches, by part, as of the turn that ended last.
	cachedPrompts map[string]turn.CachedPrompt
	// timeBudget is the largest time budget of any turn of the program: that of its first turn.
	timeBudget time.Duration
	lastUsed   time.Time
	retention  time.Duration
}

// index finds records by program and by turn. It is safe for concurrent use.
type index struct {
	mu       sync.Mutex
	programs map[string]*program
	turns    map[string]*indexEntry
	sequence uint64
	// liveRecords counts the records of each segment that the index still refers to.
	liveRecords map[uint32]int
}

func newIndex() *index {
	return &index{programs: map[string]*program{}, turns: map[string]*indexEntry{}, liveRecords: map[uint32]int{}}
}

// hasState reports whether a turn is stored in the given state or a later one.
func (x *index) hasState(id string, state turn.State) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.turns[id]
	return e != nil && e.state >= state
}

// add indexes a record, unless the turn is already stored in the same state or a later one. It reports whether the
// record was added.
func (x *index) add(r *turn.Record, position turnlog.Position, now time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.programs[r.Program]
	if p == nil {
		p = &program{name: r.Program, cachedPrompts: map[string]turn.CachedPrompt{}}
		x.programs[r.Program] = p
	}
	p.lastUsed = now
	p.timeBudget = max(p.timeBudget, r.Aim)
	p.retention = max(p.retention, r.Retention)
	e := x.turns[r.ID]
	if e == nil {
		e = &indexEntry{id: r.ID, program: p}
		x.turns[r.ID] = e
		p.turns = append(p.turns, e)
	} else if e.state >= r.State {
		x.liveRecords[position.Segment] += 0 // so that expire returns a segment that holds nothing else
		return false
	} else {
		x.liveRecords[e.position.Segment]--
	}
	if cached, known := r.CachedPrompt(); known {
		p.cachedPrompts[cached.Part] = cached
	}
	x.sequence++
	e.state, e.tokens, e.previous, e.position, e.sequence = r.State, r.ChargedTokens(), r.Previous, position, x.sequence
	x.liveRecords[position.Segment]++
	return true
}

// budgetEntries returns the budget entries of a program's turns.
func (x *index) budgetEntries(name string) []BudgetEntry {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.programs[name]
	if p == nil {
		return nil
	}
	list := make([]BudgetEntry, len(p.turns))
	for i, e := range p.turns {
		list[i] = BudgetEntry{ID: e.id, State: e.state, Tokens: e.tokens}
	}
	return list
}

// cachedPrompts returns a program's prompts in servers' caches, and its time budget.
func (x *index) cachedPrompts(name string) ([]turn.CachedPrompt, time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	p := x.programs[name]
	if p == nil {
		return nil, 0
	}
	return slices.Collect(maps.Values(p.cachedPrompts)), p.timeBudget
}

// chain returns the positions of the finished turns from id backwards, and the ID of the first that is missing. It
// extends the retention of their programs.
func (x *index) chain(id string, now time.Time) ([]turnlog.Position, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	var positions []turnlog.Position
	for id != "" {
		e := x.turns[id]
		if e == nil || e.state != turn.Finished {
			return positions, id
		}
		e.program.lastUsed = now
		positions = append(positions, e.position)
		id = e.previous
	}
	return positions, ""
}

// exportedTurn is a turn in the list that is exported for a slot.
type exportedTurn struct {
	id       string
	state    turn.State
	sequence uint64
}

// position returns where a turn's record is stored.
func (x *index) position(id string) (turnlog.Position, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.turns[id]
	if e == nil {
		return turnlog.Position{}, false
	}
	return e.position, true
}

// exportAfter returns, in order of their sequence, up to limit turns of wanted programs behind the given sequence.
func (x *index) exportAfter(sequence uint64, limit int, wanted func(program string) bool) []exportedTurn {
	x.mu.Lock()
	defer x.mu.Unlock()
	var found []exportedTurn
	for _, p := range x.programs {
		if !wanted(p.name) {
			continue
		}
		for _, e := range p.turns {
			if e.sequence > sequence {
				found = append(found, exportedTurn{e.id, e.state, e.sequence})
			}
		}
	}
	slices.SortFunc(found, func(a, b exportedTurn) int { return int(a.sequence) - int(b.sequence) })
	return found[:min(limit, len(found))]
}

// indexedTurn is a turn with its program and the position of its record.
type indexedTurn struct {
	TurnState
	program  string
	position turnlog.Position
}

func (x *index) allTurns() []indexedTurn {
	x.mu.Lock()
	defer x.mu.Unlock()
	list := make([]indexedTurn, 0, len(x.turns))
	for _, e := range x.turns {
		list = append(list, indexedTurn{TurnState{e.id, e.state}, e.program.name, e.position})
	}
	return list
}

// expire removes programs whose retention has passed, and returns the segments without a live record.
func (x *index) expire(now time.Time, active uint32) []uint32 {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, p := range x.programs {
		if now.Sub(p.lastUsed) <= p.retention+retentionMargin {
			continue
		}
		for _, e := range p.turns {
			delete(x.turns, e.id)
			x.liveRecords[e.position.Segment]--
		}
		delete(x.programs, name)
	}
	var empty []uint32
	for segment, count := range x.liveRecords {
		if count == 0 && segment != active {
			empty = append(empty, segment)
			delete(x.liveRecords, segment)
		}
	}
	return empty
}

// retrySegment makes expire return a segment again that could not be removed.
func (x *index) retrySegment(segment uint32) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.liveRecords[segment] += 0
}

// oldestSegmentRecords returns the live records of the segment with the lowest number, unless that is the active one.
func (x *index) oldestSegmentRecords(active uint32) []turnlog.Position {
	x.mu.Lock()
	defer x.mu.Unlock()
	lowest := active
	for segment := range x.liveRecords {
		lowest = min(lowest, segment)
	}
	if lowest == active {
		return nil
	}
	var positions []turnlog.Position
	for _, e := range x.turns {
		if e.position.Segment == lowest {
			positions = append(positions, e.position)
		}
	}
	return positions
}

// relocate updates the position of a record that was copied.
func (x *index) relocate(id string, from, to turnlog.Position) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.turns[id]
	if e == nil || e.position != from {
		x.liveRecords[to.Segment] += 0 // as in add
		return
	}
	x.liveRecords[from.Segment]--
	e.position = to
	x.liveRecords[to.Segment]++
}

// counts returns the numbers of programs and turns.
func (x *index) counts() (programs, turns int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.programs), len(x.turns)
}
