// Package apitest wraps an object API with the faults that the platform shows: outages, slowness, writes whose
// answer is lost, and stale reads. For tests.
package apitest

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Fault is a way in which requests fail.
type Fault int

// The faults.
const (
	// None lets requests through.
	None Fault = iota
	// Down refuses everything; nothing takes effect.
	Down
	// LostResponses carries writes out and then loses their answers.
	LostResponses
	// LostRequests loses writes before they take effect, without saying so.
	LostRequests
	// ReadOnly refuses writes.
	ReadOnly
	// Stale answers lists as of the time at which the fault was set, and watches with ErrGone.
	Stale
	// NoClusterUpdates holds watches, and writes below "cluster/", back until another fault is set: the daemon does not
	// learn what others do, while its log works.
	NoClusterUpdates
	// Hang answers nothing until the request's context ends or another fault is set.
	Hang
)

// API is an object API with faults. Use New.
type API struct {
	objectapi.API

	mu    sync.Mutex
	fault Fault
	// switched is closed when the fault changes.
	switched chan struct{}
	// stale is the whole content at the time at which Stale was set.
	stale  objectapi.Snapshot
	delay  time.Duration
	writes int
	reads  int
}

// New wraps an API.
func New(api objectapi.API) *API { return &API{API: api, switched: make(chan struct{})} }

// SetFault switches a fault on for all requests to come.
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

// SetStale sets the fault Stale with the content that stale lists show.
func (a *API) SetStale(content objectapi.Snapshot) {
	a.SetFault(Stale)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.stale = content
}

// SetDelay makes every request take longer.
func (a *API) SetDelay(delay time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.delay = delay
}

// Counts returns how many reads and writes were asked for.
func (a *API) Counts() (reads, writes int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.reads, a.writes
}

// before counts a request, waits the delay and returns the fault in force.
func (a *API) before(ctx context.Context, write bool) (Fault, error) {
	a.mu.Lock()
	fault, delay := a.fault, a.delay
	if write {
		a.writes++
	} else {
		a.reads++
	}
	a.mu.Unlock()
	if fault == Hang {
		a.hold(ctx)
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

// hold waits until another fault is set.
func (a *API) hold(ctx context.Context) {
	a.mu.Lock()
	switched := a.switched
	a.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-switched:
	}
}

// staleWait is how long a stale watch waits before it says that its place is gone.
const staleWait = 100 * time.Millisecond

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
	if _, err := a.before(ctx, false); err != nil {
		return objectapi.Object{}, err
	}
	return a.API.Get(ctx, key)
}

// List implements objectapi.API.
func (a *API) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	fault, err := a.before(ctx, false)
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
	fault, err := a.before(ctx, true)
	if err != nil {
		return objectapi.Object{}, err
	}
	if fault == NoClusterUpdates && strings.HasPrefix(key, "cluster/") {
		a.hold(ctx)
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
	fault, err := a.before(ctx, true)
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
	fault, err := a.before(ctx, false)
	if err != nil {
		return objectapi.Batch{}, err
	}
	if fault == NoClusterUpdates {
		a.hold(ctx)
		return objectapi.Batch{}, objectapi.ErrUnavailable
	}
	if fault == Stale {
		<-time.After(staleWait)
		return objectapi.Batch{}, objectapi.ErrGone
	}
	return a.API.Wait(ctx, prefixes, after, wait)
}
