package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// faultDuration is how long a fault lasts, workDuration how long callers work around it.
	faultDuration = 2500 * time.Millisecond
	workDuration  = 8 * time.Second
	// changeInterval is the time between two changes by operators or servers.
	changeInterval = 700 * time.Millisecond
	// configDeadline is the time within which fronts must serve a configuration: unaffected ones after it is published,
	// others after the last fault.
	configDeadline = 3 * time.Second
)

// stalledCalls is the number of calls of callers that stall at each front: more than fit into its memory.
const stalledCalls = 90

// fault is one kind of fault of the matrix.
type fault struct {
	name string
	// inject causes the fault and ends it.
	inject func(w *cluster)
	// affectedFront is the index of the front that the fault affects, or -1. delaysUpdates tells that updates from the
	// platform may be late at every daemon.
	affectedFront int
	delaysUpdates bool
}

// stopsStores has the faults in which all store daemons are away together and lose what they keep in memory.
var stopsStores = map[string]bool{"all disks' daemons killed": true, "a disk lost while all others' daemons are killed": true, "everything killed": true}

func faults() []fault {
	front := func(w *cluster) *vm { return w.fronts[0] }
	disk := func(w *cluster) *vm { return w.stores[0] }
	store := func(fault func(http.ResponseWriter), late bool) func(*cluster) {
		return func(w *cluster) {
			w.platform.SetFault(fault, late)
			time.Sleep(faultDuration)
			w.platform.SetFault(nil, false)
		}
	}
	server := func(f workload.Fault) func(*cluster) {
		return func(w *cluster) {
			for _, s := range w.servers[:2] { // one of each service
				s.SetFault(f)
			}
			time.Sleep(faultDuration)
			for _, s := range w.servers[:2] {
				s.SetFault("")
			}
		}
	}
	frozen := func(m func(*cluster) *vm) func(*cluster) {
		return func(w *cluster) {
			w.checker.AllowLateArrivals(time.Now().Add(faultDuration + time.Second))
			w.fabric.Freeze(m(w).host)
			time.Sleep(faultDuration)
			w.fabric.Thaw(m(w).host)
		}
	}
	diskFault := func(begin func(*faultfs.FS)) func(*cluster) {
		return func(w *cluster) {
			begin(disk(w).disk)
			time.Sleep(faultDuration)
			disk(w).disk.Repair()
		}
	}
	return []fault{
		{"nothing", func(*cluster) { time.Sleep(faultDuration) }, -1, false},
		{"front killed", func(w *cluster) { w.restart(front(w), faultDuration, false) }, 0, false},
		{"front stopped in order", func(w *cluster) {
			m := front(w)
			m.stop()
			<-m.done
			w.start(m, false)
		}, 0, false},
		{"front frozen", frozen(front), 0, false},
		{"front cut off from the disks", func(w *cluster) { w.cut(front(w), hostNames(w.stores), faultDuration) }, 0, false},
		{"front cut off from the platform", func(w *cluster) { w.cut(front(w), []string{storeHost}, faultDuration) }, -1, false},
		{"disk's daemon killed", func(w *cluster) { w.restart(disk(w), faultDuration, false) }, -1, false},
		{"disk lost", func(w *cluster) { w.restart(disk(w), faultDuration, true) }, -1, false},
		{"disk's daemon frozen", frozen(disk), -1, true},
		{"disk full", diskFault(func(d *faultfs.FS) { d.Refuse(syscall.ENOSPC, faultfs.FullDisk...) }), -1, false},
		{"disk hangs", diskFault(func(d *faultfs.FS) { d.Delay(faultDuration, faultfs.Write, faultfs.Sync) }), -1, false},
		{"disk full and its daemon started again", func(w *cluster) {
			disk(w).disk.Refuse(syscall.ENOSPC, faultfs.FullDisk...)
			w.restart(disk(w), faultDuration/2, false)
			time.Sleep(faultDuration / 2)
			disk(w).disk.Repair()
		}, -1, false},
		{"disk cut off from the platform", func(w *cluster) { w.cut(disk(w), []string{storeHost}, faultDuration) }, -1, false},
		{"disk cut off from the fronts", func(w *cluster) { w.cut(disk(w), hostNames(w.fronts), faultDuration) }, -1, false},
		{"disk cut off from the others", func(w *cluster) { w.cut(disk(w), hostNames(w.stores[1:]), faultDuration) }, -1, false},
		{"disk retired", func(w *cluster) {
			w.platform.Set("retirements", disk(w).name, map[string]float64{"duration_s": 8})
			time.Sleep(faultDuration)
		}, -1, false},
		{"all disks' daemons killed", func(w *cluster) { w.restartAll(w.stores) }, -1, true},
		{"a disk lost while all others' daemons are killed", func(w *cluster) {
			disk(w).diskGeneration++
			w.restartAll(w.stores)
		}, -1, true},
		{"everything killed", func(w *cluster) { w.restartAll(w.vms()) }, 0, true},
		{"platform refuses", store(func(r http.ResponseWriter) { r.WriteHeader(http.StatusServiceUnavailable) }, false), -1, true},
		{"platform silent", store(func(http.ResponseWriter) { time.Sleep(faultDuration) }, false), -1, true},
		{"platform loses answers", store(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, true), -1, true},
		{"platform forgets its history", func(w *cluster) {
			w.platform.Compact()
			time.Sleep(faultDuration)
		}, -1, false},
		{"servers hang", server(workload.Hang), -1, false},
		{"servers break answers off", server(workload.Truncate), -1, false},
		{"servers end whole answers with their connection", server(workload.Unframed), -1, false},
		{"servers close unframed answers early", server(workload.UnframedClose), -1, false},
		{"servers reset unframed answers inside events", server(workload.UnframedReset), -1, false},
		{"servers reset unframed answers between events", server(workload.UnframedResetBetween), -1, false},
		{"servers send whole streams with a length", server(workload.Length), -1, false},
		{"servers close answers with a length early", server(workload.LengthClose), -1, false},
		{"servers reset answers with a length", server(workload.LengthReset), -1, false},
		{"servers close answers in chunks early", server(workload.ChunksClose), -1, false},
		{"servers reset answers in chunks", server(workload.ChunksReset), -1, false},
		{"servers are full", server(workload.Shed), -1, false},
		{"servers start again under their names", (*cluster).restartServers, -1, false},
		{"servers start again while the platform is silent", func(w *cluster) {
			w.platform.SetFault(func(http.ResponseWriter) { time.Sleep(faultDuration) }, false)
			w.restartServers()
			w.platform.SetFault(nil, false)
		}, -1, true},
		{"callers stall", (*cluster).stallCallers, -1, false},
		{"callers stall and servers read requests late", func(w *cluster) {
			for _, s := range w.servers[:2] { // one of each service
				s.SetFault(workload.ReadLate)
			}
			w.stallCallers()
			for _, s := range w.servers[:2] {
				s.SetFault("")
			}
		}, -1, false},
		{"another writer spoils entries", (*cluster).overwriteEntries, -1, false},
	}
}

