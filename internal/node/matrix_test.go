package node

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// faultTime is how long a fault lasts, workTime how long work goes on around it.
	faultTime = 2500 * time.Millisecond
	workTime  = 8 * time.Second
	// changePause is the time between two changes of operators or servers.
	changePause = 700 * time.Millisecond
	// inForce is how soon a configuration must be served by fronts that nothing struck, or after the last fault.
	inForce = 3 * time.Second
)

// blow is one kind of fault of the matrix.
type blow struct {
	name string
	// strike does it and undoes it.
	strike func(w *world)
	// front is the front that it strikes, or -1; news tells that word of the platform may come late everywhere.
	front int
	news  bool
}

func blows() []blow {
	front := func(w *world) *member { return w.fronts[0] }
	disk := func(w *world) *member { return w.stores[0] }
	store := func(fault func(http.ResponseWriter), late bool) func(*world) {
		return func(w *world) {
			w.platform.SetFault(fault, late)
			time.Sleep(faultTime)
			w.platform.SetFault(nil, false)
		}
	}
	server := func(f workload.Fault) func(*world) {
		return func(w *world) {
			for _, s := range w.servers[:2] { // one of each service
				s.SetFault(f)
			}
			time.Sleep(faultTime)
			for _, s := range w.servers[:2] {
				s.SetFault("")
			}
		}
	}
	frozen := func(m func(*world) *member) func(*world) {
		return func(w *world) {
			w.checker.AllowLateArrivals(time.Now().Add(faultTime + time.Second))
			w.fabric.Freeze(m(w).host)
			time.Sleep(faultTime)
			w.fabric.Thaw(m(w).host)
		}
	}
	return []blow{
		{"nothing", func(*world) { time.Sleep(faultTime) }, -1, false},
		{"front killed", func(w *world) { w.restart(front(w), faultTime, false) }, 0, false},
		{"front stopped in order", func(w *world) {
			m := front(w)
			m.stop()
			<-m.done
			w.start(m, false)
		}, 0, false},
		{"front frozen", frozen(front), 0, false},
		{"front cut off from the disks", func(w *world) { w.cut(front(w), hosts(w.stores), faultTime) }, 0, false},
		{"front cut off from the platform", func(w *world) { w.cut(front(w), []string{storeHost}, faultTime) }, -1, false},
		{"disk's daemon killed", func(w *world) { w.restart(disk(w), faultTime, false) }, -1, false},
		{"disk lost", func(w *world) { w.restart(disk(w), faultTime, true) }, -1, false},
		{"disk's daemon frozen", frozen(disk), -1, true},
		{"disk cut off from the platform", func(w *world) { w.cut(disk(w), []string{storeHost}, faultTime) }, -1, false},
		{"disk cut off from the fronts", func(w *world) { w.cut(disk(w), hosts(w.fronts), faultTime) }, -1, false},
		{"disk cut off from the others", func(w *world) { w.cut(disk(w), hosts(w.stores[1:]), faultTime) }, -1, false},
		{"disk retired", func(w *world) {
			w.platform.Set("retirements", disk(w).name, map[string]float64{"duration_s": 8})
			time.Sleep(faultTime)
		}, -1, false},
		{"all disks' daemons killed", func(w *world) { w.restartAll(w.stores) }, -1, true},
		{"a disk lost while all others' daemons are killed", func(w *world) {
			disk(w).disks++
			w.restartAll(w.stores)
		}, -1, true},
		{"everything killed", func(w *world) { w.restartAll(w.members()) }, 0, true},
		{"platform refuses", store(func(r http.ResponseWriter) { r.WriteHeader(http.StatusServiceUnavailable) }, false), -1, true},
		{"platform silent", store(func(http.ResponseWriter) { time.Sleep(faultTime) }, false), -1, true},
		{"platform loses answers", store(func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, true), -1, true},
		{"platform forgets its history", func(w *world) {
			w.platform.Compact()
			time.Sleep(faultTime)
		}, -1, false},
		{"servers hang", server(workload.Hang), -1, false},
		{"servers break answers off", server(workload.Truncate), -1, false},
		{"servers are full", server(workload.Shed), -1, false},
		{"servers start again under their names", (*world).restartServers, -1, false},
		{"servers start again while the platform is silent", func(w *world) {
			w.platform.SetFault(func(http.ResponseWriter) { time.Sleep(faultTime) }, false)
			w.restartServers()
			w.platform.SetFault(nil, false)
		}, -1, true},
		{"another writer spoils entries", (*world).spoilEntries, -1, false},
	}
}

// noticed is how long after a server's new start its entry says so: its first write.
const noticed = 300 * time.Millisecond

// restartServers crashes one server of each service silently, and starts it again under its name.
func (w *world) restartServers() {
	for _, s := range w.servers[:2] {
		s.Restart()
	}
	time.Sleep(noticed)
	for _, s := range w.servers[:2] {
		w.platform.SetServer(s.Entry())
	}
	time.Sleep(faultTime - noticed)
}

// spoilEntries writes over the entries of one server of each service what no server writes, and then lets the servers
// write theirs again.
func (w *world) spoilEntries() {
	var spoilt []string
	for i, s := range w.servers[:2] {
		entry := s.Entry()
		w.platform.Set("servers", entry.ID.Server, platformtest.InvalidEntries(entry)[i])
		w.checker.RecordDraining(entry.ID.Server)
		spoilt = append(spoilt, entry.ID.Server)
	}
	time.Sleep(faultTime + time.Second) // a second longer than requests may still reach them
	for i, s := range w.servers[:2] {
		entry := s.Entry()
		if entry.ID.Server == spoilt[i] && !entry.Draining {
			w.checker.RecordReturned(spoilt[i])
		}
		w.platform.SetServer(entry)
	}
}

