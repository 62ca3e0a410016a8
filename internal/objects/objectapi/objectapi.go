// Package objectapi is the client interface of the platform's object API, a versioned key-value store that holds
// configuration, the ownership of partitions and the daemons' logs.
//
// Keys are paths such as "config/organisation/ands". Every change of an object gives it a new version, taken from one
// counter for the whole API, so versions also order changes of different objects.
package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MustNotExist is the ifVersion of a Put that creates an object: it fails with ErrConflict if the key exists.
const MustNotExist uint64 = 0

// MaxValueBytes is the largest value that can be stored.
const MaxValueBytes = 1 << 20

// Errors of requests. Implementations wrap them.
var (
	// ErrNotFound means that no object exists at the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object's version was not the expected one; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the request failed and certainly had no effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrNotSynced is the ErrUnavailable of a mirror that has not completed its first list.
	ErrNotSynced = fmt.Errorf("%w: not synchronised yet", ErrUnavailable)
	// ErrUnknownOutcome means that a write failed but may have taken effect.
	ErrUnknownOutcome = errors.New("object API write outcome unknown")
	// ErrGone means that the history no longer reaches back to the version of a watch; the caller must list again.
	ErrGone = errors.New("watched version gone")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// Object is a stored value with its key and version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Event is one change reported by a watch.
type Event struct {
	Object
	// Deleted reports that the object was removed; Version is then the version of the deletion.
	Deleted bool `json:"deleted,omitempty"`
}

// Snapshot is the result of a list: all objects below a prefix as of Version.
type Snapshot struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
	// Stale reports that the API was unreachable and the objects are the last known ones.
	Stale bool `json:"stale,omitempty"`
	// Age is the time since the API confirmed this content; 0 when read from the API itself.
	Age time.Duration `json:"-"`
	// SinceOutage is the time since the source last reconnected to the API after an outage; 0 if there was none.
	SinceOutage time.Duration `json:"-"`
	// Certain is the watermark: every change made before it is included. It is a monotonic time of this process; zero
	// if the source can't tell. Unlike Age it accounts for the time that the response was under way.
	Certain time.Time `json:"-"`
}

// Batch is the result of one Wait: the events after the requested version, up to Version.
type Batch struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
	// Age is the time since the API confirmed that there are no further changes; 0 when read from the API itself.
	Age time.Duration `json:"-"`
	// SinceOutage is the time since the source last reconnected to the API after an outage; 0 if there was none.
	SinceOutage time.Duration `json:"-"`
	// Certain is the watermark: every change made before it is included. It is a monotonic time of this process; zero
	// if the source can't tell. Unlike Age it accounts for the time that the response was under way.
	Certain time.Time `json:"-"`
}

// API is the object API. Implementations are safe for concurrent use.
type API interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Put writes value if the object's version is ifVersion and returns the new object.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes the object if its version is ifVersion and returns the version of the deletion.
	Delete(ctx context.Context, key string, ifVersion uint64) (uint64, error)
	// Wait is a long poll: it returns the changes below the prefixes after a version as soon as there are any, or an
	// empty batch after wait.
	Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (Batch, error)
}