// stallCallers sends calls of slow callers to all fronts, and checks that the fronts stay within their memory.
func (c *cluster) stallCallers() {
	caller := c.caller(0)
	var wg sync.WaitGroup
	for _, m := range c.fronts {
		wg.Go(func() { caller.Stall(m.callerAddress(), stalledCalls, faultDuration) })
	}
	wg.Wait()
	for _, m := range c.fronts {
		if peak, limit := m.front.memory.Peak(), m.front.memory.Limit(); peak > limit {
			c.checker.AddViolation("%s held %d bytes for callers and servers, limit %d", m.host, peak, limit)
		}
	}
}

// restartNoticeDelay is the time from a server's restart until its entry shows it.
const restartNoticeDelay = 300 * time.Millisecond

// restartServers restarts one server of each service under its old name, without notice.
func (c *cluster) restartServers() {
	for _, s := range c.servers[:2] {
		s.Restart()
	}
	time.Sleep(restartNoticeDelay)
	for _, s := range c.servers[:2] {
		c.platform.SetServer(s.Entry())
	}
	time.Sleep(faultDuration - restartNoticeDelay)
}

// overwriteEntries replaces the entries of one server of each service by invalid ones, and later restores them.
func (c *cluster) overwriteEntries() {
	var overwritten []string
	for i, s := range c.servers[:2] {
		entry := s.Entry()
		c.platform.Set("servers", entry.ID.Server, platformtest.InvalidEntries(entry)[i])
		c.checker.RecordDraining(entry.ID.Server)
		overwritten = append(overwritten, entry.ID.Server)
	}
	time.Sleep(faultDuration + time.Second) // a second longer than requests may still arrive
	for i, s := range c.servers[:2] {
		entry := s.Entry()
		if entry.ID.Server == overwritten[i] && !entry.Draining {
			c.checker.RecordReturned(overwritten[i])
		}
		c.platform.SetServer(entry)
	}
}

// restartAll kills daemons together and starts them again.
func (c *cluster) restartAll(vms []*vm) {
	for _, m := range vms {
		c.kill(m)
	}
	time.Sleep(faultDuration / 2)
	for _, m := range vms {
		c.start(m, false)
	}
}

// faultTimes are the times of the faults after the start of the work.
var faultTimes = map[string][]time.Duration{
	"at first":     {0},
	"amid work":    {1300 * time.Millisecond},
	"twice in row": {400 * time.Millisecond, 4200 * time.Millisecond},
}

// workloadCase is the work that callers request while faults occur.
type workloadCase struct {
	name string
	work func(w *cluster, f fault, stop <-chan struct{})
	// wantOutcome is an outcome that must occur at least once; empty for none.
	wantOutcome string
	// servers is the number of backend servers; 0 for defaultServers.
	servers int
}

