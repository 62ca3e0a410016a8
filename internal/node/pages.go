package node

import (
	"bytes"
	"context"
	"encoding/json"
	stdlog "log"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/front/callers"
)

const (
	// pageHeadBytes, pageHeadTime and pageIdleTime limit the clients of readiness, metrics and status, which the platform
	// and operators ask with short requests.
	pageHeadBytes = 8 << 10
	pageHeadTime  = 3 * time.Second
	pageIdleTime  = 90 * time.Second
	// pageWriteTime bounds the writing of a page to a client that does not read.
	pageWriteTime = 10 * time.Second
	// pageMemoryShare is the share of a VM's memory for the heads of requests at one of these addresses.
	pageMemoryShare = 0.01
)

// newPageServer returns a server of pages, and the set of its connections, which must be attached to its listener and run.
// name is that of the address in logs and metrics.
func (b *base) newPageServer(name string, handler http.Handler) (*http.Server, *callers.Set) {
	set := callers.New(callers.Options{Name: name, MaxConns: b.bounds.Pages, Observer: b.metrics, Log: b.log,
		Limits: func() connlimit.Limits {
			return connlimit.Limits{HeadBytes: pageHeadBytes, HeadTime: pageHeadTime, IdleTime: pageIdleTime}
		},
		Memory: membudget.New(membudget.Limits{Total: int64(pageMemoryShare * float64(b.settings.MemoryBytes))})})
	return &http.Server{Handler: handler, WriteTimeout: pageWriteTime, ErrorLog: b.serverErrors(name)}, set
}

// servePages serves the metrics and the status page until ctx ends. The daemon runs on if that fails.
func (b *base) servePages(ctx context.Context, status func(*http.Request) any) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", b.metrics)
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status(r)) // the client may have disconnected
	})
	listener, err := b.listen("metrics", b.settings.MetricsAddress())
	if err == nil {
		server, conns := b.newPageServer("metrics", mux)
		listener = conns.Attach(server, listener)
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		go func() { _ = conns.Run(ctx) }()
		err = server.Serve(listener)
	}
	if ctx.Err() == nil {
		b.log.WithFields(logrus.Fields{"event": "metrics-failed", "error": err}).Error("metrics and status page not served")
	}
	<-ctx.Done()
	return ctx.Err()
}

// serverErrors returns the log of an HTTP server's own errors.
func (b *base) serverErrors(name string) *stdlog.Logger {
	return stdlog.New(&serverErrorLog{name: name, log: b.log, logged: rate.Sometimes{Interval: connectionLogInterval}}, "", 0)
}

// serverErrorLog writes the errors of an HTTP server to the daemon's log, not all if there are many.
type serverErrorLog struct {
	name   string
	log    logrus.FieldLogger
	logged rate.Sometimes
}

// Write implements io.Writer.
func (l *serverErrorLog) Write(p []byte) (int, error) {
	l.logged.Do(func() {
		l.log.WithFields(logrus.Fields{"event": "http-server", "address": l.name, "error": string(bytes.TrimSpace(p))}).Warn("error of a client's connection")
	})
	return len(p), nil
}
