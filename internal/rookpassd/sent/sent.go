// Package sent tracks whether a gRPC request may have been sent, so that a failure to connect gets the verdict
// "not run".
package sent

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/rookpass/rookpass/internal/base/verdict"
)

// connectRetry is the retry delay given to callers when a daemon could not be reached.
const connectRetry = 200 * time.Millisecond

// lostRetry is the retry delay given to callers when a response was lost.
const lostRetry = time.Second

type key struct{}

// Flag records whether the headers of a request have been sent.
type Flag struct{ set atomic.Bool }

// MayHaveSent reports whether any part of the request may have been sent.
func (f *Flag) MayHaveSent() bool { return f.set.Load() }

// Track returns a context for one request and the flag that Handler sets for it.
func Track(ctx context.Context) (context.Context, *Flag) {
	flag := new(Flag)
	return context.WithValue(ctx, key{}, flag), flag
}

// Error returns the typed error of a tracked request: the server's own error, or one whose verdict says whether
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

// IsPeerError reports whether an error was returned by the peer's rookpass code rather than by gRPC.
func IsPeerError(err error) bool { return len(status.Convert(err).Details()) > 0 }

// Handler sets the flags of tracked requests. It must be installed as a stats handler of the client connection.
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
