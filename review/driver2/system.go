package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// Ports that each VM uses at its own loopback address.
const (
	callerPort  = 8149
	readyPort   = 8141
	controlPort = 8144
	firstPort   = 7380
	lastPort    = 7395
)

// system is the deployment: front and store daemons as processes, and stand-ins of the platform's store and of servers.
type system struct {
	dir, binary string
	// network is the second byte of the VMs' loopback addresses, which reservation holds.
	network     int
	reservation net.Listener
	record      *recorder
	store       *platformtest.Store
	machines    []*machine
	servers     []*model
	zones       []string
	tolerance   int
}

// machine is a VM with one daemon.
type machine struct {
	system          *system
	node, class, ip string
	zone            string
	firstStart      bool
	// storeAddress is where this VM reaches the platform's store, which turns it away while refused is set.
	storeAddress string
	refused      atomic.Bool
	storeHTTP    *http.Server

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newSystem returns a system without daemons that run. Its VMs are spread over the zones.
func newSystem(binary string, record *recorder, setup setup) (*system, error) {
	dir, err := os.MkdirTemp("", "rookpass-review-")
	if err != nil {
		return nil, err
	}
	s := &system{dir: dir, binary: binary, record: record, store: platformtest.NewStore(), tolerance: setup.tolerance}
	for i := range setup.zones {
		s.zones = append(s.zones, fmt.Sprintf("hall-%c", 'a'+i))
	}
	if s.network, s.reservation, err = reserveNetwork(); err != nil {
		return s, err
	}
	for i := range setup.fronts {
		if err := s.addMachine("front", i); err != nil {
			return s, err
		}
	}
	for i := range setup.stores {
		if err := s.addMachine("store", i); err != nil {
			return s, err
		}
	}
	for i, service := range []string{modelService, modelService, modelService, toolService, toolService} {
		server, err := startModel(fmt.Sprintf("i-%04d", i+1), service, s.zones[i%len(s.zones)], record)
		if err != nil {
			return s, err
		}
		s.servers = append(s.servers, server)
		s.store.Set("servers", server.id, server.entry())
	}
	s.store.Set("config", "main", operatorConfig())
	return s, nil
}

// reserveNetwork returns the second byte of loopback addresses that no other run uses while the listener is open.
func reserveNetwork() (int, net.Listener, error) {
	for network := 71; network < 250; network++ {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, firstPort))
		if err == nil {
			return network, listener, nil
		}
	}
	return 0, nil, errors.New("no free loopback network")
}

func (s *system) addMachine(class string, i int) error {
	third := 0
	if class == "store" {
		third = 1
	}
	zone := s.zones[i%len(s.zones)]
	m := &machine{system: s, class: class, zone: zone, node: fmt.Sprintf("%s-%s-%d", class, zone, i/len(s.zones)+1),
		ip: fmt.Sprintf("127.%d.%d.%d", s.network, third, i+1), firstStart: true}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.storeAddress = listener.Addr().String()
	m.storeHTTP = &http.Server{Handler: http.HandlerFunc(m.serveStore)}
	go func() { _ = m.storeHTTP.Serve(listener) }() // ends with close
	s.machines = append(s.machines, m)
	return nil
}

// serveStore is the platform's store as this VM reaches it.
func (m *machine) serveStore(w http.ResponseWriter, r *http.Request) {
	if m.refused.Load() {
		w.WriteHeader(http.StatusServiceUnavailable) // nothing was done
		return
	}
	m.system.store.ServeHTTP(w, r)
}

func (s *system) ofClass(class string) []*machine {
	var list []*machine
	for _, m := range s.machines {
		if m.class == class {
			list = append(list, m)
		}
	}
	return list
}

func (s *system) fronts() []*machine { return s.ofClass("front") }
func (s *system) stores() []*machine { return s.ofClass("store") }

func (m *machine) callerAddress() string { return fmt.Sprintf("%s:%d", m.ip, callerPort) }
func (m *machine) dataDir() string       { return filepath.Join(m.system.dir, m.node, "data") }

