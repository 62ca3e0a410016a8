// Package apitest wraps an object API with injected faults for tests: outages, delays, writes whose response is lost,
// and stale reads.
package apitest

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Fault is a failure mode of requests.
type Fault int

// Failure modes.
const (
	// None passes requests through.
	None Fault = iota
	// Down refuses all requests; none takes effect.
	Down
	// LostResponses carries writes out and then reports an unknown outcome.
	LostResponses
	// LostRequests drops writes and reports an unknown outcome.
	LostRequests
	// ReadOnly refuses writes.
	ReadOnly
	// Stale returns lists as of the time at which the fault was set, and fails watches with ErrGone.
	Stale
	// NoClusterUpdates blocks watches, and writes below "cluster/", until another fault is set: a daemon can write its
	// log but learns nothing of the others.
	NoClusterUpdates
	// Hang blocks requests until their context ends or another fault is set.
	Hang
)

// API is an object API with injected faults. Use New.
type API struct {
	objectapi.API

	mu    sync.Mutex
	fault Fault
	// switched is closed and replaced when the fault changes.
	switched chan struct{}
	// stale is the content that lists return under Stale.
	stale  objectapi.Snapshot
	delay  time.Duration
	writes int
	reads  int
}

// New wraps api; no fault is set.
func New(api objectapi.API) *API { return &API{API: api, switched: make(chan struct{})} }

// SetFault sets the fault of all later requests.
func (a *API) SetFault(fault Fault) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = fault
	if fault == Stale {
		a.stale, _ = a.API.List(context.Background(), "")
	}
	close(a.switched)
	a.switched = make(chan struct{})
}

// SetStale sets the fault Stale and the content that lists then return.
func (a *API) SetStale(content objectapi.Snapshot) {
	a.SetFault(Stale)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stale = content
}

// SetDelay delays every later request.
func (a *API) SetDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// Counts returns the numbers of reads and writes received.
func (a *API) Counts() (reads, writes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reads, a.writes
}

// begin counts a request, applies the delay and returns the current fault, with an error if it ends the request.
func (a *API) begin(ctx context.Context, write bool) (Fault, error) {
	a.mu.Lock()
	fault, delay := a.fault, a.delay
	if write {
		a.writes++
	} else {
		a.reads++
	}
	a.mu.Unlock()
	if fault == Hang {
		a.waitForSwitch(ctx)
		if write {
			return fault, objectapi.ErrUnknownOutcome
		}
		return fault, objectapi.ErrUnavailable
	}
	if delay > 0 {
		time.Sleep(delay)
	}
	if fault == Down || (fault == ReadOnly && write) {
		return fault, objectapi.ErrUnavailable
	}
	return fault, nil
}

// waitForSwitch blocks until another fault is set or ctx ends.
func (a *API) waitForSwitch(ctx context.Context) {
	a.mu.Lock()
	switched := a.switched
	a.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-switched:
	}
}

// staleWatchDelay is the time after which a watch fails under Stale.
const staleWatchDelay = 100 * time.Millisecond

func (a *API) staleList(prefix string) objectapi.Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := objectapi.Snapshot{Version: a.stale.Version}
	for _, object := range a.stale.Objects {
		if strings.HasPrefix(object.Key, prefix) {
			list.Objects = append(list.Objects, object)
		}
	}
	return list
}

// Get implements objectapi.API.
func (a *API) Get(ctx context.Context, key string) (objectapi.Object, error) {
	if _, err := a.begin(ctx, false); err != nil {
		return objectapi.Object{}, err
	}
	return a.API.Get(ctx, key)
}

// List implements objectapi.API.
func (a *API) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	fault, err := a.begin(ctx, false)
	if err != nil {
		return objectapi.Snapshot{}, err
	}
	if fault == Stale {
		return a.staleList(prefix), nil
	}
	return a.API.List(ctx, prefix)
}

// Put implements objectapi.API.
func (a *API) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectapi.Object, error) {
	fault, err := a.begin(ctx, true)
	if err != nil {
		return objectapi.Object{}, err
	}
	if fault == NoClusterUpdates && strings.HasPrefix(key, "cluster/") {
		a.waitForSwitch(ctx)
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	if fault == LostRequests {
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	object, err := a.API.Put(ctx, key, value, ifVersion)
	if fault == LostResponses {
		return objectapi.Object{}, objectapi.ErrUnknownOutcome
	}
	return object, err
}

// Delete implements objectapi.API.
func (a *API) Delete(ctx context.Context, key string, ifVersion uint64) (uint64, error) {
	fault, err := a.begin(ctx, true)
	if err != nil {
		return 0, err
	}
	if fault == LostRequests {
		return 0, objectapi.ErrUnknownOutcome
	}
	version, err := a.API.Delete(ctx, key, ifVersion)
	if fault == LostResponses {
		return 0, objectapi.ErrUnknownOutcome
	}
	return version, err
}

// Wait implements objectapi.API.
func (a *API) Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (objectapi.Batch, error) {
	fault, err := a.begin(ctx, false)
	if err != nil {
		return objectapi.Batch{}, err
	}
	if fault == NoClusterUpdates {
		a.waitForSwitch(ctx)
		return objectapi.Batch{}, objectapi.ErrUnavailable
	}
	if fault == Stale {
		<-time.After(staleWatchDelay)
		return objectapi.Batch{}, objectapi.ErrGone
	}
	return a.API.Wait(ctx, prefixes, after, wait)
}
