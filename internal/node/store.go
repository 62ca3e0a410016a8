package node

import (
	"context"
	"errors"
	"io"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/exchange"
	"github.com/rookpass/rookpass/internal/objects/feed"
	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/platform"
)

// storeWatchWait is how long a reader's watch waits for a change. It bounds how late a lost connection to the
// platform's store is noticed; each call has a cost.
const storeWatchWait = 1500 * time.Millisecond

// readerWatchWait is how long the watch of a store daemon waits that reads through a reader. These calls are not
// charged, and its copy must not become much older than the reader's.
const readerWatchWait = 300 * time.Millisecond

// slowWatchWait is how long watches wait for the layout, which also comes with the disks' answers, and for retirements,
// which leave several seconds.
const slowWatchWait = 5 * time.Second

// evacuationWatchShare is the share of the maximum evacuation delay for which a watch of the evacuations waits, so that
// a lost connection to the platform's store is noticed well before the delay is over.
const evacuationWatchShare = 0.3

// peerRequestShare is the share of a VM's memory for the requests of other daemons that are under way. Each takes its size
// twice, decoded and as received.
const peerRequestShare = 0.1

// mirrorAgeMargin is how much older than a watch's wait a mirror's copy may be. It covers the pause between two
// watches, a slow answer of the platform's store, some 0.3 s, and readerWatchWait where the daemon reads through a
// reader.
const mirrorAgeMargin = 800*time.Millisecond + readerWatchWait

// RunStore runs the store daemon until ctx ends.
func RunStore(ctx context.Context, settings platform.Settings, level string) error {
	b, err := newBase(localHost(), settings, level, "store")
	if err != nil {
		return err
	}
	err = b.runStore(ctx)
	b.logStop("signal", ignoreCanceled(err))
	return ignoreCanceled(err)
}

