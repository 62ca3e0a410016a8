package catalog

import (
	"errors"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// RefusalReason is why an entry of the list of servers names no server to use. Entries may come from writers that are no
// servers; such a one takes its server out of use and harms no other.
type RefusalReason string

// The reasons.
const (
	// RefusedUnreadable entries are not the encoding of a set of fields.
	RefusedUnreadable RefusalReason = "unreadable"
	// RefusedFieldMissing entries lack a field that servers always write.
	RefusedFieldMissing RefusalReason = "field-missing"
	// RefusedFieldMistyped entries have a field of another type, or beyond what the field may hold.
	RefusedFieldMistyped RefusalReason = "field-mistyped"
	// RefusedUnknownState entries name a state that is not known.
	RefusedUnknownState RefusalReason = "unknown-state"
)

// EntryError tells why an entry names no server to use.
type EntryError struct {
	Reason RefusalReason
	// Field is the field that is wrong; empty for RefusedUnreadable.
	Field string
	// Err is the cause, or nil where the reason says all.
	Err error
}

// Error implements error.
func (e *EntryError) Error() string {
	text := string(e.Reason)
	if e.Field != "" {
		text += ": " + e.Field
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *EntryError) Unwrap() error { return e.Err }

// DecodeServer decodes a server's entry. Its errors are of type *EntryError.
type DecodeServer func(objectapi.Object) (Server, error)

// refusalOf returns the reason that an error of DecodeServer names.
func refusalOf(err error) RefusalReason {
	var refused *EntryError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return RefusedUnreadable
}

// entry is what the list holds under one name. Views point to its server, which never changes.
type entry struct {
	// server is the server described; the zero value where the entry is refused.
	server   Server
	revision uint64
}

// start names the start of the server described; the zero value where there is none.
func (e *entry) start() incarnation.ID {
	if e == nil {
		return incarnation.ID{}
	}
	return e.server.ID
}

// inUse returns the server described, or nil where the entry is refused.
func (e *entry) inUse() *Server {
	if e.server.ID.IsZero() {
		return nil
	}
	return &e.server
}
