package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Tracker counts the servers that ended under requests and decides which requests are quarantined. It is not safe for
// concurrent use, and the caller passes the time.
type Tracker struct {
	entries map[Key]*entry
	// perOwner is the number of entries of each organisation.
	perOwner map[Owner]int
	// version rises with each change that other daemons have to know: quarantines, and what clears a request.
	version uint64
	sweptAt time.Time
	// respondedAt has servers that were taken for ended and responded later: earlier ends are reported late by daemons that
	// do not know.
	respondedAt map[incarnation.ID]time.Time
}

// Owner identifies an organisation. No organisation can displace another's entries while it has more of them.
type Owner uint64

// entry is what is known of one request.
type entry struct {
	owner Owner
	// ends are sorted by EndedAt, with one end of each server.
	ends []End
	// takenBack are servers whose ends were taken back, since they responded.
	takenBack []incarnation.ID
	// answeredAt is the time of the last good answer; zero if none is known.
	answeredAt time.Time
	// from and until are the beginning and the end of the quarantine; zero if the request was never quarantined or was
	// cleared.
	from, until time.Time
	// version is the tracker's version of the last change that other daemons have to know.
	version uint64
	touched time.Time
}

// NewTracker returns a tracker without entries.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Key]*entry{}, perOwner: map[Owner]int{}, respondedAt: map[incarnation.ID]time.Time{}}
}

// Add records ends under a request and returns the state of the request. Ends that are known already change nothing.
func (t *Tracker) Add(now time.Time, key Key, owner Owner, ends ...End) State {
	e := t.entries[key]
	if e == nil {
		e = t.insert(now, key, owner)
	}
	e.touched = now
	for _, end := range ends {
		t.addEnd(e, end)
	}
	t.update(now, e)
	return e.state(now)
}

func containsServer(ends []End, server incarnation.ID) bool {
	return slices.ContainsFunc(ends, func(end End) bool { return end.Server == server })
}

// Answered records a good answer to a request that was added. It clears the ends that were known before the answer.
func (t *Tracker) Answered(now time.Time, key Key, at time.Time) {
	e := t.entries[key]
	if e == nil || !at.After(e.answeredAt) {
		return
	}
	e.answeredAt = at
	e.ends = slices.DeleteFunc(e.ends, func(end End) bool { return !end.EndedAt.After(at) })
	t.update(now, e)
	t.markChanged(e)
}

// Responded records that a server responded to a request that was sent at a time, and reports whether an end was taken back
// by that.
func (t *Tracker) Responded(now time.Time, server incarnation.ID, at time.Time) (takenBack bool) {
	if at.After(t.respondedAt[server]) {
		t.respondedAt[server] = at
	}
	for _, e := range t.entries {
		before := len(e.ends)
		e.ends = slices.DeleteFunc(e.ends, func(end End) bool { return end.Server == server && end.EndedAt.Before(at) })
		if len(e.ends) == before {
			continue
		}
		takenBack = true
		e.takenBack = append(e.takenBack[max(0, len(e.takenBack)+1-maxEndsKept):], server)
		t.update(now, e)
		t.markChanged(e)
	}
	return takenBack
}

// State returns the state of a request.
func (t *Tracker) State(now time.Time, key Key) State {
	e := t.entries[key]
	if e == nil {
		return State{}
	}
	return e.state(now)
}

// HasEnds reports whether any end counts against a request.
func (t *Tracker) HasEnds(key Key) bool {
	e := t.entries[key]
	return e != nil && len(e.ends) > 0
}

// EndedServers returns the servers that are taken for ended.
func (t *Tracker) EndedServers() map[incarnation.ID]bool {
	servers := map[incarnation.ID]bool{}
	for _, e := range t.entries {
		for _, end := range e.ends {
			servers[end.Server] = true
		}
	}
	return servers
}

// Change is a request that was quarantined, or in favour of which something was found, at a version of the tracker.
type Change struct {
	Key     Key
	Owner   Owner
	Version uint64
	State   State
}

