// Package turnlog keeps turn records in files on a disk. Appends that come together share one sync.
//
// A file is a row of frames: length and CRC-32 of the record as little-endian words, then the record. What
// follows the first frame that does not check out was never acknowledged, and is passed over.
package turnlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// Error is the class of this package's errors.
var Error = errs.Class("turnlog")

var (
	// ErrClosed means that the log was closed.
	ErrClosed = errors.New("turn log closed")
	// ErrInUse means that a file takes appends, or holds some that are not settled.
	ErrInUse = errors.New("turn file in use")
)

const (
	frameHeaderBytes = 8
	// maxRecordBytes bounds a frame: a larger length is a torn write.
	maxRecordBytes = 64 << 20
	// maxSegmentBytes is when a new file begins, so that old ones can be removed whole.
	maxSegmentBytes = 8 << 20
	segmentSuffix   = ".turns"
)

// Position is where a record lies.
type Position struct {
	Segment uint32
	Offset  int64
	Length  int
}

// Log is a set of files in one folder. Use Open.
type Log struct {
	dir string

	mu    sync.Mutex
	files map[uint32]*os.File
	// pending gathers the appends that come while the disk is busy. Its file is the active one; it is made when
	// the first batch is written to it.
	pending *batch
	// unreleased counts each file's appends whose caller has not yet said that it is done with them.
	unreleased map[uint32]int
	wake       chan struct{}
	failed     error
	closed     bool
	bytes      int64
	done       chan struct{}
	pacer      pacer // of the committing goroutine
}

// batch is the appends that wait for one sync, and where they go.
type batch struct {
	segment uint32
	offset  int64
	data    []byte
	synced  chan struct{}
	err     error
}

// following returns the batch behind b: in the same file, or in the following one where that file is full.
func (b *batch) following() *batch {
	n := &batch{segment: b.segment, offset: b.offset + int64(len(b.data)), synced: make(chan struct{})}
	if n.offset >= maxSegmentBytes {
		n.segment, n.offset = b.segment+1, 0
	}
	return n
}

