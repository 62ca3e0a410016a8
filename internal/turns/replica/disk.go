package replica

import (
	"errors"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

const (
	// openWait is how long a starting daemon waits for its disk. It is longer than reading a usual disk takes; after it
	// the daemon serves mirrors, the exchange and quotas without its records.
	openWait = time.Second
	// minRetryDelay and maxRetryDelay bound the time between two attempts to open the disk or to save its identity.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = time.Second
	// appendTimeout bounds the wait for a record to become durable, and that for a fence. It is shorter than the timeout
	// of a front daemon's call, so that the answer arrives.
	appendTimeout = 800 * time.Millisecond
	// takeOverDelay is how long a disk must have refused writes before its daemon answers pings as a failed one, so that
	// a spare disk takes its slot over. A disk that is freed within seconds keeps its slot: copying one costs more.
	takeOverDelay = 5 * time.Second
	// closeTimeout bounds the wait for calls to the disk that are under way when the store closes.
	closeTimeout = 2 * time.Second
)

var errOpenSlow = errors.New("disk not read yet")

// problemKind is a use of the disk that can fail by itself.
type problemKind string

const (
	problemOpen     problemKind = "open"
	problemRecords  problemKind = "records"
	problemIdentity problemKind = "identity"
)

// DiskProblem tells why a use of the disk fails.
type DiskProblem struct {
	// Use is "open", "records" or "identity".
	Use   string    `json:"use"`
	Since time.Time `json:"since"`
	Path  string    `json:"path"`
	Error string    `json:"error"`
}

// diskHealth holds the problems of a disk, and logs each once when it begins and ends. It is safe for concurrent use.
type diskHealth struct {
	log logrus.FieldLogger
	// bytes returns the size of the records on the disk.
	bytes func() int64

	mu       sync.Mutex
	problems map[problemKind]DiskProblem
}

// set records that a use of the disk fails with err, or works if err is nil.
func (h *diskHealth) set(kind problemKind, path string, err error) {
	h.mu.Lock()
	problem, failing := h.problems[kind]
	began := !failing && err != nil
	if err == nil {
		delete(h.problems, kind)
	} else {
		if began {
			problem = DiskProblem{Use: string(kind), Since: time.Now()}
		}
		problem.Path, problem.Error = path, err.Error()
		h.problems[kind] = problem
	}
	h.mu.Unlock()
	fields := logrus.Fields{"use": string(kind), "path": problem.Path, "bytes": h.bytes()}
	switch {
	case began:
		fields["event"], fields["error"] = "disk-unwritable", err
		h.log.WithFields(fields).Error("disk failed; trying again")
	case failing && err == nil:
		fields["event"], fields["ms"] = "disk-writable", time.Since(problem.Since).Milliseconds()
		h.log.WithFields(fields).Info("disk works again")
	}
}

// list returns the problems.
func (h *diskHealth) list() []DiskProblem {
	h.mu.Lock()
	defer h.mu.Unlock()
	var list []DiskProblem
	for _, kind := range []problemKind{problemOpen, problemRecords, problemIdentity} {
		if problem, failing := h.problems[kind]; failing {
			list = append(list, problem)
		}
	}
	return list
}

// lasting reports whether a problem has lasted for takeOverDelay.
func (h *diskHealth) lasting() bool {
	for _, problem := range h.list() {
		if time.Since(problem.Since) >= takeOverDelay {
			return true
		}
	}
	return false
}

// DiskProblems returns why uses of the disk fail; empty if they all work.
func (s *Store) DiskProblems() []DiskProblem { return s.health.list() }

// openUntilDone opens the disk, again and again until it succeeds or the store closes.
func (s *Store) openUntilDone(firstAttempt chan<- struct{}) {
	defer close(s.openerDone)
	for delay := minRetryDelay; ; delay = min(2*delay, maxRetryDelay) {
		err := s.open()
		if err == nil {
			close(s.opened)
		}
		s.health.set(problemOpen, s.dir, err)
		if firstAttempt != nil {
			close(firstAttempt)
			firstAttempt = nil
		}
		if err == nil || !s.pause(delay) {
			return
		}
	}
}

// isOpen reports whether the disk's identity and records have been read.
func (s *Store) isOpen() bool {
	select {
	case <-s.opened:
		return true
	default:
		return false
	}
}

// pause waits for d and reports whether the store is still in use.
func (s *Store) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.closing:
		return false
	}
}

