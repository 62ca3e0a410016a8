// Package keyspace names the objects that rookpass keeps in the object API.
package keyspace

import (
	"fmt"
	"strings"
)

// Prefixes that every daemon watches.
const (
	Config  = "config/"
	Cluster = "cluster/"
	// Daemons holds one lease object an incarnation.
	Daemons = Cluster + "daemon/"
	// Partitions holds one object a partition.
	Partitions = Cluster + "partition/"
	// Layout is the object that fixes the number of partitions.
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

// Segment returns the key of one segment of a log.
func Segment(incarnation string, number uint64) string {
	return fmt.Sprintf("%s%s/%012d", logs, incarnation, number)
}

// Checkpoint returns the prefix of the checkpoint that a partition's owner wrote under an epoch.
func Checkpoint(partition uint32, epoch, serial uint64) string {
	return fmt.Sprintf("%s%05d/%d-%d/", checkpoints, partition, epoch, serial)
}

// CheckpointChunk returns the key of one piece of a checkpoint.
func CheckpointChunk(prefix string, chunk uint32) string { return fmt.Sprintf("%s%05d", prefix, chunk) }

// ConfigObject returns the key of a configuration object.
func ConfigObject(kind, name string) string { return Config + kind + "/" + name }

// SplitConfig returns the kind and name in a configuration object's key.
func SplitConfig(key string) (kind, name string, ok bool) {
	rest, found := strings.CutPrefix(key, Config)
	if !found {
		return "", "", false
	}
	return strings.Cut(rest, "/")
}

// Spending returns the key of the object that says how much of an organisation's budget is lent out.
func Spending(organisation string) string { return spending + organisation }