// restartAll kills daemons together, and starts them again.
func (w *world) restartAll(members []*member) {
	for _, m := range members {
		w.kill(m)
	}
	time.Sleep(faultTime / 2)
	for _, m := range members {
		w.start(m, false)
	}
}

// moments are when blows fall after work has begun.
var moments = map[string][]time.Duration{
	"at first":     {0},
	"amid work":    {1300 * time.Millisecond},
	"twice in row": {400 * time.Millisecond, 4200 * time.Millisecond},
}

// row is what is asked for while blows fall.
type row struct {
	name string
	work func(w *world, b blow, stop <-chan struct{})
	// least is the outcome that must have been seen.
	least string
}

func rows() []row {
	asks := func(work workload.Work) func(*world, blow, <-chan struct{}) {
		return func(w *world, _ blow, stop <-chan struct{}) { w.ask(work, stop) }
	}
	return []row{
		{"programs", asks(workload.Programs), "turn whole"},
		{"turns that are not kept", asks(workload.ResumablePrograms), "question whole"},
		{"turns of forked lines", asks(workload.ForkedTurns), "turn whole"},
		{"turns beyond a budget", asks(workload.ForkedBudgets), "status 402"},
		{"calls that must not run twice", asks(workload.AtMostOnceCalls), "call whole"},
		{"lookups", asks(workload.IdempotentCalls), "call whole"},
		{"configurations", (*world).changeConfigurations, ""},
		{"servers that leave", (*world).replaceServers, "call whole"},
	}
}

// ask lets callers ask for work until stop is closed, and asks that they are served afterwards.
func (w *world) ask(work workload.Work, stop <-chan struct{}) {
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

// changeConfigurations brings version after version, and asks that no front goes back and that those which nothing
// struck have each in force soon.
func (w *world) changeConfigurations(b blow, stop <-chan struct{}) {
	c := w.caller(1)
	var wg sync.WaitGroup
	for running := true; running; {
		version := w.configure()
		for i, m := range w.fronts {
			wg.Go(func() {
				time.Sleep(inForce)
				if !c.HasConfigVersion(m.callers(), m.host, version) && i != b.front && !b.news {
					w.checker.AddViolation("%s does not serve version %d, set %v ago", m.host, version, inForce)
				}
			})
			wg.Go(func() { c.HasConfigVersion(m.callers(), m.host, version) })
		}
		select {
		case <-stop:
			running = false
		case <-time.After(changePause):
		}
	}
	wg.Wait()
	w.awaitReady()
	time.Sleep(inForce)
	for _, m := range w.fronts {
		if !c.HasConfigVersion(m.callers(), m.host, w.newest()) {
			w.checker.AddViolation("%s does not serve the newest version after the faults", m.host)
		}
	}
}

// replaceServers lets one server after the other leave and come back as another, while callers ask for calls.
func (w *world) replaceServers(b blow, stop <-chan struct{}) {
	if b.news {
		w.checker.AllowLateArrivals(time.Now().Add(time.Hour))
	}
	var wg sync.WaitGroup
	wg.Go(func() { w.ask(workload.IdempotentCalls, stop) })
	for i := 0; ; i++ {
		s := w.servers[i%len(w.servers)]
		wg.Go(func() {
			old := s.Drain()
			w.platform.SetServer(old)
			time.Sleep(2500 * time.Millisecond)
			w.platform.RemoveServer(old.ID.Server)
			w.platform.SetServer(s.Replace())
		})
		select {
		case <-stop:
			wg.Wait()
			return
		case <-time.After(changePause):
		}
	}
}

// TestPlatformMatrix asks for every kind of work while every kind of fault strikes, at several moments.
func TestPlatformMatrix(t *testing.T) {
	for _, r := range rows() {
		for _, b := range blows() {
			for when, times := range moments {
				t.Run(strings.ReplaceAll(fmt.Sprintf("%s/%s/%s", r.name, b.name, when), " ", "-"), func(t *testing.T) {
					t.Parallel()
					testbubble.Run(t, func(t *testing.T) { playCell(t, r, b, times) })
				})
			}
		}
	}
}

func playCell(t *testing.T, r row, b blow, times []time.Duration) {
	w := newWorld(t)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() { r.work(w, b, stop) })
	began := time.Now()
	for _, at := range times {
		time.Sleep(time.Until(began.Add(at)))
		b.strike(w)
	}
	time.Sleep(time.Until(began.Add(workTime)))
	close(stop)
	wg.Wait()
	broken := w.checker.Violations()
	assert.Equal(t, len(broken), 0, "%s\n%v", strings.Join(broken, "\n"), w.checker.Counts())
	if r.least != "" {
		assert.Assert(t, w.checker.Counts()[r.least] > 0, "nothing ended as %q: %v", r.least, w.checker.Counts())
	}
}

// TestRetirementIsReported: through the platform's objects, as an operator sees it.
func TestRetirementIsReported(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		w := newWorld(t)
		w.platform.Set("retirements", "store-2", map[string]float64{"duration_s": 8})
		for tries := 0; !strings.Contains(w.platform.Status("retirements", "store-2"), "completed"); tries++ {
			assert.Assert(t, tries < 100, "status %s", w.platform.Status("retirements", "store-2"))
			time.Sleep(100 * time.Millisecond)
		}
	})
}
