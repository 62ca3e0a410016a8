package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rookpass/rookpass/internal/testing/workload"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// diskFaultTolerance is the number of disks that may be lost at the same time.
	diskFaultTolerance = 1
	// graceSeconds is the grace period of the daemons after SIGTERM, in seconds.
	graceSeconds = 8
	// readyTimeout bounds the time until a front daemon is ready.
	readyTimeout = 20 * time.Second
)

// server is a backend server behind a proxy that can disturb its connections.
type server struct {
	*workload.Server
	http *http.Server
	link *proxy
}

func startServer(index int, checker *workload.Checker) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	link, err := newProxy(listener.Addr().String())
	if err != nil {
		return nil, err
	}
	s := &server{Server: workload.NewServer(index, link.address(), checker), link: link}
	s.http = &http.Server{Handler: s.Server, ConnContext: s.ConnContext}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

const (
	// serverDowntime is the time from the end of a server until another one starts in its place.
	serverDowntime = 400 * time.Millisecond
	// leaseTime is the time after which the entry of a silent server lapses, silentTime the time until it is replaced.
	leaseTime  = 3600 * time.Millisecond
	silentTime = 5 * time.Second
)

// endOnFatalRequests makes a server end when it runs a fatal request, each time in another way.
func (c *Cluster) endOnFatalRequests(s *server) {
	var down atomic.Bool
	endings := []func(*server){c.endAndReplace, c.replaceAtOnce, c.restartAtOnce, c.silence}
	s.OnFatalRequest(func() {
		if !down.CompareAndSwap(false, true) {
			return // it has ended under another request
		}
		end := endings[c.ends.Add(1)%int64(len(endings))]
		ended := make(chan struct{})
		c.restarts.Go(func() {
			defer down.Store(false)
			defer close(ended)
			end(s)
		})
		<-ended
	})
}

// endAndReplace ends a server. Another one starts later, at another address.
func (c *Cluster) endAndReplace(s *server) {
	s.link.end()
	time.Sleep(serverDowntime)
	c.store.RemoveServer(s.Entry().ID.Server)
	if err := s.link.open(); err != nil {
		c.checker.AddViolation("soak: %v", err)
		return
	}
	c.store.SetServer(s.ReplaceAt(s.link.address()))
}

// replaceAtOnce ends a server. Another one is back at once at its address.
func (c *Cluster) replaceAtOnce(s *server) {
	old := s.Entry()
	entry := s.Replace()
	s.link.resetConns()
	c.store.RemoveServer(old.ID.Server)
	c.store.SetServer(entry)
}

// restartAtOnce ends a server, which is back at once under its name.
func (c *Cluster) restartAtOnce(s *server) {
	entry := s.Restart()
	s.link.resetConns()
	c.store.SetServer(entry)
}

// silence makes a server fall silent. Its entry lapses, and another one takes its place.
func (c *Cluster) silence(s *server) {
	s.link.silence()
	time.Sleep(leaseTime)
	c.store.RemoveServer(s.Entry().ID.Server)
	time.Sleep(silentTime - leaseTime)
	entry := s.Replace()
	s.link.wake()
	c.store.SetServer(entry)
}

// process is one daemon, which may be restarted.
type process struct {
	node, class, ip, dir string
	settings             platformtest.Settings
	// store proxies its connections to the platform's store; callers those from callers, for a front daemon only.
	store, callers *proxy

	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	exitExpected bool
}

// Cluster holds the daemons of a run, the backend servers, and the stand-in for the platform's store.
type Cluster struct {
	plan      Plan
	binary    string
	dir       string
	checker   *workload.Checker
	store     *platformtest.Store
	storeHTTP *http.Server
	// reservation holds the network of the daemons' addresses.
	reservation net.Listener
	processes   []*process
	servers     []*server
	wg          sync.WaitGroup
	// restarts are those of servers that ended under fatal requests, ends their number.
	restarts sync.WaitGroup
	ends     atomic.Int64

	mu      sync.Mutex
	version int64
	// revoked is set while the limited organisation is removed.
	revoked bool
}

// NewCluster starts the stand-ins and the daemons of a plan. firstNetwork is the least second byte of the daemons' loopback
// addresses; a run that finds it in use takes the next one. Settings, data and logs are written to dir. The caller must
// close the cluster if it is not nil, also on an error.
func NewCluster(plan Plan, binary, dir string, firstNetwork int) (*Cluster, error) {
	network, reservation, err := reserveNetwork(firstNetwork)
	if err != nil {
		return nil, err
	}
	c := &Cluster{plan: plan, binary: binary, dir: dir, checker: workload.NewChecker(), store: platformtest.NewStore(), reservation: reservation}
	// Faults overlap: a paused daemon, or one that can't reach the store, does not learn which servers are draining.
	c.checker.AllowLateArrivals(time.Now().Add(24 * time.Hour))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return c, err
	}
	c.storeHTTP = &http.Server{Handler: c.store}
	go func() { _ = c.storeHTTP.Serve(listener) }()
	for i := range plan.Servers {
		s, err := startServer(i, c.checker)
		if err != nil {
			return c, err
		}
		c.servers = append(c.servers, s)
		c.endOnFatalRequests(s)
		c.store.SetServer(s.Entry())
	}
	c.putNextConfig()
	var seeds []string
	for i := range plan.Stores {
		seeds = append(seeds, fmt.Sprintf("127.%d.1.%d:%d", network, i+1, platformtest.ControlPort))
	}
	for i := range plan.Fronts + plan.Stores {
		if err := c.addProcess(i, network, listener.Addr().String(), seeds); err != nil {
			return c, err
		}
	}
	for _, p := range c.processes {
		if err := c.start(p); err != nil {
			return c, err
		}
	}
	return c, c.awaitReady()
}

