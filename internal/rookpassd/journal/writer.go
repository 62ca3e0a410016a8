package journal

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

var (
	// ErrSealed means that another daemon ended this log: the records were not written and never will be, or they were
	// written before and the word of it came too late to act on them.
	ErrSealed = errors.New("log sealed by another daemon")
	// ErrFull means that too much waits to be written; nothing was taken.
	ErrFull = errors.New("journal full")
)

// Retry pauses while the object API does not answer.
const (
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 2 * time.Second
)

// slowAnswer is how old the word that a segment is durable may be before it is asked whether the log has been sealed
// since. A third of the time in which peers find a daemon dead and take over, 1.5 s. Without it a daemon that was
// frozen while it wrote a tool call's intent ran that call when it thawed, behind the calls of its successor.
const slowAnswer = 500 * time.Millisecond

// Options bound a Writer.
type Options struct {
	// MaxPendingBytes is how much may wait while the object API is away (the spill). Bytes.
	MaxPendingBytes int
	// MaxSegmentBytes is the most that goes into one segment before compression. Bytes.
	MaxSegmentBytes int
	// WriteTimeout bounds one attempt to write a segment.
	WriteTimeout time.Duration
}

// DefaultOptions returns the bounds that rookpassd uses.
func DefaultOptions() Options {
	return Options{MaxPendingBytes: 64 << 20, MaxSegmentBytes: 900 << 10, WriteTimeout: 2 * time.Second}
}

// Entry is a group of records that becomes durable together.
type Entry struct {
	Records []*peerv1.Record
	// Apply is called once the records are durable, in log order, before Done is closed. May be nil.
	Apply func()

	size int
	done chan struct{}
	err  error
}

// Done is closed when the entry's fate is known.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Err returns nil if the records are durable. Only valid after Done.
func (e *Entry) Err() error { return e.err }

// Writer writes one incarnation's log. Use NewWriter, then Run.
type Writer struct {
	api         objectapi.API
	incarnation string
	limiter     *rate.Limiter
	options     Options

	mu      sync.Mutex
	pending []*Entry
	bytes   int
	sealed  bool
	wake    chan struct{}

	position  atomic.Uint64
	stalled   atomic.Bool
	committed atomic.Int64
}

// NewWriter returns a writer for a new incarnation's log. The limiter is this daemon's share of the
// object API's writes: while it has tokens a commit leaves at once, and as it is used up commits gather
// more records.
func NewWriter(api objectapi.API, incarnation string, limiter *rate.Limiter, options Options) *Writer {
	return &Writer{
		api: api, incarnation: incarnation, limiter: limiter, options: options,
		wake: make(chan struct{}, 1),
	}
}

// Incarnation returns the name of the log.
func (w *Writer) Incarnation() string { return w.incarnation }

// Position returns the number of the last durable segment whose entries have all been applied.
func (w *Writer) Position() uint64 { return w.position.Load() }

// Segments returns how many segments this writer has committed.
func (w *Writer) Segments() int64 { return w.committed.Load() }

// Stalled tells whether the object API has refused or lost the segment now being written.
func (w *Writer) Stalled() bool { return w.stalled.Load() }

// PendingBytes returns how much waits to be written.
func (w *Writer) PendingBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Full tells whether new work should be refused: half of the spill is kept for work already accepted.
func (w *Writer) Full() bool { return w.PendingBytes() > w.options.MaxPendingBytes/2 }

