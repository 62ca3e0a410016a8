package node

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/callers"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/exchange"
	"github.com/rookpass/rookpass/internal/front/gateway"
	"github.com/rookpass/rookpass/internal/objects/feed"
	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/transport/tunnel"
	"github.com/rookpass/rookpass/internal/transport/upstream"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/platform"
)

const (
	// frontWatchWait is how long a front daemon's watch waits for a change at the platform's store, when no mirror
	// answers. It bounds how late an unresponsive connection is noticed: changes must be in force after 2 s.
	frontWatchWait = time.Second
	// diskFallbackDelay is how long a call to a disk may take before it is also sent through another front daemon: many
	// times a usual answer.
	diskFallbackDelay = 120 * time.Millisecond
	// mirrorFallbackDelay is the same for watches, which wait up to a second for a change.
	mirrorFallbackDelay = 1300 * time.Millisecond
	// quarantinePollFallbackDelay is the same for polls of what is quarantined, which wait up to three seconds for a change.
	quarantinePollFallbackDelay = 3300 * time.Millisecond
	// hubFailbackInterval is how long a daemon uses another hub before it returns to the first, which all daemons
	// share.
	hubFailbackInterval = 8 * time.Second
	// quotaGroupKeyPrefix and an organisation's name select the store daemons that count its requests.
	quotaGroupKeyPrefix = "requests of "
	// registrarsGroupKey selects the store daemons that count the servers which end under requests.
	registrarsGroupKey = "registrars of requests that end servers"
	// layoutTimeout is how long the daemon waits for the layout before it reads everything else from the platform's
	// store.
	layoutTimeout      = 4 * time.Second
	layoutPollInterval = 10 * time.Millisecond
	// heldMemoryShare is the share of a VM's memory for all that is held for callers and servers. With gcPercent the
	// heap may grow to 1.4 times the live data, which stays below memoryLimitShare.
	heldMemoryShare = 0.4
	// turnCacheShare is the share of a VM's memory for cached turns.
	turnCacheShare = 0.05
	// requestBodyShare is the share of a VM's memory for the bodies of requests.
	requestBodyShare = 0.2
	// smallRequestBytes is the most memory of a request for which a part of the memory is reserved.
	smallRequestBytes = 64 << 10
	// callerConnectionBytes and serverConnectionBytes approximate the buffers of a connection and the stacks of its
	// goroutines: net/http keeps a reader and a writer of 4 KiB each, package upstream a reader of 4 KiB.
	callerConnectionBytes = 14 << 10
	serverConnectionBytes = 6 << 10
	// headMemoryShare is the share of a VM's memory for the heads of requests that are larger than ordinary ones.
	headMemoryShare = 0.1
	// sweepInterval is the time between two removals of unused connections and servers.
	sweepInterval = time.Second
	// costLogFactor is the factor by which an estimated cost or speed must change to be logged again.
	costLogFactor = 1.5
	// unreadyDelay is how long a stopping daemon still accepts connections: until the platform has noticed that it is
	// not ready. The platform asks every second and removes a daemon after two failures.
	unreadyDelay = 2500 * time.Millisecond
	// shutdownMargin is the part of the stop grace that a stopping daemon leaves unused.
	shutdownMargin = 500 * time.Millisecond
)

type front struct {
	*base
	catalog    *catalog.Catalog
	balancer   *balance.Balancer
	scheduler  *dispatch.Scheduler
	pool       *upstream.Pool
	callers    *callers.Set
	ledger     *ledger.Ledger
	gateway    *gateway.Gateway
	memory     *membudget.Budget
	relay      *tunnel.Dialer
	quarantine *quarantine.Client
	stopping   atomic.Bool
}

// RunFront runs the front daemon until ctx ends, and then until its requests have ended.
func RunFront(ctx context.Context, settings platform.Settings, level string) error {
	b, err := newBase(localHost(), settings, level, "front")
	if err != nil {
		return err
	}
	err = newFront(b).run(ctx)
	b.logStop("signal", ignoreCanceled(err))
	return ignoreCanceled(err)
}

