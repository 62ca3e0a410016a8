// Package turn defines the stored record of an agent turn: its charge against the program's token budget, its input and
// its output.
package turn

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Error is the class of this package's errors.
var Error = errs.Class("turn")

// State is the progress of a turn. A record of a higher state replaces one of a lower state.
type State uint8

const (
	// Reserved turns may be running. They are charged the most that they may generate.
	Reserved State = iota + 1
	// Void turns never reached a server and never will. They are charged nothing.
	Void
	// Finished turns were answered completely. They are charged what they generated, and later turns may continue from
	// them.
	Finished
	// Settled turns were answered completely on a route that retains no history. They are only charged.
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

// Record is a turn in one state. Records are immutable once written.
type Record struct {
	State   State
	ID      string
	Program string
	// Previous is the turn of the same program that this one continues; empty at the start of a chain.
	Previous string
	// Tokens is the charge against the program's token budget.
	Tokens int64
	// Retention is how long the program is kept after its last use.
	Retention time.Duration
	// Input is the caller's request. Output is the data of each response event, followed by a line feed. Both are set
	// for Finished turns only.
	Input  []byte
	Output []byte
	// Server is the start of the server that ran the turn. Its prompt cache holds Held tokens of Part, the last part of
	// the prompt, and all parts before it. Part is empty where the prompt's parts are not known.
	Server incarnation.ID
	Part   string
	Held   int64
	// Aim is the time budget that the program had left when the turn arrived; 0 if none was given. It is set on
	// reservations.
	Aim time.Duration
}

// keySeparator separates the organisation from the ID in a key. No header can hold it, so no ID that a caller sends
// can.
const keySeparator = "\x1f"

// Key returns the name under which a turn or a program of an organisation is stored, so that equal IDs of different
// organisations do not collide. Without an organisation it is the ID itself: for callers without a key, and in records
// from before there were organisations.
func Key(organisation, id string) string {
	if organisation == "" || id == "" {
		return id
	}
	return organisation + keySeparator + id
}

// CachedPrompt is a prompt that a server has in its cache after a turn.
type CachedPrompt struct {
	Server incarnation.ID
	// Part identifies a part of the prompt. Held is the number of its tokens in cache.
	Part string
	Held int64
}

// CachedPrompt returns where the turn's prompt is cached, or false where that is not known.
func (r *Record) CachedPrompt() (CachedPrompt, bool) {
	return CachedPrompt{Server: r.Server, Part: r.Part, Held: r.Held}, r.Part != "" && !r.Server.IsZero()
}

// ChargedTokens returns the record's charge against the program's token budget.
func (r *Record) ChargedTokens() int64 {
	if r.State == Void {
		return 0
	}
	return r.Tokens
}

// Append appends the record's encoding to b: the state, numbers as varints, and strings and byte slices with their
// length in front. Part, Held and Aim, and after them the server's start time, come last and are left out where they
// are zero; records of earlier versions lack them.
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

// decoder reads fields in order. The first malformed field sets malformed.
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
