// Package node wires the daemons that run on the users' platform: the front daemon, which takes callers'
// requests, and the store daemon, which keeps turns on its VM's disk.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/eventlog"
	"github.com/rookpass/rookpass/internal/base/metrics"
	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/platform"
)

// Error is the class of this package's errors.
var Error = errs.Class("node")

const (
	// layoutPrefix and layoutKey are where the layout of disks lies in the platform's store.
	layoutPrefix = "rookpass-layout/"
	layoutKey    = layoutPrefix + "main"
	// candidatesPrefix is where the first disks enter themselves there.
	candidatesPrefix = "rookpass-disks/"
	// connectTimeout is far above a connection between data centres, and below what a caller waits.
	connectTimeout = 400 * time.Millisecond
	// unacknowledgedTimeout ends connections on which sent bytes stay unacknowledged: some lost packets are borne.
	unacknowledgedTimeout = 1200 * time.Millisecond
	// minWatchInterval is the least time between two calls of a watch: a burst of changes, as when all servers start,
	// costs few calls. It is a tenth of the time in which a change must be known.
	minWatchInterval = 200 * time.Millisecond
	// bootstrapWait is how long the store daemons take to form the first layout; asking earlier costs calls.
	bootstrapWait = 3300 * time.Millisecond
	// memoryLimitShare of a VM's memory is where the collector begins to work hard.
	memoryLimitShare = 0.6
	// gcPercent is by how much the heap may grow over what is live before it is collected. What is live is mostly the list of
	// servers, and daemons make little garbage.
	gcPercent = 40
)

// Shares of the time within which a withdrawn key must be refused everywhere, for which watches of the configuration wait:
// storeWatchShare at the platform's store, mirrorWatchShare at another daemon. As old as the configuration is when the store goes dark, as
// much sooner keys are no longer believed; but each call to the store has a price.
const (
	storeWatchShare  = 0.1
	mirrorWatchShare = 0.05
)

// configWatchWait returns how long a watch of the configuration waits for a change: usual, or a share of the time within which
// a withdrawn key must be refused, where that is asked.
func (b *base) configWatchWait(defaultWait time.Duration, share float64) time.Duration {
	if b.settings.MaxRevocationDelay == 0 {
		return defaultWait
	}
	return min(defaultWait, time.Duration(share*float64(b.settings.MaxRevocationDelay)))
}

// host is the VM that a daemon runs on. Tests put one in memory in its place.
type host struct {
	listen func(address string) (net.Listener, error)
	dial   network.DialContext
	// load reads the settings file.
	load func() (platform.Settings, error)
	// output takes the log.
	output io.Writer
}

// localHost returns the host that the process runs on.
func localHost() host {
	return host{
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		dial:   network.NewDialer(connectTimeout, unacknowledgedTimeout),
		load:   platform.LoadSettings,
		output: os.Stdout,
	}
}

// base is what both daemons have.
type base struct {
	host     host
	settings platform.Settings
	out      *eventlog.Writer
	log      logrus.FieldLogger
	metrics  *metrics.Registry
	store    *platform.Store
	links    *peerlink.Pool
	// seeds are addresses of store daemons for when the layout is not known.
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
		links:    peerlink.NewSet(host.dial),
	}
	b.applySettings(settings)
	b.metrics.Gauge("rookpass_store_calls_total", func() float64 { return float64(b.store.Calls()) })
	b.metrics.Gauge("rookpass_log_lines_dropped_total", func() float64 { return float64(out.Dropped()) })
	log.WithFields(logrus.Fields{"event": "start", "role": role, "data_centre": settings.DataCentre, "first_start": settings.FirstStart,
		"memory_bytes": settings.MemoryBytes, "peers": settings.PeerAddress(), "store": settings.StoreAddress}).Info("started")
	return b, nil
}

// logStop logs the end of the process and writes the last lines.
func (b *base) logStop(reason string, err error) {
	fields := logrus.Fields{"event": "stop", "reason": reason}
	if err != nil {
		fields["error"] = err
	}
	b.log.WithFields(fields).Info("stopped")
	b.out.Close()
}

func (b *base) listen(address string) (net.Listener, error) {
	listener, err := b.host.listen(address)
	return listener, Error.Wrap(err)
}

// newWatcher returns a watch of a handler's prefix that logs its outages and tells the age of what it knows.
func (b *base) newWatcher(link *watch.SharedSource, d time.Duration, h watch.Handler) *watch.Watcher {
	w := watch.New(link, minWatchInterval, h).WithPollTimeout(d).WithLog(b.log)
	gauge := fmt.Sprintf("rookpass_watch_age_seconds{prefix=%q}", h.Prefix())
	b.metrics.Gauge(gauge, func() float64 { return w.Age().Seconds() })
	return w
}

// handler is a watch.Handler made of functions.
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

// ignoreCanceled drops the error of a controller that ended because its context did.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
