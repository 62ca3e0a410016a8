// Package cluster holds each daemon's view of the live daemons and of the owners of partitions, and chooses preferred
// owners.
package cluster

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
)

// VersionedPartition is a partition's object and its version in the object API.
type VersionedPartition struct {
	*peerv1.Partition
	Version uint64
}

// VersionedDaemon is a lease object and its version in the object API.
type VersionedDaemon struct {
	*peerv1.Daemon
	Version uint64
}

// View is an immutable snapshot of the cluster's state.
type View struct {
	// Partitions is indexed by number; an entry without a Partition has never had an owner.
	Partitions []VersionedPartition
	// Daemons is keyed by incarnation and includes sealed ones.
	Daemons map[string]VersionedDaemon
	// Version is the object API version of the view.
	Version uint64
}

// Owner returns the lease object of a partition's owner. It returns false if the partition has no owner or its owner's
// incarnation has ended.
func (v *View) Owner(partition uint32) (*peerv1.Daemon, bool) {
	if int(partition) >= len(v.Partitions) || v.Partitions[partition].Partition == nil {
		return nil, false
	}
	incarnation := v.Partitions[partition].OwnerIncarnation
	if v.IncarnationEnded(incarnation) {
		return nil, false
	}
	return v.Daemons[incarnation].Daemon, true
}

// IncarnationEnded reports whether an incarnation can no longer append to its log: the log is sealed, or the view has
// no lease for it.
func (v *View) IncarnationEnded(incarnation string) bool {
	daemon, found := v.Daemons[incarnation]
	return !found || daemon.Sealed
}

// Candidates returns the incarnations that may own partitions, sorted: neither sealed nor draining, and alive according
// to the given function.
func (v *View) Candidates(alive func(incarnation string) bool) []string {
	var names []string
	for incarnation, daemon := range v.Daemons {
		if !daemon.Sealed && !daemon.Draining && alive(incarnation) {
			names = append(names, incarnation)
		}
	}
	slices.Sort(names)
	return names
}

// Preferred returns the candidate that should own a partition, chosen by rendezvous hashing, so that a change of
// candidates moves few partitions. It returns "" if there is no candidate.
func Preferred(partition uint32, candidates []string) string {
	best, bestScore := "", uint64(0)
	var seed [4]byte
	seed[0], seed[1], seed[2], seed[3] = byte(partition), byte(partition>>8), byte(partition>>16), byte(partition>>24)
	for _, name := range candidates {
		digest := xxhash.New()
		_, _ = digest.Write(seed[:])
		_, _ = digest.WriteString(name)
		if score := digest.Sum64(); best == "" || score > bestScore {
			best, bestScore = name, score
		}
	}
	return best
}
