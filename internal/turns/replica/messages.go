// Package replica is the daemon of a VM with a disk: it keeps turn records for other daemons, and takes over
// the slots of disks that are gone.
package replica

import (
	"time"

	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Replica"

// Status says whether a disk may count the request.
type Status uint8

// The statuses of an answer.
const (
	// OK means done.
	OK Status = iota + 1
	// StaleLayout means that the asker's layout is older than the disk may serve; Layout holds a newer one.
	StaleLayout
	// WrongDisk means that another disk, or another life of it, answers at the address.
	WrongDisk
	// Failed means that the disk can't write.
	Failed
)

// Target tells which disk a request means, under which layout.
type Target struct {
	Disk  string
	Epoch uint64
}

// Header is common to all answers.
type Header struct {
	Status Status
	// Complete tells that the disk holds all that its slot must hold, so that it may say what is not there.
	Complete bool
	Layout   *layout.Layout
}

// BudgetEntry is one turn of a program as the budget sees it.
type BudgetEntry struct {
	ID    string
	State turn.State
	// Tokens is what the turn counts: nothing once it is void.
	Tokens int64
}

// WriteArgs ask to keep a record.
type WriteArgs struct {
	Target Target
	Record turn.Record
	// Entries asks for the program's other turns, Places for where its prompts are in cache.
	Entries bool
	Places  bool
}

// WriteReply tells that the record is on the disk.
type WriteReply struct {
	Header  Header
	Entries []BudgetEntry
	Places  []turn.CachedPrompt
	// Aim is the time that the program was given at most by any of its turns; it comes with Places.
	Aim time.Duration
}

// FetchArgs ask for a finished turn and those before it.
type FetchArgs struct {
	Target Target
	ID     string
}

// FetchReply holds the turns from the one asked for backwards. Missing names the first that the disk does
// not hold; empty when the line's start was reached.
type FetchReply struct {
	Header  Header
	Chain   []turn.Record
	Missing string
}

// ExportArgs ask which records a disk has of those that a slot must hold, a page at a time. Layout is the one under which
// the slot is being taken over: the disk then serves no older one.
type ExportArgs struct {
	Layout layout.Layout
	Slot   int
	// From is the disk that is asked; After the last record of the page before.
	From  string
	After uint64
}

// ExportReply is a page. Last is the place to go on from; Done tells that nothing is left.
type ExportReply struct {
	Header Header
	Turns  []TurnState
	Last   uint64
	Done   bool
}

// PullArgs ask for the records of some turns.
type PullArgs struct {
	Target Target
	IDs    []string
}

// PullReply holds the records of the first of those turns, as far as the disk has them; Next is the place of the first that
// was not looked at.
type PullReply struct {
	Header  Header
	Records []turn.Record
	Next    int
}

// TurnState is how far a turn has come on a disk.
type TurnState struct {
	ID    string
	State turn.State
}

// LackedArgs ask which of some turns a disk does not hold, at least as far as given.
type LackedArgs struct {
	Target Target
	Turns  []TurnState
}

// LackedReply holds the places of those turns in the question.
type LackedReply struct {
	Header Header
	Lacked []int
}

// PingArgs ask whether a disk's daemon answers.
type PingArgs struct{ Disk string }

// PingReply answers a ping.
type PingReply struct{ Header Header }
