package crowds

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// The limits of the daemons and of their callers. Peak memory and open descriptors must stay within the first two.
const (
	frontMemoryMB    = 64
	frontDescriptors = 600
	storeMemoryMB    = 96
	storeDescriptors = 600
	headerBytes      = 16384
	bodyBytes        = 4 << 20
	headerTimeout    = 3 * time.Second
	idleTimeout      = 15 * time.Second
	graceSeconds     = 8
)

const (
	// answerPatience bounds the wait for one ordinary answer. It is far above what an answer takes, and shows a daemon that
	// hangs.
	answerPatience = 20 * time.Second
	// readyPatience does the same for the start of the daemons.
	readyPatience = 30 * time.Second
	sampleEvery   = 20 * time.Millisecond
)

// program is the path of the built rookpass-node.
var program string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "crowds")
		if err != nil {
			panic(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		program = filepath.Join(dir, "rookpass-node")
		out, err := exec.Command("go", "build", "-o", program, "github.com/rookpass/rookpass/cmd/rookpass-node").CombinedOutput()
		if err != nil {
			panic(string(out))
		}
		return m.Run()
	}())
}

// daemon is a real process of the system.
type daemon struct {
	t        *testing.T
	settings platformtest.Settings
	dir      string
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool
}

func (d *daemon) address(port int) string { return fmt.Sprintf("%s:%d", d.settings.IP, port) }
func (d *daemon) callers() string         { return d.address(platformtest.CallerPort) }

func (d *daemon) start() {
	path := filepath.Join(d.dir, "settings.toml")
	assert.NilError(d.t, platformtest.WriteSettings(path, d.settings))
	out, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	assert.NilError(d.t, err)
	d.cmd = exec.Command(program, d.settings.Class)
	d.cmd.Env = append(os.Environ(), platformtest.EnvSettings+"="+path, "GOMAXPROCS=1")
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	assert.NilError(d.t, d.cmd.Start())
	limit := unix.Rlimit{Cur: uint64(d.settings.MaxDescriptors), Max: uint64(d.settings.MaxDescriptors)}
	time.Sleep(50 * time.Millisecond) // the runtime raises the limit at its start
	assert.NilError(d.t, unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &limit, nil))
	d.exited, d.stopping, d.settings.FirstStart = make(chan struct{}), false, false
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}(d.cmd, d.exited)
}

func (d *daemon) signal(s syscall.Signal) {
	assert.NilError(d.t, d.cmd.Process.Signal(s))
}

func (d *daemon) kill() {
	if d.alive() {
		d.signal(syscall.SIGKILL)
		<-d.exited
	}
}

func (d *daemon) alive() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// peakMemory returns the highest resident memory in MB since the last call of resetPeak.
func (d *daemon) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	assert.NilError(d.t, err)
	for line := range strings.Lines(string(status)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(d.t, err)
			return kb >> 10
		}
	}
	d.t.Fatal("no VmHWM")
	return 0
}

func (d *daemon) descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)) // none once it has ended
	return len(entries)
}

// tcpListen is the state of a listening socket in /proc/net/tcp.
const tcpListen = "0A"

// connections returns the number of connections that a daemon holds at one of its ports.
func (d *daemon) connections(port int) int {
	table, err := os.ReadFile("/proc/net/tcp")
	assert.NilError(d.t, err)
	ip := net.ParseIP(d.settings.IP).To4()
	local := fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(ip), port) // the kernel shows the address as a number
	count := 0
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		// Sockets without an inode belong to no process any more, or not yet.
		if len(fields) > 9 && fields[1] == local && fields[3] != tcpListen && fields[9] != "0" {
			count++
		}
	}
	return count
}

// checkGivesBack checks that a daemon gives the connections at a port back after their clients have left.
func (d *daemon) checkGivesBack(port int) {
	d.t.Helper()
	left := 0
	for deadline := time.Now().Add(answerPatience); time.Now().Before(deadline); time.Sleep(sampleEvery) {
		if left = d.connections(port); left == 0 {
			return
		}
	}
	d.t.Errorf("%s: %d connections are still held at port %d", d.settings.Node, left, port)
}

// system is three store daemons, fronts, and stand-ins for the platform's store and the backend servers.
type system struct {
	t       *testing.T
	store   *platformtest.Store
	fronts  []*daemon
	stores  []*daemon
	version int64
}

