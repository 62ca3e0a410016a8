// Package node assembles the daemons that run on the users' platform: the front daemon, which serves callers' requests,
// and the store daemon, which stores turns on its VM's disk.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/eventlog"
	"github.com/rookpass/rookpass/internal/base/filesystem"
	"github.com/rookpass/rookpass/internal/base/metrics"
	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/front/callers"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

const (
	// layoutPrefix and layoutKey locate the layout object in the platform's store.
	layoutPrefix = "rookpass-layout/"
	layoutKey    = layoutPrefix + "main"
	// candidatesPrefix is the prefix of the objects that register disks for the first layout.
	candidatesPrefix = "rookpass-disks/"
	// connectTimeout bounds a connection attempt. It is far above the time to connect between data centres, and below
	// the time that a caller waits.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout closes connections on which sent bytes stay unacknowledged; a few lost packets are
	// tolerated.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// minWatchInterval is the shortest time between two calls of a watch, so that a burst of changes takes few calls.
	// It is a tenth of the time in which a change must be known.
	minWatchInterval = 200 * time.Millisecond
	// bootstrapWait is how long daemons wait at the first start for the store daemons to form the layout. Earlier
	// requests would only cost calls.
	bootstrapWait = 3300 * time.Millisecond
	// memoryLimitShare is the share of a VM's memory at which the garbage collector works harder.
	memoryLimitShare = 0.6
	// gcPercent is the heap growth over the live data at which the heap is collected.
	gcPercent = 40
	// connectionLogInterval is the shortest time between two log lines about the connections at one address.
	connectionLogInterval = time.Second
)

// storeWatchShare and mirrorWatchShare are the shares of the maximum revocation delay for which watches of the
// configuration wait at the platform's store and at another daemon. The longer they wait, the older the configuration
// may be when the store becomes unavailable and the sooner keys can no longer be verified; but each call to the store
// has a cost.
const (
	storeWatchShare  = 0.1
	mirrorWatchShare = 0.05
)

// configWatchWait returns how long a watch of the configuration waits for a change: defaultWait, or less where a
// maximum revocation delay is set.
func (b *base) configWatchWait(defaultWait time.Duration, share float64) time.Duration {
	if b.settings.MaxRevocationDelay == 0 {
		return defaultWait
	}
	return min(defaultWait, time.Duration(share*float64(b.settings.MaxRevocationDelay)))
}

// host is the environment that a daemon runs in. Tests replace it by one in memory.
type host struct {
	listen func(address string) (net.Listener, error)
	dial   network.DialContext
	// disk is the file system that holds a store daemon's data directory.
	disk filesystem.FS
	// load reads the settings file.
	load func() (platform.Settings, error)
	// output receives the log.
	output io.Writer
	// limitMemory sets the memory at which the garbage collector works harder.
	limitMemory func(bytes int64)
}

// localHost returns the host that the process runs on.
func localHost() host {
	return host{
		listen:      func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		dial:        network.NewDialer(connectTimeout, unacknowledgedTimeout),
		disk:        filesystem.OS{},
		load:        platform.LoadSettings,
		output:      os.Stdout,
		limitMemory: func(bytes int64) { debug.SetMemoryLimit(bytes) },
	}
}

// base holds what both daemons need.
type base struct {
	host     host
	settings platform.Settings
	out      *eventlog.Writer
	log      logrus.FieldLogger
	metrics  *metrics.Registry
	store    *platform.Store
	links    *peerlink.Pool
	// bounds bound the daemon's connections.
	bounds connlimit.Bounds
	// seeds are the addresses of store daemons to use while the layout is not known.
	seeds atomic.Pointer[[]string]
}

