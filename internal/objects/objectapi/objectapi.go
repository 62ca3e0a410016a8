// Package objectapi is the client side of the platform's object API, which holds configuration, the
// ownership of partitions and the daemons' logs.
//
// Keys are paths such as "config/organisation/ands". Every change of an object gives it a new version,
// taken from one counter for the whole API, so versions also order changes of different objects.
package objectapi

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// MustNotExist as a put's condition means that the key must be free.
const MustNotExist uint64 = 0

// MaxValueBytes is the largest value that the API takes.
const MaxValueBytes = 1 << 20

// The outcomes of a request that failed.
var (
	// ErrNotFound means that there is no object at the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition did not hold; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the request provably had no effect.
	ErrUnavailable = errors.New("object API unavailable")
	// ErrNotSynced is ErrUnavailable of a daemon that stands in for the API and has not read it yet.
	ErrNotSynced = fmt.Errorf("%w: nothing is known yet", ErrUnavailable)
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errors.New("object API write outcome unknown")
	// ErrGone means that a watch can't resume from its version: list again.
	ErrGone = errors.New("watched version gone")
	// ErrTooLarge means that a value is above MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
)

// Object is a stored value.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Event is one change seen by a watch.
type Event struct {
	Object
	// Deleted tells that the object is gone; Version is then the version of the deletion.
	Deleted bool `json:"deleted,omitempty"`
}

// Snapshot is the result of a list: all objects below a prefix as of Version.
type Snapshot struct {
	Objects []Object `json:"objects"`
	Version uint64   `json:"version"`
	// Stale tells that the API could not be read, and that this is what was known of it last.
	Stale bool `json:"stale,omitempty"`
	// Age is how long ago the API said so; 0 where the API itself is asked.
	Age time.Duration `json:"-"`
	// SinceOutage is how long ago the source had the API's word again after it had lost it; 0 where it never had.
	SinceOutage time.Duration `json:"-"`
	// Certain is a time, on this process's steady clock, before which no change was made that is not in here; zero where
	// the source can't say. Age may take a change for seen that was made while the answer was on its way; this never does.
	Certain time.Time `json:"-"`
}

// Batch is the result of one wait of a watch: the events after the asked version, up to Version.
type Batch struct {
	Events  []Event `json:"events"`
	Version uint64  `json:"version"`
	// Age is how long ago the API said that there is no more; 0 where the API itself is asked.
	Age time.Duration `json:"-"`
	// SinceOutage is how long ago the source had the API's word again after it had lost it; 0 where it never had.
	SinceOutage time.Duration `json:"-"`
	// Certain is a time, on this process's steady clock, before which no change was made that is not in here; zero where
	// the source can't say. Age may take a change for seen that was made while the answer was on its way; this never does.
	Certain time.Time `json:"-"`
}

// API is the object API as the rest of rookpass uses it. Implementations are safe for concurrent use.
type API interface {
	// Get returns the object at key, or ErrNotFound.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose keys begin with prefix, in order of key.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Put writes value if the object's version is ifVersion and returns the new object.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (Object, error)
	// Delete removes the object if its version is ifVersion and returns the deletion's version.
	Delete(ctx context.Context, key string, ifVersion uint64) (uint64, error)
	// Wait returns the changes below the prefixes after a version, as soon as there is one, or an empty
	// batch once wait has passed.
	Wait(ctx context.Context, prefixes []string, after uint64, wait time.Duration) (Batch, error)
}
