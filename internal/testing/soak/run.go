package soak

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// Result is the result of a run.
type Result struct {
	// Violations lists the violated invariants. The run has passed if there are none.
	Violations []string
	// Counts is the number of requests by outcome.
	Counts map[string]int
}

// contactTime is the time after the faults from which all daemons are in touch with one another.
const contactTime = 3 * time.Second

// resumableInterval: every resumableInterval-th caller runs programs with resumable turns.
const resumableInterval = 3

// Run runs a plan and checks the invariants. binary is the rookpass-node binary; see NewCluster for dir and network.
func Run(ctx context.Context, plan Plan, binary, dir string, network int) (Result, error) {
	cluster, err := NewCluster(plan, binary, dir, network)
	if cluster != nil {
		defer cluster.Close()
	}
	if err != nil {
		return Result{}, err
	}
	var fronts []string
	for _, p := range cluster.processes {
		if p.callers != nil {
			fronts = append(fronts, p.callers.address())
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var all []*workload.Caller
	for i := range plan.Callers {
		c := workload.NewCaller(fronts, cluster.checker, plan.Seed*1000+uint64(i), nil)
		all = append(all, c)
		work := workload.Programs
		if i%resumableInterval == 0 {
			work = workload.ResumablePrograms
		}
		callers.Go(func() { c.Run(work, stop) })
	}
	for i := range limitedCallers {
		c := workload.NewCaller(fronts, cluster.checker, plan.Seed*1000+uint64(plan.Callers+i), nil).ForOrganisation(limitedOrganisation)
		callers.Go(func() { c.Run(workload.IdempotentCalls, stop) })
	}
	fatal := workload.NewCaller(fronts, cluster.checker, plan.Seed, nil)
	callers.Go(func() { fatal.RunFatal(stop) })
	cluster.injectFaults(ctx)
	cluster.wg.Wait() // until all faults are undone, so that the organisation exists again
	close(stop)
	callers.Wait()
	cluster.awaitFaultsUndone()
	cluster.checkRecovery(all)
	time.Sleep(contactTime)
	fatal.CheckFatal()
	cluster.checkRateLimit()
	return Result{Violations: cluster.checker.Violations(), Counts: cluster.checker.Counts()}, ctx.Err()
}

// injectFaults injects each fault of the plan at its time, and returns when the length of the plan has passed.
func (c *Cluster) injectFaults(ctx context.Context) {
	began := time.Now()
	for _, f := range c.plan.Faults {
		if !waitUntil(ctx, began.Add(f.At)) {
			return
		}
		c.wg.Go(func() { c.inject(f) })
	}
	waitUntil(ctx, began.Add(c.plan.Length))
}

func waitUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// inject injects one fault and undoes it after its duration.
func (c *Cluster) inject(f Fault) {
	switch f.Kind {
	case Pause, Kill, Term, DiskWipe, TornWrite, KillAll:
		c.injectProcessFault(f)
	case StoreDown, StoreHang, StoreLost, StoreCompact:
		c.injectStoreFault(f)
	case LinkDelay, LinkReset, LinkOneWay, LinkBlackhole:
		c.injectLinkFaults(f)
	case ServerDrain:
		c.replaceServer(f)
	case ServerRestart:
		s := c.servers[f.Target%len(c.servers)]
		s.Restart()
		time.Sleep(f.For)
		c.store.SetServer(s.Entry())
	case EntryCorrupt:
		c.corruptEntry(f)
	case Config:
		c.putNextConfig()
	case KeyRevoke:
		c.setLimitedPresent(false)
		time.Sleep(f.For)
		c.setLimitedPresent(true)
	case ServerHang, ServerTruncate, ServerDuplicate, ServerShed:
		s := c.servers[f.Target%len(c.servers)]
		s.SetFault(serverFaults[f.Kind])
		time.Sleep(f.For)
		s.SetFault("")
	default:
		s := c.servers[f.Target%len(c.servers)]
		if !s.TryFault(answerFaults[f.Kind]) {
			return // faults of other kinds take their full time
		}
		time.Sleep(f.For)
		s.EndFault(answerFaults[f.Kind])
	}
}

var serverFaults = map[Kind]workload.Fault{
	ServerHang: workload.Hang, ServerTruncate: workload.Truncate, ServerDuplicate: workload.Duplicate, ServerShed: workload.Shed,
}

var answerFaults = map[Kind]workload.Fault{
	ServerUnframed: workload.Unframed, ServerUnframedClose: workload.UnframedClose,
	ServerUnframedReset: workload.UnframedReset, ServerUnframedResetBetween: workload.UnframedResetBetween,
	ServerLength: workload.Length, ServerLengthClose: workload.LengthClose, ServerLengthReset: workload.LengthReset,
	ServerChunksClose: workload.ChunksClose, ServerChunksReset: workload.ChunksReset,
}

func (c *Cluster) injectProcessFault(f Fault) {
	p := c.processes[f.Target%len(c.processes)]
	disk := c.processes[c.plan.Fronts+f.Target%c.plan.Stores]
	switch f.Kind {
	case Pause:
		if _, sent := p.signal(syscall.SIGSTOP, false); sent {
			time.Sleep(f.For)
			p.resume()
		}
	case Kill:
		c.restart(p, syscall.SIGKILL, f.For, nil)
	case Term:
		c.restart(p, syscall.SIGTERM, f.For, nil)
	case DiskWipe:
		c.restart(disk, syscall.SIGKILL, f.For, os.RemoveAll)
	case TornWrite:
		c.restart(disk, syscall.SIGKILL, f.For, appendTornRecord)
	case KillAll:
		var all sync.WaitGroup
		for _, p := range c.processes {
			all.Go(func() { c.restart(p, syscall.SIGKILL, f.For, nil) })
		}
		all.Wait()
	}
}

// appendTornRecord appends a partial record to the newest turn file, as a write that was not synced may leave it.
func appendTornRecord(dir string) error {
	files, err := filepath.Glob(filepath.Join(dir, "*.turns"))
	if err != nil || len(files) == 0 {
		return err
	}
	file, err := os.OpenFile(slices.Max(files), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	_, err = file.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 3, 0, 0, 9})
	return errors.Join(err, file.Close())
}

func (c *Cluster) injectStoreFault(f Fault) {
	switch f.Kind {
	case StoreCompact:
		c.store.Compact()
		return
	case StoreDown:
		c.store.SetFault(func(r http.ResponseWriter) { r.WriteHeader(http.StatusServiceUnavailable) }, false)
	case StoreHang:
		c.store.SetFault(func(http.ResponseWriter) { time.Sleep(f.For) }, false)
	case StoreLost:
		c.store.SetFault(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, true)
	}
	time.Sleep(f.For)
	c.store.SetFault(nil, false)
}

// injectLinkFaults disturbs a daemon's connections to the store and from callers, and the connections to one server.
func (c *Cluster) injectLinkFaults(f Fault) {
	m := map[Kind]mode{LinkDelay: delay, LinkReset: reset, LinkOneWay: oneWay, LinkBlackhole: blackhole}[f.Kind]
	p := c.processes[f.Target%len(c.processes)]
	links := []*proxy{p.store, c.servers[f.Target%len(c.servers)].link}
	if p.callers != nil {
		links = append(links, p.callers)
	}
	for _, link := range links {
		link.set(m)
	}
	time.Sleep(f.For)
	for _, link := range links {
		link.set(pass)
	}
}

// replaceServer drains and removes a server, and then starts another one at its address.
func (c *Cluster) replaceServer(f Fault) {
	s := c.servers[f.Target%len(c.servers)]
	old := s.Drain()
	c.store.SetServer(old)
	time.Sleep(f.For)
	c.store.RemoveServer(old.ID.Server)
	c.store.SetServer(s.Replace())
}

// corruptEntry overwrites a server's registry entry with an invalid one, and restores it later.
func (c *Cluster) corruptEntry(f Fault) {
	s := c.servers[f.Target%len(c.servers)]
	entry := s.Entry()
	invalid := platformtest.InvalidEntries(entry)
	c.store.Set("servers", entry.ID.Server, invalid[int(f.At/time.Millisecond)%len(invalid)])
	time.Sleep(f.For)
	c.store.SetServer(s.Entry())
}

const (
	// limitedOrganisation is an organisation with limitedCallers callers, which exceed its limit of limitedRate requests
	// per second.
	limitedOrganisation = "west"
	limitedCallers      = 3
	limitedRate         = 20
	// revocationTime is the time within which all daemons must reject a revoked key.
	revocationTime = 5 * time.Second
	// quotaWindow is the length of the windows in which rate limits are checked. A window may exceed its limit by the
	// fraction quotaExcess plus quotaSlack requests.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// setLimitedPresent adds the limited organisation to the configuration or removes it.
func (c *Cluster) setLimitedPresent(present bool) {
	c.mu.Lock()
	c.revoked = !present
	c.mu.Unlock()
	c.putNextConfig()
	from := time.Time{}
	if !present {
		from = time.Now().Add(revocationTime)
	}
	c.checker.RecordRevocation(limitedOrganisation, from)
}

// checkRateLimit checks that no window has more requests of the limited organisation than allowed.
func (c *Cluster) checkRateLimit() {
	allowed := (limitedRate*quotaWindow.Seconds()+limitedRate)*(1+quotaExcess) + quotaSlack
	if n := c.checker.MaxRunsWithin(limitedOrganisation, quotaWindow); float64(n) > allowed {
		c.checker.AddViolation("%d requests of %s ran within %v, at most %.0f are allowed", n, limitedOrganisation, quotaWindow, allowed)
	}
}

// awaitFaultsUndone waits until all faults are undone and all front daemons are ready.
func (c *Cluster) awaitFaultsUndone() {
	c.wg.Wait()
	for _, s := range c.servers {
		s.link.set(pass)
	}
	if err := c.awaitReady(); err != nil {
		c.checker.AddViolation("not ready after the faults: %v", err)
	}
}

// checkRecovery checks that every caller can continue its last program and start a new one.
func (c *Cluster) checkRecovery(callers []*workload.Caller) {
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(c.CheckRecovery)
	}
	wg.Wait()
}