func (b *base) runStore(ctx context.Context) error {
	s := b.settings
	if s.DataDir == "" {
		return Error.New("a store daemon needs data_dir")
	}
	self := layout.Disk{Node: s.Node, Address: s.PeerAddress(), DataCentre: s.DataCentre}
	store := replica.NewStore(b.host.disk, s.DataDir, self, b.log)
	b.metrics.Gauge("rookpass_disk_syncs_total", func() float64 {
		n, _ := store.Syncs()
		return float64(n)
	})
	b.metrics.Gauge("rookpass_disk_sync_seconds_total", func() float64 {
		_, busy := store.Syncs()
		return busy.Seconds()
	})
	b.metrics.Gauge("rookpass_disk_failed_seconds", func() float64 { return failedSeconds(store.DiskProblems()) })
	b.metrics.Gauge("rookpass_disk_refused_writes_total", func() float64 { return float64(store.RefusedWrites()) })
	b.metrics.Gauge("rookpass_disk_record_bytes", func() float64 { return float64(store.Bytes()) })
	retiring := &retirements{platform: b.store, nodes: map[string]bool{}, log: b.log}
	controller := replica.NewController(replica.Options{
		Store: store, API: b.store, Links: b.links, Retirements: retiring, Log: b.log, Topology: s.Topology(), LayoutKey: layoutKey, CandidatesPrefix: candidatesPrefix,
		FirstStart: s.FirstStart, Tolerance: s.ToleratedDiskFailures, DiskBytes: s.DiskBytes,
	})
	configWait := b.configWatchWait(storeWatchWait, storeWatchShare)
	mirrors := []*mirror.Mirror{
		mirror.New(platform.ConfigPrefix, configWait+mirrorAgeMargin),
		mirror.New(platform.ServersPrefix, storeWatchWait+mirrorAgeMargin),
		mirror.New(layoutPrefix, slowWatchWait+mirrorAgeMargin),
		mirror.New(platform.RetirementsPrefix, slowWatchWait+mirrorAgeMargin),
	}
	var evacuations []*mirror.Mirror // none if data centres are never evacuated, since each watch has a cost
	evacuationWait := time.Duration(evacuationWatchShare * float64(s.MaxEvacuationDelay))
	if s.MaxEvacuationDelay > 0 {
		evacuations = append(evacuations, mirror.New(platform.EvacuationsPrefix, evacuationWait+mirrorAgeMargin))
	}
	layouts := &handler{prefix: layoutPrefix, apply: controller.ObserveLayout}
	source := feed.New(b.readers(store), feed.NamedSource{Name: "platform", Source: singlePrefixSource{b.store}}, b.log).WithMirrorPollTimeout(readerWatchWait)
	shared := watch.NewSharedSource(source)
	layoutWatcher := b.newWatcher(shared, slowWatchWait, teeHandler{mirrors[2], layouts})
	registrar := quarantine.NewService().FollowList().WithJournal(quarantine.OpenJournal(b.host.disk, filepath.Join(s.DataDir, "server-ends.jsonl"), b.log))
	watchers := []*watch.Watcher{
		b.newWatcher(shared, configWait, mirrors[0]),
		b.newWatcher(shared, storeWatchWait, watermarkTee{teeHandler{mirrors[1], b.serverNewsHandler(registrar)}, mirrors[1].Watermark}),
		b.newWatcher(shared, slowWatchWait, teeHandler{mirrors[3], retiring.handler()}),
	}
	for _, m := range evacuations {
		watchers = append(watchers, b.newWatcher(shared, evacuationWait, m))
	}
	group, ctx := errgroup.WithContext(ctx)
	quotas, hub := quota.NewService(s.Quota), exchange.NewService()
	group.Go(func() error { return b.servePages(ctx, storeStatus(s.Node, store, quotas)) })
	b.metrics.Gauge("rookpass_quota_organisations", func() float64 { return float64(quotas.Len()) })
	b.metrics.Gauge("rookpass_suspected_requests", func() float64 { suspected, _ := registrar.Counts(); return float64(suspected) })
	b.metrics.Gauge("rookpass_quarantined_requests", func() float64 { _, quarantined := registrar.Counts(); return float64(quarantined) })
	services := map[string]any{
		replica.ServiceName:    replica.NewService(store),
		mirror.ServiceName:     mirror.NewService(append(evacuations, mirrors...)...),
		exchange.ServiceName:   hub,
		quota.ServiceName:      quotas,
		quarantine.ServiceName: registrar,
	}
	server, err := peerlink.NewServer(services, int64(peerRequestShare*float64(s.MemoryBytes)))
	if err != nil {
		return err
	}
	server.OnRefused(b.countPeerRefusals())
	for _, at := range []struct {
		name, address string
		most          int
	}{{"peers", s.PeerAddress(), b.bounds.Peers}, {"control", s.ControlAddress, b.bounds.Control}} {
		if at.address == "" {
			continue
		}
		listener, err := b.listenBounded(at.name, at.address, at.most)
		if err != nil {
			return err
		}
		group.Go(func() error { return server.Serve(listener) })
		group.Go(func() error {
			<-ctx.Done()
			_ = listener.Close()
			return ctx.Err()
		})
	}
	for i, name := range []string{"configuration", "servers", "layout"} { // old retirements are of no use
		file := &mirror.File{Mirror: mirrors[i], Disk: b.host.disk, Path: filepath.Join(s.DataDir, name+".json"), Log: b.log}
		file.Restore()
		group.Go(func() error { return file.Save(ctx) })
	}
	group.Go(func() error { return registrar.Run(ctx) })
	group.Go(func() error { return controller.Run(ctx) })
	group.Go(func() error {
		relayer := &exchange.Relayer{Service: hub, Links: b.links, SelfAddress: s.PeerAddress(), HubsByArea: hubsByArea(store, s.Regions), Log: b.log}
		return relayer.Run(ctx)
	})
	group.Go(func() error { return b.watchSettings(ctx) })
	group.Go(func() error { return layoutWatcher.Run(ctx) })
	for _, w := range watchers {
		group.Go(func() error {
			if s.FirstStart {
				_ = wait.For(ctx, bootstrapWait) // before the layout is known, every daemon would read the store itself
			}
			return w.Run(ctx)
		})
	}
	return errors.Join(group.Wait(), store.Close())
}

