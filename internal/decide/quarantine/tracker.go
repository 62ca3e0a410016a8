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
	// responses are the last ones of servers that were taken for ended: earlier ends are reported late by daemons that do not
	// know.
	responses map[incarnation.ID]Response
	// followsList is set if listedAt, the time as of which the list of servers is known, is told by ServersListed. Otherwise the
	// list counts as current.
	followsList bool
	listedAt    time.Time
	// released are the permits that were released in this maxPermitTime, and wasReleased those of the one before: calls about one permit
	// may arrive in another order, or twice.
	released, wasReleased map[uint64]bool
	rotatedAt             time.Time
	// unsaved are the requests of which something has changed that has to outlive the process; nil if nothing has to.
	unsaved map[Key]bool
}

// FollowList tells that the list of servers counts as unknown until ServersListed.
func (t *Tracker) FollowList() { t.followsList = true }

// ServersListed tells that the list of servers is known as of a time: the ends that it shows by then have been told.
func (t *Tracker) ServersListed(at time.Time) {
	if at.After(t.listedAt) {
		t.listedAt = at
	}
}

// listed returns the time as of which the list of servers is known.
func (t *Tracker) listed(now time.Time) time.Time {
	if !t.followsList || now.Before(t.listedAt) {
		return now
	}
	return t.listedAt
}

// listAge returns the time since the list of servers was last known.
func (t *Tracker) listAge(now time.Time) time.Duration { return now.Sub(t.listed(now)) }

// Owner identifies an organisation. No organisation can displace another's entries while it has more of them.
type Owner uint64

// entry is what is known of one request.
type entry struct {
	key   Key
	owner Owner
	// ends are sorted by EndedAt. Open ends stay when they no longer count, since later news may
	// decide them.
	ends []End
	// withdrawn are the last ends that were taken back.
	withdrawn []Withdrawal
	answers   []Tally
	// permits are the copies in flight of which a registrar knows.
	permits []permit
	// news is what registrars have told of whether the request is crowded; of front daemons only. wasCrowded is what a registrar has
	// told last.
	news       []crowdedNews
	wasCrowded bool
	// from and until are the beginning and the end of the quarantine; zero if the request was never quarantined or was
	// cleared.
	from, until time.Time
	// version is the tracker's version of the last change that other daemons have to know.
	version uint64
	touched time.Time
}

// NewTracker returns a tracker without entries.
func NewTracker() *Tracker {
	return &Tracker{entries: map[Key]*entry{}, perOwner: map[Owner]int{}, responses: map[incarnation.ID]Response{}, released: map[uint64]bool{}}
}

// Add records ends under a request and returns the state of the request. Ends that are known already change nothing, unless
// there is better evidence now.
func (t *Tracker) Add(now time.Time, key Key, owner Owner, ends ...End) State {
	e := t.entries[key]
	if e == nil {
		e = t.insert(now, key, owner)
	}
	e.touched = now
	changed := false
	for _, end := range ends {
		changed = t.addEnd(now, e, end) || changed
	}
	t.update(now, e)
	if changed && t.concernsOthers(now, e) {
		t.markChanged(e)
	}
	return t.state(now, e)
}

// findEnd returns the index of an end among others, or -1. A request that was sent to a server after its end met the next start
// under the same name, of which this daemon may not know yet.
func findEnd(ends []End, end End) int {
	return slices.IndexFunc(ends, func(known End) bool {
		return known.Server == end.Server && (known.Attempt == end.Attempt || !end.SentAt.After(known.EndedAt))
	})
}

// Answered records good answers to a request that was added, as counted by one daemon.
func (t *Tracker) Answered(now time.Time, key Key, tally Tally) {
	e := t.entries[key]
	if e == nil {
		return
	}
	var changed bool
	e.answers, changed = addTally(e.answers, tally)
	if !changed {
		return
	}
	t.update(now, e)
	if len(e.ends) > 0 {
		t.markChanged(e)
		t.markUnsaved(e)
	}
}

// Responded records a response of a server and returns the ends that were taken back by it.
func (t *Tracker) Responded(now time.Time, r Response) (withdrawn []WithdrawnEnd) {
	if r.SentAt.After(t.responses[r.Server].SentAt) {
		t.responses[r.Server] = r
	}
	listAge := t.listAge(now)
	for key, e := range t.entries {
		for _, end := range slices.Clone(e.ends) {
			if r.contradicts(end, listAge) {
				w := Withdrawal{end.Server, end.Attempt}
				t.withdraw(now, e, w)
				withdrawn = append(withdrawn, WithdrawnEnd{key, w})
			}
		}
	}
	return withdrawn
}

