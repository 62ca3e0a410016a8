package route

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"

	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/sent"
)

// MaxMessageBytes limits one gRPC message between daemons and to callers. The largest message is a program with
// its complete history.
const MaxMessageBytes = 64 << 20

// GRPCForwarder forwards requests over gRPC, with one connection per address. Use NewGRPCForwarder.
type GRPCForwarder struct {
	dial     func(ctx context.Context, address string) (net.Conn, error)
	provider trace.TracerProvider

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
	// closed is set by Close; no connection is opened after that.
	closed bool
}

// NewGRPCForwarder returns a forwarder. dial must return secured connections.
func NewGRPCForwarder(dial func(ctx context.Context, address string) (net.Conn, error), provider trace.TracerProvider) *GRPCForwarder {
	return &GRPCForwarder{dial: dial, provider: provider, conns: map[string]*grpc.ClientConn{}}
}

// errClosed is returned for requests after Close.
var errClosed = errors.New("forwarder is closed")

// Close closes all connections. Later requests fail.
func (f *GRPCForwarder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	for _, conn := range f.conns {
		_ = conn.Close()
	}
	clear(f.conns)
}

func (f *GRPCForwarder) conn(address string) (*grpc.ClientConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn := f.conns[address]; conn != nil {
		return conn, nil
	}
	if f.closed {
		return nil, errClosed
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithContextDialer(f.dial),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(sent.Handler{}),
		grpc.WithStatsHandler(otelgrpc.NewClientHandler(otelgrpc.WithTracerProvider(f.provider),
			otelgrpc.WithPropagators(propagation.TraceContext{}))),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithDisableServiceConfig(), grpc.WithDisableRetry())
	if err == nil {
		f.conns[address] = conn
	}
	return conn, err
}

// Forward implements Forwarder.
func (f *GRPCForwarder) Forward(ctx context.Context, address string, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) (bool, error) {
	conn, err := f.conn(address)
	if err != nil {
		return false, ForwardError(err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ctx, flag := sent.Track(ctx)
	stream, err := peerv1.NewHolderClient(conn).Execute(ctx, req)
	if err != nil {
		return flag.MayHaveSent(), forwardError(err)
	}
	complete := false
	for {
		event, err := stream.Recv()
		switch {
		case errors.Is(err, io.EOF) && complete:
			return true, nil
		case errors.Is(err, io.EOF):
			return true, ForwardError(errors.New("stream ended before the final event"))
		case err != nil:
			return flag.MayHaveSent(), forwardError(err)
		}
		if !answers(req, event) {
			return true, verdict.Unknown(verdict.Lost, noOwnerRetry, "owner's response belongs to another request")
		}
		complete = complete || isLast(event)
		if err := send(event); err != nil {
			return true, err
		}
	}
}

// forwardError returns the owner's error, or a ForwardError if the forward itself failed.
func forwardError(err error) error {
	if sent.IsPeerError(err) {
		return verdict.FromGRPC(err)
	}
	return ForwardError(err)
}

// answers reports whether an event belongs to the request. Only programs and final events carry ids to check.
func answers(req *peerv1.ExecuteRequest, event *peerv1.ExecuteEvent) bool {
	if program := event.GetProgram(); program != nil {
		return program.Id == req.ProgramId
	}
	final := event.GetCall().GetFinal()
	if final == nil {
		return true
	}
	requestID := req.GetCall().GetRequestId()
	if resume := req.GetResume(); resume != nil {
		requestID = resume.RequestId
	}
	return final.ProgramId == req.ProgramId && final.RequestId == requestID
}

// isLast reports whether an event is the last one of a response.
func isLast(event *peerv1.ExecuteEvent) bool {
	call, isCall := event.Event.(*peerv1.ExecuteEvent_Call)
	if !isCall {
		return true
	}
	_, final := call.Call.Event.(*rookpassv1.CallEvent_Final)
	return final
}
