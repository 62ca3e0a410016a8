package catalog

import (
	"errors"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// RefusalReason is why an entry of the list of servers was refused. Other programs may write to the list; an invalid
// entry takes only its own server out of use.
type RefusalReason string

// The refusal reasons.
const (
	// RefusedUnreadable entries do not encode a set of fields.
	RefusedUnreadable RefusalReason = "unreadable"
	// RefusedFieldMissing entries lack a mandatory field.
	RefusedFieldMissing RefusalReason = "field-missing"
	// RefusedFieldMistyped entries have a field of a wrong type or out of range.
	RefusedFieldMistyped RefusalReason = "field-mistyped"
	// RefusedUnknownState entries have an unknown state.
	RefusedUnknownState RefusalReason = "unknown-state"
)

// EntryError is the error of an invalid entry.
type EntryError struct {
	Reason RefusalReason
	// Field is the invalid field; empty for RefusedUnreadable.
	Field string
	// Err is the cause, or nil.
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

// refusalReasonOf returns the reason of an error of DecodeServer, or RefusedUnreadable for errors of other types.
func refusalReasonOf(err error) RefusalReason {
	var refused *EntryError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return RefusedUnreadable
}

// entry is a decoded entry of the list of servers. Snapshots point to its server, which is never modified.
type entry struct {
	// server is the decoded server; the zero value if the entry was refused.
	server   Server
	revision uint64
}

// incarnationID returns the server's incarnation, or the zero value if there is no entry or it was refused.
func (e *entry) incarnationID() incarnation.ID {
	if e == nil {
		return incarnation.ID{}
	}
	return e.server.ID
}

// usableServer returns the server, or nil if the entry was refused.
func (e *entry) usableServer() *Server {
	if e.server.ID.IsZero() {
		return nil
	}
	return &e.server
}
