// Package mirror keeps a copy of an object API prefix and answers lists and watches from it, so that the watch of one
// daemon serves many.
package mirror

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// minHistory is the least number of past events that are kept for watches. With many objects it is twice their number,
// so that readers need not list again while all servers start.
const minHistory = 1024

// Mirror is a watch.Handler that serves its copy to other daemons.
type Mirror struct {
	prefix string
	maxAge time.Duration

	mu      sync.Mutex
	objects map[string]objectapi.Object
	events  []versionedEvent
	// trimmedVersion is the version from which events are complete; version is that of the copy.
	trimmedVersion, version uint64
	// confirmedAt is the time of the API's last confirmation; zero before the first one and during an outage.
	confirmedAt time.Time
	// watermark is the time before which every change is included in the copy; zero if unknown.
	watermark time.Time
	// unavailable reports an outage of the API. recoveredAt is the end of the last outage; zero if there was none.
	unavailable bool
	recoveredAt time.Time
	changed     chan struct{}

	// encodeMu guards encoded.
	encodeMu sync.Mutex
	encoded  encodedSnapshot
}

// versionedEvent is an event with the version at which readers have seen it. Deletions carry no version of their own,
// so it is the version of their batch; 0 until the batch is confirmed.
type versionedEvent struct {
	event   objectapi.Event
	version uint64
}

// New returns an empty mirror of a prefix. It serves its copy only within maxAge of the API's last confirmation, so
// that a silent connection or a paused daemon does not pass for up to date.
func New(prefix string, maxAge time.Duration) *Mirror {
	return &Mirror{prefix: prefix, maxAge: maxAge, objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// Prefix implements watch.Handler.
func (m *Mirror) Prefix() string { return m.prefix }

// restore applies a saved copy, unless a newer one has arrived.
func (m *Mirror) restore(saved objectapi.Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		m.replace(saved.Objects, saved.Version)
	}
}

// replace sets the copy and drops the history. The caller holds mu.
func (m *Mirror) replace(objects []objectapi.Object, version uint64) {
	clear(m.objects)
	m.events = nil
	for _, object := range objects {
		m.objects[object.Key] = object
	}
	m.trimmedVersion = version
	m.advance(version)
}

// Reset implements watch.Handler. A list that follows another one is applied as the changes between the two, so that
// readers need not list again when the API's history was compacted.
func (m *Mirror) Reset(objects []objectapi.Object, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.version == 0 {
		m.replace(objects, version)
		return
	}
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Key] = true
		if old, known := m.objects[object.Key]; !known || old.Version != object.Version {
			m.applyChange(objectapi.Event{Object: object})
		}
	}
	for key, object := range m.objects {
		if !listed[key] {
			m.applyChange(objectapi.Event{Object: object, Deleted: true})
		}
	}
	m.advance(version)
}

// Change implements watch.Handler.
func (m *Mirror) Change(event objectapi.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyChange(event)
}

// applyChange updates the copy and its history. The caller holds mu.
func (m *Mirror) applyChange(event objectapi.Event) {
	if event.Deleted {
		delete(m.objects, event.Key)
	} else {
		m.objects[event.Key] = event.Object
	}
	m.events = append(m.events, versionedEvent{event: event})
}

// Confirm implements watch.Handler.
func (m *Mirror) Confirm(version uint64, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable || !m.confirmedAt.IsZero() && at.Sub(m.confirmedAt) > m.maxAge {
		m.unavailable, m.recoveredAt = false, at
	}
	m.confirmedAt = at
	m.advance(version)
}

// Watermark implements watch.WatermarkHandler.
func (m *Mirror) Watermark(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.watermark) {
		m.watermark = at
	}
}

// advance records that every change up to version has arrived, and trims the history. The caller holds mu.
func (m *Mirror) advance(version uint64) {
	if version <= m.version {
		return
	}
	for i := len(m.events) - 1; i >= 0 && m.events[i].version == 0; i-- {
		m.events[i].version = version
	}
	if len(m.events) > max(minHistory, 2*len(m.objects)) {
		cut := len(m.events) / 2
		m.trimmedVersion = m.events[cut-1].version
		m.events = slices.Clone(m.events[cut:])
	}
	m.version = version
	m.notifyWaiters()
}

// SourceUnavailable implements watch.Handler.
func (m *Mirror) SourceUnavailable() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unavailable = true
	m.confirmedAt = time.Time{}
	m.notifyWaiters()
}

// fresh reports whether the copy may be served as current. The caller holds mu.
func (m *Mirror) fresh() bool {
	return !m.confirmedAt.IsZero() && time.Since(m.confirmedAt) <= m.maxAge
}

// checkFresh returns why the copy may not be served as current, or nil. The caller holds mu.
func (m *Mirror) checkFresh() error {
	switch {
	case m.fresh():
		return nil
	case m.confirmedAt.IsZero() && !m.unavailable:
		return objectapi.ErrNotSynced
	default:
		return objectapi.ErrUnavailable
	}
}

// notifyWaiters wakes pending Wait calls. The caller holds mu.
func (m *Mirror) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Ages holds the ages of a mirror's copy; see objectapi.Batch.
type Ages struct {
	Age, SinceOutage time.Duration
	// Certain is the age of the watermark; negative if unknown.
	Certain time.Duration
}

// unknownAge is the age of an unknown time.
const unknownAge = -time.Nanosecond

// Ages returns the ages of the copy, or ErrUnavailable if it may not be served as current.
func (m *Mirror) Ages() (Ages, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFresh(); err != nil {
		return Ages{Certain: unknownAge}, err
	}
	return Ages{Age: time.Since(m.confirmedAt), SinceOutage: m.sinceOutage(), Certain: ageOf(m.watermark)}, nil
}

// ageOf returns the time since at, or unknownAge if at is zero.
func ageOf(at time.Time) time.Duration {
	if at.IsZero() {
		return unknownAge
	}
	return time.Since(at)
}

// sinceOutage returns the time since the end of the last outage, or 0 if there was none. The caller holds mu.
func (m *Mirror) sinceOutage() time.Duration {
	if m.recoveredAt.IsZero() {
		return 0
	}
	return max(time.Since(m.recoveredAt), 1) // 0 means no outage
}

// LastKnown returns the copy as of the API's last answer, and whether there is one.
func (m *Mirror) LastKnown() (objectapi.Snapshot, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot(), m.version > 0
}

// currentVersion returns the version of the copy; 0 if there is none.
func (m *Mirror) currentVersion() uint64 {
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

// Wait returns the changes after a version as soon as there are any, or an empty batch after wait if the copy is still
// fresh.
func (m *Mirror) Wait(ctx context.Context, after uint64, wait time.Duration) (objectapi.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		batch, changed, err := m.changesSince(after)
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

// changesSince returns the changes after a version. For a version ahead of the copy it returns an empty batch of that
// version, so that a reader never goes back.
func (m *Mirror) changesSince(after uint64) (objectapi.Batch, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.checkFresh(); err != nil {
		return objectapi.Batch{}, nil, err
	}
	if after < m.trimmedVersion {
		return objectapi.Batch{}, nil, objectapi.ErrGone
	}
	batch := objectapi.Batch{Version: max(after, m.version), Age: time.Since(m.confirmedAt), SinceOutage: m.sinceOutage(), Certain: m.watermark}
	for _, p := range m.events {
		if p.version > after {
			batch.Events = append(batch.Events, p.event)
		}
	}
	return batch, m.changed, nil
}
