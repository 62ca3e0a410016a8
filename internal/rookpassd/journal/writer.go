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
	// ErrSealed means that another daemon has sealed this log: the records were not written, or they were written
	// but the log was sealed before that could be confirmed.
	ErrSealed = errors.New("log sealed by another daemon")
	// ErrFull means that too many bytes are pending; the entry was not queued.
	ErrFull = errors.New("journal full")
)

// Backoff bounds while the object API is unavailable.
const (
	firstRetryPause = 20 * time.Millisecond
	maxRetryPause   = 2 * time.Second
)

// maxConfirmAge is the maximum time from the start of a write to its confirmation before the writer checks again that
// the log is not sealed. It must be below the time in which peers detect a failed daemon and take over. It prevents a
// daemon that was paused during the write from sending a call after its successor has closed it.
const maxConfirmAge = 500 * time.Millisecond

// Options holds the limits of a Writer.
type Options struct {
	// MaxPendingBytes limits the entries that wait to be written, in bytes.
	MaxPendingBytes int
	// MaxSegmentBytes limits one segment before compression, in bytes. A larger single entry gets its own segment.
	MaxSegmentBytes int
	// WriteTimeout limits one attempt to write a segment.
	WriteTimeout time.Duration
}

// DefaultOptions returns the default limits.
func DefaultOptions() Options {
	return Options{MaxPendingBytes: 64 << 20, MaxSegmentBytes: 900 << 10, WriteTimeout: 2 * time.Second}
}

// Entry is a group of records that becomes durable together.
type Entry struct {
	Records []*peerv1.Record
	// Apply is called after the records are durable, in log order, before Done is closed. It may be nil.
	Apply func()

	size int
	done chan struct{}
	err  error
}

// Done returns a channel that is closed when the outcome of the entry is known.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Err returns nil if the records are durable. It is valid only after Done is closed.
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

// NewWriter returns a writer for a new incarnation's log. The limiter limits this daemon's writes to the object API.
// While it has no tokens, entries are batched into larger segments.
func NewWriter(api objectapi.API, incarnation string, limiter *rate.Limiter, options Options) *Writer {
	return &Writer{
		api: api, incarnation: incarnation, limiter: limiter, options: options,
		wake: make(chan struct{}, 1),
	}
}

// Incarnation returns the incarnation that writes the log.
func (w *Writer) Incarnation() string { return w.incarnation }

// Position returns the number of the last durable segment whose entries have all been applied.
func (w *Writer) Position() uint64 { return w.position.Load() }

// Segments returns the number of segments this writer has committed.
func (w *Writer) Segments() int64 { return w.committed.Load() }

// Stalled reports whether the latest attempt to write the current segment has failed.
func (w *Writer) Stalled() bool { return w.stalled.Load() }

// PendingBytes returns the size of all entries whose outcome is not known yet.
func (w *Writer) PendingBytes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bytes
}

// Full reports whether new work should be refused. Half of MaxPendingBytes is reserved for work already accepted.
func (w *Writer) Full() bool { return w.PendingBytes() > w.options.MaxPendingBytes/2 }

// Append queues an entry without waiting. It returns ErrFull, ErrSealed or nil.
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

// Commit appends an entry and waits until its outcome is known or ctx ends. After ctx has ended, the entry may still
// become durable.
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

// next waits for an entry and for the limiter, then returns the entries of the next segment, including those that
// arrived while it waited.
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

// write makes one batch durable as the next segment. It retries until it succeeds, the log is sealed or ctx ends.
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

// tryWrite makes one attempt to write a segment. After a conflict or an unknown outcome it reads the key, which holds
// this segment, from an attempt whose response was lost, or a seal. If the key does not exist, the caller retries.
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

// confirmOpen returns true if the log was unsealed at a time that is at most maxConfirmAge ago. asked is the start of
// the write. next is the segment number at which a seal would be.
func (w *Writer) confirmOpen(ctx context.Context, next uint64, asked time.Time) (bool, error) {
	for time.Since(asked) > maxConfirmAge {
		asked = time.Now()
		open, err := w.isOpen(ctx, next)
		if !open {
			return false, err
		}
	}
	return true, nil
}

// isOpen reports whether the log has no seal at its next segment.
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

// finish applies the batch if err is nil, and sets the outcome of its entries to err.
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

// fail stops the writer: the batch and all pending entries get err.
func (w *Writer) fail(batch []*Entry, err error) {
	w.mu.Lock()
	w.sealed = true
	rest := w.pending
	w.pending = nil
	w.mu.Unlock()
	w.finish(append(batch, rest...), err)
}
