package cluster

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

// leaseMargin is added to a lease's time to live before anyone takes it as lapsed.
const leaseMargin = time.Second

// Tracker keeps the view up to date from a watch and judges which daemons live. Readers load the view
// without a lock; the watch replaces it.
type Tracker struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// next is the view being built until the next Confirm; nil when nothing changed.
	next *View
	// seen tells when each lease last changed, by this process's monotonic clock.
	seen map[string]time.Time
	// suspects are incarnations that failed their probes, and the lease version at that time.
	suspects map[string]uint64
	healthy  bool
	changed  chan struct{}
	// ended holds, for incarnations that somebody waits for, a channel that is closed once they are sealed.
	ended map[string]chan struct{}
}

// NewTracker returns a tracker for a number of partitions.
func NewTracker(partitions uint32) *Tracker {
	t := &Tracker{seen: map[string]time.Time{}, suspects: map[string]uint64{}, changed: make(chan struct{}), ended: map[string]chan struct{}{}}
	t.view.Store(emptyView(partitions))
	return t
}

func emptyView(partitions uint32) *View {
	return &View{Partitions: make([]VersionedPartition, partitions), Daemons: map[string]VersionedDaemon{}}
}

// View returns the present view. It must not be changed.
func (t *Tracker) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view or of a daemon's suspicion.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Alive tells whether an incarnation is thought to live: its log is not sealed, its lease has changed
// within its time to live, and it answers probes. A wrong "no" costs the daemon its log but no promise,
// as the seal decides what was durable.
func (t *Tracker) Alive(incarnation string) bool {
	view := t.View()
	if view.IncarnationEnded(incarnation) {
		return false
	}
	daemon := view.Daemons[incarnation]
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspected(incarnation, daemon.Version) {
		return false
	}
	seen, known := t.seen[incarnation]
	if !known || !t.healthy {
		return true
	}
	ttl := time.Duration(daemon.TtlMs) * time.Millisecond
	return time.Since(seen) <= ttl+leaseMargin
}

// Ended returns a channel that is closed once an incarnation's log is sealed: it will answer nothing more.
func (t *Tracker) Ended(incarnation string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := t.ended[incarnation]
	if ended == nil {
		ended = make(chan struct{})
		t.ended[incarnation] = ended
		t.closeEnded()
	}
	return ended
}

// closeEnded tells those who wait for incarnations that are over now.
func (t *Tracker) closeEnded() {
	view := t.view.Load()
	for incarnation, ended := range t.ended {
		if view.IncarnationEnded(incarnation) {
			close(ended)
			delete(t.ended, incarnation)
		}
	}
}

// Suspected tells whether this daemon itself found an incarnation dead by probing.
func (t *Tracker) Suspected(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspected(incarnation, t.view.Load().Daemons[incarnation].Version)
}

// suspected tells whether an incarnation failed its probes while its lease was at a version.
func (t *Tracker) suspected(incarnation string, version uint64) bool {
	at, found := t.suspects[incarnation]
	return found && at == version
}

// Suspect marks an incarnation dead until its lease changes. Membership calls it when the incarnation
// answers neither this daemon's probes nor those of others.
func (t *Tracker) Suspect(incarnation string) {
	daemon, found := t.View().Daemons[incarnation]
	if !found {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[incarnation] != daemon.Version {
		t.suspects[incarnation] = daemon.Version
		t.wake()
	}
}

// Prefix implements watch.Handler.
func (t *Tracker) Prefix() string { return keyspace.Cluster }

// Reset implements watch.Handler.
func (t *Tracker) Reset(objects []objectapi.Object, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.view.Load()
	if version < previous.Version {
		return // A stale list.
	}
	t.next = emptyView(uint32(len(previous.Partitions)))
	for _, object := range objects {
		t.put(object)
	}
	for incarnation := range t.seen {
		if _, found := t.next.Daemons[incarnation]; !found {
			delete(t.seen, incarnation)
			delete(t.suspects, incarnation)
		}
	}
}

// Change implements watch.Handler.
func (t *Tracker) Change(event objectapi.Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.next == nil {
		current := t.view.Load()
		t.next = &View{
			Partitions: slices.Clone(current.Partitions), Daemons: maps.Clone(current.Daemons), Version: current.Version,
		}
	}
	if !event.Deleted {
		t.put(event.Object)
		return
	}
	incarnation, found := strings.CutPrefix(event.Key, keyspace.Daemons)
	if found && t.next.Daemons[incarnation].Version < event.Version {
		delete(t.next.Daemons, incarnation)
		delete(t.seen, incarnation)
		delete(t.suspects, incarnation)
	}
}

// put adds an object to the next view. Objects that can't be read are left out: they stand for a daemon
// or partition of which nothing is known.
func (t *Tracker) put(object objectapi.Object) {
	if incarnation, found := strings.CutPrefix(object.Key, keyspace.Daemons); found {
		daemon := &peerv1.Daemon{}
		if proto.Unmarshal(object.Value, daemon) != nil {
			return
		}
		if t.next.Daemons[incarnation].Version > object.Version {
			return
		}
		if t.view.Load().Daemons[incarnation].Version != object.Version || t.seen[incarnation].IsZero() {
			t.seen[incarnation] = time.Now()
		}
		t.next.Daemons[incarnation] = VersionedDaemon{Daemon: daemon, Version: object.Version}
		return
	}
	text, found := strings.CutPrefix(object.Key, keyspace.Partitions)
	number, err := strconv.ParseUint(text, 10, 32)
	if !found || err != nil || int(number) >= len(t.next.Partitions) {
		return
	}
	partition := &peerv1.Partition{}
	if proto.Unmarshal(object.Value, partition) != nil || t.next.Partitions[number].Version > object.Version {
		return
	}
	t.next.Partitions[number] = VersionedPartition{Partition: partition, Version: object.Version}
}

// Confirm implements watch.Handler.
func (t *Tracker) Confirm(version uint64, _ time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.healthy {
		t.forgive()
	}
	t.healthy = true
	if t.next == nil {
		return
	}
	t.next.Version = max(t.next.Version, version)
	t.view.Store(t.next)
	t.next = nil
	t.closeEnded()
	t.wake()
}

// SourceUnavailable implements watch.Handler.
func (t *Tracker) SourceUnavailable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.healthy = false
}

// forgive gives every lease its whole time to live again after a time in which no renewal could be seen,
// so that the end of an outage does not look like the death of everyone.
func (t *Tracker) forgive() {
	now := time.Now()
	for incarnation := range t.seen {
		t.seen[incarnation] = now
	}
}

func (t *Tracker) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
