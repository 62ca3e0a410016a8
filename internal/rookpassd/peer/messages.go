// Package peer implements the control interface between daemons over net/rpc: probes, hand-overs of partitions, reports
// of calls that outlive a hand-over, and relayed object API requests for a daemon that cannot reach the object API.
// Callers' streams use gRPC instead, since net/rpc has neither streams nor deadlines.
package peer

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Failure carries a typed error in a reply, since net/rpc transmits errors only as text. The zero value is success.
type Failure struct {
	Code       verdict.Code
	Verdict    verdict.Verdict
	RetryAfter time.Duration
	Message    string
}

// newFailure returns the Failure for err, which may be nil.
func newFailure(err error) Failure {
	if err == nil {
		return Failure{}
	}
	typed := verdict.Of(err)
	return Failure{Code: typed.Code, Verdict: typed.Verdict, RetryAfter: typed.RetryAfter, Message: typed.Unwrap().Error()}
}

// Err returns the typed error, or nil on success.
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

// ProbeArgs are the arguments of Probe and Config.
type ProbeArgs struct {
	Incarnation string
}

// ProbeReply describes a daemon and the state of its configuration.
type ProbeReply struct {
	Incarnation string
	// ConfigRevision is the version of the last change in the daemon's configuration, which includes every change
	// up to ConfigAsOf. ConfigFresh reports whether the configuration was confirmed recently.
	ConfigRevision, ConfigAsOf uint64
	ConfigFresh                bool
	Draining                   bool
}

// WitnessArgs name the daemon that a witness probes.
type WitnessArgs struct {
	Address     string
	Incarnation string
}

// WitnessReply reports whether the witness reached the daemon.
type WitnessReply struct {
	Reached bool
}

// ConfigReply holds a daemon's complete configuration.
type ConfigReply struct {
	Snapshot objectapi.Snapshot
}

// PrepareArgs announce a hand-over to its new owner.
type PrepareArgs struct {
	Incarnation string
	Partition   uint32
}

// PrepareReply holds the last segment of the new owner's log.
type PrepareReply struct {
	Position uint64
	Failure  Failure
}

// AdoptArgs carry a partition's state to its new owner.
type AdoptArgs struct {
	Incarnation string
	Partition   uint32
	Epoch       uint64
	// Programs are marshalled ProgramSnapshot messages.
	Programs [][]byte
}

// AdoptReply is the reply to AdoptArgs.
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

// EndedArgs list programs that may no longer need engine cache.
type EndedArgs struct {
	Programs []string
}

// EndedReply lists the programs that have ended or never existed. It omits programs that the daemon does not own or is
// still recovering.
type EndedReply struct {
	Ended []string
}

// DrainArgs are the arguments of Drain.
type DrainArgs struct{}

// DrainReply is the reply to DrainArgs.
type DrainReply struct{}

// Operation is a kind of object API request.
type Operation string

// The operations that peers execute for a daemon that cannot reach the object API.
const (
	OperationGet    Operation = "get"
	OperationList   Operation = "list"
	OperationPut    Operation = "put"
	OperationDelete Operation = "delete"
	OperationWait   Operation = "wait"
)

// RelayArgs hold one object API request.
type RelayArgs struct {
	Operation Operation
	Key       string
	Value     []byte
	Version   uint64
	Prefixes  []string
	Wait      time.Duration
}

// RelayReply holds the result of a relayed request. Outcome is one of the names in relay.go, empty on success.
type RelayReply struct {
	Object   objectapi.Object
	Snapshot objectapi.Snapshot
	Batch    objectapi.Batch
	Version  uint64
	Outcome  string
}
