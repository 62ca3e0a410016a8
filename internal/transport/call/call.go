// Package call holds what a request says of itself, in rookpass's own terms. The adapter of a wire format
// decodes headers into these types once.
package call

import (
	"net/http"
	"time"

	"github.com/rookpass/rookpass/internal/base/secret"
)

// PromptPart is a run of prompt tokens that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// RequestInfo is what a request's headers say.
type RequestInfo struct {
	// ID names one attempt of a caller. It is unique.
	ID string
	// Timeout is how long the caller will wait from now; 0 means that it did not say.
	Timeout time.Duration
	// Program and Session tell which agent program and which line of its turns the request belongs to; both
	// may be empty.
	Program string
	Session string
	// PreviousTurn is the ID of the turn that this one goes on from; empty at the start of a line.
	PreviousTurn string
	// LastEvent is the id of the last event that the caller got of a stream that broke off; the answer goes on
	// behind it. Empty for an answer from its start.
	LastEvent string
	// TimeBudget is how long from now the whole program should take at most; 0 where that is not said.
	TimeBudget time.Duration
	// HasBudget tells whether TokenBudget, the tokens that all turns of the program may generate, is set.
	HasBudget   bool
	TokenBudget int64
	// PromptTokens and MaxOutputTokens are the size of a turn.
	PromptTokens    int64
	MaxOutputTokens int64
	// LikelyOutputTokens is the caller's guess of the tokens out: right in the median and often far off; 0 where
	// there is none.
	LikelyOutputTokens int64
	// Parts are the prompt's parts in order.
	Parts []PromptPart
	// Key is the hash of the key that proves the caller's organisation. HasKey is not set where the caller sent none, or
	// more than one.
	Key    secret.Hash
	HasKey bool
}

// ForwardInfo is what rookpass says to the one server that it sends a request to.
type ForwardInfo struct {
	// Timeout is how long the server may work; 0 means no bound.
	Timeout time.Duration
	// Server is the name of the server that is meant; all its starts share it.
	Server string
	// LastEvent is the id of the event behind which a stream is to go on; empty from its start.
	LastEvent string
	// Organisation is the one that the caller's key proved; empty where none was asked for.
	Organisation string
}

// ResponseInfo is what the headers of a backend server's answer say.
type ResponseInfo struct {
	// ID is the request that the answer belongs to.
	ID string
	// Signed tells whether a server signed the answer.
	Signed bool
	// NotRun is the server's word that it did not and will not run the request.
	NotRun bool
	// KeepAlive is how long the server keeps the connection when idle; 0 means that it did not say.
	KeepAlive time.Duration
}

// HeaderCodec reads and writes the headers of one wire format.
type HeaderCodec interface {
	// DecodeRequest decodes a caller's request.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// ForwardedHeaders returns the headers that go along to a server: not those of one connection, nor those that
	// only rookpass may set.
	ForwardedHeaders(header http.Header) http.Header
	// AddForwardInfo adds what only the one server that is sent to is told.
	AddForwardInfo(outgoing http.Header, to ForwardInfo)
	// DecodeResponse decodes a server's answer.
	DecodeResponse(header http.Header, status int) ResponseInfo
	// SetRequestID names the request in an answer of rookpass's own.
	SetRequestID(header http.Header, id string)
}
