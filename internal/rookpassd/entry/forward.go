package entry

import (
	"context"

	"google.golang.org/grpc"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// Executor serves the partitions of this daemon.
type Executor interface {
	Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error
}

// ForwardServer implements the Holder service for requests that other daemons forward. The peers' connections
// are mutually authenticated; the organisation they name is the one they authenticated.
type ForwardServer struct {
	peerv1.UnimplementedHolderServer
	// Executor returns the present incarnation's holder.
	Executor func() Executor
}

// Execute implements peerv1.HolderServer.
func (f *ForwardServer) Execute(req *peerv1.ExecuteRequest, stream grpc.ServerStreamingServer[peerv1.ExecuteEvent]) error {
	if req.Organisation == "" || req.ProgramId == "" {
		return verdict.GRPC(verdict.Refuse(verdict.Invalid, "forwarded request names no organisation or program"))
	}
	return verdict.GRPC(f.Executor().Execute(stream.Context(), req, stream.Send))
}
