package turnlog_test

import (
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/internal/turns/turnlog"
)

func newRecord(id string) turn.Record {
	return turn.Record{State: turn.Finished, ID: id, Program: "p", Previous: "before", Tokens: 7, Retention: time.Minute,
		Input: []byte("input " + id), Output: []byte("output " + id + "\n"), Server: incarnation.ID{Server: "s"}}
}

func openLog(t *testing.T, dir string) (*turnlog.Log, []turn.Record) {
	t.Helper()
	var found []turn.Record
	l, err := turnlog.Open(dir, func(r turn.Record, _ turnlog.Position) { found = append(found, r) })
	assert.NilError(t, err)
	return l, found
}

func TestRecordsSurviveReopen(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	var wg sync.WaitGroup
	for i := range 50 {
		wg.Go(func() {
			r := newRecord(fmt.Sprint(i))
			pending := l.Append(&r)
			assert.Check(t, pending.Wait())
			back, err := l.Read(pending.Position)
			assert.Check(t, err)
			assert.Check(t, string(back.Input) == string(r.Input))
		})
	}
	wg.Wait()
	assert.NilError(t, l.Close())
	l, found := openLog(t, dir)
	defer func() { assert.NilError(t, l.Close()) }()
	assert.Equal(t, len(found), 50)
}

// TestTornTailIsIgnored truncates or corrupts a file at every byte of its last record: earlier records must be kept,
// and later appends must be readable.
func TestTornTailIsIgnored(t *testing.T) {
	source := t.TempDir()
	l, _ := openLog(t, source)
	for _, id := range []string{"one", "two"} {
		r := newRecord(id)
		assert.NilError(t, l.Append(&r).Wait())
	}
	assert.NilError(t, l.Close())
	files, err := filepath.Glob(filepath.Join(source, "*.turns"))
	assert.NilError(t, err)
	whole, err := os.ReadFile(files[0])
	assert.NilError(t, err)
	for cut := len(whole) / 2; cut < len(whole); cut++ {
		for _, corrupt := range []bool{false, true} {
			dir := t.TempDir()
			torn := append([]byte(nil), whole...)
			if corrupt {
				torn[cut] ^= 0x40
			} else {
				torn = torn[:cut]
			}
			assert.NilError(t, os.WriteFile(filepath.Join(dir, filepath.Base(files[0])), torn, 0o644))
			l, found := openLog(t, dir)
			assert.Equal(t, len(found), 1, "cut at %d, corrupt %t", cut, corrupt)
			r := newRecord("three")
			assert.NilError(t, l.Append(&r).Wait())
			assert.NilError(t, l.Close())
			l, found = openLog(t, dir)
			assert.Equal(t, len(found), 2)
			assert.Equal(t, found[1].ID, "three")
			assert.NilError(t, l.Close())
		}
	}
}

func TestSegmentsRotateAndAreRemoved(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	big := newRecord("big")
	big.Input = make([]byte, 3<<20)
	for range 4 {
		pending := l.Append(&big)
		assert.NilError(t, pending.Wait())
		pending.Release()
	}
	first, active := uint32(1), l.ActiveSegment()
	assert.Assert(t, active > first)
	assert.NilError(t, l.RemoveSegment(first))
	assert.ErrorIs(t, l.RemoveSegment(active), turnlog.ErrInUse)
	assert.Assert(t, l.Bytes() < 8<<20)
	assert.NilError(t, l.Close())
}

// TestSegmentsRotateUnderLoad guards against a segment that never ends because an append is always pending.
func TestSegmentsRotateUnderLoad(t *testing.T) {
	dir := t.TempDir()
	l, _ := openLog(t, dir)
	big := newRecord("big")
	big.Input = make([]byte, 1<<20)
	const appends = 40
	var waiting []turnlog.PendingAppend
	for range appends {
		waiting = append(waiting, l.Append(&big))
		if len(waiting) < 4 {
			continue
		}
		assert.NilError(t, waiting[0].Wait())
		back, err := l.Read(waiting[0].Position)
		assert.NilError(t, err)
		assert.Equal(t, len(back.Input), len(big.Input))
		waiting = waiting[1:]
	}
	for _, pending := range waiting {
		assert.NilError(t, pending.Wait())
	}
	assert.Assert(t, l.ActiveSegment() >= 4, "active segment %d", l.ActiveSegment())
	assert.NilError(t, l.Close())
	l, found := openLog(t, dir)
	assert.Equal(t, len(found), appends)
	assert.NilError(t, l.Close())
}

// TestSegmentWithUnreleasedAppendIsNotRemoved guards against the loss of a record that is on the disk while its caller
// has not yet recorded its position.
func TestSegmentWithUnreleasedAppendIsNotRemoved(t *testing.T) {
	l, _ := openLog(t, t.TempDir())
	defer func() { assert.NilError(t, l.Close()) }()
	big := newRecord("big")
	big.Input = make([]byte, 9<<20)
	pending := l.Append(&big)
	assert.NilError(t, pending.Wait())
	assert.Assert(t, l.ActiveSegment() > pending.Position.Segment)
	assert.ErrorIs(t, l.RemoveSegment(pending.Position.Segment), turnlog.ErrInUse)
	pending.Release()
	assert.NilError(t, l.RemoveSegment(pending.Position.Segment))
}

// TestEmptySegmentsAreRemoved guards against files left behind by processes that wrote no whole record.
func TestEmptySegmentsAreRemoved(t *testing.T) {
	dir := t.TempDir()
	for range 5 {
		l, _ := openLog(t, dir)
		assert.NilError(t, l.Close())
	}
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "00000007.turns"), []byte{9, 0, 0, 0, 1, 2}, 0o644))
	l, found := openLog(t, dir)
	assert.NilError(t, l.Close())
	assert.Equal(t, len(found), 0)
	files, err := filepath.Glob(filepath.Join(dir, "*.turns"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 0)
}

func TestAppendAfterCloseFails(t *testing.T) {
	l, _ := openLog(t, t.TempDir())
	assert.NilError(t, l.Close())
	r := newRecord("late")
	assert.ErrorIs(t, l.Append(&r).Wait(), turnlog.ErrClosed)
}

// shortReads is a disk whose files end early when they are read from the start.
type shortReads struct {
	filesystem.OS
	bytes int64
}

func (d shortReads) OpenFile(path string, flag int, mode fs.FileMode) (filesystem.File, error) {
	file, err := d.OS.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	return shortFile{file, io.LimitReader(file, d.bytes)}, nil
}

type shortFile struct {
	filesystem.File
	content io.Reader
}

func (f shortFile) Read(p []byte) (int, error) { return f.content.Read(p) }

// TestShortReadAtStartLosesNothing guards against records that are dropped, or removed with their segment, since the disk
// gave only a part of the file.
func TestShortReadAtStartLosesNothing(t *testing.T) {
	for _, length := range []int64{0, 3, 20, 150} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			dir := t.TempDir()
			l, _ := openLog(t, dir)
			for i := range 5 {
				assert.NilError(t, appendRecord(l, fmt.Sprint(i)))
			}
			assert.NilError(t, l.Close())
			_, err := turnlog.OpenWith(dir, turnlog.Options{Files: shortReads{bytes: length}}, func(turn.Record, turnlog.Position) {})
			assert.ErrorContains(t, err, fmt.Sprintf("read only %d of ", length))
			l, found := openLog(t, dir)
			defer func() { _ = l.Close() }()
			assert.Equal(t, len(found), 5)
		})
	}
}
