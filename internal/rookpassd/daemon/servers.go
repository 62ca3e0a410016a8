package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/contrib/instrumentation/google.golang.org/grpc/otelgrpc"
	"go.opentelemetry.io/otel/propagation"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/entry"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
	"github.com/rookpass/rookpass/internal/rookpassd/route"
)

// maxCallerMessageBytes is the maximum size of a message from a caller.
const maxCallerMessageBytes = 1 << 20

// servers holds a daemon's listeners and the servers that use them.
type servers struct {
	daemon  *Daemon
	callers *grpc.Server
	forward *grpc.Server
	http    *fasthttp.Server

	callerListener, forwardListener, httpListener, peerListener net.Listener
}

// debugLog logs the HTTP server's connection errors at debug level.
type debugLog struct{ log logrus.FieldLogger }

// Printf implements fasthttp.Logger.
func (l debugLog) Printf(format string, args ...any) {
	l.log.WithFields(logrus.Fields{"event": "http.connection", "error": fmt.Sprintf(format, args...)}).Debug()
}

// newHTTPServer returns the server of HTTP callers.
func newHTTPServer(handler fasthttp.RequestHandler, log logrus.FieldLogger) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Name:                  "rookpassd",
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxCallerMessageBytes,
		NoDefaultServerHeader: true,
		Logger:                debugLog{log},
	}
}

// listen opens all listeners, so that an address that is in use fails the start.
func (d *Daemon) listen() (*servers, error) {
	s := &servers{daemon: d}
	chain := d.chain()
	tracing := grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(d.tracing.Provider()),
		otelgrpc.WithPropagators(propagation.TraceContext{})))
	s.callers = grpc.NewServer(tracing, grpc.MaxRecvMsgSize(maxCallerMessageBytes), grpc.MaxSendMsgSize(route.MaxMessageBytes))
	rookpassv1.RegisterCallerServer(s.callers, entry.NewCaller(chain))
	rookpassv1.RegisterOperatorServer(s.callers, d.newAdmin())
	s.forward = grpc.NewServer(tracing, grpc.MaxRecvMsgSize(route.MaxMessageBytes), grpc.MaxSendMsgSize(route.MaxMessageBytes))
	peerv1.RegisterHolderServer(s.forward, &entry.ForwardServer{
		Executor: func() entry.Executor { return d.current.Load().holder },
	})
	s.http = newHTTPServer(entry.NewHTTP(chain, d.Ready).Handler(), d.log)
	for _, open := range []struct {
		listener *net.Listener
		listen   func(string) (net.Listener, error)
		address  string
	}{
		{&s.callerListener, d.network.ListenCallers, d.settings.CallerAddress},
		{&s.httpListener, d.network.ListenHTTP, d.settings.HTTPAddress},
		{&s.forwardListener, d.network.ListenPeers, d.settings.ForwardAddress},
		{&s.peerListener, d.network.ListenPeers, d.settings.PeerAddress},
	} {
		listener, err := open.listen(open.address)
		if err != nil {
			s.close()
			return nil, Error.Wrap(err)
		}
		*open.listener = listener
	}
	return s, nil
}

// serve serves requests on all listeners until ctx ends.
func (s *servers) serve(ctx context.Context) error {
	var group errgroup.Group
	group.Go(func() error { return s.callers.Serve(s.callerListener) })
	group.Go(func() error { return s.forward.Serve(s.forwardListener) })
	group.Go(func() error { return s.http.Serve(s.httpListener) })
	group.Go(func() error {
		err := peer.Serve(s.peerListener, local{s.daemon})
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		return err
	})
	<-ctx.Done()
	s.close()
	_ = group.Wait() // The listeners were closed on purpose.
	return ctx.Err()
}

// httpStopTimeout bounds how long a planned stop waits for HTTP requests in flight.
const httpStopTimeout = 10 * time.Second

// finishCallers stops accepting callers' requests and waits until those in flight are complete or ctx ends. It waits at
// most httpStopTimeout for HTTP requests.
func (s *servers) finishCallers(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.callers.GracefulStop()
		close(done)
	}()
	httpCtx, cancel := context.WithTimeout(ctx, httpStopTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(httpCtx)
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// close stops the gRPC servers and closes all listeners without waiting for requests in flight.
func (s *servers) close() {
	s.callers.Stop()
	s.forward.Stop()
	for _, listener := range []net.Listener{s.callerListener, s.httpListener, s.forwardListener, s.peerListener} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
