// Package memapi implements the object API in memory, for tests and the stand-in server.
package memapi

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// historyLimit is the number of past events kept for watches.
const historyLimit = 4096

// API is an in-memory objectapi.API. Use New.
type API struct {
	mu      sync.Mutex
	version uint64
	objects map[string]objectapi.Object
	// events holds the latest changes in order; trimmedVersion is the version of the last event dropped.
	events         []objectapi.Event
	trimmedVersion uint64
	changed        chan struct{}
}

// New returns an empty API.
func New() *API {
	return &API{objects: map[string]objectapi.Object{}, changed: make(chan struct{})}
}

// Get implements objectapi.API.
func (a *API) Get(_ context.Context, key string) (objectapi.Object, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	object, found := a.objects[key]
	if !found {
		return objectapi.Object{}, objectapi.ErrNotFound
	}
	return object, nil
}

// List implements objectapi.API.
func (a *API) List(_ context.Context, prefix string) (objectapi.Snapshot, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	snapshot := objectapi.Snapshot{Version: a.version}
	for key, object := range a.objects {
		if strings.HasPrefix(key, prefix) {
			snapshot.Objects = append(snapshot.Objects, object)
		}
	}
	slices.SortFunc(snapshot.Objects, func(x, y objectapi.Object) int { return strings.Compare(x.Key, y.Key) })
	return snapshot, nil
}

// Put implements objectapi.API.
func (a *API) Put(_ context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	if len(value) > objectapi.MaxValueBytes {
		return objectapi.Object{}, objectapi.ErrTooLarge
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.objects[key].Version != ifVersion {
		return objectapi.Object{}, objectapi.ErrConflict
	}
	object := objectapi.Object{Key: key, Version: a.version + 1, Value: slices.Clone(value)}
	a.objects[key] = object
	a.record(objectapi.Event{Object: object})
	return object, nil
}

// Delete implements objectapi.API.
func (a *API) Delete(_ context.Context, key string, ifVersion uint64) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	object, found := a.objects[key]
	if !found {
		return 0, objectapi.ErrNotFound
	}
	if object.Version != ifVersion {
		return 0, objectapi.ErrConflict
	}
	delete(a.objects, key)
	a.record(objectapi.Event{Object: objectapi.Object{Key: key, Version: a.version + 1}, Deleted: true})
	return a.version, nil
}

// record appends an event, advances the version and wakes waiting watches.
func (a *API) record(event objectapi.Event) {
	a.version = event.Version
	a.events = append(a.events, event)
	if len(a.events) > historyLimit {
		drop := len(a.events) - historyLimit
		a.trimmedVersion = a.events[drop-1].Version
		a.events = slices.Delete(a.events, 0, drop)
	}
	close(a.changed)
	a.changed = make(chan struct{})
}

// Wait implements objectapi.API.
func (a *API) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, changed, err := a.eventsSince(prefixes, after)
		if err != nil || len(batch.Events) > 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, nil
		case <-ctx.Done():
			return objectapi.Batch{}, ctx.Err()
		}
	}
}

// Compact drops all past events, so that older watches fail with ErrGone. For tests.
func (a *API) Compact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.events = nil
	a.trimmedVersion = a.version
}

func (a *API) eventsSince(prefixes []string, after uint64) (objectapi.Batch, <-chan struct{}, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if after < a.trimmedVersion || after > a.version {
		return objectapi.Batch{}, nil, objectapi.ErrGone
	}
	batch := objectapi.Batch{Version: a.version}
	first, _ := slices.BinarySearchFunc(a.events, after+1, func(e objectapi.Event, version uint64) int {
		return int(int64(e.Version) - int64(version))
	})
	for _, event := range a.events[first:] {
		if hasAnyPrefix(event.Key, prefixes) {
			batch.Events = append(batch.Events, event)
		}
	}
	return batch, a.changed, nil
}

func hasAnyPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
