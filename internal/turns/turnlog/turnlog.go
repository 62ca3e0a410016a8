// Package turnlog stores turn records in segment files on a disk. Concurrent appends share one sync.
//
// A segment is a sequence of frames: length and CRC-32 of the record as little-endian 32-bit words, then the record.
// Data behind the first invalid frame was never acknowledged and is ignored. No segment is written to again after a
// failed write or sync, so every acknowledged record precedes the first invalid frame of its segment.
package turnlog

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/atomicfile"
	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// Error is the class of this package's errors.
var Error = errs.Class("turnlog")

var (
	// ErrClosed means that the log is closed.
	ErrClosed = errors.New("turn log closed")
	// ErrInUse means that a segment is the active one or holds appends that are not released.
	ErrInUse = errors.New("turn segment in use")
	// ErrUnwritable means that the disk takes no writes and that the record was not given to it.
	ErrUnwritable = errors.New("disk takes no writes")
	// ErrUnsure means that the record was given to the disk, and may or may not be on it after the next start.
	ErrUnsure = errors.New("write has an unknown outcome")
	// errStalled is the error of a write that has not returned within stallTimeout.
	errStalled = errors.New("write does not return")
)

const (
	frameHeaderBytes = 8
	// maxRecordBytes bounds the record of a frame. A larger length marks a torn write.
	maxRecordBytes = 64 << 20
	// maxSegmentBytes is the size at which a new segment begins, so that old ones can be removed.
	maxSegmentBytes = 8 << 20
	segmentSuffix   = ".turns"
	// probeFile is written to find out whether the disk takes writes again, and then removed.
	probeFile = "probe.tmp"
	// probeBytes is larger than most batches, so that a disk with a few free bytes does not return to service for one
	// batch.
	probeBytes = 64 << 10
	// stallTimeout is how long a write may take before later appends are refused. It is longer than the stalls of a busy
	// disk, and leaves a front daemon, which gives a disk 1 s, time to use another one.
	stallTimeout = 500 * time.Millisecond
	// minProbeDelay and maxProbeDelay bound the time between two probes: a disk that was freed is used within 1 s, and a
	// disk that stays full is not kept busy.
	minProbeDelay = 100 * time.Millisecond
	maxProbeDelay = time.Second
	// closeTimeout bounds the wait for a write that is under way when the log closes. It is shorter than the time that a
	// stopping daemon has.
	closeTimeout = 2 * time.Second
)

// Options configures a log.
type Options struct {
	// Files is the file system; the operating system's if it is nil.
	Files filesystem.FS
	// OnChange is called when the disk stops taking writes, and with nil when it takes them again. It may be nil.
	OnChange func(*Failure)
}

// Position is the location of a record.
type Position struct {
	Segment uint32
	Offset  int64
	Length  int
}