// serverNewsHandler returns a watch handler of the list of servers that tells a registrar which servers have ended.
func (b *base) serverNewsHandler(registrar *quarantine.Service) watch.Handler {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard) // front daemons log the same changes
	return catalog.NewServersHandler(catalog.ServersOptions{
		Catalog: catalog.New(), Topology: b.settings.Topology(), Prefix: platform.ServersPrefix, Decode: platform.DecodeServer,
		LeaseExpiry: policy.NewLeaseExpiry(b.settings.Heartbeat), Log: quiet, OnStarted: registrar.ServerStarted,
		OnGone: func(id incarnation.ID) { registrar.ServerNews(id, quarantine.Lapsed) }, OnListed: registrar.ServersListed,
	})
}

// failedSeconds returns for how long any use of a disk has failed; 0 if all work.
func failedSeconds(problems []replica.DiskProblem) float64 {
	longest := time.Duration(0)
	for _, problem := range problems {
		longest = max(longest, time.Since(problem.Since))
	}
	return longest.Seconds()
}

// hubsByArea returns a function that lists, by area, the addresses at which its hub may be.
func hubsByArea(store *replica.Store, regions map[string]string) func(crowded bool) map[string][]string {
	return func(crowded bool) map[string][]string {
		l := store.Layout()
		if l == nil {
			return nil
		}
		return exchange.HubsByArea(l.Disks(), regions, crowded)
	}
}

// teeHandler passes a prefix's changes to two handlers.
type teeHandler struct{ first, second watch.Handler }

func (h teeHandler) Prefix() string { return h.first.Prefix() }

func (h teeHandler) Reset(objects []objectapi.Object, version uint64) {
	h.first.Reset(objects, version)
	h.second.Reset(objects, version)
}

func (h teeHandler) Change(event objectapi.Event) {
	h.first.Change(event)
	h.second.Change(event)
}

func (h teeHandler) Confirm(version uint64, at time.Time) {
	h.first.Confirm(version, at)
	h.second.Confirm(version, at)
}

func (h teeHandler) SourceUnavailable() {
	h.first.SourceUnavailable()
	h.second.SourceUnavailable()
}

// watermarkTee is a teeHandler that also passes on the watermark of its first handler.
type watermarkTee struct {
	teeHandler
	watermark func(time.Time)
}

// Watermark implements watch.WatermarkHandler.
func (h watermarkTee) Watermark(at time.Time) { h.watermark(at) }

// retirements implements replica.Retirements on the platform's objects.
type retirements struct {
	platform *platform.Store
	log      logrus.FieldLogger

	mu    sync.Mutex
	nodes map[string]bool
}

func (r *retirements) handler() watch.Handler {
	set := func(key string, retiring bool) {
		node := platform.RetiringNode(key)
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.nodes[node] == retiring {
			return
		}
		if retiring {
			r.nodes[node] = true
		} else {
			delete(r.nodes, node)
		}
		r.log.WithFields(logrus.Fields{"event": "retirement-asked", "node": node, "retiring": retiring}).Info("retirement changed")
	}
	return &handler{
		prefix: platform.RetirementsPrefix,
		reset:  r.reset,
		apply:  func(o objectapi.Object) { set(o.Key, true) },
		remove: func(key string) { set(key, false) },
	}
}

// reset forgets all retirements before a new list is applied.
func (r *retirements) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.nodes)
}

// Retiring implements replica.Retirements.
func (r *retirements) Retiring(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.nodes[node]
}

// Report implements replica.Retirements.
func (r *retirements) Report(ctx context.Context, node string, done bool) error {
	return r.platform.MarkRetirement(ctx, platform.RetirementsPrefix+node, done)
}