// Withdraw takes an end back, also one that is reported later.
func (t *Tracker) Withdraw(now time.Time, key Key, w Withdrawal) {
	if e := t.entries[key]; e != nil && !slices.Contains(e.withdrawn, w) {
		t.withdraw(now, e, w)
	}
}

func (t *Tracker) withdraw(now time.Time, e *entry, w Withdrawal) {
	before := len(e.ends)
	e.ends = slices.DeleteFunc(e.ends, w.of)
	e.withdrawn = append(e.withdrawn[max(0, len(e.withdrawn)+1-maxEndsKept):], w)
	t.markUnsaved(e)
	if len(e.ends) < before { // else daemons that keep different ones would tell one another without end
		t.update(now, e)
		t.markChanged(e)
	}
}

// Recognise decides the open ends at a server by evidence, and reports whether there are any.
func (t *Tracker) Recognise(now time.Time, server incarnation.ID, evidence Evidence) (recognised bool) {
	for _, e := range t.entries {
		changed := t.endCopies(now, e, server, evidence)
		for i := range e.ends {
			if e.ends[i].Server == server && e.ends[i].Evidence.rank() < evidence.rank() {
				e.ends[i].Evidence = evidence
				changed = true
			}
		}
		if changed {
			recognised = true
			t.update(now, e)
			t.markChanged(e)
			t.markUnsaved(e)
		}
	}
	return recognised
}

// State returns the state of a request.
func (t *Tracker) State(now time.Time, key Key) State {
	e := t.entries[key]
	if e == nil {
		return State{}
	}
	return t.state(now, e)
}

// HasEnds reports whether any end of a request is kept.
func (t *Tracker) HasEnds(key Key) bool {
	e := t.entries[key]
	return e != nil && len(e.ends) > 0
}

// HasEnd reports whether an end of a request at a server is kept.
func (t *Tracker) HasEnd(key Key, server incarnation.ID) bool {
	e := t.entries[key]
	return e != nil && slices.ContainsFunc(e.ends, func(end End) bool { return end.Server == server })
}

// EndedServers returns the servers that are taken for ended, or may have ended.
func (t *Tracker) EndedServers() map[incarnation.ID]bool {
	servers := map[incarnation.ID]bool{}
	for _, e := range t.entries {
		for _, end := range e.ends {
			servers[end.Server] = true
		}
		for _, p := range e.permits { // of registrars only
			servers[p.server] = true
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
			changes = append(changes, Change{Key: key, Owner: e.owner, Version: e.version, State: t.state(now, e)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Version, b.Version) })
	return changes[:min(limit, len(changes))]
}

// Known returns the requests that are suspected, quarantined or will be, at most limit.
func (t *Tracker) Known(now time.Time, limit int) []Change {
	var known []Change
	for key, e := range t.entries {
		if state := t.state(now, e); len(known) < limit && (state.Suspect || now.Before(state.Until)) {
			known = append(known, Change{Key: key, Owner: e.owner, Version: e.version, State: state})
		}
	}
	return known
}

// Version returns the version of the last change.
func (t *Tracker) Version() uint64 { return t.version }

// Counts returns how many requests have ends, and how many are quarantined.
func (t *Tracker) Counts(now time.Time) (suspected, quarantined int) {
	for _, e := range t.entries {
		switch {
		case now.Before(e.until):
			quarantined++
		case len(t.counted(now, e)) > 0:
			suspected++
		}
	}
	return suspected, quarantined
}

// addEnd adds an end unless the server has responded after it, or decides one that was open. It reports whether anything
// changed.
func (t *Tracker) addEnd(now time.Time, e *entry, end End) (changed bool) {
	if i := findEnd(e.ends, end); i >= 0 {
		if e.ends[i].Evidence.rank() >= end.Evidence.rank() {
			return false
		}
		e.ends[i].Evidence = end.Evidence
		t.markUnsaved(e)
		return true
	}
	if t.responses[end.Server].contradicts(end, t.listAge(now)) || slices.ContainsFunc(e.withdrawn, func(w Withdrawal) bool { return w.of(end) }) {
		return false
	}
	at, _ := slices.BinarySearchFunc(e.ends, end, func(a, b End) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Server.Server, b.Server.Server))
	})
	e.ends = slices.Insert(e.ends, at, end)
	if len(e.ends) > maxEndsKept {
		e.ends = slices.Delete(e.ends, 0, 1)
	}
	t.markUnsaved(e)
	return true
}