// open reads the disk's identity and records. A disk without an identity is not open until one is saved: nobody may
// learn an ID that the next start does not find.
func (s *Store) open() error {
	if err := s.disk.MkdirAll(s.dir, 0o755); err != nil {
		return Error.Wrap(err)
	}
	id, err := loadIdentity(s.disk, s.dir)
	if err != nil {
		return err
	}
	records, now := newIndex(), time.Now()
	options := turnlog.Options{Files: s.disk, OnChange: s.logChanged}
	files, err := turnlog.OpenWith(s.dir, options, func(r turn.Record, p turnlog.Position) { records.add(&r, p, now) })
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errors.Join(turnlog.ErrClosed, files.Close())
	}
	s.files, s.index, s.saved = files, records, id
	// A layout may have arrived while the disk could not be read.
	if known := s.id.Layout; known != nil && (id.Layout == nil || known.Epoch > id.Layout.Epoch) {
		id.Layout = known
	}
	id.Fence = max(id.Fence, s.id.Fence)
	s.id, s.self.ID = id, id.Disk
	s.wakeSaver()
	_, turns := records.counts()
	s.log.WithFields(logrus.Fields{"event": "disk-open", "disk": id.Disk, "turns": turns,
		"complete": id.complete(), "fence": id.Fence}).Info("disk opened")
	return nil
}

// logChanged records a change of the log's state.
func (s *Store) logChanged(failure *turnlog.Failure) {
	if failure == nil {
		s.health.set(problemRecords, "", nil)
		return
	}
	s.health.set(problemRecords, failure.Path, failure.Err)
}

// saveIdentities saves the identity after each change, until the store closes. A failed save is repeated.
func (s *Store) saveIdentities() {
	defer close(s.saverDone)
	path := filepath.Join(s.dir, identityFile)
	delay := minRetryDelay
	for {
		s.mu.Lock()
		id, changed, closed := s.id, s.identityChanged(), s.closed
		s.mu.Unlock()
		if !changed {
			if closed {
				return
			}
			<-s.saverWake
			continue
		}
		err := saveIdentity(s.disk, s.dir, id)
		s.health.set(problemIdentity, path, err)
		if err != nil {
			if !s.pause(delay) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		}
		delay = minRetryDelay
		s.mu.Lock()
		s.saved = id
		close(s.savedChange)
		s.savedChange = make(chan struct{})
		s.mu.Unlock()
	}
}

// identityChanged reports whether the identity differs from the one on the disk. The caller holds mu.
func (s *Store) identityChanged() bool {
	return s.id.Disk != "" && (s.id.Fence != s.saved.Fence || s.id.Layout != s.saved.Layout)
}

// wakeSaver makes saveIdentities look for changes.
func (s *Store) wakeSaver() {
	select {
	case s.saverWake <- struct{}{}:
	default:
	}
}

var errFenceNotSaved = errors.New("fence not saved in time")

// awaitFence returns once a fence of at least epoch is on the disk, or an error after appendTimeout.
func (s *Store) awaitFence(epoch uint64) error {
	timeout := time.NewTimer(appendTimeout)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		saved, change := s.saved.Fence, s.savedChange
		s.mu.Unlock()
		if saved >= epoch {
			return nil
		}
		select {
		case <-change:
		case <-timeout.C:
			return Error.Wrap(errFenceNotSaved)
		}
	}
}

// await waits until an append has an outcome, and calls durable if the record is on the disk. After timeout it returns
// turnlog.ErrUnsure and goes on in the background, so that a record that becomes durable late is found.
func (s *Store) await(timeout time.Duration, pending turnlog.PendingAppend, durable func()) error {
	finish := func() error {
		defer pending.Release()
		if err := pending.Wait(); err != nil {
			return err
		}
		durable()
		return nil
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done():
		return finish()
	case <-timer.C:
		go func() { _ = finish() }()
		return turnlog.ErrUnsure
	}
}

// writeStatus returns the status of a write that failed with err.
func writeStatus(err error) Status {
	switch {
	case errors.Is(err, turnlog.ErrUnsure):
		return Unsure
	case errors.Is(err, turnlog.ErrUnwritable):
		return Unwritable
	default:
		return Failed
	}
}
