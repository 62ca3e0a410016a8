package program

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// rootIDBytes is the length of a root program's id before encoding: 128 bits, against guesses and collisions.
const rootIDBytes = 16

// RootID returns the id of the program that an organisation starts with an idempotency key. It depends only on
// these two, so that a retried start reaches the same program from any daemon.
func RootID(organisation, idempotencyKey string) string {
	sum := sha256.Sum256([]byte(organisation + "\x00" + idempotencyKey))
	return hex.EncodeToString(sum[:rootIDBytes])
}

// SingleRequestID returns the program id under which a non-idempotent plain request is stored.
func SingleRequestID(organisation, requestID string) string {
	return RootID(organisation, "single\x00"+requestID)
}

// ChildID returns the id of the sub-agent that a program's call starts.
func ChildID(parentID string, sequence uint64) string {
	return fmt.Sprintf("%s.%d", parentID, sequence)
}

// PartitionOf returns the partition of a program. A program and its sub-agents share a partition, so that budget
// can be transferred between them within one daemon.
func PartitionOf(programID string, partitions uint32) uint32 {
	root, _, _ := strings.Cut(programID, ".")
	return uint32(xxhash.Sum64String(root) % uint64(partitions))
}
