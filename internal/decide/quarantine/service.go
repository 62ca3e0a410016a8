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
	for _, r := range args.Responses {
		s.tracker.Responded(now, r.response(now))
	}
	reply.Requests = s.merge(now, args.Requests)
	for _, p := range args.Released {
		for _, key := range p.Keys {
			s.tracker.Release(key, p.ID)
		}
	}
	s.notify(before)
	return nil
}

// ServerNews records that a server has ended by what the list of servers shows. The daemons that reported open ends there may be
// gone by then.
func (s *Service) ServerNews(server incarnation.ID, evidence Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.tracker.Version()
	s.tracker.Recognise(time.Now(), server, evidence)
	s.notify(before)
}

// FollowList tells that the list of servers counts as unknown until ServersListed, and returns the service. Call it before the
// first report.
func (s *Service) FollowList() *Service {
	s.tracker.FollowList()
	return s
}

// ServersListed tells that the list of servers is known as of a time: ServerNews has told the ends that it shows by then.
func (s *Service) ServersListed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.ServersListed(at)
}

// ServerStarted records a server's start, which shows that its earlier starts have ended.
func (s *Service) ServerStarted(id incarnation.ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.tracker.Version()
	for other := range s.tracker.EndedServers() {
		if other.StartedBefore(id) {
			s.tracker.Recognise(time.Now(), other, Restarted)
		}
	}
	s.notify(before)
}

// Admit decides whether a front daemon may send a copy of a request. It may if all keys of the request allow it.
func (s *Service) Admit(args *AdmitArgs, reply *AdmitReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.tracker.Version()
	reply.Requests = s.merge(now, args.Requests)
	for _, r := range args.Requests {
		reply.Admission = max(reply.Admission, s.tracker.Admit(now, r.Key, args.ID, now.Add(args.For)))
	}
	if reply.Admission != Admitted {
		for _, r := range args.Requests {
			s.tracker.Release(r.Key, args.ID)
		}
	}
	s.notify(before)
	return nil
}

// merge adds what a front daemon knows of requests and returns what is known of them then. The caller holds s.mu.
func (s *Service) merge(now time.Time, requests []Status) []Status {
	merged := make([]Status, len(requests))
	for i, r := range requests {
		r.applyTo(s.tracker, now)
		merged[i] = newStatus(now, r.Key, r.Owner, s.tracker.State(now, r.Key))
	}
	return merged
}

// notify wakes polls if anything has changed since a version. The caller holds s.mu.
func (s *Service) notify(before uint64) {
	if s.tracker.Version() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
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
