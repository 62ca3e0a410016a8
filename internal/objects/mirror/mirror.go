// Package mirror keeps a copy of an object API prefix and answers lists and watches from it, so that one
// daemon's watch serves many.
package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// leastHistory is how many past events a watch can resume over at least. Where there are many objects it is twice
// their number: when all servers start, a reader must not list them again and again.
const leastHistory = 1024

// Mirror is a watch.Handler that answers other daemons.
type Mirror struct {
	prefix string
	maxAge time.Duration

	mu      sync.Mutex
	objects map[string]objectapi.Object
	events  []positioned
	// trimmed is the version from which events are whole; version is how far the copy has come.
	trimmed, version uint64
	// confirmed is when the API last said that the copy was whole; zero before the first list and while the
	// API does not answer.
	confirmed time.Time
	// certain is up to when the copy certainly holds every change; zero where that is not known.
	certain time.Time
	// lost tells that the API does not answer; regained is as of when it did again last, zero where it never failed.
	lost     bool
	regained time.Time
	changed  chan struct{}

	// packing guards packed.
	packing sync.Mutex
	packed  packed
}

// positioned is an event with the version from which on a reader has seen it. Deletions carry no version of
// their own, so the version of the batch that brought them counts; 0 until the batch is confirmed.
type positioned struct {
	event   objectapi.Event
	version uint64
}

// New returns an empty mirror of a prefix. It answers only while the API has confirmed its copy within
// maxAge: a watch whose connection went silent, or a daemon that was paused, must not pass for up to date.
func New(prefix string, maxAge time.Duration) *Mirror {
	return &Mirror{prefix: prefix, maxAge: maxAge, objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// Prefix implements watch.Handler.
func (m *Mirror) Prefix() string { return m.prefix }

// Reset implements watch.Handler. A list that follows another one is taken in as the changes between the two, so
// that readers need not list again because the API's history was lost.
func (m *Mirror) Reset(objects []objectapi.Object, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		clear(m.objects)
		m.events = nil
		for _, object := range objects {
			m.objects[object.Key] = object
		}
		m.trimmed = version
		m.advance(version)
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key] = true
		if old, known := m.objects[object.Key]; !known || old.Version != object.Version {
			m.change(objectapi.Event{Object: object})
		}
	}
	for key, object := range m.objects {
		if !listed[key] {
			m.change(objectapi.Event{Object: object, Deleted: true})
		}
	}
	m.advance(version)
}

// Change implements watch.Handler.
func (m *Mirror) Change(event objectapi.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.change(event)
}

// change is called with the lock held.
func (m *Mirror) change(event objectapi.Event) {
	if event.Deleted {
		delete(m.objects, event.Key)
	} else {
		m.objects[event.Key] = event.Object
	}
	m.events = append(m.events, positioned{event: event})
}

// Confirm implements watch.Handler.
func (m *Mirror) Confirm(version uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lost || !m.confirmed.IsZero() && at.Sub(m.confirmed) > m.maxAge {
		m.lost, m.regained = false, at
	}
	m.confirmed = at
	m.advance(version)
}

// Watermark implements watch.CertainHandler.
func (m *Mirror) Watermark(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.certain) {
		m.certain = at
	}
}

// advance tells that every change up to version has come. It is called with the lock held.
func (m *Mirror) advance(version uint64) {
	if version <= m.version {
		return
	}
	for i := len(m.events) - 1; i >= 0 && m.events[i].version == 0; i-- {
		m.events[i].version = version
	}
	if len(m.events) > max(leastHistory, 2*len(m.objects)) {
		cut := len(m.events) / 2
		m.trimmed = m.events[cut-1].version
		m.events = slices.Clone(m.events[cut:])
	}
	m.version = version
	m.wake()
}

// SourceUnavailable implements watch.Handler.
func (m *Mirror) SourceUnavailable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost = true
	m.confirmed = time.Time{}
	m.wake()
}

// fresh tells whether the copy may be answered from. It is called with the lock held.
func (m *Mirror) fresh() bool {
	return !m.confirmed.IsZero() && time.Since(m.confirmed) <= m.maxAge
}

// problem returns why the copy may not be answered from, or nil. It is called with the lock held.
func (m *Mirror) problem() error {
	switch {
	case m.fresh():
		return nil
	case m.confirmed.IsZero() && !m.lost:
		return objectapi.ErrNotSynced
	default:
		return objectapi.ErrUnavailable
	}
}

// wake lets the waiters look again. It is called with the lock held.
func (m *Mirror) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Ages are how old a mirror's copy is, see objectapi.Batch.
type Ages struct {
	Age, SinceOutage time.Duration
	// Certain is the age of what is certain; negative where that is not known.
	Certain time.Duration
}

// unknownAge stands for an age that is not known.
const unknownAge = -time.Nanosecond

// Ages returns how old the copy is, while it may be told as certain; else ErrUnavailable.
func (m *Mirror) Ages() (Ages, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.problem(); err != nil {
		return Ages{Certain: unknownAge}, err
	}
	return Ages{Age: time.Since(m.confirmed), SinceOutage: m.sinceOutage(), Certain: ageOf(m.certain)}, nil
}

// ageOf returns how long ago a time was, which may not be known.
func ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return time.Since(at)
}

// sinceOutage returns how long ago the API was back after it had been lost, 0 where it never was. It is called with the
// lock held.
func (m *Mirror) sinceOutage() time.Duration {
	if m.regained.IsZero() {
		return 0
	}
	return max(time.Since(m.regained), 1) // 0 would tell of none
}

// LastKnown returns the copy as it was when the API answered last, and whether there is one.
func (m *Mirror) LastKnown() (objectapi.Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot(), m.version > 0
}

// seen returns the version that the copy has come to; 0 where there is none.
func (m *Mirror) seen() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

func (m *Mirror) snapshot() objectapi.Snapshot {
	snapshot := objectapi.Snapshot{Version: m.version}
	for _, object := range m.objects {
		snapshot.Objects = append(snapshot.Objects, object)
	}
	return snapshot
}

// Wait returns the changes after a version as soon as there is one, or an empty batch once wait has passed and
// the copy is still fresh.
func (m *Mirror) Wait(ctx context.Context, after uint64, wait time.Duration) (objectapi.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		batch, changed, err := m.since(after)
		if err != nil || over || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return objectapi.Batch{}, ctx.Err()
		}
	}
}

// since returns the changes after a version. A version ahead of the copy is answered by an empty batch that
// keeps it, so that a reader never goes back.
func (m *Mirror) since(after uint64) (objectapi.Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.problem(); err != nil {
		return objectapi.Batch{}, nil, err
	}
	if after < m.trimmed {
		return objectapi.Batch{}, nil, objectapi.ErrGone
	}
	batch := objectapi.Batch{Version: max(after, m.version), Age: time.Since(m.confirmed), SinceOutage: m.sinceOutage(), Certain: m.certain}
	for _, p := range m.events {
		if p.version > after {
			batch.Events = append(batch.Events, p.event)
		}
	}
	return batch, m.changed, nil
}
