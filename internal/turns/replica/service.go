package replica

import (
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

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

// Store holds one disk's records and the newest layout that it knows.
type Store struct {
	log  logrus.FieldLogger
	dir  string
	self layout.Disk

	index *index
	files *turnlog.Log

	mu sync.Mutex
	id identity
}

// OpenStore opens the store at dir. self is the disk with its daemon's address; its ID is filled in.
func OpenStore(dir string, self layout.Disk, log logrus.FieldLogger) (*Store, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	id, err := loadIdentity(dir)
	if err != nil {
		return nil, err
	}
	self.ID = id.Disk
	s := &Store{log: log, dir: dir, self: self, index: newIndex(), id: id}
	now := time.Now()
	s.files, err = turnlog.Open(dir, func(r turn.Record, p turnlog.Position) { s.index.add(&r, p, now) })
	if err != nil {
		return nil, err
	}
	_, turns := s.Size()
	log.WithFields(logrus.Fields{"event": "disk-open", "disk": id.Disk, "turns": turns,
		"complete": id.complete(), "fence": id.Fence}).Info("disk opened")
	return s, nil
}

// Self returns the disk.
func (s *Store) Self() layout.Disk { return s.self }

// Syncs returns the number of syncs of records and their total duration.
func (s *Store) Syncs() (n int64, busy time.Duration) { return s.files.Syncs() }

// Layout returns the newest known layout, or nil.
func (s *Store) Layout() *layout.Layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id.Layout
}

// UpdateLayout saves a layout and adopts it if it is newer than the known one. It reports whether it was adopted.
func (s *Store) UpdateLayout(l *layout.Layout) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id.Layout != nil && s.id.Layout.Epoch >= l.Epoch {
		return false
	}
	id := s.id
	id.Layout = l
	if err := saveIdentity(s.dir, id); err != nil {
		s.log.WithFields(logrus.Fields{"event": "identity-failed", "error": err}).Error("layout not saved")
		return false
	}
	s.id = id
	s.log.WithFields(logrus.Fields{"event": "layout", "epoch": l.Epoch,
		"slot": l.SlotOf(s.self.ID), "joining": l.SlotJoinedBy(s.self.ID)}).Info("layout updated")
	return true
}

// raiseFence makes the disk refuse layouts older than epoch from now on, also after a restart.
func (s *Store) raiseFence(epoch uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.id.Fence >= epoch {
		return nil
	}
	id := s.id
	id.Fence = epoch
	if err := saveIdentity(s.dir, id); err != nil {
		return err
	}
	s.id = id
	return nil
}

// check compares a request's target with this disk, and returns the header of the reply.
func (s *Store) check(target Target) Header {
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
	defer pending.Release()
	if err := pending.Wait(); err != nil {
		return err
	}
	s.index.add(r, pending.Position, time.Now())
	return nil
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
		s.log.WithFields(logrus.Fields{"event": "write-failed", "turn": args.Record.ID, "error": err}).Error("disk write failed")
		reply.Header.Status = Failed
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
	if err := s.raiseFence(args.Layout.Epoch); err != nil {
		s.log.WithFields(logrus.Fields{"event": "identity-failed", "error": err}).Error("fence not saved")
		reply.Header.Status = Failed
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

// Ping reports whether this disk is the requested one.
func (v *Service) Ping(args *PingArgs, reply *PingReply) error {
	reply.Header = v.store.check(Target{Disk: args.Disk, Epoch: 1 << 62})
	return nil
}

// Close closes the store. Later writes fail.
func (s *Store) Close() error { return s.files.Close() }

// Size returns the numbers of stored programs and turns.
func (s *Store) Size() (programs, turns int) { return s.index.counts() }

// Bytes returns the size of the stored records on the disk.
func (s *Store) Bytes() int64 { return s.files.Bytes() }

// Turns returns the budget entries of a program's turns.
func (s *Store) Turns(program string) []BudgetEntry { return s.index.budgetEntries(program) }
