package replica

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

// Error is the class of this package's errors.
var Error = errs.Class("replica")

const (
	// exportPageTurns and pullPageBytes bound a page, so that it does not hold up other calls on the link.
	exportPageTurns = 2000
	pullPageBytes   = 256 << 10
)

// Store holds one disk's records and the newest layout that it knows. It works as far as its disk does: while the disk
// can't be opened it knows only the layout, and while the disk takes no writes it serves reads.
type Store struct {
	log    logrus.FieldLogger
	dir    string
	disk   filesystem.FS
	health *diskHealth

	// opened is closed once index and files are set.
	opened chan struct{}
	index  *index
	files  *turnlog.Log

	// refused counts the writes that were answered with Unwritable or Unsure.
	refused atomic.Int64

	closing               chan struct{}
	openerDone, saverDone chan struct{}
	saverWake             chan struct{}

	mu     sync.Mutex
	closed bool
	// self has no ID until the disk is open.
	self layout.Disk
	// id is the identity in use, saved the one on the disk. savedChange is closed and replaced when saved changes.
	id, saved   identity
	savedChange chan struct{}
}

// NewStore returns the store on the disk at dir. self is the disk with its daemon's address; its ID is filled in. If
// the disk can't be opened within openWait, the store is returned without records and goes on trying.
func NewStore(files filesystem.FS, dir string, self layout.Disk, log logrus.FieldLogger) *Store {
	s := &Store{log: log, dir: dir, disk: files, self: self, opened: make(chan struct{}), closing: make(chan struct{}),
		openerDone: make(chan struct{}), saverDone: make(chan struct{}), saverWake: make(chan struct{}, 1), savedChange: make(chan struct{})}
	s.health = &diskHealth{log: log, bytes: s.Bytes, problems: map[problemKind]DiskProblem{}}
	firstAttempt := make(chan struct{})
	go s.openUntilDone(firstAttempt)
	go s.saveIdentities()
	timer := time.NewTimer(openWait)
	defer timer.Stop()
	select {
	case <-firstAttempt:
	case <-timer.C:
		s.health.set(problemOpen, dir, errOpenSlow)
		if s.isOpen() { // it opened just now
			s.health.set(problemOpen, dir, nil)
		}
	}
	return s
}

// Self returns the disk. Its ID is empty until the disk is open.
func (s *Store) Self() layout.Disk {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.self
}

// Syncs returns the number of syncs of records and their total duration.
func (s *Store) Syncs() (n int64, busy time.Duration) {
	if !s.isOpen() {
		return 0, 0
	}
	return s.files.Syncs()
}

// RefusedWrites returns the number of writes that were refused, or whose outcome was unknown, because of the disk.
func (s *Store) RefusedWrites() int64 { return s.refused.Load() }

// Layout returns the newest known layout, or nil.
func (s *Store) Layout() *layout.Layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id.Layout
}

// UpdateLayout adopts a layout if it is newer than the known one, and saves it in the background. It reports whether it
// was adopted. A layout that is lost before it is saved is learned again, as by a daemon that was cut off.
func (s *Store) UpdateLayout(l *layout.Layout) bool {
	s.mu.Lock()
	if s.id.Layout != nil && s.id.Layout.Epoch >= l.Epoch {
		s.mu.Unlock()
		return false
	}
	s.id.Layout = l
	self := s.self.ID
	s.mu.Unlock()
	s.wakeSaver()
	s.log.WithFields(logrus.Fields{"event": "layout", "epoch": l.Epoch,
		"slot": l.SlotOf(self), "joining": l.SlotJoinedBy(self)}).Info("layout updated")
	return true
}

// raiseFence makes the disk refuse layouts older than epoch from now on. It returns nil once the fence is on the disk,
// so that it holds after a restart too.
func (s *Store) raiseFence(epoch uint64) error {
	s.mu.Lock()
	s.id.Fence = max(s.id.Fence, epoch)
	s.mu.Unlock()
	s.wakeSaver()
	return s.awaitFence(epoch)
}

// check compares a request's target with this disk, and returns the header of the reply.
func (s *Store) check(target Target) Header {
	if !s.isOpen() {
		return Header{Status: Unwritable}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h := Header{Status: OK, Complete: s.id.complete()}
	switch {
	case target.Disk != s.self.ID:
		h.Status = WrongDisk
		h.Layout = s.id.Layout
	case target.Epoch < s.id.Fence:
		h.Status = StaleLayout
		h.Layout = s.id.Layout
	case s.id.Layout != nil && target.Epoch < s.id.Layout.Epoch:
		h.Layout = s.id.Layout
	}
	return h
}

// write makes a record durable, unless the turn is already stored in this state or a later one.
func (s *Store) write(r *turn.Record) error {
	if s.index.hasState(r.ID, r.State) {
		return nil
	}
	pending := s.files.Append(r)
	return s.await(appendTimeout, pending, func() { s.index.add(r, pending.Position, time.Now()) })
}

// Service serves a store to other daemons. Its exported methods are net/rpc methods.
type Service struct{ store *Store }

// NewService returns the service of a store.
func NewService(store *Store) *Service { return &Service{store: store} }

// Write stores a record.
func (v *Service) Write(args *WriteArgs, reply *WriteReply) error {
	s := v.store
	reply.Header = s.check(args.Target)
	if reply.Header.Status != OK {
		return nil
	}
	if err := s.write(&args.Record); err != nil {
		reply.Header.Status = writeStatus(err)
		if reply.Header.Status == Failed {
			s.log.WithFields(logrus.Fields{"event": "write-failed", "turn": args.Record.ID, "error": err}).Error("disk write failed")
		} else {
			s.refused.Add(1) // the disk's state is logged when it changes
		}
		return nil
	}
	// A take-over may have raised the fence during the write, and its export may lack this record.
	if after := s.check(args.Target); after.Status != OK {
		reply.Header = after
		return nil
	}
	if args.Entries {
		reply.Entries = s.index.budgetEntries(args.Record.Program)
	}
	if args.Places {
		reply.Places, reply.Aim = s.index.cachedPrompts(args.Record.Program)
	}
	return nil
}

// Fetch returns a turn and those before it.
func (v *Service) Fetch(args *FetchArgs, reply *FetchReply) error {
	s := v.store
	reply.Header = s.check(args.Target)
	if reply.Header.Status != OK {
		return nil
	}
	positions, missing := s.index.chain(args.ID, time.Now())
	reply.Missing = missing
	for _, position := range positions {
		record, err := s.files.Read(position)
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "read-failed", "turn": args.ID, "error": err}).Error("disk read failed")
			reply.Header.Status = Failed
			return nil
		}
		reply.Chain = append(reply.Chain, record)
	}
	return nil
}

