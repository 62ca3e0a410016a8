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

// Result is what a run found.
type Result struct {
	// Violations are the broken promises; none means that the run passed.
	Violations []string
	Counts     map[string]int
}

// questionShare: one caller in so many asks for turns that are not kept.
const questionShare = 3

// Run plays a plan and checks the promises.
func Run(ctx context.Context, plan Plan, binary, dir string, network int) (Result, error) {
	w, err := NewCluster(plan, binary, dir, network)
	if w != nil {
		defer w.Close()
	}
	if err != nil {
		return Result{}, err
	}
	var fronts []string
	for _, p := range w.processes {
		if p.callers != nil {
			fronts = append(fronts, p.callers.address())
		}
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var all []*workload.Caller
	for i := range plan.Callers {
		c := workload.NewCaller(fronts, w.checker, plan.Seed*1000+uint64(i), nil)
		all = append(all, c)
		work := workload.Programs
		if i%questionShare == 0 {
			work = workload.ResumablePrograms
		}
		callers.Go(func() { c.Run(work, stop) })
	}
	for i := range boundedCallers {
		c := workload.NewCaller(fronts, w.checker, plan.Seed*1000+uint64(plan.Callers+i), nil).ForOrganisation(boundedName)
		callers.Go(func() { c.Run(workload.IdempotentCalls, stop) })
	}
	w.play(ctx)
	w.wg.Wait() // the organisation is back
	close(stop)
	callers.Wait()
	w.heal()
	w.checkRecovery(all)
	w.checkLimit()
	return Result{Violations: w.checker.Violations(), Counts: w.checker.Counts()}, ctx.Err()
}

// play strikes with each fault at its time.
func (w *Cluster) play(ctx context.Context) {
	began := time.Now()
	for _, f := range w.plan.Faults {
		if !sleepUntil(ctx, began.Add(f.At)) {
			return
		}
		w.wg.Go(func() { w.strike(f) })
	}
	sleepUntil(ctx, began.Add(w.plan.Length))
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}

// strike does one fault, and undoes it after its time.
func (w *Cluster) strike(f Fault) {
	switch f.Kind {
	case Pause, Kill, Term, DiskWipe, TornWrite, KillAll:
		w.strikeProcess(f)
	case StoreDown, StoreHang, StoreLost, StoreCompact:
		w.strikeStore(f)
	case LinkDelay, LinkReset, LinkOneWay, LinkBlackhole:
		w.strikeLinks(f)
	case ServerDrain:
		w.replaceServer(f)
	case ServerRestart:
		s := w.servers[f.Target%len(w.servers)]
		s.Restart()
		time.Sleep(f.For)
		w.store.SetServer(s.Entry())
	case EntryCorrupt:
		w.spoilEntry(f)
	case Config:
		w.configure()
	case KeyRevoke:
		w.setBounded(false)
		time.Sleep(f.For)
		w.setBounded(true)
	default:
		s := w.servers[f.Target%len(w.servers)]
		s.SetFault(serverFaults[f.Kind])
		time.Sleep(f.For)
		s.SetFault("")
	}
}

var serverFaults = map[Kind]workload.Fault{
	ServerHang: workload.Hang, ServerTruncate: workload.Truncate, ServerDuplicate: workload.Duplicate, ServerShed: workload.Shed,
}

func (w *Cluster) strikeProcess(f Fault) {
	p := w.processes[f.Target%len(w.processes)]
	disk := w.processes[w.plan.Fronts+f.Target%w.plan.Stores]
	switch f.Kind {
	case Pause:
		if _, sent := p.signal(syscall.SIGSTOP, false); sent {
			time.Sleep(f.For)
			p.resume()
		}
	case Kill:
		w.restart(p, syscall.SIGKILL, f.For, nil)
	case Term:
		w.restart(p, syscall.SIGTERM, f.For, nil)
	case DiskWipe:
		w.restart(disk, syscall.SIGKILL, f.For, os.RemoveAll)
	case TornWrite:
		w.restart(disk, syscall.SIGKILL, f.For, tear)
	case KillAll:
		var all sync.WaitGroup
		for _, p := range w.processes {
			all.Go(func() { w.restart(p, syscall.SIGKILL, f.For, nil) })
		}
		all.Wait()
	}
}

// tear adds to the newest file what a write that was never synced may leave.
func tear(dir string) error {
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

func (w *Cluster) strikeStore(f Fault) {
	switch f.Kind {
	case StoreCompact:
		w.store.Compact()
		return
	case StoreDown:
		w.store.SetFault(func(r http.ResponseWriter) { r.WriteHeader(http.StatusServiceUnavailable) }, false)
	case StoreHang:
		w.store.SetFault(func(http.ResponseWriter) { time.Sleep(f.For) }, false)
	case StoreLost:
		w.store.SetFault(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, true)
	}
	time.Sleep(f.For)
	w.store.SetFault(nil, false)
}

// strikeLinks harms a daemon's link to the store, that from its callers, and that of one server.
func (w *Cluster) strikeLinks(f Fault) {
	m := map[Kind]mode{LinkDelay: delay, LinkReset: reset, LinkOneWay: oneWay, LinkBlackhole: silent}[f.Kind]
	p := w.processes[f.Target%len(w.processes)]
	links := []*proxy{p.store, w.servers[f.Target%len(w.servers)].link}
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

// replaceServer drains a server; after a while another one answers at its address.
func (w *Cluster) replaceServer(f Fault) {
	s := w.servers[f.Target%len(w.servers)]
	old := s.Drain()
	w.store.SetServer(old)
	time.Sleep(f.For)
	w.store.RemoveServer(old.ID.Server)
	w.store.SetServer(s.Replace())
}

// spoilEntry writes over a server's entry what no server writes, and lets the server write its own again.
func (w *Cluster) spoilEntry(f Fault) {
	s := w.servers[f.Target%len(w.servers)]
	entry := s.Entry()
	odd := platformtest.InvalidEntries(entry)
	w.store.Set("servers", entry.ID.Server, odd[int(f.At/time.Millisecond)%len(odd)])
	time.Sleep(f.For)
	w.store.SetServer(s.Entry())
}

const (
	// boundedName is an organisation whose callers ask for more than its limit, boundedCallers how many there are.
	boundedName    = "west"
	boundedCallers = 3
	boundedRate    = 20
	// withdrawal is within which a withdrawn key must be refused everywhere.
	withdrawal = 5 * time.Second
	// quotaWindow is the time over which limits are looked at; excess and slack are what may be exceeded there.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
)

// setBounded takes the bounded organisation away, or brings it back.
func (w *Cluster) setBounded(there bool) {
	w.mu.Lock()
	w.withdrawn = !there
	w.mu.Unlock()
	w.configure()
	from := time.Time{}
	if !there {
		from = time.Now().Add(withdrawal)
	}
	w.checker.RecordRevocation(boundedName, from)
}

// checkLimit asks that no window held more of the bounded organisation's requests than is borne.
func (w *Cluster) checkLimit() {
	allowed := (boundedRate*quotaWindow.Seconds()+boundedRate)*(1+quotaExcess) + quotaSlack
	if n := w.checker.MaxRunsWithin(boundedName, quotaWindow); float64(n) > allowed {
		w.checker.AddViolation("%d requests of %s ran within %v, of %.0f", n, boundedName, quotaWindow, allowed)
	}
}

// heal waits until every fault has been undone and every process runs.
func (w *Cluster) heal() {
	w.wg.Wait()
	for _, s := range w.servers {
		s.link.set(pass)
	}
	if err := w.awaitReady(); err != nil {
		w.checker.AddViolation("after the faults: %v", err)
	}
}

// checkRecovery asks that every caller's last program goes on, and a new one runs whole.
func (w *Cluster) checkRecovery(callers []*workload.Caller) {
	var wg sync.WaitGroup
	for _, c := range callers {
		wg.Go(c.CheckRecovery)
	}
	wg.Wait()
}
