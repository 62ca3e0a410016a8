package daemon

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/netutil"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/transport/network"
)

// clientLogInterval is the shortest time between two log lines of one kind about clients outside the limits.
const clientLogInterval = time.Second

// clients counts what clients outside the limits cause. Use newClients.
type clients struct {
	log logrus.FieldLogger
	// acceptErrors counts accepts that failed, httpRefused requests over HTTP that could not be read.
	acceptErrors, httpRefused atomic.Int64
	// open is the number of open connections at all addresses.
	open                                 atomic.Int64
	acceptLogged, httpLogged, fullLogged rate.Sometimes
}

func newClients(log logrus.FieldLogger) *clients {
	c := &clients{log: log}
	for _, logged := range []*rate.Sometimes{&c.acceptLogged, &c.httpLogged, &c.fullLogged} {
		logged.Interval = clientLogInterval
	}
	return c
}

// listen returns a listener with a bounded number of connections, which an accept that fails for a time does not end.
func (c *clients) listen(name string, l net.Listener) net.Listener {
	retried := network.RetryAccept(l, func(err error) {
		c.acceptErrors.Add(1)
		c.acceptLogged.Do(func() {
			c.log.WithFields(logrus.Fields{"event": "accept.failed", "address": name, "error": err}).Warn("connection not accepted; retrying")
		})
	})
	return netutil.LimitListener(&countedListener{Listener: retried, name: name, clients: c}, maxConns)
}

// countedListener counts its open connections.
type countedListener struct {
	net.Listener
	name    string
	clients *clients
	open    atomic.Int64
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.clients.open.Add(1)
	if l.open.Add(1) >= maxConns {
		l.clients.fullLogged.Do(func() {
			l.clients.log.WithFields(logrus.Fields{"event": "connections.full", "address": l.name, "max_connections": maxConns}).Warn("new connections wait until one is closed")
		})
	}
	return &countedConn{Conn: conn, listener: l}, nil
}

// countedConn is a connection of a countedListener.
type countedConn struct {
	net.Conn
	listener *countedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.listener.open.Add(-1)
		c.listener.clients.open.Add(-1)
	})
	return c.Conn.Close()
}

// refuseHTTP responds to a request that could not be read.
func (c *clients) refuseHTTP(ctx *fasthttp.RequestCtx, err error) {
	c.httpRefused.Add(1)
	c.httpLogged.Do(func() {
		c.log.WithFields(logrus.Fields{"event": "http.refused", "from": ctx.RemoteAddr(), "error": fmt.Sprintf("%.200s", err)}).Warn("request not read")
	})
	var tooLarge *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		ctx.Error("request head too large", http.StatusRequestHeaderFieldsTooLarge)
	case errors.As(err, &timeout) && timeout.Timeout():
		ctx.Error("request timeout", http.StatusRequestTimeout)
	default:
		ctx.Error("malformed request", http.StatusBadRequest)
	}
}