func newBase(host host, settings platform.Settings, level, role string) (*base, error) {
	out := eventlog.New(host.output)
	log, err := telemetry.NewLog(out, level, settings.Node)
	if err != nil {
		return nil, err
	}
	b := &base{
		host:     host,
		settings: settings,
		out:      out,
		log:      log,
		metrics:  metrics.New(),
		store:    platform.NewStore(settings.StoreAddress, host.dial),
		links:    peerlink.NewPool(host.dial),
		bounds:   connlimit.BoundsOf(settings.MaxDescriptors),
	}
	b.applySettings(settings)
	b.metrics.Gauge("rookpass_store_calls_total", func() float64 { return float64(b.store.Calls()) })
	b.metrics.Gauge("rookpass_log_lines_dropped_total", func() float64 { return float64(out.Dropped()) })
	log.WithFields(logrus.Fields{"event": "start", "role": role, "data_centre": settings.DataCentre, "first_start": settings.FirstStart,
		"memory_bytes": settings.MemoryBytes, "peers": settings.PeerAddress(), "store": settings.StoreAddress}).Info("started")
	return b, nil
}

// logStop logs the end of the process and flushes the log.
func (b *base) logStop(reason string, err error) {
	fields := logrus.Fields{"event": "stop", "reason": reason}
	if err != nil {
		fields["error"] = err
	}
	b.log.WithFields(fields).Info("stopped")
	b.out.Close()
}

// listen listens at an address. name is that of the address in logs and metrics. An accept that fails for a time, for want
// of descriptors, does not end the listener.
func (b *base) listen(name, address string) (net.Listener, error) {
	listener, err := b.host.listen(address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	logged := rate.Sometimes{Interval: connectionLogInterval}
	return network.RetryAccept(listener, func(err error) {
		b.metrics.Count("rookpass_accept_errors_total", name)
		logged.Do(func() {
			b.log.WithFields(logrus.Fields{"event": "accept-failed", "address": name, "error": err}).Warn("connection not accepted; retrying")
		})
	}), nil
}

// listenBounded does the same for at most a number of connections, of which the quietest gives way to a new one.
func (b *base) listenBounded(name, address string, most int) (net.Listener, error) {
	listener, err := b.listen(name, address)
	if err != nil {
		return nil, err
	}
	closed := b.countClosed(name, logrus.Fields{"max_connections": most})
	return network.BoundConns(listener, most, func() { closed("gave-way") }), nil
}

// countPeerRefusals returns a function that counts the connections of other daemons which are closed for a message.
func (b *base) countPeerRefusals() func(error) {
	why := map[error]string{peerlink.ErrTooLarge: "message-too-large", peerlink.ErrLate: "message-time", peerlink.ErrUnread: "unread"}
	closed := b.countClosed("peers", nil)
	return func(err error) { closed(why[err]) }
}

// countClosed returns a function that counts the connections at an address which are closed for a limit, and logs them with
// some fields now and then.
func (b *base) countClosed(name string, fields logrus.Fields) func(why string) {
	logged := rate.Sometimes{Interval: connectionLogInterval}
	log := b.log.WithFields(fields)
	return func(why string) {
		b.metrics.Count(callers.MetricClosed, name+"-"+why)
		logged.Do(func() {
			log.WithFields(logrus.Fields{"event": "client-closed", "address": name, "why": why}).Warn("connections closed for a limit; the metric counts all")
		})
	}
}

// newWatcher returns a watcher of a handler's prefix that logs its outages and exports the age of its data as a metric.
func (b *base) newWatcher(source *watch.SharedSource, d time.Duration, h watch.Handler) *watch.Watcher {
	w := watch.New(source, minWatchInterval, h).WithPollTimeout(d).WithLog(b.log)
	gauge := fmt.Sprintf("rookpass_watch_age_seconds{prefix=%q}", h.Prefix())
	b.metrics.Gauge(gauge, func() float64 { return w.Age().Seconds() })
	return w
}

// handler implements watch.Handler with functions.
type handler struct {
	prefix string
	apply  func(objectapi.Object)
	remove func(key string)
	reset  func()
}

func (h *handler) Prefix() string { return h.prefix }

func (h *handler) Reset(objects []objectapi.Object, _ uint64) {
	if h.reset != nil {
		h.reset()
	}
	for _, object := range objects {
		h.apply(object)
	}
}

func (h *handler) Change(event objectapi.Event) {
	switch {
	case !event.Deleted:
		h.apply(event.Object)
	case h.remove != nil:
		h.remove(event.Key)
	}
}

func (h *handler) Confirm(uint64, time.Time) {}
func (h *handler) SourceUnavailable()        {}

// ignoreCanceled drops the error of a controller that ended because its context was canceled.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