func newFront(b *base) *front {
	f := &front{base: b, catalog: catalog.New(), balancer: balance.New(b.settings.Node, b.settings.Topology()), scheduler: dispatch.New()}
	f.pool = upstream.NewPool(b.host.dial, platform.HeaderCodec{}, b.bounds.Servers)
	f.pool.OnDial(f.recordConnectTime)
	memoryShare := func(share float64) int64 { return int64(share * float64(b.settings.MemoryBytes)) }
	f.memory = membudget.New(membudget.Limits{Total: memoryShare(heldMemoryShare), SmallBytes: smallRequestBytes,
		ByClass: map[membudget.Class]int64{membudget.RequestBodies: memoryShare(requestBodyShare), membudget.Heads: memoryShare(headMemoryShare)}})
	f.callers = callers.New(callers.Options{Name: "callers", MaxConns: b.bounds.Callers, Limits: f.callerLimits, Memory: f.memory, Observer: b.metrics, Log: b.log})
	b.metrics.Gauge("rookpass_caller_connections", func() float64 { return float64(f.callers.Open()) })
	b.metrics.Gauge("rookpass_caller_connections_max", func() float64 { return float64(b.bounds.Callers) })
	f.pool.OnOpenChange(func(change int) { f.memory.Charge(membudget.Connections, serverConnectionBytes*int64(change)) })
	f.relay = tunnel.NewDialer(b.host.dial, b.settings.PeerAddress())
	b.links.WithFallback(f.relay.Dial, diskFallbackDelay)
	f.ledger = ledger.New(b.links, b.settings.Topology(), int(memoryShare(turnCacheShare)), b.log).WithMemory(f.memory)
	// Polls wait longer than calls may take before they are sent over another front daemon.
	polls := peerlink.NewPool(b.host.dial).WithFallback(f.relay.Dial, quarantinePollFallbackDelay)
	f.quarantine = quarantine.NewClient(b.links, polls, f.registrars, b.log).WithObserver(b.metrics).WithName(b.settings.Node).FollowList()
	f.gateway = gateway.New(gateway.Options{
		Catalog: f.catalog, Balancer: f.balancer, Sender: f.pool, Ledger: f.ledger, HeaderCodec: platform.HeaderCodec{},
		Log: b.log, Stats: gateway.NewStats(b.metrics), Scheduler: f.scheduler, Memory: f.memory,
		ConfigAgeLimits: policy.NewConfigAgeLimits(b.settings.MaxRevocationDelay, b.settings.MaxConfigDelay), Quotas: quota.NewClient(b.links, f.quotaCounters), Quarantine: f.quarantine,
	})
	b.metrics.Gauge("rookpass_connections_opened_total", func() float64 { return float64(f.pool.Opened()) })
	b.metrics.Gauge("rookpass_connections_reused_total", func() float64 { return float64(f.pool.Reused()) })
	b.metrics.Gauge("rookpass_detours_total", func() float64 { return float64(b.links.HedgedCalls()) })
	b.metrics.Gauge("rookpass_requests_active", func() float64 { return float64(f.gateway.ActiveRequests()) })
	b.metrics.Gauge("rookpass_turns_waiting", func() float64 { return float64(f.scheduler.Waiting()) })
	b.metrics.Gauge("rookpass_turns_running", func() float64 { return float64(f.scheduler.Running()) })
	b.metrics.Gauge("rookpass_server_speed_min", func() float64 { slowest, _ := f.balancer.SpeedExtremes(); return slowest })
	b.metrics.Gauge("rookpass_server_load_share_max", func() float64 { _, share := f.balancer.SpeedExtremes(); return share })
	b.metrics.Gauge("rookpass_config_certain_age_seconds", func() float64 {
		_, age := f.catalog.TableWithAge()
		return age.Seconds()
	})
	for _, c := range membudget.Classes() {
		b.metrics.Gauge(fmt.Sprintf("rookpass_memory_held_bytes{class=%q}", c), func() float64 { return float64(f.memory.Held(c)) })
	}
	b.metrics.Gauge("rookpass_memory_limit_bytes", func() float64 { return float64(f.memory.Limit()) })
	b.metrics.Gauge("rookpass_memory_peak_bytes", func() float64 { return float64(f.memory.Peak()) })
	b.metrics.Gauge("rookpass_suspected_requests", func() float64 { suspected, _ := f.quarantine.Counts(); return float64(suspected) })
	b.metrics.Gauge("rookpass_quarantined_requests", func() float64 { _, quarantined := f.quarantine.Counts(); return float64(quarantined) })
	b.metrics.Gauge("rookpass_server_list_age_seconds", func() float64 { return f.quarantine.ListAge().Seconds() })
	b.metrics.Gauge("rookpass_server_ends_open", func() float64 { return float64(f.quarantine.Open()) })
	b.metrics.Gauge("rookpass_servers", func() float64 { return float64(f.catalog.Servers().Len()) })
	return f
}

