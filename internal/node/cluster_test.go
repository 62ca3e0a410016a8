package node

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/platform"
	"github.com/rookpass/rookpass/platform/platformtest"
)

func TestMain(m *testing.M) {
	testbubble.Prepare()
	// The first use of signals starts a goroutine of the process, which must be outside of synctest bubbles.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	signal.Stop(signals)
	os.Exit(m.Run())
}

const (
	defaultFronts  = 3
	defaultStores  = 4
	defaultServers = 6
	storeHost      = "platform"
	storeAddress   = storeHost + ":1"
	// smallestMemory is the memory of the smallest VM.
	smallestMemory = 112 << 20
)

// cluster is a whole system in virtual time: the daemons as in production, with stand-ins for the platform, servers and
// callers, on a network in memory.
type cluster struct {
	t        *testing.T
	fabric   *memnet.Fabric
	platform *platformtest.Store
	checker  *workload.Checker
	servers  []*workload.Server
	fronts   []*vm
	stores   []*vm
	dir      string
	seeds    []string
	ended    sync.WaitGroup

	// maxRevocationDelay is the time within which a revoked key must be refused everywhere; 0 for no limit.
	maxRevocationDelay time.Duration
	// maxEvacuationDelay is the time within which requests to an evacuated data centre must end; 0 if there are no
	// evacuations.
	maxEvacuationDelay time.Duration
	// output receives the daemons' log; nil for the default.
	output io.Writer
	// serverCount is the number of backend servers; 0 for defaultServers.
	serverCount int

	mu      sync.Mutex
	version int64
	// processes are those of the backend servers.
	processes []*http.Server
	// organisations are those of the current configuration.
	organisations []platformtest.Organisation
}

// vm is a VM and the daemon that runs on it.
type vm struct {
	name, ip, role, dataCentre string
	starts, diskGeneration     int
	// host is the name of the running daemon on the network; each start gets another one.
	host string
	stop context.CancelFunc
	done chan struct{}
	// disk is the file system of a store VM.
	disk *faultfs.FS
	// front is the front daemon that runs, nil for store daemons.
	front *front
}

func (m *vm) callerAddress() string { return m.ip + ":8149" }

func newCluster(t *testing.T) *cluster { return newClusterOf(t, defaultFronts, defaultStores) }

// newClusterOf returns a cluster with the given numbers of VMs, spread over three data centres.
func newClusterOf(t *testing.T, fronts, stores int) *cluster {
	return newRevocationCluster(t, fronts, stores, 0)
}

// newLoggedCluster returns a cluster that writes the daemons' log to lines.
func newLoggedCluster(t *testing.T, lines io.Writer) *cluster {
	return newClusterWith(t, defaultFronts, defaultStores, &cluster{output: lines})
}

// newRevocationCluster returns a cluster in which a revoked key must be refused within maxRevocationDelay.
func newRevocationCluster(t *testing.T, fronts, stores int, maxRevocationDelay time.Duration) *cluster {
	return newClusterWith(t, fronts, stores, &cluster{maxRevocationDelay: maxRevocationDelay})
}

// newClusterWith completes a cluster in which some fields are set, and starts it.
func newClusterWith(t *testing.T, fronts, stores int, w *cluster) *cluster {
	w.t, w.fabric, w.platform, w.checker, w.dir = t, memnet.New(), platformtest.NewStore(), workload.NewChecker(), t.TempDir()
	w.organisations = workload.Organisations()
	w.serve(storeHost, storeAddress, w.platform)
	for i := range cmp.Or(w.serverCount, defaultServers) {
		address := fmt.Sprintf("server-%d:1", i)
		s := workload.NewServer(i, address, w.checker)
		w.servers = append(w.servers, s)
		w.processes = append(w.processes, nil)
		w.startServer(i)
		w.platform.SetServer(s.Entry())
	}
	w.publishConfig()
	for i := range stores {
		w.seeds = append(w.seeds, fmt.Sprintf("10.1.0.%d:8144", i+1))
		w.stores = append(w.stores, &vm{name: fmt.Sprint("store-", i), ip: fmt.Sprint("10.1.0.", i+1), role: "store", dataCentre: fmt.Sprint("dc", i%3), disk: faultfs.New()})
	}
	for i := range fronts {
		w.fronts = append(w.fronts, &vm{name: fmt.Sprint("front-", i), ip: fmt.Sprint("10.0.0.", i+1), role: "front", dataCentre: fmt.Sprint("dc", i%3)})
	}
	for _, m := range w.vms() {
		w.start(m, true)
	}
	t.Cleanup(w.close)
	w.awaitReady()
	return w
}

func (c *cluster) vms() []*vm { return append(append([]*vm(nil), c.stores...), c.fronts...) }

// serve answers at an address of a host until the test ends.
func (c *cluster) serve(host, address string, handler http.Handler) {
	c.serveWith(host, address, &http.Server{Handler: handler})
}

func (c *cluster) serveWith(host, address string, server *http.Server) {
	listener, err := c.fabric.Listen(host, address)
	assert.NilError(c.t, err)
	go func() { _ = server.Serve(listener) }()
	c.t.Cleanup(func() { _ = server.Close() })
}

// serverHost returns the name of a backend server's host.
func serverHost(i int) string { return fmt.Sprint("server-", i) }

