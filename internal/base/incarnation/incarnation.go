// Package incarnation names single starts of backend servers.
package incarnation

import "strconv"

// ID names one start of a backend server. A server may start again under the name that it had; it then holds and
// knows nothing of before, so what was learnt of one start must never count for another. IDs are comparable: they are
// the keys of whatever is kept about a server.
type ID struct {
	// Server is the server's name, which all its starts share.
	Server string
	// Born tells the starts of one server apart: the server's word of when it started, in milliseconds of Unix time; 0
	// where it does not say. It is only ever compared for equality, with that of the same server: clocks differ.
	Born int64
}

// String returns the name for logs: the server, and its start where that is known.
func (i ID) String() string {
	if i.Born == 0 {
		return i.Server
	}
	return i.Server + "@" + strconv.FormatInt(i.Born, 10)
}

// MarshalText implements encoding.TextMarshaler, so that pages show the name as logs do.
func (i ID) MarshalText() ([]byte, error) { return []byte(i.String()), nil }

// IsZero tells that no server is named.
func (i ID) IsZero() bool { return i == ID{} }
