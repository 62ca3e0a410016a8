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
	"syscall"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// Ports of every machine, on its own loopback address.
const (
	callerPort  = 8149
	readyPort   = 8141
	controlPort = 8144
	firstPort   = 7380
	lastPort    = 7395
)

// deployment is what a case takes from the sheet of a site.
type deployment struct {
	region string
	zones  []string
	// storesPerZone is the number of machines with a disk in a zone, which also has one front.
	storesPerZone int
	// toleratedMachines and toleratedZones are the settings under fault_tolerance.
	toleratedMachines, toleratedZones int
	// lead is the time between the start of the machines and that of the traffic.
	lead time.Duration
	// syncTime, contactTime and recoveryTime are sync_s, contact_ms and recovery_s.
	syncTime, contactTime, recoveryTime time.Duration
}

const (
	// stopWait bounds the wait for a killed process.
	stopWait = 5 * time.Second
)

// settingsText is the settings file of a machine, with the fields that DEPLOY.md shows.
const settingsText = `node_name = %q
role = %q
machine_class = %q
serves = [%s]
ip = %q
zone = %q
region = %q
port_range = [%d,%d]
seeds = [%s]
bootstrap = %t
loss_counted = %t
%sdiscovery = "platform"
entry = "virtual_ip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","recover","agent","stream","engine","platform"]

[zones]
%s
[listen]
%s

[limits]
cpu_share = 0.4
cores = 1
memory_mb = 294
max_fds = 4100
link_mbps = 1000.0
disk_mb = %d

[fault_tolerance]
machines = %d
zones = %d
regions = 0

[bounds]
seed_lag_s = 3
reuse_delay_s = 2
contact_ms = %d
ack_ms = 4000
sync_s = %g
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_extend_ms = 5000
recovery_s = %d
pass_ms = 120
retry_s = 0
finish_s = 10
settle_ms = 1000

[platform]
address = %q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// machine is one VM and its process.
type machine struct {
	name, class, ip, zone, dir string
	firstStart                 bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopped is set before the driver ends the process.
	stopped bool
}

// system is the deployment: the platform's store and the machines.
type system struct {
	deployment
	binary, dir string
	record      *record
	store       *platformtest.Store
	storeHTTP   *http.Server
	storeAddr   string
	seeds       []string
	machines    []*machine
	network     int
}

// newSystem lays out the machines of a deployment.
func newSystem(d deployment, binary, dir string, r *record) (*system, error) {
	network, err := freeNetwork(d)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &system{deployment: d, network: network, binary: binary, dir: dir, record: r, store: platformtest.NewStore(), storeAddr: listener.Addr().String()}
	s.storeHTTP = &http.Server{Handler: s.store}
	go func() { _ = s.storeHTTP.Serve(listener) }()
	for _, zone := range d.zones {
		s.addMachine("front", zone, 1)
		for i := range d.storesPerZone {
			s.addMachine("store", zone, i+1)
		}
	}
	for _, m := range s.machines {
		if m.class == "store" && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, fmt.Sprintf("%s:%d", m.ip, controlPort))
		}
		if err := os.MkdirAll(m.dir, 0o755); err != nil {
			return s, err
		}
	}
	return s, nil
}

// addMachine adds a machine to the system, without starting it.
func (s *system) addMachine(class, zone string, number int) {
	name := fmt.Sprintf("%s-%s-%d", class, zone, number)
	s.machines = append(s.machines, &machine{name: name, class: class, zone: zone, ip: address(s.network, len(s.machines)), dir: filepath.Join(s.dir, name), firstStart: true})
}

func address(network, machine int) string { return fmt.Sprintf("127.%d.0.%d", network, machine+1) }

// freeNetwork returns the second byte of loopback addresses at which no port of the machines is in use.
func freeNetwork(d deployment) (int, error) {
	for network := 40 + os.Getpid()%100; network < 250; network++ {
		if networkIsFree(network, len(d.zones)*(1+d.storesPerZone)) {
			return network, nil
		}
	}
	return 0, errors.New("no free loopback network")
}

func networkIsFree(network, machines int) bool {
	for i := range machines {
		for _, port := range []int{callerPort, readyPort, controlPort, firstPort, firstPort + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(network, i), port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (s *system) machine(name string) *machine {
	for _, m := range s.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (m *machine) dataDir() string { return filepath.Join(m.dir, "data") }

func quoteAll(texts []string) string {
	quoted := make([]string, len(texts))
	for i, t := range texts {
		quoted[i] = fmt.Sprintf("%q", t)
	}
	return strings.Join(quoted, ",")
}

func (s *system) writeSettings(m *machine, path string) error {
	serves, listen, dataDir, disk := `"front"`, fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"", m.ip, callerPort, m.ip, readyPort), "", 0
	if m.class == "store" {
		serves, listen = `"store","control"`, fmt.Sprintf("control = \"%s:%d\"", m.ip, controlPort)
		dataDir, disk = fmt.Sprintf("data_dir = %q\n", m.dataDir()), 320
	}
	zones := ""
	for _, zone := range s.zones {
		zones += fmt.Sprintf("%s = %q\n", zone, s.region)
	}
	text := fmt.Sprintf(settingsText, m.name, m.class, m.class, serves, m.ip, m.zone, s.region, firstPort, lastPort, quoteAll(s.seeds), m.firstStart,
		m.class == "store", dataDir, zones, listen, disk, s.toleratedMachines, s.toleratedZones, s.contactTime.Milliseconds(), s.syncTime.Seconds(), int(s.recoveryTime.Seconds()), s.storeAddr)
	return os.WriteFile(path, []byte(text), 0o644)
}

// start starts a machine's process with the command of the deploy file.
func (s *system) start(m *machine) error {
	path := filepath.Join(m.dir, "node.toml")
	if err := s.writeSettings(m, path); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(s.binary, m.class)
	cmd.Env = append(os.Environ(), "ROOKPASS_NODE_FILE="+path, "GOMAXPROCS=1")
	cmd.Stdout, cmd.Stderr = log, log
	// The process ends with the driver.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.exited, m.stopped, m.firstStart = cmd, exited, false, false
	m.mu.Unlock()
	s.record.event("start %s", m.name)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		m.mu.Lock()
		defer m.mu.Unlock()
		if !m.stopped {
			s.record.event("%s ended by itself: %v", m.name, err)
		}
		close(exited)
	}()
	return nil
}

// kill ends a machine's process with SIGKILL.
func (s *system) kill(m *machine) { s.terminate(m, syscall.SIGKILL) }

// terminate ends a machine's process with a signal.
func (s *system) terminate(m *machine, signal syscall.Signal) {
	m.mu.Lock()
	cmd, exited := m.cmd, m.exited
	running := cmd != nil && !m.stopped
	m.stopped = true
	m.mu.Unlock()
	if !running {
		return
	}
	_ = cmd.Process.Signal(signal) // it may have ended
	select {
	case <-exited:
	case <-time.After(stopWait):
		_ = cmd.Process.Kill() // as above
	}
}

// loseDisk ends a machine's process and removes its data.
func (s *system) loseDisk(m *machine) error {
	s.kill(m)
	s.record.event("%s loses power and its disk", m.name)
	return os.RemoveAll(m.dataDir())
}

// startAll starts all machines and waits until the fronts are ready.
func (s *system) startAll() error {
	for _, m := range s.machines {
		if err := s.start(m); err != nil {
			return err
		}
	}
	began := time.Now()
	for _, m := range s.machines {
		if m.class != "front" {
			continue
		}
		for !isReady(m) {
			if time.Since(began) > 2*s.lead {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(time.Until(began.Add(s.lead)))
	return nil
}

func isReady(m *machine) bool {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/readiness", m.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (s *system) close() {
	for _, m := range s.machines {
		s.kill(m)
	}
	_ = s.storeHTTP.Close()
}