func workloadCases() []workloadCase {
	withCallers := func(work workload.Work) func(*cluster, fault, <-chan struct{}) {
		return func(w *cluster, _ fault, stop <-chan struct{}) { w.runCallers(work, stop) }
	}
	return []workloadCase{
		{"programs", withCallers(workload.Programs), "turn whole", 0},
		{"turns that are not kept", withCallers(workload.ResumablePrograms), "question whole", 0},
		{"turns of forked lines", withCallers(workload.ForkedTurns), "turn whole", 0},
		{"turns beyond a budget", withCallers(workload.ForkedBudgets), "status 402", 0},
		{"calls that must not run twice", withCallers(workload.AtMostOnceCalls), "call whole", 0},
		{"lookups", withCallers(workload.IdempotentCalls), "call whole", 0},
		{"configurations", (*cluster).changeConfigurations, "", 0},
		{"servers that leave", (*cluster).replaceServers, "call whole", 0},
		{"requests that end servers", (*cluster).sendFatalRequests, "call whole", 36},
	}
}

// runCallers runs callers until stop is closed, and then checks that they are served.
func (w *cluster) runCallers(work workload.Work, stop <-chan struct{}) {
	var wg sync.WaitGroup
	for i := range uint64(3) {
		c := w.caller(i)
		wg.Go(func() {
			c.Run(work, stop)
			w.awaitReady()
			c.CheckRecovery()
		})
	}
	wg.Wait()
}

// changeConfigurations publishes one version after the other. It checks that no front goes back to an earlier version,
// and that unaffected fronts serve each within configDeadline.
func (w *cluster) changeConfigurations(f fault, stop <-chan struct{}) {
	c := w.caller(1)
	var wg sync.WaitGroup
	for running := true; running; {
		version := w.publishConfig()
		for i, m := range w.fronts {
			wg.Go(func() {
				time.Sleep(configDeadline)
				if !c.HasConfigVersion(m.callerAddress(), m.host, version) && i != f.affectedFront && !f.delaysUpdates {
					w.checker.AddViolation("%s does not serve version %d, set %v ago", m.host, version, configDeadline)
				}
			})
			wg.Go(func() { c.HasConfigVersion(m.callerAddress(), m.host, version) })
		}
		select {
		case <-stop:
			running = false
		case <-time.After(changeInterval):
		}
	}
	wg.Wait()
	w.awaitReady()
	time.Sleep(configDeadline)
	for _, m := range w.fronts {
		if !c.HasConfigVersion(m.callerAddress(), m.host, w.newestVersion()) {
			w.checker.AddViolation("%s does not serve the newest version after the faults", m.host)
		}
	}
}

// replaceServers drains one server after the other and brings it back under another name, while callers send calls.
func (c *cluster) replaceServers(f fault, stop <-chan struct{}) {
	if f.delaysUpdates {
		c.checker.AllowLateArrivals(time.Now().Add(time.Hour))
	}
	var wg sync.WaitGroup
	wg.Go(func() { c.runCallers(workload.IdempotentCalls, stop) })
	for i := 0; ; i++ {
		s := c.servers[i%len(c.servers)]
		wg.Go(func() {
			old := s.Drain()
			c.platform.SetServer(old)
			time.Sleep(2500 * time.Millisecond)
			c.platform.RemoveServer(old.ID.Server)
			c.platform.SetServer(s.Replace())
		})
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(changeInterval):
		}
	}
}

// TestFaultMatrix runs every kind of work under every kind of fault, at several times.
func TestFaultMatrix(t *testing.T) {
	for _, r := range workloadCases() {
		for _, b := range faults() {
			for when, times := range faultTimes {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", r.name, b.name, when), " ", "-"), func(t *testing.T) {
					t.Parallel()
					testbubble.Run(t, func(t *testing.T) { runMatrixCase(t, r, b, times) })
				})
			}
		}
	}
}

func runMatrixCase(t *testing.T, wc workloadCase, f fault, times []time.Duration) {
	w := newClusterWith(t, defaultFronts, defaultStores, &cluster{serverCount: wc.servers})
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { wc.work(w, f, stop) })
	began := time.Now()
	for _, at := range times {
		time.Sleep(time.Until(began.Add(at)))
		f.inject(w)
	}
	time.Sleep(time.Until(began.Add(workDuration)))
	close(stop)
	wg.Wait()
	violations := w.checker.Violations()
	assert.Equal(t, len(violations), 0, "%s\n%v", strings.Join(violations, "\n"), w.checker.Counts())
	if wc.wantOutcome != "" {
		assert.Assert(t, w.checker.Counts()[wc.wantOutcome] > 0, "no request ended as %q: %v", wc.wantOutcome, w.checker.Counts())
	}
}

// TestRetirementIsReported checks that operators see the progress of a retirement in the platform's objects.
func TestRetirementIsReported(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		w := newCluster(t)
		w.platform.Set("retirements", "store-2", map[string]float64{"duration_s": 8})
		for tries := 0; !strings.Contains(w.platform.Status("retirements", "store-2"), "completed"); tries++ {
			assert.Assert(t, tries < 100, "status %s", w.platform.Status("retirements", "store-2"))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
