// Package peer is the control interface between daemons, over net/rpc with mutual TLS: probes, hand-overs of
// partitions, reports of calls that outlive a hand-over, and access to the object API for a daemon that is
// cut off from it. Callers' streams go over gRPC instead, since net/rpc has neither streams nor deadlines.
package peer

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Failure carries a typed error in a reply, as net/rpc itself only carries text. The zero value is success.
type Failure struct {
	Code       verdict.Code
	Verdict    verdict.Verdict
	RetryAfter time.Duration
	Message    string
}

// failure returns err for a reply.
func failure(err error) Failure {
	if err == nil {
		return Failure{}
	}
	typed := verdict.Of(err)
	return Failure{Code: typed.Code, Verdict: typed.Verdict, RetryAfter: typed.RetryAfter, Message: typed.Unwrap().Error()}
}

// Err returns the typed error, or nil.
func (f Failure) Err() error {
	switch {
	case f.Code == "":
		return nil
	case f.Verdict == verdict.NotRun:
		return verdict.RetryLater(f.Code, f.RetryAfter, "%s", f.Message)
	default:
		return verdict.Unknown(f.Code, f.RetryAfter, "%s", f.Message)
	}
}

// ProbeArgs ask whether the daemon at an address is the given incarnation and lives.
type ProbeArgs struct {
	Incarnation string
}

// ProbeReply tells what the daemon is and what it knows.
type ProbeReply struct {
	Incarnation string
	// ConfigRevision is the version of the last change in the daemon's configuration; it misses no change up
	// to ConfigAsOf. ConfigFresh tells whether the object API confirmed that lately.
	ConfigRevision, ConfigAsOf uint64
	ConfigFresh                bool
	Draining                   bool
}

// WitnessArgs ask a daemon to probe another one.
type WitnessArgs struct {
	Address     string
	Incarnation string
}

// WitnessReply tells whether the other one answered.
type WitnessReply struct {
	Reached bool
}

// ConfigReply is a daemon's whole configuration.
type ConfigReply struct {
	Snapshot objectapi.Snapshot
}

// PrepareArgs announce a hand-over to its new owner.
type PrepareArgs struct {
	Incarnation string
	Partition   uint32
}

// PrepareReply tells the last segment of the new owner's log.
type PrepareReply struct {
	Position uint64
	Failure  Failure
}

// AdoptArgs hand a partition over.
type AdoptArgs struct {
	Incarnation string
	Partition   uint32
	Epoch       uint64
	// Programs are marshalled ProgramSnapshot messages.
	Programs [][]byte
}

// AdoptReply answers AdoptArgs.
type AdoptReply struct {
	Failure Failure
}

// ReportArgs carry the outcome of a call that ran at the partition's old owner.
type ReportArgs struct {
	ProgramID string
	Executor  string
	// Outcome is a marshalled Record.
	Outcome []byte
}

// ReportReply carries a marshalled CallFinal, empty for an abandoned call.
type ReportReply struct {
	Final   []byte
	Failure Failure
}

// EndedArgs ask which of some programs no longer need engine cache.
type EndedArgs struct {
	Programs []string
}

// EndedReply lists the programs that have ended or never existed. Programs that the daemon does not own, or
// is still recovering, are not in it.
type EndedReply struct {
	Ended []string
}

// DrainArgs ask a daemon for a planned stop.
type DrainArgs struct{}

// DrainReply answers DrainArgs.
type DrainReply struct{}

// Operation is a kind of object API request.
type Operation string

// The operations that peers carry out for a daemon that is cut off.
const (
	OperationGet    Operation = "get"
	OperationList   Operation = "list"
	OperationPut    Operation = "put"
	OperationDelete Operation = "delete"
	OperationWait   Operation = "wait"
)

// RelayArgs are one object API request.
type RelayArgs struct {
	Operation Operation
	Key       string
	Value     []byte
	Version   uint64
	Prefixes  []string
	Wait      time.Duration
}

// RelayReply is its outcome. Outcome is one of the names in relay.go, empty on success.
type RelayReply struct {
	Object   objectapi.Object
	Snapshot objectapi.Snapshot
	Batch    objectapi.Batch
	Version  uint64
	Outcome  string
}
