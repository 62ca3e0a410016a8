// Package cluster is each daemon's copy of who lives and who owns what, and the rules that follow from it.
package cluster

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
)

// VersionedPartition is a partition's object with its version in the object API.
type VersionedPartition struct {
	*peerv1.Partition
	Version uint64
}

// VersionedDaemon is a lease object with its version.
type VersionedDaemon struct {
	*peerv1.Daemon
	Version uint64
}

// View is an immutable state of the cluster.
type View struct {
	// Partitions is indexed by number; an entry without a Partition has never had an owner.
	Partitions []VersionedPartition
	// Daemons is keyed by incarnation and holds sealed ones too.
	Daemons map[string]VersionedDaemon
	// Version is the object API's version that the view shows.
	Version uint64
}

// Owner returns the lease object of a partition's owner. Not found means that the partition has no owner
// that could answer.
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

// IncarnationEnded tells whether an incarnation can make nothing durable any more: its log is sealed, or its lease was
// cleaned up after that.
func (v *View) IncarnationEnded(incarnation string) bool {
	daemon, found := v.Daemons[incarnation]
	return !found || daemon.Sealed
}

// Candidates returns the incarnations that may own partitions: not sealed, not draining, and alive as far
// as the given function knows. They are in order.
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

// Preferred returns the candidate that should own a partition, by rendezvous hash, so that a change of
// the candidates moves few partitions. It returns "" when there is no candidate.
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