// Changes returns the changes after a version, the oldest first, at most limit.
func (t *Tracker) Changes(now time.Time, after uint64, limit int) []Change {
	if t.version <= after {
		return nil
	}
	var changes []Change
	for key, e := range t.entries {
		if e.version > after {
			changes = append(changes, Change{Key: key, Owner: e.owner, Version: e.version, State: e.state(now)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
	return changes[:min(limit, len(changes))]
}

// Version returns the version of the last change.
func (t *Tracker) Version() uint64 { return t.version }

// Counts returns how many requests have ends, and how many are quarantined.
func (t *Tracker) Counts(now time.Time) (suspected, quarantined int) {
	for _, e := range t.entries {
		switch {
		case now.Before(e.until):
			quarantined++
		case len(e.ends) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}

// addEnd adds an end unless it is known, or a good answer or a response of the server came after it.
func (t *Tracker) addEnd(e *entry, end End) {
	if !end.EndedAt.After(e.answeredAt) || !end.EndedAt.After(t.respondedAt[end.Server]) || containsServer(e.ends, end.Server) {
		return
	}
	at, _ := slices.BinarySearchFunc(e.ends, end, func(a, b End) int { return a.EndedAt.Compare(b.EndedAt) })
	e.ends = slices.Insert(e.ends, at, end)
	if len(e.ends) > maxEndsKept {
		e.ends = slices.Delete(e.ends, 0, 1)
	}
}

// counted returns the ends that count: the recent ones or, once a request has been quarantined, all.
func (e *entry) counted(now time.Time) []End {
	if !e.until.IsZero() {
		return e.ends
	}
	first := slices.IndexFunc(e.ends, func(end End) bool { return now.Sub(end.EndedAt) < endLifetime })
	if first < 0 {
		return nil
	}
	return e.ends[first:]
}

// inSequence returns how many of the ends came one after the other: under one attempt, or under attempts of which each was
// sent after the end before. Of copies of one request that many callers send, several may be in flight at servers that end
// by a common cause; such ends count once.
func inSequence(ends []End) int {
	n := 0
	var last End
	for _, end := range ends {
		if n == 0 || end.Attempt == last.Attempt || end.SentAt.After(last.EndedAt) {
			n, last = n+1, end
		}
	}
	return n
}

// update decides again whether a request is quarantined. Ends in sequence quarantine it at once. Others do so only if no good
// answer is known, and after objectionTime, in which daemons that know one can tell.
func (t *Tracker) update(now time.Time, e *entry) {
	before := e.until
	ends := e.counted(now)
	switch {
	case inSequence(ends) >= maxEnds:
		if e.from.IsZero() || now.Before(e.from) {
			e.from = now
		}
	case len(ends) >= maxEnds && e.answeredAt.IsZero():
		if e.from.IsZero() {
			e.from = now.Add(objectionTime)
		}
	default:
		e.from, e.until = time.Time{}, time.Time{}
	}
	if !e.from.IsZero() {
		e.until = ends[len(ends)-1].EndedAt.Add(quarantineTime)
	}
	if !e.until.Equal(before) {
		t.markChanged(e)
	}
}

func (t *Tracker) markChanged(e *entry) {
	t.version++
	e.version = t.version
}

func (e *entry) state(now time.Time) State {
	return State{Ends: slices.Clone(e.counted(now)), TakenBack: slices.Clone(e.takenBack), AnsweredAt: e.answeredAt, Quarantined: !now.Before(e.from) && now.Before(e.until), Until: e.until}
}

// expired reports whether an entry tells nothing any more.
func (e *entry) expired(now time.Time) bool {
	return now.Sub(e.touched) > endLifetime && now.Sub(e.until) > quarantineTime
}

// insert adds an entry, and makes room for it.
func (t *Tracker) insert(now time.Time, key Key, owner Owner) *entry {
	if len(t.entries) >= maxEntries {
		t.Expire(now)
	}
	if len(t.entries) >= maxEntries {
		t.evict()
	}
	e := &entry{owner: owner}
	t.entries[key] = e
	t.perOwner[owner]++
	return e
}

// sweepInterval is the least time between two searches for entries that tell nothing any more.
const sweepInterval = time.Second

// Expire drops entries that tell nothing any more.
func (t *Tracker) Expire(now time.Time) {
	if now.Sub(t.sweptAt) < sweepInterval {
		return
	}
	t.sweptAt = now
	for key, e := range t.entries {
		if e.expired(now) {
			t.remove(key, e)
		}
	}
	for server, at := range t.respondedAt {
		if now.Sub(at) > endLifetime {
			delete(t.respondedAt, server)
		}
	}
}

// evict removes the entry of the organisation with the most entries that tells least: one that is not quarantined before
// one that is, and the one that was not touched for the longest time.
func (t *Tracker) evict() {
	var largest Owner
	for owner, n := range t.perOwner {
		if n > t.perOwner[largest] {
			largest = owner
		}
	}
	var evicted Key
	var least *entry
	for key, e := range t.entries {
		if e.owner == largest && (least == nil || e.tellsLess(least)) {
			evicted, least = key, e
		}
	}
	t.remove(evicted, least)
}

func (e *entry) tellsLess(than *entry) bool {
	if e.until.IsZero() != than.until.IsZero() {
		return e.until.IsZero()
	}
	return e.touched.Before(than.touched)
}

func (t *Tracker) remove(key Key, e *entry) {
	delete(t.entries, key)
	t.perOwner[e.owner]--
	if t.perOwner[e.owner] <= 0 {
		delete(t.perOwner, e.owner)
	}
}