// Export lists the turns on this disk that a slot must hold, a page at a time. From then on the disk refuses layouts
// older than that of the take-over: a record that is acknowledged later was written to the new disk as well.
func (v *Service) Export(args *ExportArgs, reply *ExportReply) error {
	s := v.store
	s.UpdateLayout(&args.Layout)
	if !s.isOpen() {
		reply.Header.Status = Unwritable
		return nil
	}
	if err := s.raiseFence(args.Layout.Epoch); err != nil {
		s.log.WithFields(logrus.Fields{"event": "identity-failed", "error": err}).Error("fence not saved")
		reply.Header.Status = Unwritable
		return nil
	}
	reply.Header = s.check(Target{Disk: args.From, Epoch: args.Layout.Epoch})
	if reply.Header.Status != OK {
		return nil
	}
	groups := map[string]bool{}
	found := s.index.exportAfter(args.After, exportPageTurns, func(program string) bool {
		wanted, known := groups[program]
		if !known {
			for _, slot := range args.Layout.Group(program) {
				wanted = wanted || slot == args.Slot
			}
			groups[program] = wanted
		}
		return wanted
	})
	reply.Last = args.After
	for _, l := range found {
		reply.Turns = append(reply.Turns, TurnState{ID: l.id, State: l.state})
		reply.Last = l.sequence
	}
	reply.Done = len(found) < exportPageTurns
	return nil
}

// Pull returns the records of some turns, a page at a time.
func (v *Service) Pull(args *PullArgs, reply *PullReply) error {
	s := v.store
	reply.Header = s.check(args.Target)
	if reply.Header.Status != OK {
		return nil
	}
	size := 0
	for i, id := range args.IDs {
		reply.Next = i + 1
		position, there := s.index.position(id)
		if !there {
			continue // expired
		}
		record, err := s.files.Read(position)
		if err != nil {
			s.log.WithFields(logrus.Fields{"event": "read-failed", "turn": id, "error": err}).Error("disk read failed")
			reply.Header.Status = Failed
			return nil
		}
		reply.Records = append(reply.Records, record)
		if size += len(record.Input) + len(record.Output); size > pullPageBytes {
			return nil
		}
	}
	return nil
}

// Lacked reports which of some turns the disk does not hold.
func (v *Service) Lacked(args *LackedArgs, reply *LackedReply) error {
	reply.Header = v.store.check(args.Target)
	if reply.Header.Status != OK {
		return nil
	}
	for i, t := range args.Turns {
		if !v.store.index.hasState(t.ID, t.State) {
			reply.Lacked = append(reply.Lacked, i)
		}
	}
	return nil
}

// Ping reports whether this disk is the requested one and works.
func (v *Service) Ping(args *PingArgs, reply *PingReply) error {
	reply.Header = v.store.check(Target{Disk: args.Disk, Epoch: 1 << 62})
	if reply.Header.Status == OK && v.store.health.lasting() {
		reply.Header.Status = Unwritable
	}
	return nil
}

// Close saves the layout, unless the disk fails, and closes the store. Later writes fail. It does not wait longer than
// closeTimeout for a disk that hangs, for each of its uses.
func (s *Store) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	close(s.closing)
	s.mu.Unlock()
	s.wakeSaver()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	for _, done := range []chan struct{}{s.openerDone, s.saverDone} {
		select {
		case <-done:
		case <-timeout.C:
			return Error.New("disk does not return from a call")
		}
	}
	if !s.isOpen() {
		return nil
	}
	return s.files.Close()
}

// Size returns the numbers of stored programs and turns.
func (s *Store) Size() (programs, turns int) {
	if !s.isOpen() {
		return 0, 0
	}
	return s.index.counts()
}

// Bytes returns the size of the stored records on the disk.
func (s *Store) Bytes() int64 {
	if !s.isOpen() {
		return 0
	}
	return s.files.Bytes()
}

// Turns returns the budget entries of a program's turns.
func (s *Store) Turns(program string) []BudgetEntry {
	if !s.isOpen() {
		return nil
	}
	return s.index.budgetEntries(program)
}
