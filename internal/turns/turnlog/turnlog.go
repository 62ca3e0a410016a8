// Package turnlog stores turn records in segment files on a disk. Concurrent appends share one sync.
//
// A segment is a sequence of frames: length and CRC-32 of the record as little-endian 32-bit words, then the record.
// Data behind the first invalid frame was never acknowledged and is ignored.
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
	// ErrClosed means that the log is closed.
	ErrClosed = errors.New("turn log closed")
	// ErrInUse means that a segment is the active one or holds appends that are not released.
	ErrInUse = errors.New("turn segment in use")
)

const (
	frameHeaderBytes = 8
	// maxRecordBytes bounds the record of a frame. A larger length marks a torn write.
	maxRecordBytes = 64 << 20
	// maxSegmentBytes is the size at which a new segment begins, so that old ones can be removed.
	maxSegmentBytes = 8 << 20
	segmentSuffix   = ".turns"
)

// Position is the location of a record.
type Position struct {
	Segment uint32
	Offset  int64
	Length  int
}

// Log is a set of segments in one directory. Use Open.
type Log struct {
	dir string

	mu    sync.Mutex
	files map[uint32]*os.File
	// pending collects appends while the disk is busy. Its segment is the active one; the file is created when the
	// first batch is written to it.
	pending *batch
	// unreleased counts, by segment, the appends that have not been released.
	unreleased map[uint32]int
	wake       chan struct{}
	failed     error
	closed     bool
	bytes      int64
	done       chan struct{}
	pacer      pacer // updated by commitLoop only
}

// batch is a group of appends that share one write and one sync, with the location that they are written to.
type batch struct {
	segment uint32
	offset  int64
	data    []byte
	synced  chan struct{}
	err     error
}

// following returns the batch behind b: in the same segment, or in the next one where that is full.
func (b *batch) following() *batch {
	n := &batch{segment: b.segment, offset: b.offset + int64(len(b.data)), synced: make(chan struct{})}
	if n.offset >= maxSegmentBytes {
		n.segment, n.offset = b.segment+1, 0
	}
	return n
}

// Open replays the records of a directory in the order in which they were written, and begins a new segment behind
// them. Segments without a record are removed.
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
			return nil, Error.New("%s: not a segment file name", entry.Name())
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

// decodeFrame decodes the frame at the start of data. It returns the record and its encoded length, or false if the
// frame is invalid.
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

// segmentFile returns the file of a segment, and creates it if it is missing. It syncs the directory, so that a new
// file survives a power loss.
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

// PendingAppend is an append that has a position and may not be on the disk yet. The caller must call Release once it
// has recorded the position or given up.
type PendingAppend struct {
	Position Position
	log      *Log
	batch    *batch
}

// Wait blocks until the record is on the disk, or returns the error of the write.
func (p PendingAppend) Wait() error {
	<-p.batch.synced
	return p.batch.err
}

// Release allows the record's segment to be removed. Until then the record may not be in the caller's index.
func (p PendingAppend) Release() {
	p.log.mu.Lock()
	defer p.log.mu.Unlock()
	if p.log.unreleased[p.Position.Segment]--; p.log.unreleased[p.Position.Segment] <= 0 {
		delete(p.log.unreleased, p.Position.Segment)
	}
}

// Append assigns a position to a record. The record is durable once Wait returns nil.
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

// commitLoop writes pending batches. After a failed write all later appends fail: what the disk holds is unknown until
// the log is opened again.
func (l *Log) commitLoop() {
	defer close(l.done)
	for range l.wake {
		time.Sleep(l.pacer.delay(time.Now()))
		l.mu.Lock()
		b := l.pending
		l.pending = b.following() // later appends go to the next batch
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

// Bytes returns the total size of all segments.
func (l *Log) Bytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Syncs returns the number of syncs and their total duration.
func (l *Log) Syncs() (n int64, busy time.Duration) {
	return l.pacer.syncCount.Load(), time.Duration(l.pacer.syncNanos.Load())
}

// ActiveSegment returns the number of the segment that appends go to.
func (l *Log) ActiveSegment() uint32 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.pending.segment
}

// RemoveSegment deletes a segment. It returns ErrInUse for the active segment and for one with unreleased appends.
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

// Close stops the log and closes its files. Later appends fail with ErrClosed. Calling Close again does nothing.
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
