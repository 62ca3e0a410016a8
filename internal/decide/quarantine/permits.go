package quarantine

import (
	"slices"
	"time"
)

const (
	// maxPermitTime bounds how long a copy counts as in flight whose daemon does not tell how it ended.
	maxPermitTime = 10 * time.Second
	// settleTime is how long after an end no copy is sent: copies in flight that end servers in the same moment are known then.
	settleTime = 60 * time.Millisecond
)

// permit is the right to send one copy of a suspected request.
type permit struct {
	id    uint64
	until time.Time
}

// Admission is whether a copy of a request may be sent now.
type Admission int

// Admissions.
const (
	// Admitted means that the copy may be sent.
	Admitted Admission = iota
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
	e.expirePermits(now)
	if slices.ContainsFunc(e.permits, func(p permit) bool { return p.id == id }) {
		return Admitted
	}
	switch state := t.state(now, e); {
	case state.Quarantined:
		return Forbidden
	case state.Suspect && !e.hasRoom(now, state):
		return Busy
	}
	if latest := now.Add(maxPermitTime); until.After(latest) {
		until = latest
	}
	e.permits = append(e.permits, permit{id, until})
	return Admitted
}

// hasRoom reports whether one more copy of a suspected request may be in flight: as if each copy in flight ended its server.
// After a quarantine a single one may be.
func (e *entry) hasRoom(now time.Time, s State) bool {
	if !e.until.IsZero() && !now.Before(e.until) {
		return len(e.permits) == 0
	}
	answers := countAnswers(now, e.answers)
	return s.Age(now) >= settleTime && !condemned(weighable(s.Ends, answers)+len(e.permits), answers)
}

// Release tells that a copy is no longer in flight.
func (t *Tracker) Release(key Key, id uint64) {
	if e := t.entries[key]; e != nil {
		e.permits = slices.DeleteFunc(e.permits, func(p permit) bool { return p.id == id })
	}
}

func (e *entry) expirePermits(now time.Time) {
	e.permits = slices.DeleteFunc(e.permits, func(p permit) bool { return !now.Before(p.until) })
}
