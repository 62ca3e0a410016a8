package replica

import (
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewStore(filesystem.OS{}, dir, layout.Disk{Node: "n", Address: "n:1", DataCentre: "a"}, log)
	assert.Equal(t, len(s.DiskProblems()), 0)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// layoutOf returns a layout in which the disks hold the slots.
func layoutOf(epoch uint64, disks ...layout.Disk) *layout.Layout {
	l := &layout.Layout{Epoch: epoch, Tolerance: 1}
	for _, d := range disks {
		l.Slots = append(l.Slots, layout.Slot{DataCentre: d.DataCentre, Disk: d})
	}
	return l
}

func otherDisks() []layout.Disk {
	return []layout.Disk{{ID: "b", Node: "b", DataCentre: "b"}, {ID: "c", Node: "c", DataCentre: "c"}}
}

func writeRecord(t *testing.T, s *Store, disk string, epoch uint64, r turn.Record) *WriteReply {
	t.Helper()
	var reply WriteReply
	assert.NilError(t, NewService(s).Write(&WriteArgs{Target: Target{Disk: disk, Epoch: epoch}, Record: r, Entries: true}, &reply))
	return &reply
}

func finishedTurn(id, previous string) turn.Record {
	return turn.Record{State: turn.Finished, ID: id, Program: "p", Previous: previous, Tokens: 3, Retention: time.Minute,
		Input: []byte("in"), Output: []byte("out\n")}
}

// TestFenceSurvivesRestart guards against writes under an older layout after a take-over has begun to copy: the copy
// may lack them.
func TestFenceSurvivesRestart(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	self := s.Self()
	s.UpdateLayout(layoutOf(4, append(otherDisks(), self)...))
	assert.Equal(t, writeRecord(t, s, self.ID, 4, finishedTurn("t1", "")).Header.Status, OK)
	next := layoutOf(5, append(otherDisks(), self)...)
	next.Slots[0].Joining = &layout.Disk{ID: "d", Node: "d"}
	var page ExportReply
	assert.NilError(t, NewService(s).Export(&ExportArgs{Layout: *next, Slot: 0, From: self.ID}, &page))
	assert.Equal(t, page.Header.Status, OK)
	assert.DeepEqual(t, page.Turns, []TurnState{{ID: "t1", State: turn.Finished}})
	assert.Assert(t, page.Done)
	refused := writeRecord(t, s, self.ID, 4, finishedTurn("t2", "t1"))
	assert.Equal(t, refused.Header.Status, StaleLayout)
	assert.Equal(t, refused.Header.Layout.Epoch, uint64(5))
	assert.NilError(t, s.Close())
	s = openStore(t, dir)
	assert.Equal(t, writeRecord(t, s, self.ID, 4, finishedTurn("t3", "t1")).Header.Status, StaleLayout)
	assert.Equal(t, writeRecord(t, s, self.ID, 5, finishedTurn("t3", "t1")).Header.Status, OK)
}

func TestEmptyDiskGetsNewID(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	first := s.Self()
	assert.NilError(t, s.Close())
	assert.NilError(t, os.RemoveAll(dir))
	s = openStore(t, dir)
	assert.Assert(t, s.Self().ID != first.ID)
	assert.Equal(t, writeRecord(t, s, first.ID, 1, finishedTurn("t1", "")).Header.Status, WrongDisk)
}

// TestOnlySlotHoldersAreComplete guards against a false not-found by a disk that holds no slot and may lack records.
func TestOnlySlotHoldersAreComplete(t *testing.T) {
	s := openStore(t, t.TempDir())
	self := s.Self()
	complete := func(l *layout.Layout) bool {
		s.UpdateLayout(l)
		var reply FetchReply
		assert.NilError(t, NewService(s).Fetch(&FetchArgs{Target: Target{Disk: self.ID, Epoch: l.Epoch}, ID: "none"}, &reply))
		assert.Equal(t, reply.Missing, "none")
		return reply.Header.Complete
	}
	var unknown FetchReply
	assert.NilError(t, NewService(s).Fetch(&FetchArgs{Target: Target{Disk: self.ID, Epoch: 1}, ID: "none"}, &unknown))
	assert.Assert(t, !unknown.Header.Complete, "a disk that knows no layout yet")
	joining := layoutOf(1, otherDisks()...)
	joining.Slots[0].Joining = &self
	assert.Assert(t, !complete(joining))
	assert.Assert(t, complete(layoutOf(2, append(otherDisks(), self)...)))
	assert.Assert(t, !complete(layoutOf(3, otherDisks()...)))
}

func TestWritesAreIdempotentAndStatesOnlyRise(t *testing.T) {
	s := openStore(t, t.TempDir())
	self := s.Self()
	s.UpdateLayout(layoutOf(1, append(otherDisks(), self)...))
	reservation := turn.Record{State: turn.Reserved, ID: "t", Program: "p", Tokens: 50, Retention: time.Minute}
	writeRecord(t, s, self.ID, 1, reservation)
	writeRecord(t, s, self.ID, 1, finishedTurn("t", ""))
	writeRecord(t, s, self.ID, 1, reservation)
	reply := writeRecord(t, s, self.ID, 1, finishedTurn("t", ""))
	assert.DeepEqual(t, reply.Entries, []BudgetEntry{{ID: "t", State: turn.Finished, Tokens: 3}})
}

func TestExportListsOnlyProgramsOfSlot(t *testing.T) {
	s := openStore(t, t.TempDir())
	self := s.Self()
	disks := append(otherDisks(), self, layout.Disk{ID: "e", Node: "e", DataCentre: "e"})
	l := layoutOf(1, disks...)
	s.UpdateLayout(l)
	wanted := 0
	for i := range 40 {
		r := finishedTurn(string(rune('A'+i)), "")
		r.Program = "program-" + r.ID
		writeRecord(t, s, self.ID, 1, r)
		for _, slot := range l.Group(r.Program) {
			if slot == 0 {
				wanted++
			}
		}
	}
	var page ExportReply
	assert.NilError(t, NewService(s).Export(&ExportArgs{Layout: *l, Slot: 0, From: self.ID}, &page))
	assert.Equal(t, len(page.Turns), wanted)
	assert.Assert(t, wanted > 20 && wanted < 40, "%d of 40 programs belong to the slot; want three quarters", wanted)
}

func TestExpiryKeepsRecentlyUsedPrograms(t *testing.T) {
	x := newIndex()
	now := time.Now()
	old, used := finishedTurn("old", ""), finishedTurn("used", "")
	old.Program, used.Program = "old", "used"
	x.add(&old, positionIn(1), now)
	x.add(&used, positionIn(2), now)
	later := now.Add(old.Retention + retentionMargin - time.Second)
	assert.Equal(t, len(x.expire(later, 3)), 0)
	_, missing := x.chain("used", later)
	assert.Equal(t, missing, "")
	assert.DeepEqual(t, x.expire(now.Add(old.Retention+retentionMargin+time.Second), 3), []uint32{1})
	_, missing = x.chain("old", later)
	assert.Equal(t, missing, "old")
}

func TestMalformedIdentityIsAnError(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.WriteFile(filepath.Join(dir, identityFile), []byte("{"), 0o644))
	_, err := loadIdentity(filesystem.OS{}, dir)
	assert.ErrorContains(t, err, identityFile)
}

func positionIn(segment uint32) turnlog.Position { return turnlog.Position{Segment: segment} }