// settings returns the content of the settings file.
func (m *machine) settings() string {
	s := m.system
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node_name = %q\nrole = %q\nmachine_class = %q\nip = %q\nzone = %q\nregion = \"dakar\"", m.node, m.class, m.class, m.ip, m.zone)
	line("port_range = [%d, %d]\nbootstrap = %t\nloss_counted = %t", firstPort, lastPort, m.firstStart, m.class == "store")
	var seeds []string
	for _, other := range s.stores()[:min(3, len(s.stores()))] {
		seeds = append(seeds, fmt.Sprintf("\"%s:%d\"", other.ip, controlPort))
	}
	line("seeds = [%s]\ndiscovery = \"platform\"\nentry = \"virtual_ip\"\nheartbeat_ms = 1200", strings.Join(seeds, ","))
	if m.class == "store" {
		line("serves = [\"store\",\"control\"]\ndata_dir = %q", m.dataDir())
	} else {
		line("serves = [\"front\"]")
	}
	line("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\",\"platform\"]\n[zones]")
	for _, zone := range s.zones {
		line("%s = \"dakar\"", zone)
	}
	line("[listen]")
	if m.class == "store" {
		line("control = \"%s:%d\"", m.ip, controlPort)
	} else {
		line("front = \"%s\"\nready = \"%s:%d\"", m.callerAddress(), m.ip, readyPort)
	}
	line("[limits]\ncpu_share = 0.8\ncores = 1\nmemory_mb = 144\nmax_fds = 4100\nlink_mbps = 600.0\ndisk_mb = 340")
	line("[fault_tolerance]\nmachines = %d\nzones = 0\nregions = 0", s.tolerance)
	line("[bounds]\nseed_lag_s = 3\nreuse_delay_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 5\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200")
	line("config_apply_ms = 2000\nrollback_slack_ms = 250\nmax_extend_ms = 5000\nrecovery_s = 12\npass_ms = 120\nretry_s = 0\nfinish_s = 10\nsettle_ms = 1000")
	line("[platform]\naddress = %q\nform = \"objects\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000", m.storeAddress)
	return b.String()
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start() error {
	dir := filepath.Join(m.system.dir, m.node)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	path := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(path, []byte(m.settings()), 0o644); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.system.binary, m.class)
	cmd.Env = append(os.Environ(), "ROOKPASS_NODE_FILE="+path)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, out.Close())
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited = cmd, exited
	m.mu.Unlock()
	m.firstStart = false // later starts are not that of the whole system
	go func() {
		_ = cmd.Wait() // a killed process returns an error
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// kill ends the daemon with SIGKILL and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended
	<-exited
}

// loseDisk ends the daemon, empties its disk, and starts it again after down.
func (m *machine) loseDisk(down time.Duration) error {
	m.system.record.say("disk of %s is lost", m.node)
	m.kill()
	if err := os.RemoveAll(m.dataDir()); err != nil {
		return err
	}
	time.Sleep(down)
	m.system.record.say("%s is back with an empty disk", m.node)
	return m.start()
}

// startAll starts all daemons.
func (s *system) startAll() error {
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all front daemons are ready.
func (s *system) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(limit)
	for _, m := range s.fronts() {
		for !isReady(client, m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", m.node, limit)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func isReady(client *http.Client, m *machine) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	return resp.Body.Close() == nil && resp.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins. keep copies the daemons' logs there if it is not empty.
func (s *system) close(keep string) {
	for _, m := range s.machines {
		m.kill()
		_ = m.storeHTTP.Close()
	}
	for _, server := range s.servers {
		server.close()
	}
	if s.reservation != nil {
		_ = s.reservation.Close()
	}
	if keep != "" {
		_ = os.CopyFS(keep, os.DirFS(s.dir)) // for a person who looks into a failure
	}
	_ = os.RemoveAll(s.dir) // in the folder for temporary files
}
