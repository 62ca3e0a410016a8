package quarantine

import (
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// WireEnd is an End between daemons, whose clocks differ: times are ages.
type WireEnd struct {
	Server         incarnation.ID
	Attempt        string
	SentAgo, Since time.Duration
	// RunsFor is how much longer the server may work on the request.
	RunsFor  time.Duration
	Evidence Evidence
	Common   bool
}

// WireTally is a Tally between daemons.
type WireTally struct {
	Source uint64
	Count  int
	Ago    time.Duration
}

func toWire(now time.Time, ends []End) []WireEnd {
	wire := make([]WireEnd, len(ends))
	for i, end := range ends {
		wire[i] = WireEnd{Server: end.Server, Attempt: end.Attempt, SentAgo: now.Sub(end.SentAt), Since: now.Sub(end.EndedAt), RunsFor: max(0, end.RunsUntil.Sub(now)), Evidence: end.Evidence, Common: end.Common}
	}
	return wire
}

func fromWire(now time.Time, wire []WireEnd) []End {
	ends := make([]End, len(wire))
	for i, w := range wire {
		ends[i] = End{Server: w.Server, Attempt: w.Attempt, SentAt: now.Add(-w.SentAgo), EndedAt: now.Add(-w.Since), RunsUntil: now.Add(w.RunsFor), Evidence: w.Evidence, Common: w.Common, Told: true}
	}
	return ends
}

// Status is what a daemon knows of one request.
type Status struct {
	Key     Key
	Owner   Owner
	Ends    []WireEnd
	Answers []WireTally
	// Withdrawn are ends that were taken back.
	Withdrawn []Withdrawal
	// Quarantined is set if the request is quarantined, or will be unless a daemon objects.
	Quarantined bool
	// Crowded is that of State, as far as a registrar knows.
	Crowded bool
	// Registrar is the start of the registrar that tells this, and Version its version; zero from front daemons.
	Registrar, Version uint64
}

func newStatus(now time.Time, key Key, owner Owner, state State) Status {
	s := Status{Key: key, Owner: owner, Ends: toWire(now, state.Ends), Withdrawn: state.Withdrawn, Quarantined: now.Before(state.Until), Crowded: state.Crowded}
	for _, t := range state.Answers {
		s.Answers = append(s.Answers, WireTally{Source: t.Source, Count: t.Count, Ago: now.Sub(t.At)})
	}
	return s
}

// applyTo adds what another daemon knows of the request to a tracker.
func (s *Status) applyTo(t *Tracker, now time.Time) {
	t.Add(now, s.Key, s.Owner) // good answers count for requests that were added
	for _, a := range s.Answers {
		t.Answered(now, s.Key, Tally{Source: a.Source, Count: a.Count, At: now.Add(-a.Ago)})
	}
	t.Add(now, s.Key, s.Owner, fromWire(now, s.Ends)...)
	for _, w := range s.Withdrawn {
		t.Withdraw(now, s.Key, w)
	}
	if s.Registrar != 0 { // registrars know of copies at all daemons
		t.SetCrowded(now, s)
	}
}

// counts reports whether the good answers that a daemon has counted are included.
func (s *Status) counts(source uint64) bool {
	return slices.ContainsFunc(s.Answers, func(t WireTally) bool { return t.Source == source })
}

// ReportArgs are what a front daemon has seen of requests.
type ReportArgs struct {
	Requests []Status
	// Withdrawn are ends that were taken back, by request.
	Withdrawn []WithdrawnEnd
	// Sent are copies in flight that may end their servers.
	Sent []SentCopy
	// Released are permits of copies that are no longer in flight.
	Released []Permit
}

// WithdrawnEnd is an end of a request that was taken back.
type WithdrawnEnd struct {
	Key        Key
	Withdrawal Withdrawal
}

// SentCopy is a copy of a request in flight.
type SentCopy struct {
	Permit Permit
	Owner  Owner
	Server incarnation.ID
	// Attempt is the ID of the caller's attempt, Daemon the start of the daemon that sent the copy.
	Attempt string
	Daemon  uint64
	// SentAgo is the time since the copy was sent, Left the time until its deadline.
	SentAgo, Left time.Duration
	// GivenUp is set once nothing more is expected of the copy, but its server is not known to have outlived it.
	GivenUp bool
}

// Permit identifies the right to send one copy of a request.
type Permit struct {
	ID   uint64
	Keys []Key
}

// ReportReply holds the states of the reported requests, in the same order.
type ReportReply struct{ Requests []Status }

// AdmitArgs ask for a permit for one copy of a request, given by what is known of each of its keys, for a time.
type AdmitArgs struct {
	ID       uint64
	Requests []Status
	For      time.Duration
}

// AdmitReply holds the decision and the states of the requests.
type AdmitReply struct {
	Admission Admission
	Requests  []Status
}

// PollArgs ask for changes after a version of a start of the registrar, and tell for how long to wait if there are none.
type PollArgs struct {
	// Name and Daemon identify the front daemon and its start.
	Name           string
	Daemon         uint64
	Start, Version uint64
	Wait           time.Duration
}

// PollReply holds changes and the version up to which they go. Start identifies the start of the registrar: a later one
// begins with version 0.
type PollReply struct {
	Start, Version uint64
	Changes        []Status
}
