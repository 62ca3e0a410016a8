package quarantine

import (
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

const (
	// maxPermitTime bounds how long a copy counts as in flight whose daemon does not tell how it ended.
	maxPermitTime = 10 * time.Second
	// releaseTime is how long after the deadline of a copy its daemon has told how it ended.
	releaseTime = time.Second
	// settleTime is how long after an end no copy is sent: copies in flight that end servers in the same moment are known then.
	settleTime = 60 * time.Millisecond
	// maxPermits bounds the copies of one request that are kept.
	maxPermits = 64
)

// permit is one copy of a request in flight: the right to send a copy of a suspected request, or a copy whose server has shown no sign
// of life.
type permit struct {
	id uint64
	// daemon is the start of the daemon that sent the copy; 0 if that is not known.
	daemon uint64
	// until is the deadline of the copy.
	grantedAt, until time.Time
	// server and attempt tell where the copy was sent, under which attempt of the caller; zero until that is known.
	server  incarnation.ID
	attempt string
	// unheard is set once the copy is overdue: its server is taken for ended.
	unheard bool
	// givenUp is set once the copy was given up, while its server is not known to have outlived it.
	givenUp bool
}

// overdue reports whether the daemon that sent the copy should have told how it ended.
func (p *permit) overdue(now time.Time) bool { return now.Sub(p.until) >= releaseTime }

// failedAt returns when the copy failed, if news of its server's end has come now. A copy that was sent there after that met a later
// start of the server.
func (p *permit) failedAt(now time.Time) time.Time {
	if p.givenUp {
		return p.until.Add(-givenUpTime)
	}
	return now
}

// end returns the end of the copy's server.
func (p *permit) end(endedAt time.Time, evidence Evidence) End {
	return End{Server: p.server, Attempt: p.attempt, SentAt: p.grantedAt, EndedAt: endedAt, Evidence: evidence}
}

// inFlight returns how many copies are in flight, and how many of these were given up. Those that have ended their servers count there.
func (e *entry) inFlight() (n, givenUp int) {
	for _, p := range e.permits {
		if p.unheard || slices.ContainsFunc(e.ends, func(end End) bool { return end.isOf(p.server, p.attempt) }) {
			continue
		}
		n++
		if p.givenUp {
			givenUp++
		}
	}
	return n, givenUp
}

// crowded reports whether a request would be quarantined if each copy in flight, and one more, had ended its server.
func (e *entry) crowded(ends, answers int) bool {
	n, _ := e.inFlight()
	return n > 0 && condemned(ends+n+1, answers)
}

// NoteRoom marks a request as changed if it is no longer crowded, after copies were released.
func (t *Tracker) NoteRoom(now time.Time, key Key) {
	if e := t.entries[key]; e != nil {
		t.noteCrowded(now, e)
	}
}

// noteCrowded marks a request as changed if it has become crowded or no longer is.
func (t *Tracker) noteCrowded(now time.Time, e *entry) {
	answers := countAnswers(now, e.answers)
	if crowded := e.crowded(weighable(t.counted(now, e), answers), answers); crowded != e.wasCrowded {
		e.wasCrowded = crowded
		t.markChanged(e)
	}
}

// crowdedNews is what a start of a registrar has told last of whether a request is crowded.
type crowdedNews struct {
	registrar, version uint64
	// until is until when the request counts as crowded; zero if it is not.
	until time.Time
}

// SetCrowded tells whether a request is crowded, as a registrar knows it. Its replies may arrive in another order than it sent them.
func (t *Tracker) SetCrowded(now time.Time, s *Status) {
	e := t.entries[s.Key]
	if e == nil {
		return
	}
	i := slices.IndexFunc(e.news, func(n crowdedNews) bool { return n.registrar == s.Registrar })
	if i < 0 {
		if len(e.news) >= RegistrarCount {
			e.news = slices.DeleteFunc(e.news, func(n crowdedNews) bool { return !now.Before(n.until) })
		}
		i = len(e.news)
		e.news = append(e.news, crowdedNews{registrar: s.Registrar})
	}
	news := &e.news[i]
	if s.Version < news.version {
		return
	}
	news.version, news.until = s.Version, time.Time{}
	if s.Crowded {
		news.until = now.Add(maxCrowdedTime)
	}
}

// toldCrowded reports whether a registrar has told that the request is crowded. One that does not may have missed a report.
func (e *entry) toldCrowded(now time.Time) bool {
	return slices.ContainsFunc(e.news, func(n crowdedNews) bool { return now.Before(n.until) })
}

// Admission is whether a copy of a request may be sent now.
type Admission int

// Admissions.
const (
	// Admitted means that the copy may be sent.
	Admitted Admission = iota
	// Awaited means that copies were given up whose servers are not known to have outlived them, which is known soon.
	Awaited
	// Busy means that as many copies are in flight as may still end servers.
	Busy
	// Forbidden means that the request is quarantined.
	Forbidden
)

// Admit decides whether a copy of a request may be sent. An admitted copy counts as in flight until Release, or until a time at
// the latest.
func (t *Tracker) Admit(now time.Time, key Key, id uint64, until time.Time) Admission {
	e := t.entries[key]
	if e == nil {
		return Admitted
	}
	t.expirePermits(now, e)
	if t.hasReleased(id) || slices.ContainsFunc(e.permits, func(p permit) bool { return p.id == id }) {
		return Admitted
	}
	switch state := t.state(now, e); {
	case state.Quarantined:
		return Forbidden
	case state.Suspect:
		if admission := e.room(now, state); admission != Admitted {
			return admission
		}
	}
	if latest := now.Add(maxPermitTime); until.After(latest) {
		until = latest
	}
	e.permits = append(e.permits, permit{id: id, grantedAt: now, until: until})
	t.markUnsaved(e)
	return Admitted
}

// room decides whether one more copy of a suspected request may be in flight: as if each copy in flight ended its server.
// After a quarantine a single one may be.
func (e *entry) room(now time.Time, s State) Admission {
	inFlight, givenUp := e.inFlight()
	if !e.until.IsZero() && !now.Before(e.until) {
		if inFlight > 0 {
			return Busy
		}
		return Admitted
	}
	answers := countAnswers(now, e.answers)
	ends := weighable(s.Ends, answers)
	switch {
	case len(s.Ends) > 0 && s.Age(now) < settleTime, condemned(ends+inFlight-givenUp, answers):
		return Busy
	case condemned(ends+inFlight, answers):
		return Awaited
	default:
		return Admitted
	}
}

// Sent tells where a copy was sent that may end its server.
func (t *Tracker) Sent(now time.Time, key Key, owner Owner, sent permit) {
	if t.hasReleased(sent.id) {
		return
	}
	e := t.entries[key]
	if e == nil {
		e = t.insert(now, key, owner)
	}
	e.touched = now
	if latest := now.Add(maxPermitTime); sent.until.After(latest) {
		sent.until = latest
	}
	t.markUnsaved(e)
	defer t.noteCrowded(now, e)
	if i := slices.IndexFunc(e.permits, func(p permit) bool { return p.id == sent.id }); i >= 0 {
		sent.unheard = e.permits[i].unheard
		e.permits[i] = sent
		return
	}
	if len(e.permits) < maxPermits {
		e.permits = append(e.permits, sent)
	}
}

// Release tells that a copy is no longer in flight. If its server ended, that has been told before.
func (t *Tracker) Release(key Key, id uint64) {
	t.released[id] = true
	e := t.entries[key]
	if e == nil {
		return
	}
	i := slices.IndexFunc(e.permits, func(p permit) bool { return p.id == id })
	if i < 0 {
		return
	}
	p := e.permits[i]
	e.permits = slices.Delete(e.permits, i, i+1)
	if p.unheard {
		e.ends = slices.DeleteFunc(e.ends, func(end End) bool {
			return end.Evidence == Unheard && end.isOf(p.server, p.attempt)
		})
		t.markChanged(e)
	}
	t.markUnsaved(e)
	if len(e.ends)+len(e.permits)+len(e.answers)+len(e.withdrawn) == 0 && e.until.IsZero() && e.version == 0 {
		t.remove(key, e)
	}
}

func (t *Tracker) hasReleased(id uint64) bool { return t.released[id] || t.wasReleased[id] }

// DaemonEnded takes the servers of the copies in flight that a start of a daemon sent for ended, as far as is known.
func (t *Tracker) DaemonEnded(now time.Time, daemon uint64) {
	for _, e := range t.entries {
		t.abandonPermits(now, e, func(p *permit) bool { return p.daemon == daemon && daemon != 0 })
	}
}

// expirePermits takes the servers of overdue copies for ended, as far as is known: the daemons that sent these have ended too, or are
// cut off. It forgets copies of which nothing is known, and those that are long overdue.
func (t *Tracker) expirePermits(now time.Time, e *entry) {
	e.permits = slices.DeleteFunc(e.permits, func(p permit) bool {
		return p.overdue(now) && p.server.IsZero() || now.Sub(p.until) >= endLifetime
	})
	t.abandonPermits(now, e, func(p *permit) bool { return p.overdue(now) })
}

// abandonPermits takes the servers of copies of which nothing more may be heard for ended, as far as is known.
func (t *Tracker) abandonPermits(now time.Time, e *entry, abandoned func(*permit) bool) {
	for i := range e.permits {
		p := &e.permits[i]
		if p.unheard || p.server.IsZero() || !abandoned(p) {
			continue
		}
		p.unheard = true
		endedAt := now
		if p.until.Before(now) {
			endedAt = p.until
		}
		t.endCopy(now, e, p.end(endedAt, Unheard))
		t.noteCrowded(now, e)
	}
}

// endCopies recognises the ends of the server of copies in flight. Those of which nothing is heard have ends already.
func (t *Tracker) endCopies(now time.Time, e *entry, server incarnation.ID, evidence Evidence) (recognised bool) {
	for _, p := range e.permits {
		if p.server == server && !p.unheard && t.endCopy(now, e, p.end(p.failedAt(now), evidence)) {
			recognised = true
		}
	}
	return recognised
}

func (t *Tracker) endCopy(now time.Time, e *entry, end End) (changed bool) {
	if !t.addEnd(now, e, end) {
		return false
	}
	t.update(now, e)
	t.markChanged(e)
	return true
}

// restorePermit adds a copy that was in flight before a restart. The daemon that sent it may have ended too, and tells otherwise.
func (t *Tracker) restorePermit(now time.Time, key Key, owner Owner, p permit) {
	t.Sent(now, key, owner, p)
	t.abandonPermits(now, t.entries[key], func(other *permit) bool { return other.id == p.id })
}