func (f *front) run(ctx context.Context) error {
	callersListener, err := f.listen("callers", f.settings.CallerAddress)
	if err != nil {
		return err
	}
	readiness, err := f.listen("readiness", f.settings.ReadyAddress)
	if err != nil {
		return err
	}
	peers, err := f.listenBounded("peers", f.settings.PeerAddress(), f.bounds.Relayed)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: f.gateway, ConnState: f.countCallerConnection, ErrorLog: f.serverErrors("callers")}
	observed := f.callers.Attach(server, callersListener)
	ready, readyConns := f.newPageServer("readiness", http.HandlerFunc(f.serveReadiness))
	readiness = readyConns.Attach(ready, readiness)
	work, stopWork := context.WithCancel(context.WithoutCancel(ctx))
	defer stopWork()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return serve(server, observed) })
	group.Go(func() error { return f.callers.Run(work) })
	group.Go(func() error { return serve(ready, readiness) })
	group.Go(func() error { return readyConns.Run(work) })
	group.Go(func() error {
		<-work.Done()
		_ = peers.Close()
		return work.Err()
	})
	group.Go(func() error { return tunnel.NewServer(f.host.dial, f.isLayoutAddress, f.log).Serve(peers) })
	group.Go(func() error { return f.servePages(work, f.status) })
	f.startWatches(work, group)
	group.Go(func() error { return f.exchangeWithHubs(work) })
	group.Go(func() error { return f.quarantine.Run(work) })
	group.Go(func() error { return f.watchSettings(work) })
	group.Go(func() error { return f.sweep(work) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done(): // a part has failed: the daemon ends, so that it is started again
			_ = errors.Join(server.Close(), ready.Close())
			return work.Err()
		}
		f.drain(server)
		stopWork()
		_ = ready.Close() // the process ends
		return nil
	})
	return group.Wait()
}

// countCallerConnection accounts for the memory of a caller's connection. It is held whether it fits or not; requests are
// refused while it does not.
func (f *front) countCallerConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		f.memory.Charge(membudget.Connections, callerConnectionBytes)
	case http.StateClosed, http.StateHijacked:
		f.memory.Release(membudget.Connections, callerConnectionBytes)
	}
}

// callerLimits returns the limits of the configuration in force.
func (f *front) callerLimits() connlimit.Limits {
	table := f.catalog.Table()
	if table == nil {
		return connlimit.Limits{}
	}
	limits := table.Config.Limits
	return connlimit.Limits{HeadBytes: limits.MaxHeaderBytes, HeadTime: limits.HeaderTimeout, IdleTime: limits.IdleTimeout}
}

func serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// startWatches starts the watches of the layout, the configuration, the servers and the evacuations. All but the layout
// are read through the store daemons as soon as the layout is known.
func (f *front) startWatches(ctx context.Context, group *errgroup.Group) {
	source := feed.New(f.mirrors(), feed.NamedSource{Name: "platform", Source: singlePrefixSource{f.store}}, f.log)
	shared := watch.NewSharedSource(source)
	run := func(h watch.Handler, limit time.Duration) error { return f.newWatcher(shared, limit, h).Run(ctx) }
	group.Go(func() error {
		if f.settings.FirstStart {
			_ = wait.For(ctx, bootstrapWait)
		}
		return run(&handler{prefix: layoutPrefix, apply: f.applyLayout}, frontWatchWait)
	})
	servers := catalog.NewServersHandler(catalog.ServersOptions{
		Catalog: f.catalog, Topology: f.settings.Topology(), Prefix: platform.ServersPrefix,
		Decode: platform.DecodeServer, LeaseExpiry: policy.NewLeaseExpiry(f.settings.Heartbeat), Log: f.log, OnStarted: f.serverStarted,
		OnGone:    func(id incarnation.ID) { f.quarantine.ServerNews(id, quarantine.Lapsed) },
		OnListed:  f.quarantine.ServersListed,
		OnRefused: func(reason catalog.RefusalReason) { f.metrics.Count("rookpass_entries_refused_total", string(reason)) },
	})
	handlers := map[watch.Handler]time.Duration{
		catalog.NewConfigHandler(f.catalog, platform.ConfigPrefix, platform.DecodeConfig, f.log): f.configWatchWait(frontWatchWait, mirrorWatchShare),
		servers: frontWatchWait,
	}
	if f.settings.MaxEvacuationDelay > 0 {
		handlers[newEvacuationHandler(servers)] = frontWatchWait
	}
	for h, limit := range handlers {
		group.Go(func() error {
			f.awaitLayout(ctx)
			return run(h, limit)
		})
	}
}

