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
	// exportPageTurns and pullBytes bound a page: it should take a few milliseconds of the link.
	exportPageTurns = 2000
	pullPageBytes   = 256 << 10
)

// Store is one disk's records and what it believes of the layout.
type Store struct {
	log  logrus.FieldLogger
	dir  string
	self layout.Disk

	index *index
	files *turnlog.Log

	mu sync.Mutex
	id identity
}

// OpenStore reads the disk at dir. self tells where its daemon answers; its disk ID is filled in.
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
		"complete": id.complete(), "fence": id.Fence}).Info("disk read")
	return s, nil
}

// Self returns the disk.
func (s *Store) Self() layout.Disk { return s.self }

// Syncs returns how often the disk was synced for records, and the time that it took in all.
func (s *Store) Syncs() (n int64, busy time.Duration) { return s.files.Syncs() }

// Layout returns the newest layout seen, or nil.
func (s *Store) Layout() *layout.Layout {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id.Layout
}

// UpdateLayout takes a layout over if it is newer than the one known. It reports whether it was.
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
		"slot": l.SlotOf(s.self.ID), "joining": l.SlotJoinedBy(s.self.ID)}).Info("layout in force")
	return true
}

// raiseFence makes the disk serve no layout older than epoch from now on, also after a restart.
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

// check compares what a request means with what the disk is.
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

// write makes a record durable, unless it is already there.
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

// Service answers daemons. Its exported methods are net/rpc methods.
type Service struct{ store *Store }

// NewService returns the service of a store.
func NewService(store *Store) *Service { return &Service{store: store} }

// Write keeps a record.
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
	// A take-over may have raised the fence while the disk wrote: its export may lack this record.
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

// Export tells what the disk has of what a slot must hold, a page at a time, and from then on serves no layout from before its
// take-over: a record that is acknowledged later went to the new disk as well.
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

// Pull returns the records of some turns, a page of them at a time.
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
			continue // it was kept for long enough
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

// Lacked tells which of some turns the disk does not hold.
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

// Ping tells whether the disk is the one that is meant.
func (v *Service) Ping(args *PingArgs, reply *PingReply) error {
	reply.Header = v.store.check(Target{Disk: args.Disk, Epoch: 1 << 62})
	return nil
}

// Close ends the store; records that are not yet durable are refused.
func (s *Store) Close() error { return s.files.Close() }

// Size returns the numbers of programs and turns kept.
func (s *Store) Size() (programs, turns int) { return s.index.counts() }

// Bytes returns what the turns take on the disk.
func (s *Store) Bytes() int64 { return s.files.Bytes() }

// Turns returns a program's turns.
func (s *Store) Turns(program string) []BudgetEntry { return s.index.budgetEntries(program) }