// counted returns the ends that count: open ones until the list of servers would show the end, and all others, for endLifetime or,
// once a request has been quarantined by recognised ends, for good.
func (t *Tracker) counted(now time.Time, e *entry) []End {
	listed := t.listed(now)
	var counted []End
	for _, end := range e.ends {
		fresh := now.Sub(end.EndedAt) < endLifetime
		if end.Evidence.Open() && fresh && end.undecided(listed) || !end.Evidence.Open() && (fresh || !e.until.IsZero()) {
			counted = append(counted, end)
		}
	}
	return counted
}

// recognised returns the ends that are not open.
func recognised(ends []End) []End {
	return slices.DeleteFunc(slices.Clone(ends), func(end End) bool { return end.Evidence.Open() })
}

// concernsOthers reports whether other daemons have to know of the ends of a request: of those that are recognised, and of open
// ones from the second on. A single open end is common, since answers get lost.
func (t *Tracker) concernsOthers(now time.Time, e *entry) bool {
	counted := t.counted(now, e)
	return len(counted) > 1 || len(recognised(counted)) > 0
}

// update decides again whether a request is quarantined by what is recognised. Ends in sequence quarantine it at once. Others
// do so only if no good answer is known, and after objectionTime, in which daemons that know one can tell.
func (t *Tracker) update(now time.Time, e *entry) {
	before := e.until
	ends, answers := recognised(t.counted(now, e)), countAnswers(now, e.answers)
	switch {
	case condemned(inSequence(ends), answers):
		if e.from.IsZero() || now.Before(e.from) {
			e.from = now
		}
	case condemned(weighable(ends, answers), answers):
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
	t.noteCrowded(now, e)
}

func (t *Tracker) markChanged(e *entry) {
	t.version++
	e.version = t.version
}

func (t *Tracker) markUnsaved(e *entry) {
	if t.unsaved != nil {
		t.unsaved[e.key] = true
	}
}

func (t *Tracker) state(now time.Time, e *entry) State {
	ends, answers := t.counted(now, e), countAnswers(now, e.answers)
	crowded := e.toldCrowded(now) || e.crowded(weighable(ends, answers), answers)
	s := State{Ends: ends, Withdrawn: slices.Clone(e.withdrawn), Answers: slices.Clone(e.answers), Until: e.until, Crowded: crowded,
		Quarantined: !now.Before(e.from) && now.Before(e.until), Suspect: crowded || !outweighed(weighable(ends, answers), answers)}
	if s.Quarantined {
		return s
	}
	if until := openUntil(now, t.listed(now), ends, answers); !until.IsZero() {
		s.Quarantined, s.Unsure, s.Until = true, true, until
	}
	return s
}

// openUntil returns until when a request must not be sent because of open ends, if the list of servers is kept up to date from now
// on; zero if it may be sent.
func openUntil(now, listed time.Time, ends []End, answers int) (until time.Time) {
	for {
		first := slices.IndexFunc(ends, func(end End) bool { return end.Evidence.Open() })
		if first < 0 || !refusable(now, ends, answers) {
			return until
		}
		until = now.Add(ends[first].undecidedFor(listed))
		ends = slices.Delete(slices.Clone(ends), first, first+1)
	}
}

// refusable reports whether ends amount to a refusal. Ends beside one another do so after objectionTime.
func refusable(now time.Time, ends []End, answers int) bool {
	if condemned(inSequence(ends), answers) {
		return true
	}
	return condemned(weighable(ends, answers), answers) && now.Sub(ends[len(ends)-1].EndedAt) >= objectionTime
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
	e := &entry{key: key, owner: owner}
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
	if now.Sub(t.rotatedAt) >= maxPermitTime {
		t.wasReleased, t.released, t.rotatedAt = t.released, map[uint64]bool{}, now
	}
	for key, e := range t.entries {
		t.expirePermits(now, e)
		if e.expired(now) {
			t.remove(key, e)
		}
	}
	for server, r := range t.responses {
		if now.Sub(r.SentAt) > endLifetime {
			delete(t.responses, server)
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
