// Package turn holds the records of agent turns that rookpass keeps: what was reserved of a program's token
// budget, and what was said.
package turn

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Error is the class of this package's errors.
var Error = errs.Class("turn")

// State is how far a turn has come. A record of a higher state replaces one of a lower state.
type State uint8

// The states.
const (
	// Reserved turns may be running; they count at the most that they may generate.
	Reserved State = iota + 1
	// Void turns never reached a server and never will; they count nothing.
	Void
	// Finished turns were answered whole; they count what they generated, and others may go on from them.
	Finished
	// Settled turns were answered whole too, on a route that keeps no history: they only count.
	Settled
)

// String returns the state's name for logs.
func (s State) String() string {
	switch s {
	case Reserved:
		return "reserved"
	case Void:
		return "void"
	case Finished:
		return "finished"
	case Settled:
		return "settled"
	default:
		return "unknown"
	}
}

// Record is one state of one turn. Records never change once written.
type Record struct {
	State   State
	ID      string
	Program string
	// Previous is the turn of the same program that this one goes on from; empty at the start of a line.
	Previous string
	// Tokens is what the turn counts against the budget.
	Tokens int64
	// Retention is how long the program is kept after its last turn.
	Retention time.Duration
	// Input is what the caller sent and Output the data of each event with a line feed behind; both only
	// for Finished turns.
	Input  []byte
	Output []byte
	// Server is the server's start that ran the turn and so holds its prompt in cache: Held tokens of Part, the last
	// part of the prompt, and all parts before it. Part is empty where the prompt's parts are not known.
	Server incarnation.ID
	Part   string
	Held   int64
	// Aim is the time that the program had left when the turn came; 0 where that was not said. It is told with a
	// reservation.
	Aim time.Duration
}

// keySeparator stands behind an organisation's name in a key: no header, so no id that a caller sends, can hold it.
const keySeparator = "\x1f"

// Key returns the name under which a turn or a program of an organisation is kept: organisations neither see nor spend
// one another's, though their ids be equal. Without an organisation it is the id itself, as in records from before there
// were any; those are for callers without a key only.
func Key(organisation, id string) string {
	if organisation == "" || id == "" {
		return id
	}
	return organisation + keySeparator + id
}

// CachedPrompt tells what a server has in cache after a turn.
type CachedPrompt struct {
	Server incarnation.ID
	// Part is a part of a prompt, Held how many of its tokens are in cache.
	Part string
	Held int64
}

// CachedPrompt returns where the turn's prompt is in cache, or false where that is not known.
func (r *Record) CachedPrompt() (CachedPrompt, bool) {
	return CachedPrompt{Server: r.Server, Part: r.Part, Held: r.Held}, r.Part != "" && !r.Server.IsZero()
}

// ChargedTokens returns what the record counts against the program's budget.
func (r *Record) ChargedTokens() int64 {
	if r.State == Void {
		return 0
	}
	return r.Tokens
}

// Append appends the record's encoding to b: the state, numbers as varints, texts with their length before
// them. Part, Held and Aim stand last, behind them when the
// server started: records without them end before.
func (r *Record) Append(b []byte) []byte {
	b = append(b, byte(r.State))
	b = binary.AppendVarint(b, r.Tokens)
	b = binary.AppendVarint(b, int64(r.Retention))
	b = appendBytes(b, r.ID)
	b = appendBytes(b, r.Program)
	b = appendBytes(b, r.Previous)
	b = appendBytes(b, r.Server.Server)
	b = appendBytes(b, r.Input)
	b = appendBytes(b, r.Output)
	if r.Part == "" && r.Held == 0 && r.Aim == 0 && r.Server.Born == 0 {
		return b
	}
	b = appendBytes(b, r.Part)
	b = binary.AppendVarint(b, r.Held)
	b = binary.AppendVarint(b, int64(r.Aim))
	if r.Server.Born == 0 {
		return b
	}
	return binary.AppendVarint(b, r.Server.Born)
}

// Decode returns the record that b encodes.
func Decode(b []byte) (Record, error) {
	d := decoder{rest: b}
	r := Record{State: State(d.byte())}
	r.Tokens = d.varint()
	r.Retention = time.Duration(d.varint())
	r.ID = string(d.bytes())
	r.Program = string(d.bytes())
	r.Previous = string(d.bytes())
	r.Server.Server = string(d.bytes())
	r.Input = d.bytes()
	r.Output = d.bytes()
	if len(d.rest) > 0 {
		r.Part = string(d.bytes())
		r.Held = d.varint()
		r.Aim = time.Duration(d.varint())
	}
	if len(d.rest) > 0 {
		r.Server.Born = d.varint()
	}
	if d.malformed || len(d.rest) > 0 || r.State < Reserved || r.State > Settled {
		return Record{}, Error.New("malformed record of %d bytes", len(b))
	}
	return r, nil
}

func appendBytes[T string | []byte](b []byte, text T) []byte {
	b = binary.AppendUvarint(b, uint64(len(text)))
	return append(b, text...)
}

// decoder reads fields one after the other; the first malformed one sets bad.
type decoder struct {
	rest      []byte
	malformed bool
}

func (d *decoder) byte() byte {
	if len(d.rest) == 0 {
		d.malformed = true
		return 0
	}
	b := d.rest[0]
	d.rest = d.rest[1:]
	return b
}

func (d *decoder) varint() int64 {
	n, size := binary.Varint(d.rest)
	if size <= 0 {
		d.malformed = true
		return 0
	}
	d.rest = d.rest[size:]
	return n
}

func (d *decoder) bytes() []byte {
	n, size := binary.Uvarint(d.rest)
	if size <= 0 || n > uint64(len(d.rest)-size) {
		d.malformed = true
		return nil
	}
	text := d.rest[size : size+int(n)]
	d.rest = d.rest[size+int(n):]
	return text
}