// Log is a set of segments in one directory. Use Open.
type Log struct {
	dir      string
	disk     filesystem.FS
	onChange func(*Failure)
	closing  chan struct{}

	mu    sync.Mutex
	files map[uint32]filesystem.File
	// sizes holds the size of each segment in files.
	sizes map[uint32]int64
	// abandoned are segments without a record whose files are to be removed.
	abandoned []uint32
	// pending collects appends while the disk is busy. Its segment is the active one; the file is created when the
	// first batch is written to it.
	pending *batch
	// unreleased counts, by segment, the appends that have not been released.
	unreleased map[uint32]int
	wake       chan struct{}
	// writing is the batch that was last given to the disk; nil once it is written.
	writing *batch
	// failure is set while the disk takes no writes.
	failure *Failure
	closed  bool
	bytes   int64
	done    chan struct{}
	pacer   pacer // updated by commitLoop only
	// recoveredAt is when the disk last took writes again. It is used by commitLoop only.
	recoveredAt time.Time
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

// inNextSegment returns an empty batch at the start of the segment behind that of b.
func (b *batch) inNextSegment() *batch {
	return &batch{segment: b.segment + 1, synced: make(chan struct{})}
}

// end closes the batch with the outcome of its write.
func (b *batch) end(err error) {
	b.err = err
	close(b.synced)
}

// Open opens a log with default options; see OpenWith.
func Open(dir string, replay func(turn.Record, Position)) (*Log, error) {
	return OpenWith(dir, Options{}, replay)
}

// OpenWith replays the records of a directory in the order in which they were written, and begins a new segment behind
// them. Segments without a record and temporary files are removed. A disk that refuses writes is opened for reading.
func OpenWith(dir string, o Options, replay func(turn.Record, Position)) (*Log, error) {
	if o.Files == nil {
		o.Files = filesystem.OS{}
	}
	if o.OnChange == nil {
		o.OnChange = func(*Failure) {}
	}
	if err := o.Files.MkdirAll(dir, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	l := &Log{dir: dir, disk: o.Files, onChange: o.OnChange, closing: make(chan struct{}), files: map[uint32]filesystem.File{}, sizes: map[uint32]int64{},
		unreleased: map[uint32]int{}, wake: make(chan struct{}, 1), done: make(chan struct{})}
	stored, err := l.listSegments()
	if err != nil {
		return nil, err
	}
	newest := uint32(0)
	for _, s := range stored {
		if err := l.loadSegment(s, replay); err != nil {
			return nil, errors.Join(err, l.closeFiles())
		}
		newest = s.number
	}
	l.RemoveAbandoned()
	l.pending = &batch{segment: newest + 1, synced: make(chan struct{})}
	go l.commitLoop()
	return l, nil
}

// storedSegment is a segment that is found on the disk.
type storedSegment struct {
	number uint32
	size   int64
}

// listSegments returns the segments in order, and removes temporary files.
func (l *Log) listSegments() ([]storedSegment, error) {
	entries, err := l.disk.ReadDir(l.dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var stored []storedSegment
	for _, entry := range entries {
		name := entry.Name()
		if name == probeFile || strings.HasSuffix(name, atomicfile.TemporarySuffix) {
			_ = l.disk.Remove(filepath.Join(l.dir, name)) // its next writer replaces it
			continue
		}
		var number uint32
		if filepath.Ext(name) != segmentSuffix {
			continue
		}
		if _, err := fmt.Sscanf(name, "%08x", &number); err != nil {
			return nil, Error.New("%s: not a segment file name", name)
		}
		info, err := entry.Info()
		if err != nil {
			return nil, Error.Wrap(err)
		}
		stored = append(stored, storedSegment{number: number, size: info.Size()})
	}
	slices.SortFunc(stored, func(a, b storedSegment) int { return cmp.Compare(a.number, b.number) })
	return stored, nil
}

func (l *Log) segmentPath(segment uint32) string {
	return filepath.Join(l.dir, fmt.Sprintf("%08x%s", segment, segmentSuffix))
}

// loadSegment replays a segment. One without a record at its start was cut off before its first sync, and is abandoned,
// but only if the disk has given all of it.
func (l *Log) loadSegment(stored storedSegment, replay func(turn.Record, Position)) error {
	segment := stored.number
	file, err := l.disk.OpenFile(l.segmentPath(segment), os.O_RDONLY, 0)
	if err != nil {
		return Error.Wrap(err)
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return Error.Wrap(errors.Join(err, file.Close()))
	}
	if int64(len(data)) < stored.size {
		return errors.Join(Error.New("%s: read only %d of %d bytes", l.segmentPath(segment), len(data), stored.size), file.Close())
	}
	if _, _, ok := decodeFrame(data); !ok {
		l.abandoned = append(l.abandoned, segment)
		return Error.Wrap(file.Close())
	}
	l.files[segment], l.sizes[segment] = file, int64(len(data))
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
func (l *Log) segmentFile(segment uint32) (filesystem.File, error) {
	l.mu.Lock()
	file := l.files[segment]
	l.mu.Unlock()
	if file != nil {
		return file, nil
	}
	file, err := l.disk.OpenFile(l.segmentPath(segment), os.O_CREATE|os.O_RDWR|os.O_EXCL, 0o644)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if err := errors.Join(file.Sync(), filesystem.SyncDir(l.disk, l.dir)); err != nil {
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

// Done is closed when the outcome of the append is known, so that Wait returns at once.
func (p PendingAppend) Done() <-chan struct{} { return p.batch.synced }

// Wait blocks until the record is on the disk, or returns the error of the write: ErrUnwritable, ErrUnsure or
// ErrClosed.
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

// Append assigns a position to a record. The record is durable once Wait returns nil. While the disk takes no writes
// the append fails at once.
func (l *Log) Append(record *turn.Record) PendingAppend {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.pending
	l.unreleased[b.segment]++
	if l.failure != nil && !l.closed {
		refused := &batch{segment: b.segment, synced: make(chan struct{})}
		refused.end(l.failure.refusal())
		return PendingAppend{Position: Position{Segment: b.segment}, log: l, batch: refused}
	}
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

// commitLoop writes pending batches. After a failed write it waits until the disk takes writes again, and continues in a
// new segment: what the disk holds of the failed batch is unknown.
func (l *Log) commitLoop() {
	defer close(l.done)
	l.checkDisk()
	for range l.wake {
		time.Sleep(l.pacer.delay(time.Now()))
		l.mu.Lock()
		b := l.pending
		l.pending = b.following() // later appends go to the next batch
		l.writing = b
		failure := l.failure // set only if the log closes, else recoverWrites has cleared it
		l.mu.Unlock()
		if failure != nil || len(b.data) == 0 {
			b.end(failure.refusal())
			continue
		}
		began := time.Now()
		path := l.segmentPath(b.segment)
		stall := time.AfterFunc(stallTimeout, func() { l.fail(b, path, errStalled) })
		err := l.writeBatch(b)
		stall.Stop()
		l.pacer.recordSync(began, time.Now())
		if err != nil {
			l.fail(b, path, err)
			l.abandon(b)
			b.end(errors.Join(ErrUnsure, err))
		} else {
			l.endWriting(b)
			b.end(nil)
		}
		l.recoverWrites()
	}
	l.mu.Lock()
	l.pending.end(ErrClosed)
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

// endWriting counts a batch that was written, and ends the watch for a stall.
func (l *Log) endWriting(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = nil
	l.bytes += int64(len(b.data))
	l.sizes[b.segment] += int64(len(b.data))
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

// RemoveSegment deletes a segment. It returns ErrInUse for the active segment and for one with unreleased appends. After
// another error the segment is still there and can be removed later.
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
	l.mu.Unlock()
	if err := l.disk.Remove(l.segmentPath(segment)); err != nil && !errors.Is(err, os.ErrNotExist) {
		return Error.Wrap(err)
	}
	l.mu.Lock()
	delete(l.files, segment)
	l.bytes -= l.sizes[segment]
	delete(l.sizes, segment)
	l.mu.Unlock()
	return Error.Wrap(file.Close())
}

// Close stops the log and closes its files. Later appends fail with ErrClosed. A write that does not return within
// closeTimeout is left behind, with the files open. Calling Close again does nothing.
func (l *Log) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	close(l.wake)
	close(l.closing)
	l.mu.Unlock()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-l.done:
	case <-timeout.C:
		return Error.Wrap(errStalled)
	}
	return l.closeFiles()
}

func (l *Log) closeFiles() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var group errs.Group
	for _, file := range l.files {
		group.Add(file.Close())
	}
	return Error.Wrap(group.Err())
}
