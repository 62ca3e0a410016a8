// Package sent tells of a gRPC request whether it may have left this process, so that a failure to connect is
// known to be "not run".
package sent

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/rookpass/rookpass/internal/base/verdict"
)

// connectRetry is when to come back to a daemon that could not be reached.
const connectRetry = 200 * time.Millisecond

// lostRetry is when to ask again after an answer was lost.
const lostRetry = time.Second

type key struct{}

// Flag is set once a request's headers are on their way.
type Flag struct{ set atomic.Bool }

// MayHaveSent tells whether any byte of the request may have left.
func (f *Flag) MayHaveSent() bool { return f.set.Load() }

// Track returns a context for one request and the flag that Handler sets for it.
func Track(ctx context.Context) (context.Context, *Flag) {
	flag := new(Flag)
	return context.WithValue(ctx, key{}, flag), flag
}

// Error returns the typed error of a tracked request: the one that the server sent, or one that says whether
// the request may have run.
func (f *Flag) Error(err error) *verdict.Error {
	if IsPeerError(err) {
		return verdict.FromGRPC(err)
	}
	if f.MayHaveSent() {
		return verdict.Unknown(verdict.Lost, lostRetry, "%v", err)
	}
	return verdict.RetryLater(verdict.Unavailable, connectRetry, "%v", err)
}

// IsPeerError tells whether an error came from rookpass code at the other end.
func IsPeerError(err error) bool { return len(status.Convert(err).Details()) > 0 }

// Handler sets flags. A client connection needs it as a stats handler.
type Handler struct{}

// TagRPC implements stats.Handler.
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (Handler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, out := event.(*stats.OutHeader); !out {
		return
	}
	if flag, found := ctx.Value(key{}).(*Flag); found {
		flag.set.Store(true)
	}
}

// TagConn implements stats.Handler.
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
