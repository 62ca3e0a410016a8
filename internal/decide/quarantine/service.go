package quarantine

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Quarantine"

const (
	// maxPollWait bounds how long a poll waits for changes.
	maxPollWait = 5 * time.Second
	// maxChangesPerPoll bounds the changes in the reply to a poll, of some 100 bytes each.
	maxChangesPerPoll = 32
)

// WireEnd is an End between daemons, whose clocks differ: times are ages.
type WireEnd struct {
	Server         incarnation.ID
	Attempt        string
	SentAgo, Since time.Duration
}

func toWire(now time.Time, ends []End) []WireEnd {
	wire := make([]WireEnd, len(ends))
	for i, end := range ends {
		wire[i] = WireEnd{Server: end.Server, Attempt: end.Attempt, SentAgo: now.Sub(end.SentAt), Since: now.Sub(end.EndedAt)}
	}
	return wire
}

func fromWire(now time.Time, wire []WireEnd) []End {
	ends := make([]End, len(wire))
	for i, w := range wire {
		ends[i] = End{Server: w.Server, Attempt: w.Attempt, SentAt: now.Add(-w.SentAgo), EndedAt: now.Add(-w.Since)}
	}
	return ends
}

// Status is what a daemon knows of one request.
type Status struct {
	Key   Key
	Owner Owner
	Ends  []WireEnd
	// Answered is set if the request was answered well, AnsweredAgo ago.
	Answered    bool
	AnsweredAgo time.Duration
	// TakenBack are servers that responded after they had been taken for ended.
	TakenBack []incarnation.ID
	// Quarantined is set if the request is quarantined, or will be unless a daemon objects.
	Quarantined bool
}

func newStatus(now time.Time, key Key, owner Owner, state State) Status {
	s := Status{Key: key, Owner: owner, Ends: toWire(now, state.Ends), TakenBack: state.TakenBack, Quarantined: now.Before(state.Until)}
	if !state.AnsweredAt.IsZero() {
		s.Answered, s.AnsweredAgo = true, now.Sub(state.AnsweredAt)
	}
	return s
}

// applyTo adds what another daemon knows of the request to a tracker.
func (s *Status) applyTo(t *Tracker, now time.Time) {
	t.Add(now, s.Key, s.Owner, fromWire(now, s.Ends)...)
	if s.Answered {
		t.Answered(now, s.Key, now.Add(-s.AnsweredAgo))
	}
	for _, server := range s.TakenBack {
		t.Responded(now, server, now)
	}
}

// ReportArgs are what a front daemon has seen of requests.
type ReportArgs struct {
	Requests []Status
	// Responded holds servers that were taken for ended and that responded so long ago.
	Responded map[incarnation.ID]time.Duration
}

// ReportReply holds the states of the reported requests, in the same order.
type ReportReply struct{ Requests []Status }

// PollArgs ask for changes after a version of a start of the registrar, and tell for how long to wait if there are none.
type PollArgs struct {
	Start, Version uint64
	Wait           time.Duration
}

// PollReply holds changes and the version up to which they go. Start identifies the start of the registrar: a later one
// begins with version 0.
type PollReply struct {
	Start, Version uint64
	Changes        []Status
}

// Service is a registrar. Report and Poll are net/rpc methods.
type Service struct {
	start uint64

	mu      sync.Mutex
	tracker *Tracker
	// changed is closed at the next change.
	changed chan struct{}
}

// NewService returns a registrar that knows nothing.
func NewService() *Service {
	return &Service{start: rand.Uint64(), tracker: NewTracker(), changed: make(chan struct{})}
}

// Report records what a front daemon has seen.
func (s *Service) Report(args *ReportArgs, reply *ReportReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.tracker.Version()
	s.tracker.Expire(now)
	for server, ago := range args.Responded {
		s.tracker.Responded(now, server, now.Add(-ago))
	}
	for _, r := range args.Requests {
		r.applyTo(s.tracker, now)
		reply.Requests = append(reply.Requests, newStatus(now, r.Key, r.Owner, s.tracker.State(now, r.Key)))
	}
	if s.tracker.Version() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return nil
}

// Poll returns the changes after a version, and waits if there are none.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	after := args.Version
	if args.Start != s.start {
		after = 0
	}
	timer := time.NewTimer(min(args.Wait, maxPollWait))
	defer timer.Stop()
	for {
		changed := s.changes(after, reply)
		if len(reply.Changes) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		}
	}
}

// changes fills in a reply, and returns a channel that is closed at the next change.
func (s *Service) changes(after uint64, reply *PollReply) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	reply.Start, reply.Version = s.start, after
	for _, c := range s.tracker.Changes(now, after, maxChangesPerPoll) {
		reply.Changes = append(reply.Changes, newStatus(now, c.Key, c.Owner, c.State))
		reply.Version = c.Version
	}
	return s.changed
}

// Counts returns how many requests have ends, and how many are quarantined.
func (s *Service) Counts() (suspected, quarantined int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Counts(time.Now())
}
