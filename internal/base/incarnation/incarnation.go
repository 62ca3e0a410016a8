// Package incarnation identifies single starts (incarnations) of backend servers.
package incarnation

import "strconv"

// ID identifies one start of a backend server. A server that restarts under its old name has lost its state, so what
// is known about one start must not be applied to another. IDs are comparable and serve as keys of per-server state.
type ID struct {
	// Server is the server's name, which is the same for all its starts.
	Server string
	// Born distinguishes the starts of one server: its start time as the server reports it, in milliseconds of Unix
	// time, or 0 if unknown. Compare it only for equality, and only for the same server: clocks differ.
	Born int64
}

// String returns the ID as it is logged: the server's name, followed by @ and Born if that is known.
func (i ID) String() string {
	if i.Born == 0 {
		return i.Server
	}
	return i.Server + "@" + strconv.FormatInt(i.Born, 10)
}

// MarshalText implements encoding.TextMarshaler, so that JSON has IDs as logs do.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// IsZero reports whether i names no server.
func (i ID) IsZero() bool { return i == ID{} }

// StartedBefore reports whether i is an earlier start of the same server as other. It is not if its start time is unknown.
func (i ID) StartedBefore(other ID) bool {
	return i.Server == other.Server && i.Born != 0 && i.Born < other.Born
}