// serverStarted ends the calls to earlier starts of a server, which will never answer.
func (f *front) serverStarted(id incarnation.ID) {
	if calls := f.balancer.ServerStarted(id); calls > 0 {
		f.log.WithFields(logrus.Fields{"event": "server-restarted", "server": id, "calls": calls}).Warn("server restarted; calls to its previous start ended")
	}
	f.quarantine.ServerStarted(id)
}

// awaitLayout returns once the layout is known, or after layoutTimeout.
func (f *front) awaitLayout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	for !f.ledger.Ready() && wait.For(ctx, layoutPollInterval) == nil {
	}
}

func (f *front) applyLayout(object objectapi.Object) {
	l, err := layout.Decode(object.Value)
	if err != nil {
		f.log.WithFields(logrus.Fields{"event": "layout-malformed", "error": err}).Error("layout object is malformed")
		return
	}
	f.ledger.UpdateLayout(l)
}

// mirrors returns a function that lists the store daemons in the order of preference of this front, or the seeds while
// the layout is not known. The order differs between fronts, so that each store daemon serves a share of them.
func (f *front) mirrors() func() []feed.NamedMirror {
	// Separate from the ledger's links: a watch that hangs must not break its calls.
	links := peerlink.NewPool(f.host.dial).WithFallback(f.relay.Dial, mirrorFallbackDelay)
	return func() []feed.NamedMirror {
		source := func(name, address string) feed.NamedMirror {
			return feed.NamedMirror{Name: name, Mirror: mirror.NewClient(links.LinkTo(address))}
		}
		var sources []feed.NamedMirror
		l := f.ledger.Layout()
		if l == nil {
			for _, seed := range *f.seeds.Load() {
				sources = append(sources, source(seed, seed))
			}
			return sources
		}
		for _, disk := range f.byPreference(l.Disks()) {
			sources = append(sources, source(disk.Node, disk.Address))
		}
		return sources
	}
}

// serveReadiness tells the platform whether this daemon should get new connections.
func (f *front) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	if !f.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// ready reports whether requests can be served and the daemon is not stopping.
func (f *front) ready() bool {
	return !f.stopping.Load() && f.catalog.Table() != nil && f.catalog.Servers().Len() > 0 && f.ledger.Ready() && f.quarantine.Synced()
}

// isLayoutAddress reports whether a store daemon of the layout listens at an address.
func (f *front) isLayoutAddress(address string) bool {
	l := f.ledger.Layout()
	return l != nil && slices.ContainsFunc(l.Slots, func(s layout.Slot) bool {
		return s.Disk.Address == address || s.Joining != nil && s.Joining.Address == address
	})
}

// quotaCounters returns the addresses of the store daemons that count an organisation's requests, followed by those
// that may replace them. The order is the same at every front.
func (f *front) quotaCounters(organisation string) []string {
	return f.groupAddresses(quotaGroupKeyPrefix + organisation)
}

// groupAddresses returns the addresses of the store daemons of a key's group; none while the layout is not known.
func (f *front) groupAddresses(key string) []string {
	l := f.ledger.Layout()
	if l == nil {
		return nil
	}
	var addresses []string
	for _, slot := range l.Group(key) {
		addresses = append(addresses, l.Slots[slot].Disk.Address)
	}
	return addresses
}

// registrars returns the addresses of the store daemons that count the servers which end under requests. They are the same
// at every front.
func (f *front) registrars() []string {
	addresses := f.groupAddresses(registrarsGroupKey)
	return addresses[:min(quarantine.RegistrarCount, len(addresses))]
}

