// Package daemon assembles and runs a rookpassd process. A dig container builds the components that live as long as the
// process; the components that end with the daemon's log form an incarnation, and a process may run several in turn.
package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/objects/objectapi/httpapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/rookpassd/admin"
	"github.com/rookpass/rookpass/internal/rookpassd/backend"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/entry"
	"github.com/rookpass/rookpass/internal/rookpassd/filter"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
	"github.com/rookpass/rookpass/internal/rookpassd/route"
	"github.com/rookpass/rookpass/internal/rookpassd/settings"
	"github.com/rookpass/rookpass/internal/transport/network"
)

// Error is the class of this package's errors.
var Error = errs.Class("daemon")

// errPlannedStop is the cancellation cause of a planned stop.
var errPlannedStop = errors.New("planned stop")

// Daemon is a rookpassd process. Use New, then Run.
type Daemon struct {
	settings  settings.Settings
	network   network.Network
	log       logrus.FieldLogger
	tracing   *telemetry.Tracing
	tracer    trace.Tracer
	objects   *httpapi.Client
	api       *peer.FallbackAPI
	limiter   *rate.Limiter
	config    *config.Store
	tracker   *cluster.Tracker
	watcher   *watch.Watcher
	peers     *peer.Client
	forwarder *route.GRPCForwarder
	runner    *backend.Runner
	limits    *filter.Limits
	clients   *clients

	// random is used by one goroutine at a time: Run at first, then runIncarnations.
	random *rand.Rand

	current  atomic.Pointer[incarnation]
	draining atomic.Bool
	// drain is closed by the first call to Drain.
	drain        chan struct{}
	incarnations atomic.Int64
}

// params holds the components that the container provides.
type params struct {
	dig.In

	Settings    settings.Settings
	Network     network.Network
	Log         logrus.FieldLogger
	Tracing     *telemetry.Tracing
	Objects     *httpapi.Client
	FallbackAPI *peer.FallbackAPI
	Limiter     *rate.Limiter
	Config      *config.Store
	Tracker     *cluster.Tracker
	Peers       *peer.Client
	Forwarder   *route.GRPCForwarder
	Runner      *backend.Runner
}

// New returns a Daemon that does not run or listen yet. random is used for the names of incarnations and to seed their
// probers; tests pass a seeded source.
func New(s settings.Settings, net network.Network, log logrus.FieldLogger, tracing *telemetry.Tracing, random *rand.Rand) (*Daemon, error) {
	container := dig.New()
	constructors := []any{
		func() settings.Settings { return s },
		func() network.Network { return net },
		func() logrus.FieldLogger { return log },
		func() *telemetry.Tracing { return tracing },
		newObjects, newLimiter, newPeers, newFallbackAPI, newForwarder, newTracker, newRunner,
		config.NewStore,
	}
	for _, constructor := range constructors {
		if err := container.Provide(constructor); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	var d *Daemon
	if err := container.Invoke(func(p params) { d = assemble(p) }); err != nil {
		return nil, Error.Wrap(err)
	}
	d.random = random
	return d, nil
}

func assemble(p params) *Daemon {
	return &Daemon{
		settings:  p.Settings,
		network:   p.Network,
		log:       p.Log,
		tracing:   p.Tracing,
		tracer:    p.Tracing.Tracer(),
		objects:   p.Objects,
		api:       p.FallbackAPI,
		limiter:   p.Limiter,
		config:    p.Config,
		tracker:   p.Tracker,
		watcher:   watch.New(watch.NewSharedSource(p.FallbackAPI), time.Duration(p.Settings.WatchPaceMillis)*time.Millisecond, p.Config, p.Tracker).WithLog(p.Log),
		peers:     p.Peers,
		forwarder: p.Forwarder,
		runner:    p.Runner,
		limits:    filter.NewLimits(),
		clients:   newClients(p.Log),
		drain:     make(chan struct{}),
	}
}

func newObjects(s settings.Settings, n network.Network) *httpapi.Client {
	return httpapi.New(s.ObjectAPIAddress, n.DialServer)
}

func newLimiter(s settings.Settings) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(s.WritesPerSecond), max(1, int(s.WritesPerSecond)))
}

func newPeers(n network.Network) *peer.Client { return peer.NewClient(n.DialPeer) }

func newTracker(s settings.Settings) *cluster.Tracker { return cluster.NewTracker(s.Partitions) }

// maxRelays is the maximum number of peers that are asked to relay one request.
const maxRelays = 2

