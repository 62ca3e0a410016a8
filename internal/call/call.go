// Package call holds what a request says of itself, in rookpass's own terms. The adapter of a wire format
// decodes headers into these types once.
package call

import (
	"net/http"
	"time"
)

// Part is a run of prompt tokens that several requests may share.
type Part struct {
	ID     string
	Tokens int64
}

// Info is what a request's headers say.
type Info struct {
	// ID names one attempt of a caller. It is unique.
	ID string
	// Deadline is how long the caller will wait from now; 0 means that it did not say.
	Deadline time.Duration
	// Program and Session tell which agent program and which line of its turns the request belongs to; both
	// may be empty.
	Program string
	Session string
	// PreviousTurn is the ID of the turn that this one goes on from; empty at the start of a line.
	PreviousTurn string
	// HasBudget tells whether TokenBudget, the tokens that all turns of the program may generate, is set.
	HasBudget   bool
	TokenBudget int64
	// PromptTokens and MaxOutputTokens are the size of a turn.
	PromptTokens    int64
	MaxOutputTokens int64
	// Parts are the prompt's parts in order.
	Parts []Part
}

// Reply is what the headers of a backend server's answer say.
type Reply struct {
	// ID is the request that the answer belongs to.
	ID string
	// Sealed tells whether a server signed the answer.
	Sealed bool
	// NotRun is the server's word that it did not and will not run the request.
	NotRun bool
	// KeepAlive is how long the server keeps the connection when idle; 0 means that it did not say.
	KeepAlive time.Duration
}

// Dialect reads and writes the headers of one wire format.
type Dialect interface {
	// Info decodes a caller's request.
	Info(header http.Header) (Info, error)
	// Outgoing returns the headers that go along to a server: not those of one connection, nor those that
	// only rookpass may set.
	Outgoing(header http.Header) http.Header
	// Address sets what rookpass says to the one server that it sends to: the time left and the incarnation
	// that it means.
	Address(outgoing http.Header, left time.Duration, server string)
	// Reply decodes a server's answer.
	Reply(header http.Header, status int) Reply
	// Echo names the request in an answer of rookpass's own.
	Echo(header http.Header, id string)
}