// exchangeWithHubs exchanges this daemon's observations for those of the other front daemons, at the first hub that
// answers.
func (f *front) exchangeWithHubs(ctx context.Context) error {
	hub, switched, hubDaemons := 0, time.Now(), 0
	var daemons policy.RecentMax
	for wait.For(ctx, exchange.ReportIntervalFor(hubDaemons)) == nil {
		l := f.ledger.Layout()
		if l == nil {
			continue
		}
		if time.Since(switched) > hubFailbackInterval {
			hub = 0
		}
		args := &exchange.Args{From: f.settings.PeerAddress(), Daemons: daemons.Read(), Suspects: f.balancer.Suspects(), Failing: f.balancer.Failing(),
			Loads: f.balancer.Loads(), Speeds: f.balancer.Speeds()}
		args.SetDemand(f.scheduler.Demand())
		args.AddCalls(f.balancer.Calls())
		hubs := exchange.HubCandidates(l.Disks(), f.settings.Topology(), daemons.Read())
		reply, err := exchange.Swap(ctx, f.links.LinkTo(hubs[hub%len(hubs)]), args)
		if err != nil {
			hub++
			switched = time.Now()
			f.balancer.SetPeerReports(nil, nil)
			f.scheduler.SetPeerDemand(nil)
			f.log.WithFields(logrus.Fields{"event": "exchange-failed", "place": hub, "error": err}).Info("exchange failed; trying another hub")
			continue
		}
		daemons.Observe(time.Now(), reply.Daemons)
		hubDaemons = reply.Here
		f.balancer.SetPeerReports(reply.Suspects, reply.Failing)
		f.balancer.SetPeerCount(reply.Daemons)
		f.quarantine.SetDaemons(reply.Daemons)
		f.balancer.SetPeerLoads(reply.Loads)
		f.balancer.SetPeerSpeeds(reply.Speeds)
		f.balancer.SetPeerDemand(reply.Demand)
		f.scheduler.SetPeerDemand(reply.PeerDemand())
		f.relay.SetRelays(reply.Peers)
	}
	return ctx.Err()
}

// recordConnectTime records how long a connection to a server took.
func (f *front) recordConnectTime(to upstream.Endpoint, elapsed time.Duration) {
	if server := f.catalog.Servers().Server(to.Server); server != nil {
		f.balancer.RecordConnectTime(server.DataCentre, elapsed)
	}
}

// sweep closes idle connections to servers that are gone, and forgets those servers, until ctx ends.
func (f *front) sweep(ctx context.Context) error {
	logged, loggedSpeeds := map[string]policy.Costs{}, map[incarnation.ID]float64{}
	for wait.For(ctx, sweepInterval) == nil {
		servers := f.catalog.Servers()
		f.pool.CloseIdle(func(e upstream.Endpoint) bool {
			address, known := servers.Address(e.Server)
			return known && address == e.Address
		})
		f.balancer.Forget(servers.Has)
		f.logCosts(logged)
		f.logSpeeds(loggedSpeeds)
	}
	return ctx.Err()
}

// logCosts logs estimated costs that have changed by more than costLogFactor since they were last logged.
func (f *front) logCosts(logged map[string]policy.Costs) {
	for service, costs := range f.balancer.Costs() {
		last, told := logged[service]
		if told && !costChanged(last.PrefillPerToken, costs.PrefillPerToken) && !costChanged(last.SlowdownPerCall, costs.SlowdownPerCall) {
			continue
		}
		logged[service] = costs
		f.log.WithFields(logrus.Fields{"event": "costs", "service": service, "prefill_us_per_token": 1e6 * costs.PrefillPerToken,
			"slowdown_ms_per_call": 1e3 * costs.SlowdownPerCall}).Info("estimated costs changed")
	}
}

// logSpeeds logs the speeds of servers that have changed by more than costLogFactor since they were last logged, or from
// the normal speed.
func (f *front) logSpeeds(logged map[incarnation.ID]float64) {
	speeds := f.balancer.ServerSpeeds()
	maps.DeleteFunc(logged, func(id incarnation.ID, _ float64) bool { _, known := speeds[id]; return !known })
	for id, speed := range speeds {
		before, told := logged[id]
		if !told {
			before = 1
		}
		if !costChanged(before, speed) {
			continue
		}
		logged[id] = speed
		f.log.WithFields(logrus.Fields{"event": "server-speed", "server": id, "speed": speed, "before": before,
			"load_share": f.balancer.View(id).LoadShare}).Info("speed of server changed")
	}
}

// costChanged reports whether a positive value has changed by more than costLogFactor.
func costChanged(from, to float64) bool { return to > from*costLogFactor || from > to*costLogFactor }

// drain stops accepting connections once the platform has noticed that the daemon is not ready, and returns when the
// requests have ended or the stop grace is nearly over.
func (f *front) drain(server *http.Server) {
	began := time.Now()
	deadline := began.Add(f.settings.StopGrace - shutdownMargin)
	f.stopping.Store(true)
	f.gateway.Drain()
	f.log.WithFields(logrus.Fields{"event": "drain", "active": f.gateway.ActiveRequests()}).Info("stopping")
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_ = wait.For(ctx, unreadyDelay)
	_ = server.Shutdown(ctx) // requests that still run at the deadline end with the process
	unwritten := f.ledger.Flush(ctx)
	f.log.WithFields(logrus.Fields{"event": "drained", "active": f.gateway.ActiveRequests(), "unwritten": unwritten != nil, "ms": time.Since(began).Milliseconds()}).Info("requests ended")
}
