package quarantine

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

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

	// journal keeps what has to outlive the process; nil for none.
	journal *Journal
	// loaded is closed once the journal is read; it must not be written before. Calls wait for it until loadUntil.
	loaded    chan struct{}
	loadUntil time.Time

	mu      sync.Mutex
	tracker *Tracker
	// changed is closed at the next change.
	changed chan struct{}
	// daemons has the start of each front daemon that polls, by its name.
	daemons map[string]uint64
}

// NewService returns a registrar that knows nothing.
func NewService() *Service {
	return &Service{start: rand.Uint64(), tracker: NewTracker(), changed: make(chan struct{}), daemons: map[string]uint64{}}
}

// Report records what a front daemon has seen. It returns once that is on the disk, or after saveWait.
func (s *Service) Report(args *ReportArgs, reply *ReportReply) error {
	s.awaitLoaded()
	s.awaitSaved(s.record(args, reply))
	return nil
}

// record records a report and returns a channel that is closed once it is saved.
func (s *Service) record(args *ReportArgs, reply *ReportReply) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.tracker.Version()
	s.tracker.Expire(now)
	s.merge(now, args.Requests)
	for _, w := range args.Withdrawn {
		s.tracker.Withdraw(now, w.Key, w.Withdrawal)
	}
	for _, sent := range args.Sent {
		for _, key := range sent.Permit.Keys {
			s.tracker.Sent(now, key, sent.Owner, permit{id: sent.Permit.ID, daemon: sent.Daemon, grantedAt: now.Add(-sent.SentAgo), until: now.Add(sent.Left),
				server: sent.Server, attempt: sent.Attempt, givenUp: sent.GivenUp})
		}
	}
	for _, p := range args.Released {
		for _, key := range p.Keys {
			s.tracker.Release(key, p.ID)
			s.tracker.NoteRoom(now, key)
		}
	}
	reply.Requests = s.statuses(now, args.Requests)
	s.notify(before)
	return s.save()
}

// ServerNews records that a server has ended by what the list of servers shows. The daemons that reported open ends there may be
// gone by then.
func (s *Service) ServerNews(server incarnation.ID, evidence Evidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.tracker.Version()
	s.tracker.Recognise(time.Now(), server, evidence)
	s.notify(before)
	s.save()
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
	s.save()
}

// Admit decides whether a front daemon may send a copy of a request. It may if all keys of the request allow it. It returns once
// the permit is on the disk, or after saveWait.
func (s *Service) Admit(args *AdmitArgs, reply *AdmitReply) error {
	s.awaitLoaded()
	s.awaitSaved(s.admit(args, reply))
	return nil
}

func (s *Service) admit(args *AdmitArgs, reply *AdmitReply) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.tracker.Version()
	s.merge(now, args.Requests)
	for _, r := range args.Requests {
		reply.Admission = max(reply.Admission, s.tracker.Admit(now, r.Key, args.ID, now.Add(args.For)))
	}
	if reply.Admission != Admitted {
		for _, r := range args.Requests {
			s.tracker.Release(r.Key, args.ID)
		}
	}
	reply.Requests = s.statuses(now, args.Requests)
	s.notify(before)
	return s.save()
}

// merge adds what a front daemon knows of requests. The caller holds s.mu.
func (s *Service) merge(now time.Time, requests []Status) {
	for _, r := range requests {
		r.applyTo(s.tracker, now)
	}
}

// statuses returns what is known of requests now. The caller holds s.mu.
func (s *Service) statuses(now time.Time, requests []Status) []Status {
	known := make([]Status, len(requests))
	for i, r := range requests {
		known[i] = s.status(now, r.Key, r.Owner, s.tracker.State(now, r.Key))
	}
	return known
}

// status returns the status of a request in a state. The caller holds s.mu.
func (s *Service) status(now time.Time, key Key, owner Owner, state State) Status {
	status := newStatus(now, key, owner, state)
	status.Registrar, status.Version = s.start, s.tracker.Version()
	return status
}

// notify wakes polls if anything has changed since a version. The caller holds s.mu.
func (s *Service) notify(before uint64) {
	if s.tracker.Version() != before {
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// WithJournal makes the registrar keep what it knows in a journal, and returns the service. Calls wait until the journal is read, unless
// its disk hangs for longer than loadWait.
func (s *Service) WithJournal(j *Journal) *Service {
	s.journal, s.tracker.unsaved, s.loaded, s.loadUntil = j, map[Key]bool{}, make(chan struct{}), time.Now().Add(loadWait)
	go func() {
		defer close(s.loaded)
		s.restore()
	}()
	return s
}

// awaitLoaded waits until the journal is read, for loadWait after the start at most.
func (s *Service) awaitLoaded() {
	if s.loaded != nil {
		awaitFor(s.loaded, time.Until(s.loadUntil))
	}
}

// restore adds what the journal holds.
func (s *Service) restore() {
	requests, err := s.journal.load()
	s.mu.Lock()
	defer s.mu.Unlock()
	before, now := s.tracker.Version(), time.Now()
	for i := range requests {
		err = errors.Join(err, requests[i].restore(s.tracker, now))
	}
	s.notify(before)
	suspected, quarantined := s.tracker.Counts(now)
	line := s.journal.log.WithFields(logrus.Fields{"event": "quarantine-restored", "requests": len(requests), "suspected": suspected, "quarantined": quarantined})
	if err != nil {
		line.WithField("error", err).Error("saved ends of servers not read")
		return
	}
	line.Info("saved ends of servers read")
}

// Run writes the journal until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	select {
	case <-s.loaded:
	case <-ctx.Done():
		return ctx.Err()
	}
	s.journal.run(ctx, func() map[Key]storedRequest {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.tracker.stored()
	})
	return ctx.Err()
}

// save passes what has changed to the journal, and returns a channel that is closed once it is on the disk; nil if nothing has
// changed. The caller holds s.mu.
func (s *Service) save() <-chan struct{} {
	if len(s.tracker.unsaved) == 0 {
		return nil
	}
	return s.journal.append(s.tracker.takeUnsaved())
}

// awaitSaved waits for a channel of save, for saveWait at most.
func (s *Service) awaitSaved(saved <-chan struct{}) {
	if saved != nil {
		awaitFor(saved, saveWait)
	}
}

// awaitFor waits until a channel is closed, for a time at most.
func awaitFor(done <-chan struct{}, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// observeStart records the start of a front daemon that polls. Its earlier start has ended.
func (s *Service) observeStart(name string, daemon uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	earlier := s.daemons[name]
	if name == "" || earlier == daemon {
		return
	}
	s.daemons[name] = daemon
	before := s.tracker.Version()
	s.tracker.DaemonEnded(time.Now(), earlier)
	s.notify(before)
	s.save()
}

// Poll returns the changes after a version, and waits if there are none.
func (s *Service) Poll(args *PollArgs, reply *PollReply) error {
	s.awaitLoaded()
	s.observeStart(args.Name, args.Daemon)
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
		reply.Changes = append(reply.Changes, s.status(now, c.Key, c.Owner, c.State))
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
