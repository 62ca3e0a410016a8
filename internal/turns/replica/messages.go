// Package replica implements the daemon of a VM with a disk: it stores turn records for other daemons, and takes over
// the slots of disks that are gone.
package replica

import (
	"time"

	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Replica"

// Status is the outcome of a request.
type Status uint8

const (
	// OK means that the request was carried out.
	OK Status = iota + 1
	// StaleLayout means that the sender's layout is older than the disk may serve. Header.Layout holds a newer one.
	StaleLayout
	// WrongDisk means that a disk with another ID answers at the address.
	WrongDisk
	// Failed means that the disk could not be read or written.
	Failed
	// Unwritable means that the disk takes no writes, or is not open yet. A record that was sent is not stored.
	Unwritable
	// Unsure means that a record may or may not be stored.
	Unsure
)

// Target is the disk that a request is meant for, and the epoch of the sender's layout.
type Target struct {
	Disk  string
	Epoch uint64
}

// Header is part of every reply.
type Header struct {
	Status Status
	// Complete tells that the disk holds all that its slot must hold, so that it can report a record as missing.
	Complete bool
	Layout   *layout.Layout
}

// BudgetEntry is the charge of one turn against its program's budget.
type BudgetEntry struct {
	ID    string
	State turn.State
	// Tokens is the turn's charge: 0 once it is void.
	Tokens int64
}

// WriteArgs asks the disk to store a record.
type WriteArgs struct {
	Target Target
	Record turn.Record
	// Entries requests the budget entries of the program's turns, Places its cached prompts and its time budget.
	Entries bool
	Places  bool
}

// WriteReply acknowledges that the record is on the disk.
type WriteReply struct {
	Header  Header
	Entries []BudgetEntry
	Places  []turn.CachedPrompt
	// Aim is the largest time budget of any of the program's turns. It comes with Places.
	Aim time.Duration
}

// FetchArgs requests a finished turn and those before it.
type FetchArgs struct {
	Target Target
	ID     string
}

// FetchReply holds the turn FetchArgs.ID and those before it, newest first. Missing is the ID of the turn at which the
// chain breaks off because the disk does not hold it as finished; empty if the chain is complete.
type FetchReply struct {
	Header  Header
	Chain   []turn.Record
	Missing string
}

// ExportArgs requests a page of the list of turns that a disk holds and a slot must hold. Layout is the one in which
// the slot is being taken over: the disk then serves no older one.
type ExportArgs struct {
	Layout layout.Layout
	Slot   int
	// From is the ID of the disk that is asked. After is the Last of the previous page.
	From  string
	After uint64
}

// ExportReply is a page of the list. Last is the position to continue from; Done tells that nothing is left.
type ExportReply struct {
	Header Header
	Turns  []TurnState
	Last   uint64
	Done   bool
}

// PullArgs requests the records of some turns.
type PullArgs struct {
	Target Target
	IDs    []string
}

// PullReply holds the records of the turns in PullArgs.IDs[:Next], without those that the disk does not have. The turns
// in PullArgs.IDs[Next:] were not processed: they are left for another request.
type PullReply struct {
	Header  Header
	Records []turn.Record
	Next    int
}

// TurnState is the state of a turn on a disk.
type TurnState struct {
	ID    string
	State turn.State
}

// LackedArgs asks which of some turns a disk does not hold in the given state or a later one.
type LackedArgs struct {
	Target Target
	Turns  []TurnState
}

// LackedReply holds the indexes in LackedArgs.Turns of the turns that the disk does not hold in the given state or a
// later one.
type LackedReply struct {
	Header Header
	Lacked []int
}

// PingArgs asks whether a disk's daemon answers.
type PingArgs struct{ Disk string }

// PingReply answers a ping.
type PingReply struct{ Header Header }