// newFallbackAPI returns an object API client that falls back to relaying requests through peers.
func newFallbackAPI(s settings.Settings, objects *httpapi.Client, peers *peer.Client, tracker *cluster.Tracker) *peer.FallbackAPI {
	return peer.NewFallbackAPI(objects, peers, func() []string {
		var addresses []string
		for _, daemon := range tracker.View().Daemons {
			if !daemon.Sealed && daemon.Name != s.Name && len(addresses) < maxRelays {
				addresses = append(addresses, daemon.PeerAddress)
			}
		}
		return addresses
	})
}

func newForwarder(n network.Network, tracing *telemetry.Tracing) *route.GRPCForwarder {
	return route.NewGRPCForwarder(n.DialPeer, tracing.Provider())
}

func newRunner(s settings.Settings, n network.Network, store *config.Store, tracker *cluster.Tracker, tracing *telemetry.Tracing) *backend.Runner {
	return backend.NewRunner(backend.Options{
		Dial:       n.DialServer,
		Config:     store,
		Tracer:     tracing.Tracer(),
		DataCentre: s.DataCentre,
		Daemons:    func() int { return len(tracker.View().Candidates(tracker.Alive)) },
	})
}

// chain returns the handler of callers' requests with all filters applied.
func (d *Daemon) chain() filter.Handler {
	maxAge := time.Duration(d.settings.MaxConfigAgeMillis) * time.Millisecond
	routed := func(ctx context.Context, r *filter.Request, send filter.Send) error {
		return d.current.Load().router.Execute(ctx, r.Execute, send)
	}
	return filter.Chain(routed,
		filter.WithTrace(d.tracer),
		filter.WithAuthentication(d.config),
		filter.WithValidation(),
		filter.WithAdmission(d.config, maxAge),
		filter.WithLimits(d.config, d.limits),
		entry.WithLookups(d.runner),
	)
}

// Run serves until ctx ends, a component fails or a planned stop is complete. It returns nil after a planned stop.
func (d *Daemon) Run(ctx context.Context) error {
	ctx, kill := context.WithCancelCause(ctx)
	defer kill(nil)
	d.current.Store(d.newIncarnation(ctx))
	servers, err := d.listen()
	if err != nil {
		return err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.watcher.Run(groupCtx) })
	group.Go(func() error { return d.runner.Run(groupCtx) })
	group.Go(func() error { return d.followDaemons(groupCtx) })
	group.Go(func() error { return servers.serve(groupCtx) })
	group.Go(func() error { return d.runIncarnations(groupCtx) })
	group.Go(func() error {
		if d.stop(groupCtx, servers) {
			kill(errPlannedStop)
		}
		return nil
	})
	err = group.Wait()
	servers.close()
	d.closeClients()
	if errors.Is(context.Cause(ctx), errPlannedStop) {
		return nil
	}
	return err
}

// runIncarnations runs incarnations one after another, starting a new one when the log of the current one is sealed.
func (d *Daemon) runIncarnations(ctx context.Context) error {
	if err := d.checkLayout(ctx); err != nil {
		return err
	}
	// A daemon without configuration must not own programs, since it would refuse their calls permanently.
	select {
	case <-d.config.Loaded():
	case <-ctx.Done():
		return ctx.Err()
	}
	for {
		in := d.current.Load()
		d.incarnations.Add(1)
		d.log.WithFields(logrus.Fields{"event": "incarnation.started", "incarnation": in.name}).Info()
		err := in.run()
		if errors.Is(err, errPlannedStop) {
			<-ctx.Done() // Wait until the planned stop is complete.
			return ctx.Err()
		}
		if !errors.Is(err, errIncarnationEnded) || ctx.Err() != nil {
			return err
		}
		d.log.WithFields(logrus.Fields{"event": "incarnation.over", "incarnation": in.name}).Warn()
		d.current.Store(d.newIncarnation(ctx))
	}
}

// followDaemons refreshes the runner when the number of daemons changes, since daemons share the backend servers.
func (d *Daemon) followDaemons(ctx context.Context) error {
	count := 0
	for {
		changed := d.tracker.Changed()
		if now := len(d.tracker.View().Candidates(d.tracker.Alive)); now != count {
			count = now
			d.runner.Refresh()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (d *Daemon) closeClients() {
	d.peers.Close()
	d.forwarder.Close()
	d.objects.Close()
}

// newAdmin returns the server of the operators' interface.
func (d *Daemon) newAdmin() *admin.Server {
	return admin.New(admin.Dependencies{
		API:      d.api,
		Config:   d.config,
		Tracker:  d.tracker,
		Peers:    d.peers,
		Backends: d.runner,
		RootHash: d.settings.OperatorSecretHash,
		Log:      d.log,
	})
}

// Config returns the daemon's copy of the configuration.
func (d *Daemon) Config() *config.Store { return d.config }
