// Package keyspace defines the keys of the objects that rookpass stores in the object API.
package keyspace

import (
	"fmt"
	"strings"
)

// Prefixes that every daemon watches.
const (
	Config  = "config/"
	Cluster = "cluster/"
	// Daemons is the prefix of lease objects, one per incarnation.
	Daemons = Cluster + "daemon/"
	// Partitions is the prefix of partition objects, one per partition.
	Partitions = Cluster + "partition/"
	// Layout is the key of the object that holds the number of partitions.
	Layout = Cluster + "layout"
)

// Prefixes that are read on demand.
const (
	logs        = "log/"
	checkpoints = "checkpoint/"
	spending    = "spending/"
)

// Daemon returns the key of an incarnation's lease object.
func Daemon(incarnation string) string { return Daemons + incarnation }

// Partition returns the key of a partition's object.
func Partition(number uint32) string { return fmt.Sprintf("%s%05d", Partitions, number) }

// Segment returns the key of a segment of an incarnation's log.
func Segment(incarnation string, number uint64) string {
	return fmt.Sprintf("%s%s/%012d", logs, incarnation, number)
}

// Checkpoint returns the key prefix of a checkpoint; serial distinguishes the checkpoints of one epoch.
func Checkpoint(partition uint32, epoch, serial uint64) string {
	return fmt.Sprintf("%s%05d/%d-%d/", checkpoints, partition, epoch, serial)
}

// CheckpointChunk returns the key of a chunk of the checkpoint with the given prefix.
func CheckpointChunk(prefix string, chunk uint32) string { return fmt.Sprintf("%s%05d", prefix, chunk) }

// ConfigObject returns the key of a configuration object.
func ConfigObject(kind, name string) string { return Config + kind + "/" + name }

// SplitConfig returns the kind and name in a configuration object's key, and whether key is one.
func SplitConfig(key string) (kind, name string, ok bool) {
	rest, found := strings.CutPrefix(key, Config)
	if !found {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// Spending returns the key of the object that records an organisation's spent tokens and those lent to daemons.
func Spending(organisation string) string { return spending + organisation }
