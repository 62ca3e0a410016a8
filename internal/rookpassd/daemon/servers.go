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
	"google.golang.org/grpc/keepalive"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/entry"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
	"github.com/rookpass/rookpass/internal/rookpassd/route"
)

const (
	// maxCallerMessageBytes is the maximum size of a message from a caller.
	maxCallerMessageBytes = 1 << 20
	// maxConns bounds the open connections at each address. Further ones wait until one is closed.
	maxConns = 4096
	// maxHeadBytes bounds the metadata of a call, and the head of an HTTP request in the buffer of its connection.
	maxHeadBytes = 16 << 10
	// connectTime bounds the time until a gRPC connection is established.
	connectTime = 10 * time.Second
	// httpReadTime bounds the receipt of an HTTP request, httpWriteTime the sending of a response to a caller that does not
	// read. idleTime is how long connections without calls or requests are kept.
	httpReadTime  = 30 * time.Second
	httpWriteTime = 30 * time.Second
	idleTime      = 5 * time.Minute
	// maxStreams bounds the calls under way on one gRPC connection.
	maxStreams = 1024
)

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
func newHTTPServer(handler fasthttp.RequestHandler, c *clients) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		Name:                  "rookpassd",
		NoDefaultDate:         true,
		MaxRequestBodySize:    maxCallerMessageBytes,
		ReadBufferSize:        maxHeadBytes,
		ReadTimeout:           httpReadTime,
		WriteTimeout:          httpWriteTime,
		IdleTimeout:           idleTime,
		NoDefaultServerHeader: true,
		Logger:                debugLog{c.log},
		ErrorHandler:          c.refuseHTTP,
	}
}

// listen opens all listeners, so that an address that is in use fails the start.
func (d *Daemon) listen() (*servers, error) {
	s := &servers{daemon: d}
	chain := d.chain()
	tracing := grpc.StatsHandler(otelgrpc.NewServerHandler(otelgrpc.WithTracerProvider(d.tracing.Provider()),
		otelgrpc.WithPropagators(propagation.TraceContext{})))
	s.callers = grpc.NewServer(tracing, grpc.MaxRecvMsgSize(maxCallerMessageBytes), grpc.MaxSendMsgSize(route.MaxMessageBytes), grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.ConnectionTimeout(connectTime), grpc.MaxConcurrentStreams(maxStreams), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTime}))
	rookpassv1.RegisterCallerServer(s.callers, entry.NewCaller(chain))
	rookpassv1.RegisterOperatorServer(s.callers, d.newAdmin())
	s.forward = grpc.NewServer(tracing, grpc.MaxRecvMsgSize(route.MaxMessageBytes), grpc.MaxSendMsgSize(route.MaxMessageBytes))
	peerv1.RegisterHolderServer(s.forward, &entry.ForwardServer{
		Executor: func() entry.Executor { return d.current.Load().holder },
	})
	s.http = newHTTPServer(entry.NewHTTP(chain, d.Ready).Handler(), d.clients)
	for _, open := range []struct {
		name     string
		listener *net.Listener
		listen   func(string) (net.Listener, error)
		address  string
	}{
		{"callers", &s.callerListener, d.network.ListenCallers, d.settings.CallerAddress},
		{"http", &s.httpListener, d.network.ListenHTTP, d.settings.HTTPAddress},
		{"forward", &s.forwardListener, d.network.ListenPeers, d.settings.ForwardAddress},
		{"peers", &s.peerListener, d.network.ListenPeers, d.settings.PeerAddress},
	} {
		listener, err := open.listen(open.address)
		if err != nil {
			s.close()
			return nil, Error.Wrap(err)
		}
		*open.listener = d.clients.listen(open.name, listener)
	}
	return s, nil
}

// serve serves requests on all listeners until ctx ends, or one of the servers fails.
func (s *servers) serve(ctx context.Context) error {
	group, anyFailed := errgroup.WithContext(ctx)
	for _, serve := range []func() error{
		func() error { return s.callers.Serve(s.callerListener) },
		func() error { return s.forward.Serve(s.forwardListener) },
		func() error { return s.http.Serve(s.httpListener) },
		func() error { return peer.Serve(s.peerListener, local{s.daemon}) },
	} {
		group.Go(func() error {
			err := serve()
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) || errors.Is(err, grpc.ErrServerStopped) {
				return nil // closed on purpose
			}
			return err
		})
	}
	<-anyFailed.Done()
	s.close()
	if err := group.Wait(); err != nil {
		return Error.Wrap(err)
	}
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