// startServer starts the process of a backend server.
func (c *cluster) startServer(i int) {
	s := c.servers[i]
	process := &http.Server{Handler: s, ConnContext: s.ConnContext}
	c.mu.Lock()
	c.processes[i] = process
	c.mu.Unlock()
	c.serveWith(serverHost(i), s.Entry().Address, process)
}

// publishConfig publishes the next version of the configuration and returns it.
func (c *cluster) publishConfig() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	c.platform.SetConfig(workload.Config(c.version), c.organisations...)
	return c.version
}

func (c *cluster) newestVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// start starts a daemon on its VM's disk. first tells that the system starts for the first time.
func (c *cluster) start(m *vm, first bool) {
	m.starts++
	m.host = fmt.Sprintf("%s/%d", m.name, m.starts)
	settings := platform.Settings{
		Node: m.name, IP: m.ip, DataCentre: m.dataCentre, FirstStart: first, Seeds: c.seeds[:3],
		FirstPort: 7380, MemoryBytes: smallestMemory, MaxDescriptors: 4096, ToleratedDiskFailures: 1,
		StoreAddress: storeAddress, StopGrace: 8 * time.Second, Heartbeat: 1200 * time.Millisecond,
		MaxRevocationDelay: c.maxRevocationDelay, MaxConfigDelay: configDeadline, MaxEvacuationDelay: c.maxEvacuationDelay, Quota: quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: 20},
	}
	if m.role == "front" {
		settings.CallerAddress, settings.ReadyAddress = m.callerAddress(), m.ip+":8141"
	} else {
		settings.ControlAddress = m.ip + ":8144"
		settings.DataDir = filepath.Join(c.dir, fmt.Sprint(m.name, ".", m.diskGeneration))
	}
	name := m.host
	b, err := newBase(host{
		listen: func(address string) (net.Listener, error) { return c.fabric.Listen(name, address) },
		dial: func(ctx context.Context, _, address string) (net.Conn, error) {
			return c.fabric.Dial(ctx, name, address)
		},
		disk:   m.disk,
		load:   func() (platform.Settings, error) { return settings, nil },
		output: c.logOutput(),
		// The limit would apply to all daemons and callers of the test together.
		limitMemory: func(int64) {},
	}, settings, "info", m.role)
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	m.stop, m.done = cancel, done
	if m.role == "front" {
		m.front = newFront(b)
	}
	f := m.front
	c.ended.Go(func() {
		defer close(done)
		if m.role == "front" {
			err = f.run(ctx)
		} else {
			err = b.runStore(ctx)
		}
		b.logStop("test", ignoreCanceled(err))
	})
}

// lockedBuffer is a buffer that several daemons may write to.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// logOutput returns where daemons log: output if set, else standard error if ROOKPASS_TEST_LOG is set.
func (c *cluster) logOutput() io.Writer {
	if c.output != nil {
		return c.output
	}
	if os.Getenv("ROOKPASS_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

// kill ends a daemon's process at once.
func (c *cluster) kill(m *vm) {
	c.fabric.Kill(m.host)
	m.stop()
	if m.role == "store" {
		<-m.done // it must not write to the disk of its next start
	}
}

// restart kills a daemon and starts it again after a time; lost tells that its disk comes back empty.
func (c *cluster) restart(m *vm, after time.Duration, lost bool) {
	c.kill(m)
	time.Sleep(after)
	if lost {
		m.diskGeneration++
	}
	c.start(m, false)
}

// cut disconnects a daemon from some hosts for a time.
func (c *cluster) cut(m *vm, hosts []string, d time.Duration) {
	for _, h := range hosts {
		c.fabric.Partition(m.host, h)
	}
	time.Sleep(d)
	for _, h := range hosts {
		c.fabric.Heal(m.host, h)
	}
}

func hostNames(vms []*vm) []string {
	var names []string
	for _, m := range vms {
		names = append(names, m.host)
	}
	return names
}

// caller returns a caller that knows all fronts.
func (w *cluster) caller(seed uint64) *workload.Caller {
	var addresses []string
	for _, m := range w.fronts {
		addresses = append(addresses, m.callerAddress())
	}
	c := workload.NewCaller(addresses, w.checker, seed, w.dial)
	w.t.Cleanup(c.Close)
	return c
}

func (c *cluster) dial(ctx context.Context, _, address string) (net.Conn, error) {
	return c.fabric.Dial(ctx, "callers", address)
}

// awaitReady waits until every front reports that it is ready.
func (c *cluster) awaitReady() {
	transport := &http.Transport{DialContext: c.dial, DisableKeepAlives: true}
	client := &http.Client{Transport: transport, Timeout: time.Second}
	for _, m := range c.fronts {
		ready := func() bool {
			resp, err := client.Get("http://" + m.ip + ":8141/readiness")
			if err != nil {
				return false
			}
			_ = resp.Body.Close()
			return resp.StatusCode == http.StatusOK
		}
		for tries := 0; !ready(); tries++ {
			if tries == 400 {
				c.t.Fatal(m.name + " is not ready after " + strconv.Itoa(tries) + " requests")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (c *cluster) close() {
	for _, m := range c.vms() {
		c.kill(m)
	}
	c.ended.Wait()
}
