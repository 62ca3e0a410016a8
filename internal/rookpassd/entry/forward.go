package entry

import (
	"context"

	"google.golang.org/grpc"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// Executor runs requests for programs in the partitions of this daemon.
type Executor interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error
}

// ForwardServer implements the gRPC service Holder for requests that other daemons forward. Connections between
// daemons are mutually authenticated, so the organisation named by the forwarding daemon is trusted.
type ForwardServer struct {
	peerv1.UnimplementedHolderServer
	// Executor returns the holder of the current incarnation.
	Executor func() Executor
}

// Execute implements peerv1.HolderServer.
func (f *ForwardServer) Execute(req *peerv1.ExecuteRequest, stream grpc.ServerStreamingServer[peerv1.ExecuteEvent]) error {
	if req.Organisation == "" || req.ProgramId == "" {
		return verdict.GRPC(verdict.Refuse(verdict.Invalid, "forwarded request has no organisation or program id"))
	}
	return verdict.GRPC(f.Executor().Execute(stream.Context(), req, stream.Send))
}
