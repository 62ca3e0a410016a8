package ledger_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/filesystem/faultfs"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/objects/watch"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

func TestMain(m *testing.M) {
	testbubble.Prepare()
	os.Exit(m.Run())
}

const layoutKey = "rookpass-layout/main"

// cluster is a set of store daemons in virtual time that share one object API.
type cluster struct {
	t         *testing.T
	fabric    *memnet.Fabric
	api       *apitest.API
	log       logrus.FieldLogger
	tolerance int
	dir       string
	nodes     map[string]*daemon
	// diskGenerations counts the disks of a node: an empty one is another directory, which a killed daemon can't write
	// to.
	diskGenerations map[string]int
	disks           map[string]*faultfs.FS

	mu       sync.Mutex
	retiring map[string]bool
	reported map[string]string
}

// daemon is one running store daemon.
type daemon struct {
	stop  context.CancelFunc
	store *replica.Store
	ended chan struct{}
}

func newCluster(t *testing.T, disks, tolerance int) *cluster {
	log := logrus.New()
	log.SetOutput(io.Discard)
	if os.Getenv("ROOKPASS_TEST_LOG") != "" {
		log.SetOutput(os.Stderr)
	}
	c := &cluster{t: t, fabric: memnet.New(), api: apitest.New(memapi.New()), log: log, tolerance: tolerance,
		dir: t.TempDir(), nodes: map[string]*daemon{}, diskGenerations: map[string]int{}, disks: map[string]*faultfs.FS{}, retiring: map[string]bool{}, reported: map[string]string{}}
	t.Cleanup(func() {
		for name := range c.nodes {
			c.kill(name)
		}
	})
	for i := range disks {
		c.start(nodeName(i), true)
	}
	c.waitUntil(func() bool { return c.layout() != nil })
	return c
}

func nodeName(i int) string { return fmt.Sprintf("store-%d", i) }

func (c *cluster) dataDir(name string) string {
	return filepath.Join(c.dir, fmt.Sprint(name, ".", c.diskGenerations[name]))
}

// disk returns the file system of a node's disk, which tests make fail.
func (c *cluster) disk(name string) *faultfs.FS {
	if c.disks[name] == nil {
		c.disks[name] = faultfs.New()
	}
	return c.disks[name]
}

// start runs a store daemon on its data directory.
func (c *cluster) start(name string, first bool) {
	c.fabric.Restart(name)
	dial := dialFrom(c.fabric, name)
	store := replica.NewStore(c.disk(name), c.dataDir(name), layout.Disk{Node: name, Address: name + ":1", DataCentre: name}, c.log.WithField("node", name))
	controller := replica.NewController(replica.Options{Store: store, API: c.api, Links: peerlink.NewPool(dial), Retirements: retirements{c},
		Log: c.log.WithField("node", name), LayoutKey: layoutKey, CandidatesPrefix: "rookpass-disks/", FirstStart: first, Tolerance: c.tolerance})
	listener, err := c.fabric.Listen(name, name+":1")
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{stop: cancel, store: store, ended: make(chan struct{})}
	c.nodes[name] = d
	go func() {
		_ = peerlink.Serve(listener, map[string]any{replica.ServiceName: replica.NewService(store)})
	}()
	var running sync.WaitGroup // both write to the data directory
	running.Go(func() {
		_ = watch.New(watch.NewSharedSource(c.api), 0, layoutHandler{controller}).WithPollTimeout(time.Second).Run(ctx)
	})
	running.Go(func() { _ = controller.Run(ctx) })
	go func() {
		running.Wait()
		close(d.ended)
	}()
}

// kill ends a daemon's process; its data directory stays.
func (c *cluster) kill(name string) {
	d := c.nodes[name]
	delete(c.nodes, name)
	d.stop()
	c.fabric.Kill(name)
	<-d.ended
	assert.NilError(c.t, d.store.Close())
}

// wipe kills a daemon and empties its disk.
func (c *cluster) wipe(name string) {
	c.kill(name)
	c.diskGenerations[name]++
}

func (c *cluster) layout() *layout.Layout {
	object, err := c.api.Get(context.Background(), layoutKey)
	if err != nil {
		return nil
	}
	l, err := layout.Decode(object.Value)
	assert.NilError(c.t, err)
	return l
}

// holders returns the nodes that hold slots.
func (c *cluster) holders() map[string]bool {
	nodes := map[string]bool{}
	for _, slot := range c.layout().Slots {
		if slot.Joining == nil && !slot.Vacant {
			nodes[slot.Disk.Node] = true
		}
	}
	return nodes
}

// awaitAllSlotsHeld waits until every slot that is not vacant is held by a running disk.
func (c *cluster) awaitAllSlotsHeld() {
	c.waitUntil(func() bool {
		for _, slot := range c.layout().Slots {
			if slot.Vacant {
				continue
			}
			d := c.nodes[slot.Disk.Node]
			if slot.Joining != nil || d == nil || d.store.Self().ID != slot.Disk.ID {
				return false
			}
		}
		return true
	})
}

func (c *cluster) waitUntil(holds func() bool) {
	c.t.Helper()
	for range 600 {
		if holds() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.t.Fatal("condition not met within 30 s")
}

// ledger returns a ledger on a host of its own that knows the current layout.
func (c *cluster) ledger(host string) *ledger.Ledger {
	l := ledger.New(peerlink.NewPool(dialFrom(c.fabric, host)), place.Topology{DataCentre: host}, 1, c.log)
	l.UpdateLayout(c.layout())
	c.t.Cleanup(func() { assert.NilError(c.t, l.Flush(context.Background())) })
	return l
}

func dialFrom(fabric *memnet.Fabric, host string) network.DialContext {
	return func(ctx context.Context, _, address string) (net.Conn, error) { return fabric.Dial(ctx, host, address) }
}

// layoutHandler passes the layout object to a controller.
type layoutHandler struct{ controller *replica.Controller }

func (o layoutHandler) Prefix() string { return "rookpass-layout/" }
func (o layoutHandler) Reset(objects []objectapi.Object, _ uint64) {
	for _, object := range objects {
		o.controller.ObserveLayout(object)
	}
}
func (o layoutHandler) Change(event objectapi.Event) { o.controller.ObserveLayout(event.Object) }
func (o layoutHandler) Confirm(uint64, time.Time)    {}
func (o layoutHandler) SourceUnavailable()           {}

// retirements implements replica.Retirements on the cluster's maps.
type retirements struct{ c *cluster }

func (r retirements) Retiring(node string) bool {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	return r.c.retiring[node]
}

func (r retirements) Report(_ context.Context, node string, done bool) error {
	r.c.mu.Lock()
	defer r.c.mu.Unlock()
	r.c.reported[node] = map[bool]string{false: "running", true: "done"}[done]
	return nil
}

func finishedTurn(program, id, previous, text string) *turn.Record {
	return &turn.Record{State: turn.Finished, ID: id, Program: program, Previous: previous, Tokens: 10,
		Retention: time.Minute, Input: []byte("in " + text), Output: []byte("out " + text + "\n")}
}

func reservedTurn(program, id string, tokens int64) *turn.Record {
	return &turn.Record{State: turn.Reserved, ID: id, Program: program, Tokens: tokens, Retention: time.Minute}
}

// retire requests that a node's disk be emptied.
func (c *cluster) retire(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retiring[node] = true
}

func (c *cluster) cancelRetirement(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.retiring, node)
}

// retirementState returns what was last reported on a node's retirement.
func (c *cluster) retirementState(node string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reported[node]
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}