// Open reads the records of a folder, in the order of their writing, and begins a new file behind them. Files
// without a record are removed.
func Open(dir string, replay func(turn.Record, Position)) (*Log, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Log{dir: dir, files: map[uint32]*os.File{}, unreleased: map[uint32]int{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	numbers, err := listSegments(dir)
	if err != nil {
		return nil, err
	}
	newest := uint32(0)
	for _, number := range numbers {
		if err := l.loadSegment(number, replay); err != nil {
			return nil, err
		}
		newest = number
	}
	l.pending = &batch{segment: newest + 1, synced: make(chan struct{})}
	go l.commitLoop()
	return l, nil
}

func listSegments(dir string) ([]uint32, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var numbers []uint32
	for _, entry := range entries {
		var number uint32
		if filepath.Ext(entry.Name()) != segmentSuffix {
			continue
		}
		if _, err := fmt.Sscanf(entry.Name(), "%08x", &number); err != nil {
			return nil, Error.New("%s: not a name of a turn file", entry.Name())
		}
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers, nil
}

func (l *Log) segmentPath(segment uint32) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08x%s", segment, segmentSuffix))
}

func (l *Log) loadSegment(segment uint32, replay func(turn.Record, Position)) error {
	file, err := os.Open(l.segmentPath(segment))
	if err != nil {
		return Error.Wrap(err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return Error.Wrap(errors.Join(err, file.Close()))
	}
	if _, _, ok := decodeFrame(data); !ok {
		return Error.Wrap(errors.Join(file.Close(), os.Remove(l.segmentPath(segment))))
	}
	l.files[segment] = file
	l.bytes += int64(len(data))
	for offset := 0; ; {
		record, length, ok := decodeFrame(data[offset:])
		if !ok {
			return nil
		}
		replay(record, Position{Segment: segment, Offset: int64(offset + frameHeaderBytes), Length: length})
		offset += frameHeaderBytes + length
	}
}

// decodeFrame decodes the frame at the start of data.
func decodeFrame(data []byte) (turn.Record, int, bool) {
	if len(data) < frameHeaderBytes {
		return turn.Record{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length == 0 || length > maxRecordBytes || length > len(data)-frameHeaderBytes {
		return turn.Record{}, 0, false
	}
	body := data[frameHeaderBytes : frameHeaderBytes+length]
	if crc32.ChecksumIEEE(body) != binary.LittleEndian.Uint32(data[4:]) {
		return turn.Record{}, 0, false
	}
	record, err := turn.Decode(body)
	return record, length, err == nil
}

// segmentFile returns the segmentFile of a segment. A new one's name lasts once the folder is synced.
func (l *Log) segmentFile(segment uint32) (*os.File, error) {
	l.mu.Lock()
	file := l.files[segment]
	l.mu.Unlock()
	if file != nil {
		return file, nil
	}
	file, err := os.OpenFile(l.segmentPath(segment), os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o644)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := errors.Join(file.Sync(), atomicfile.SyncDir(l.dir)); err != nil {
		return nil, Error.Wrap(errors.Join(err, file.Close()))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.files[segment] = file
	return file, nil
}

// PendingAppend is an append that has its place and waits for the disk. Done must be called once its caller has taken
// the place down, or given up.
type PendingAppend struct {
	Position Position
	log      *Log
	batch    *batch
}

// Wait returns once the record is on the disk.
func (p PendingAppend) Wait() error {
	<-p.batch.synced
	return p.batch.err
}

// Release lets the record's file be removed: until then nobody else may know that the record is there.
func (p PendingAppend) Release() {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	if p.log.unreleased[p.Position.Segment]--; p.log.unreleased[p.Position.Segment] <= 0 {
		delete(p.log.unreleased, p.Position.Segment)
	}
}

// Append gives a record its place. It is durable once the ticket's Wait returns nil.
func (l *Log) Append(record *turn.Record) PendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pending
	l.unreleased[b.segment]++
	if l.closed {
		return PendingAppend{Position: Position{Segment: b.segment}, log: l, batch: b}
	}
	start := len(b.data)
	b.data = append(b.data, make([]byte, frameHeaderBytes)...)
	b.data = record.Append(b.data)
	body := b.data[start+frameHeaderBytes:]
	binary.LittleEndian.PutUint32(b.data[start:], uint32(len(body)))
	binary.LittleEndian.PutUint32(b.data[start+4:], crc32.ChecksumIEEE(body))
	position := Position{Segment: b.segment, Offset: b.offset + int64(start) + frameHeaderBytes, Length: len(body)}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return PendingAppend{Position: position, log: l, batch: b}
}

// commitLoop writes what is pending, again and again. After a failure nothing more is taken: what the disk holds is
// then unknown until the next start.
func (l *Log) commitLoop() {
	defer close(l.done)
	for range l.wake {
		time.Sleep(l.pacer.delay(time.Now()))
		l.mu.Lock()
		b := l.pending
		l.pending = b.following() // appends from here on lie behind this batch
		l.bytes += int64(len(b.data))
		b.err = l.failed
		l.mu.Unlock()
		if b.err == nil && len(b.data) > 0 {
			began := time.Now()
			b.err = l.writeBatch(b)
			l.pacer.recordSync(began, time.Now())
		}
		l.mu.Lock()
		l.failed = b.err
		l.mu.Unlock()
		close(b.synced)
	}
	l.mu.Lock()
	l.pending.err = ErrClosed
	close(l.pending.synced)
	l.mu.Unlock()
}

func (l *Log) writeBatch(b *batch) error {
	file, err := l.segmentFile(b.segment)
	if err != nil {
		return err
	}
	if _, err := file.WriteAt(b.data, b.offset); err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(file.Sync())
}

// Read returns the record at a position.
func (l *Log) Read(p Position) (turn.Record, error) {
	l.mu.Lock()
	file := l.files[p.Segment]
	l.mu.Unlock()
	if file == nil {
		return turn.Record{}, Error.New("no file %d", p.Segment)
	}
	body := make([]byte, p.Length)
	if _, err := file.ReadAt(body, p.Offset); err != nil {
		return turn.Record{}, Error.Wrap(err)
	}
	return turn.Decode(body)
}

// Bytes returns the size of all files.
func (l *Log) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Syncs returns how often the disk was synced, and the time that it took in all.
func (l *Log) Syncs() (n int64, busy time.Duration) {
	return l.pacer.syncCount.Load(), time.Duration(l.pacer.syncNanos.Load())
}

// ActiveSegment returns the file that appends go to.
func (l *Log) ActiveSegment() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.segment
}

// RemoveSegment deletes a file. ErrInUse means that it can't be removed now.
func (l *Log) RemoveSegment(segment uint32) error {
	l.mu.Lock()
	file := l.files[segment]
	if segment == l.pending.segment || l.unreleased[segment] > 0 {
		l.mu.Unlock()
		return ErrInUse
	}
	if file == nil {
		l.mu.Unlock()
		return Error.New("no file %d", segment)
	}
	delete(l.files, segment)
	if info, err := file.Stat(); err == nil {
		l.bytes -= info.Size()
	}
	l.mu.Unlock()
	return Error.Wrap(errors.Join(file.Close(), os.Remove(l.segmentPath(segment))))
}

// Close ends the log. Appends that still wait fail. Closing again does nothing.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.wake)
	l.mu.Unlock()
	<-l.done
	l.mu.Lock()
	defer l.mu.Unlock()
	var group errs.Group
	for _, file := range l.files {
		group.Add(file.Close())
	}
	return Error.Wrap(group.Err())
}