func (c *Cluster) addProcess(i, network int, store string, seeds []string) error {
	p := &process{class: "front", node: fmt.Sprint("front-", i), ip: fmt.Sprintf("127.%d.0.%d", network, i+1)}
	if i >= c.plan.Fronts {
		j := i - c.plan.Fronts
		p.class, p.node, p.ip = "store", fmt.Sprint("store-", j), fmt.Sprintf("127.%d.1.%d", network, j+1)
	}
	p.dir = filepath.Join(c.dir, p.node)
	link, err := newProxy(store)
	if err != nil {
		return err
	}
	p.store = link
	p.settings = platformtest.Settings{Node: p.node, Class: p.class, IP: p.ip, DataCentre: fmt.Sprint("dc", i%3), FirstStart: true,
		StoreAddress: link.address(), Seeds: seeds[:min(3, len(seeds))], ToleratedFailures: diskFaultTolerance, GraceSeconds: graceSeconds,
		MaxRevocationDelayMS: int(revocationTime.Milliseconds())}
	if p.class == "front" {
		if p.callers, err = newProxy(fmt.Sprintf("%s:%d", p.ip, platformtest.CallerPort)); err != nil {
			return err
		}
	} else {
		p.settings.DataDir = filepath.Join(p.dir, "data")
	}
	c.processes = append(c.processes, p)
	return os.MkdirAll(p.dir, 0o755)
}

// putNextConfig publishes the next configuration version.
func (c *Cluster) putNextConfig() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version++
	organisations := workload.Organisations()
	if !c.revoked {
		organisations = append(organisations, workload.OrganisationOf(limitedOrganisation, limitedRate))
	}
	c.store.SetConfig(workload.Config(c.version), organisations...)
}

// start starts a daemon. It is a violation if the daemon exits unexpectedly.
func (c *Cluster) start(p *process) error {
	path := filepath.Join(p.dir, "settings.toml")
	if err := platformtest.WriteSettings(path, p.settings); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(p.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.binary, p.class)
	cmd.Env = append(os.Environ(), platformtest.EnvSettings+"="+path, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.exited, p.exitExpected = cmd, exited, false
	p.settings.FirstStart = false
	p.mu.Unlock()
	go func() {
		err := cmd.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.exitExpected {
			c.checker.AddViolation("%s exited unexpectedly: %v", p.node, err)
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to a running daemon; expectExit is set if the daemon is to exit. It returns a channel that is
// closed on exit, and whether the signal was sent.
func (p *process) signal(s syscall.Signal, expectExit bool) (<-chan struct{}, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.exitExpected {
		return nil, false
	}
	p.exitExpected = p.exitExpected || expectExit
	return p.exited, p.cmd.Process.Signal(s) == nil
}

// resume resumes a paused process, also if it got SIGTERM meanwhile: a paused process can't handle the signal and would
// exceed its grace period.
func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(syscall.SIGCONT) // the process may have exited
	}
}

// restart stops a daemon with a signal, calls damage with its data directory if that is not nil, and starts the daemon
// again after downTime.
func (c *Cluster) restart(p *process, s syscall.Signal, downTime time.Duration, damage func(dir string) error) {
	exited, sent := p.signal(s, true)
	if !sent {
		return
	}
	select {
	case <-exited:
	case <-time.After((graceSeconds + 1) * time.Second):
		c.checker.AddViolation("%s still running %d s after its stop signal", p.node, graceSeconds+1)
		_ = p.cmd.Process.Kill()
		<-exited
	}
	if damage != nil {
		if err := damage(p.settings.DataDir); err != nil {
			c.checker.AddViolation("soak: %v", err)
		}
	}
	time.Sleep(downTime)
	if err := c.start(p); err != nil {
		c.checker.AddViolation("soak: %v", err)
	}
}

// awaitReady waits until all front daemons report that they are ready.
func (c *Cluster) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.processes {
		if p.class != "front" {
			continue
		}
		url := fmt.Sprintf("http://%s:%d/readiness", p.ip, platformtest.ReadyPort)
		if err := awaitOK(client, url); err != nil {
			return fmt.Errorf("%s: %w", p.node, err)
		}
	}
	return nil
}

func awaitOK(client *http.Client, url string) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
			err = fmt.Errorf("not ready: status %d", resp.StatusCode)
		}
		if time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Close waits for the faults in progress, and kills all processes and stand-ins that the cluster started.
func (c *Cluster) Close() {
	c.wg.Wait()
	c.restarts.Wait()
	for _, p := range c.processes {
		if ended, sent := p.signal(syscall.SIGKILL, true); sent {
			<-ended
		}
		p.store.close()
		if p.callers != nil {
			p.callers.close()
		}
	}
	for _, s := range c.servers {
		_ = s.http.Close()
		s.link.close()
	}
	if c.storeHTTP != nil {
		_ = c.storeHTTP.Close()
	}
	_ = c.reservation.Close()
}
