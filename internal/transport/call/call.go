// Package call defines the metadata of requests and responses, independent of the wire format. A HeaderCodec converts
// it from and to headers.
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

// RequestInfo is the metadata in the headers of a caller's request.
type RequestInfo struct {
	// ID is unique for each attempt of a caller.
	ID string
	// Timeout is how long the caller waits, counted from the request; 0 if unspecified.
	Timeout time.Duration
	// Program and Session identify the agent program and the line of its turns that the request belongs to; both may
	// be empty.
	Program string
	Session string
	// PreviousTurn is the ID of the turn that this one continues; empty for the first turn of a line.
	PreviousTurn string
	// LastEvent is the ID of the last event that the caller received of an interrupted stream, which is resumed after
	// it; empty for a new stream.
	LastEvent string
	// TimeBudget is the time in which the whole program should finish, counted from the request; 0 if unspecified.
	TimeBudget time.Duration
	// HasBudget reports whether TokenBudget is set: the number of tokens that all turns of the program may generate.
	HasBudget   bool
	TokenBudget int64
	// PromptTokens and MaxOutputTokens are the size of a turn.
	PromptTokens    int64
	MaxOutputTokens int64
	// LikelyOutputTokens is the caller's estimate of the output tokens: right in the median, but often far off; 0 if
	// there is none.
	LikelyOutputTokens int64
	// Parts are the parts of the prompt, in order.
	Parts []PromptPart
	// Key is the hash of the API key that identifies the caller's organisation. HasKey is false if the caller sent none,
	// or more than one.
	Key    secret.Hash
	HasKey bool
}

// ForwardInfo is the metadata that is added to a request for the server that it is sent to.
type ForwardInfo struct {
	// Timeout is how long the server may work; 0 means no limit.
	Timeout time.Duration
	// Server is the name of the intended server, without its incarnation.
	Server string
	// LastEvent is the ID of the event after which a stream is to be resumed; empty for a new stream.
	LastEvent string
	// Organisation is the authenticated organisation of the caller; empty if callers need no key.
	Organisation string
}

// ResponseInfo is the metadata in the headers of a backend server's response.
type ResponseInfo struct {
	// ID is the ID of the request that the response belongs to.
	ID string
	// Signed reports whether a server signed the response.
	Signed bool
	// NotRun reports that the server did not and will not run the request.
	NotRun bool
	// KeepAlive is how long the server keeps an idle connection open; 0 if unspecified.
	KeepAlive time.Duration
}

// HeaderRoles has the canonical names of headers that say nothing about the content of a request.
type HeaderRoles struct {
	// OfAttempt headers differ between the attempts of one request.
	OfAttempt map[string]bool
	// OfProgram headers identify the program that the request belongs to, and its limits.
	OfProgram map[string]bool
}

// HeaderCodec reads and writes the headers of one wire format.
type HeaderCodec interface {
	// DecodeRequest decodes the headers of a caller's request.
	DecodeRequest(header http.Header) (RequestInfo, error)
	// ForwardedHeaders returns the headers that are forwarded to a server: without hop-by-hop headers and those that are
	// reserved for rookpass.
	ForwardedHeaders(header http.Header) http.Header
	// HeaderRoles returns the forwarded headers that are not part of a request's content. The maps must not be modified.
	HeaderRoles() HeaderRoles
	// AddForwardInfo adds the headers for the server that a request is sent to.
	AddForwardInfo(outgoing http.Header, to ForwardInfo)
	// DecodeResponse decodes the headers of a server's response.
	DecodeResponse(header http.Header, status int) ResponseInfo
	// SetRequestID sets the request ID in the headers of a response.
	SetRequestID(header http.Header, id string)
}
