// Package entry implements the servers for callers and other daemons: gRPC for programs and forwarded requests,
// HTTP for plain requests, health and metrics.
package entry

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/filter"
)

// Caller implements the gRPC service Caller. Use NewCaller.
type Caller struct {
	rookpassv1.UnimplementedCallerServer
	chain filter.Handler
}

// NewCaller returns a server that passes each request through the chain.
func NewCaller(chain filter.Handler) *Caller { return &Caller{chain: chain} }

// Authorization returns the authorization header of a gRPC request, or "" unless there is exactly one.
func Authorization(ctx context.Context) string {
	values := metadata.ValueFromIncomingContext(ctx, "authorization")
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// StartProgram implements rookpassv1.CallerServer.
func (c *Caller) StartProgram(ctx context.Context, body *rookpassv1.StartProgramRequest) (*rookpassv1.Program, error) {
	return c.program(ctx, filter.Start(Authorization(ctx), body))
}

// EndProgram implements rookpassv1.CallerServer.
func (c *Caller) EndProgram(ctx context.Context, body *rookpassv1.EndProgramRequest) (*rookpassv1.Program, error) {
	return c.program(ctx, filter.End(Authorization(ctx), body))
}

// GetProgram implements rookpassv1.CallerServer.
func (c *Caller) GetProgram(ctx context.Context, body *rookpassv1.GetProgramRequest) (*rookpassv1.Program, error) {
	return c.program(ctx, filter.Get(Authorization(ctx), body))
}

// Call implements rookpassv1.CallerServer.
func (c *Caller) Call(body *rookpassv1.CallRequest, stream grpc.ServerStreamingServer[rookpassv1.CallEvent]) error {
	return c.stream(filter.Call(Authorization(stream.Context()), body), stream)
}

// Resume implements rookpassv1.CallerServer.
func (c *Caller) Resume(body *rookpassv1.ResumeRequest, stream grpc.ServerStreamingServer[rookpassv1.CallEvent]) error {
	return c.stream(filter.Resume(Authorization(stream.Context()), body), stream)
}

// Send implements rookpassv1.CallerServer.
func (c *Caller) Send(ctx context.Context, body *rookpassv1.SendRequest) (*rookpassv1.SendResponse, error) {
	response, err := sendPlain(ctx, c.chain, Authorization(ctx), body)
	return response, verdict.GRPC(err)
}

// program runs a request whose response is a program.
func (c *Caller) program(ctx context.Context, r *filter.Request) (*rookpassv1.Program, error) {
	var view *rookpassv1.Program
	err := c.chain(ctx, r, func(event *peerv1.ExecuteEvent) error {
		view = event.GetProgram()
		return nil
	})
	if err == nil && view == nil {
		err = verdict.Unknown(verdict.Lost, 0, "owner returned no program")
	}
	return view, verdict.GRPC(err)
}

// stream runs a request whose response is a stream of call events.
func (c *Caller) stream(r *filter.Request, stream grpc.ServerStreamingServer[rookpassv1.CallEvent]) error {
	err := c.chain(stream.Context(), r, func(event *peerv1.ExecuteEvent) error {
		return stream.Send(event.GetCall())
	})
	return verdict.GRPC(err)
}

// sendPlain runs one call to a plain service.
func sendPlain(ctx context.Context, chain filter.Handler, authorization string, body *rookpassv1.SendRequest) (*rookpassv1.SendResponse, error) {
	var response *rookpassv1.SendResponse
	err := chain(ctx, filter.Plain(authorization, body), func(event *peerv1.ExecuteEvent) error {
		response = event.GetSent()
		return nil
	})
	if err == nil && response == nil {
		err = verdict.Unknown(verdict.Lost, 0, "no response was returned")
	}
	return response, err
}
