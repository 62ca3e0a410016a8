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

// leaseMargin is added to a lease's time to live before the lease counts as expired.
const leaseMargin = time.Second

// Tracker maintains the cluster view from a watch and decides which daemons are alive. Readers load the view without a
// lock; the watch replaces it.
type Tracker struct {
	view atomic.Pointer[View]

	mu sync.Mutex
	// next is the view being built until the next Confirm; nil when nothing changed.
	next *View
	// lastRenewed is when each lease was last seen to change, by this process's monotonic clock.
	lastRenewed map[string]time.Time
	// suspects maps incarnations that failed their probes to their lease version at that time.
	suspects        map[string]uint64
	sourceAvailable bool
	changed         chan struct{}
	// ended maps incarnations passed to Ended to channels that are closed once the incarnation has ended.
	ended map[string]chan struct{}
}

// NewTracker returns a Tracker with an empty view of the given number of partitions.
func NewTracker(partitions uint32) *Tracker {
	t := &Tracker{lastRenewed: map[string]time.Time{}, suspects: map[string]uint64{}, changed: make(chan struct{}), ended: map[string]chan struct{}{}}
	t.view.Store(emptyView(partitions))
	return t
}

func emptyView(partitions uint32) *View {
	return &View{Partitions: make([]VersionedPartition, partitions), Daemons: map[string]VersionedDaemon{}}
}

// View returns the current view, which must not be modified.
func (t *Tracker) View() *View { return t.view.Load() }

// Changed returns a channel that is closed at the next change of the view or of a daemon's suspicion.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Alive reports whether an incarnation is considered alive: its log is not sealed, its lease has changed within its
// time to live, and it is not suspected. Leases do not expire while the watch is unavailable. A false negative is safe:
// the daemon's log may be sealed, but no durable record is lost.
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
	seen, known := t.lastRenewed[incarnation]
	if !known || !t.sourceAvailable {
		return true
	}
	ttl := time.Duration(daemon.TtlMs) * time.Millisecond
	return time.Since(seen) <= ttl+leaseMargin
}

// Ended returns a channel that is closed once an incarnation has ended: its log is sealed or its lease was removed.
func (t *Tracker) Ended(incarnation string) <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	ended := t.ended[incarnation]
	if ended == nil {
		ended = make(chan struct{})
		t.ended[incarnation] = ended
		t.closeEndedChannels()
	}
	return ended
}

// closeEndedChannels closes the channels returned by Ended for incarnations that have ended.
func (t *Tracker) closeEndedChannels() {
	view := t.view.Load()
	for incarnation, ended := range t.ended {
		if view.IncarnationEnded(incarnation) {
			close(ended)
			delete(t.ended, incarnation)
		}
	}
}

// Suspected reports whether this daemon's probes found an incarnation dead and its lease has not changed since.
func (t *Tracker) Suspected(incarnation string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspected(incarnation, t.view.Load().Daemons[incarnation].Version)
}

// suspected reports whether an incarnation was suspected while its lease was at the given version.
func (t *Tracker) suspected(incarnation string, version uint64) bool {
	at, found := t.suspects[incarnation]
	return found && at == version
}

// Suspect marks an incarnation dead until its lease changes. The prober calls it when the incarnation's probes failed
// and a witness confirmed that, or another incarnation answered at its address.
func (t *Tracker) Suspect(incarnation string) {
	daemon, found := t.View().Daemons[incarnation]
	if !found {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspects[incarnation] != daemon.Version {
		t.suspects[incarnation] = daemon.Version
		t.notifyChanged()
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
		return // The list is older than the view.
	}
	t.next = emptyView(uint32(len(previous.Partitions)))
	for _, object := range objects {
		t.put(object)
	}
	for incarnation := range t.lastRenewed {
		if _, found := t.next.Daemons[incarnation]; !found {
			delete(t.lastRenewed, incarnation)
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
		delete(t.lastRenewed, incarnation)
		delete(t.suspects, incarnation)
	}
}

// put adds an object to the next view. Objects that cannot be decoded or are older than the view's are ignored.
func (t *Tracker) put(object objectapi.Object) {
	if incarnation, found := strings.CutPrefix(object.Key, keyspace.Daemons); found {
		daemon := &peerv1.Daemon{}
		if proto.Unmarshal(object.Value, daemon) != nil {
			return
		}
		if t.next.Daemons[incarnation].Version > object.Version {
			return
		}
		if t.view.Load().Daemons[incarnation].Version != object.Version || t.lastRenewed[incarnation].IsZero() {
			t.lastRenewed[incarnation] = time.Now()
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
	if !t.sourceAvailable {
		t.restartLeaseTimers()
	}
	t.sourceAvailable = true
	if t.next == nil {
		return
	}
	t.next.Version = max(t.next.Version, version)
	t.view.Store(t.next)
	t.next = nil
	t.closeEndedChannels()
	t.notifyChanged()
}

// SourceUnavailable implements watch.Handler.
func (t *Tracker) SourceUnavailable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sourceAvailable = false
}

// restartLeaseTimers restarts the time to live of every lease after the watch was unavailable, so that missed renewals
// do not make all daemons look dead.
func (t *Tracker) restartLeaseTimers() {
	now := time.Now()
	for incarnation := range t.lastRenewed {
		t.lastRenewed[incarnation] = now
	}
}

func (t *Tracker) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