// Append queues an entry and returns at once. The error is ErrFull or ErrSealed, or nil.
func (w *Writer) Append(entry *Entry) error {
	entry.done = make(chan struct{})
	for _, record := range entry.Records {
		entry.size += proto.Size(record)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sealed {
		return ErrSealed
	}
	if w.bytes+entry.size > w.options.MaxPendingBytes {
		return ErrFull
	}
	w.pending = append(w.pending, entry)
	w.bytes += entry.size
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return nil
}

// Commit appends an entry and waits until its fate is known or ctx ends. After ctx ends the entry may
// still become durable.
func (w *Writer) Commit(ctx context.Context, entry *Entry) error {
	if err := w.Append(entry); err != nil {
		return err
	}
	select {
	case <-entry.Done():
		return entry.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run writes segments until ctx ends or the log is sealed; it then returns ctx's error or ErrSealed.
func (w *Writer) Run(ctx context.Context) error {
	for {
		batch, err := w.next(ctx)
		if err == nil {
			err = w.write(ctx, batch)
		}
		if err != nil {
			w.fail(batch, err)
			return err
		}
		w.finish(batch, nil)
	}
}

// next waits for an entry and for this daemon's share of writes, then returns all that can go into one
// segment; entries that arrive while it waits are in it.
func (w *Writer) next(ctx context.Context) ([]*Entry, error) {
	for w.PendingBytes() == 0 {
		select {
		case <-w.wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if err := w.limiter.Wait(ctx); err != nil {
		return nil, err
	}
	return w.take(), nil
}

// take removes and returns the entries of the next segment. Their bytes stay counted until finish.
func (w *Writer) take() []*Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	size, count := 0, 0
	for _, entry := range w.pending {
		if count > 0 && size+entry.size > w.options.MaxSegmentBytes {
			break
		}
		size += entry.size
		count++
	}
	batch := w.pending[:count:count]
	w.pending = w.pending[count:]
	return batch
}

// write makes one batch durable as the next segment, however often it takes.
func (w *Writer) write(ctx context.Context, batch []*Entry) error {
	number := w.position.Load() + 1
	segment := &peerv1.Segment{Incarnation: w.incarnation, Number: number}
	for _, entry := range batch {
		segment.Records = append(segment.Records, entry.Records...)
	}
	stored, err := EncodeSegment(segment)
	if err != nil {
		return err
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval, pauses.MaxInterval = firstRetryPause, maxRetryPause
	began := time.Now()
	for {
		done, err := w.tryWrite(ctx, number, stored)
		if done {
			done, err = w.confirmOpen(ctx, number+1, began)
		}
		if done || errors.Is(err, ErrSealed) {
			w.stalled.Store(false)
			return err
		}
		w.stalled.Store(true)
		if err := wait.For(ctx, pauses.NextBackOff()); err != nil {
			return err
		}
	}
}

// tryWrite makes one attempt. After a conflict the key is taken: by this very segment, whose answer was lost,
// or by a seal. After an unknown outcome it may be; if it is not, the segment is written again.
func (w *Writer) tryWrite(ctx context.Context, number uint64, stored []byte) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.WriteTimeout)
	defer cancel()
	key := keyspace.Segment(w.incarnation, number)
	_, err := w.api.Put(ctx, key, stored, objectapi.MustNotExist)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrUnknownOutcome) {
		return false, err
	}
	object, err := w.api.Get(ctx, key)
	if err != nil {
		return false, err
	}
	found, err := DecodeSegment(object.Value)
	if err != nil {
		return false, err
	}
	if found.Seal != nil {
		return false, ErrSealed
	}
	return true, nil
}

// confirmOpen returns true once it is certain that the log went on not long ago, where the last certain time is asked.
// A seal takes the next segment's place.
func (w *Writer) confirmOpen(ctx context.Context, next uint64, asked time.Time) (bool, error) {
	for time.Since(asked) > slowAnswer {
		asked = time.Now()
		open, err := w.isOpen(ctx, next)
		if !open {
			return false, err
		}
	}
	return true, nil
}

// isOpen tells whether nobody has sealed the log at its next segment.
func (w *Writer) isOpen(ctx context.Context, next uint64) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.WriteTimeout)
	defer cancel()
	segment, err := readSegment(ctx, w.api, w.incarnation, next)
	switch {
	case errors.Is(err, objectapi.ErrNotFound):
		return true, nil
	case err != nil:
		return false, err
	case segment.Seal != nil:
		return false, ErrSealed
	default:
		return false, Error.New("segment %d of %s was written by another daemon", next, w.incarnation)
	}
}

// finish applies a durable batch and lets its waiters go.
func (w *Writer) finish(batch []*Entry, err error) {
	size := 0
	for _, entry := range batch {
		if err == nil && entry.Apply != nil {
			entry.Apply()
		}
		size += entry.size
	}
	if err == nil {
		w.committed.Add(1)
		w.position.Add(1)
	}
	w.mu.Lock()
	w.bytes -= size
	w.mu.Unlock()
	for _, entry := range batch {
		entry.err = err
		close(entry.done)
	}
}

// fail ends the writer: the batch and all that waits get err.
func (w *Writer) fail(batch []*Entry, err error) {
	w.mu.Lock()
	w.sealed = true
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	w.finish(append(batch, rest...), err)
}
