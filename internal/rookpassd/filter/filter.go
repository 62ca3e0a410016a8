// Package filter implements the chain of filters that each caller's request passes before it is routed. A filter
// refuses a request or passes it on, possibly with fields added.
//
// Call sequence and budget are checked in package holder, because only the owner of a program knows them.
package filter

import (
	"context"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
)

// Request is a caller's request on its way through the chain.
type Request struct {
	// Authorization is the unmodified authorization header.
	Authorization string
	// Organisation is set by WithAuthentication.
	Organisation string
	// Execute is the request to the owner of the program. The chain sets its organisation and program id.
	Execute *peerv1.ExecuteRequest
}

// Send delivers one event of the response. An error ends the stream.
type Send func(*peerv1.ExecuteEvent) error

// Handler serves a request.
type Handler func(ctx context.Context, r *Request, send Send) error

// Filter wraps a handler.
type Filter func(Handler) Handler

// Chain returns a handler that runs the filters in order, then next.
func Chain(next Handler, filters ...Filter) Handler {
	for i := len(filters) - 1; i >= 0; i-- {
		next = filters[i](next)
	}
	return next
}

// Start returns the request that starts a program.
func Start(authorization string, body *rookpassv1.StartProgramRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		Request: &peerv1.ExecuteRequest_Start{Start: body},
	}}
}

// Call returns the request that makes a call.
func Call(authorization string, body *rookpassv1.CallRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		ProgramId: body.ProgramId, Request: &peerv1.ExecuteRequest_Call{Call: body},
	}}
}

// Resume returns the request that streams the output of a running or finished call.
func Resume(authorization string, body *rookpassv1.ResumeRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		ProgramId: body.ProgramId, Request: &peerv1.ExecuteRequest_Resume{Resume: body},
	}}
}

// End returns the request that ends a program.
func End(authorization string, body *rookpassv1.EndProgramRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		ProgramId: body.ProgramId, Request: &peerv1.ExecuteRequest_End{End: body},
	}}
}

// Get returns the request that reads a program.
func Get(authorization string, body *rookpassv1.GetProgramRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		ProgramId: body.ProgramId, Request: &peerv1.ExecuteRequest_Get{Get: body},
	}}
}

// Plain returns the request for one call to a plain service, outside of any program.
func Plain(authorization string, body *rookpassv1.SendRequest) *Request {
	return &Request{Authorization: authorization, Execute: &peerv1.ExecuteRequest{
		Request: &peerv1.ExecuteRequest_Send{Send: body},
	}}
}