func newSystem(t *testing.T, fronts int) *system {
	s := &system{t: t, store: platformtest.NewStore()}
	storeAddress := s.serve(s.store)
	checker := workload.NewChecker()
	for i := range 4 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := workload.NewServer(i, listener.Addr().String(), checker)
		process := &http.Server{Handler: server, ConnContext: server.ConnContext}
		go func() { _ = process.Serve(listener) }()
		t.Cleanup(func() { _ = process.Close() })
		s.store.SetServer(server.Entry())
	}
	s.publishConfig()
	network := 201 + os.Getpid()%50
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:%d", network, i+1, platformtest.ControlPort))
	}
	add := func(class string, i, subnet, memory, descriptors int) *daemon {
		d := &daemon{t: t, dir: t.TempDir()}
		d.settings = platformtest.Settings{Node: fmt.Sprintf("%s-%d", class, i), Class: class, IP: fmt.Sprintf("127.%d.%d.%d", network, subnet, i+1),
			DataCentre: fmt.Sprint("dc", i%3), FirstStart: true, StoreAddress: storeAddress, Seeds: seeds, ToleratedFailures: 1, GraceSeconds: graceSeconds,
			MemoryMB: memory, MaxDescriptors: descriptors}
		if class == "store" {
			d.settings.DataDir = filepath.Join(d.dir, "data")
		}
		d.start()
		t.Cleanup(d.kill)
		return d
	}
	for i := range 3 {
		s.stores = append(s.stores, add("store", i, 1, storeMemoryMB, storeDescriptors))
	}
	for i := range fronts {
		s.fronts = append(s.fronts, add("front", i, 0, frontMemoryMB, frontDescriptors))
	}
	t.Cleanup(func() {
		for _, d := range slices.Concat(s.fronts, s.stores) {
			if out := os.Getenv("ROOKPASS_TEST_LOG"); t.Failed() && out != "" {
				log, _ := os.ReadFile(filepath.Join(d.dir, "log"))
				_ = os.WriteFile(filepath.Join(out, strings.ReplaceAll(t.Name(), "/", "_")+"-"+d.settings.Node), log, 0o644)
			}
		}
	})
	s.awaitReady()
	return s
}

// run runs a subtest, to which failures of the system and its daemons belong meanwhile.
func (s *system) run(name string, test func(t *testing.T)) {
	outer := s.t
	outer.Run(name, func(t *testing.T) {
		s.setTest(t)
		defer s.setTest(outer)
		test(t)
	})
}

func (s *system) setTest(t *testing.T) {
	s.t = t
	for _, d := range slices.Concat(s.fronts, s.stores) {
		d.t = t
	}
}

func (s *system) serve(handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	s.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// publishConfig publishes the next version of the configuration; each adds a route.
func (s *system) publishConfig() int64 {
	s.version++
	c := workload.Config(s.version)
	c.Limits = catalog.Limits{MaxHeaderBytes: headerBytes, MaxBodyBytes: bodyBytes, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.store.SetConfig(c, workload.Organisations()...)
	return s.version
}

func (s *system) awaitReady() {
	for _, d := range s.fronts {
		eventually(s.t, readyPatience, d.settings.Node+" is ready", func() bool {
			status, _ := get(d.address(platformtest.ReadyPort), "/readiness")
			return status == http.StatusOK
		})
	}
}

func eventually(t *testing.T, patience time.Duration, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(sampleEvery) {
		if time.Now().After(deadline) {
			t.Fatalf("not after %v: %s", patience, what)
		}
	}
}

func get(address, path string) (int, string) {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

var lastID struct {
	sync.Mutex
	n int
}

func nextID() string {
	lastID.Lock()
	defer lastID.Unlock()
	lastID.n++
	return fmt.Sprintf("%016x", lastID.n)
}

// requestHost is the host of workload.Config's routes, organisationKey the key of one of its organisations.
const (
	requestHost     = "agents.example"
	organisationKey = "key-of-north"
)

// requestHead returns the beginning of the head of a proper request: its first line and the fields that it needs.
func requestHead(path string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nApi-Key: %s\r\nX-Rookpass-Request-Id: %s\r\nX-Rookpass-Deadline-Ms: 4000\r\n", path, requestHost, organisationKey, nextID())
}

// lookup sends one ordinary request on a connection of its own and returns its status; 0 if there was no answer.
func lookup(address, path string) (int, string) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	id := nextID()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path+id, strings.NewReader("text"))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = requestHost
	r.Header.Set("Api-Key", organisationKey)
	r.Header.Set("X-Rookpass-Request-Id", id)
	r.Header.Set("X-Rookpass-Deadline-Ms", "4000")
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// checkServes checks that a front daemon serves an ordinary request, after a crowd has left.
func (s *system) checkServes(d *daemon, path string) {
	s.t.Helper()
	status, body := 0, ""
	for deadline := time.Now().Add(answerPatience); status != http.StatusOK && time.Now().Before(deadline); time.Sleep(sampleEvery) {
		if !d.alive() {
			s.t.Errorf("%s has ended", d.settings.Node)
			return
		}
		status, body = lookup(d.callers(), path)
	}
	assert.Check(s.t, status == http.StatusOK, "%s: an ordinary request got %d %q", d.settings.Node, status, body)
}

// watchLimits samples a daemon until the returned function is called, which checks that it lives and has stayed within its
// limits.
func watchLimits(t *testing.T, d *daemon) (check func()) {
	stop, most := make(chan struct{}), make(chan int)
	go func() {
		highest := 0
		for {
			highest = max(highest, d.descriptors())
			select {
			case <-stop:
				most <- highest
				return
			case <-time.After(sampleEvery):
			}
		}
	}()
	return func() {
		t.Helper()
		close(stop)
		descriptors := <-most
		if !d.alive() {
			t.Errorf("%s has ended", d.settings.Node)
			return
		}
		memory := d.peakMemory()
		t.Logf("%s: %d of %d MB, %d of %d descriptors", d.settings.Node, memory, d.settings.MemoryMB, descriptors, d.settings.MaxDescriptors)
		assert.Check(t, memory <= d.settings.MemoryMB, "%s: %d MB of %d MB", d.settings.Node, memory, d.settings.MemoryMB)
		assert.Check(t, descriptors <= d.settings.MaxDescriptors, "%s: %d descriptors of %d", d.settings.Node, descriptors, d.settings.MaxDescriptors)
	}
}
