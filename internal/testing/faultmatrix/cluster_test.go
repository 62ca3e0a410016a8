package faultmatrix

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/telemetry"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/daemon"
	"github.com/rookpass/rookpass/internal/rookpassd/settings"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

// Addresses of the stand-ins in the in-memory network.
const (
	engineAddress = "10.0.1.%d:80"
	toolAddress   = "10.0.2.1:80"
	plainAddress  = "10.0.3.1:80"
)

// Hosts other than the daemons.
const (
	backendHost  = "backends"
	callerHost   = "caller"
	platformHost = "platform"
)

const (
	organisation = "farm"
	partitions   = 4
	engineCount  = 2
	// organisationBudget is shared by all daemons, so that they have to borrow from one another.
	organisationBudget = 5_000_000
)

var callerSecret, callerHash = auth.NewSecret()
var rootSecret, rootHash = auth.NewSecret()

// cluster is a rookpass cluster in a synctest bubble: real daemons and stand-ins on an in-memory network.
type cluster struct {
	t       *testing.T
	random  *rand.Rand
	fabric  *memnet.Fabric
	store   *memapi.API
	nodes   []*node
	engines []*standin.Engine
	tool    *standin.Service
	plain   *standin.Service
}

// node is a host of a daemon, with its own connection to the object API, in which faults can be injected.
type node struct {
	name  string
	index int
	fault *apitest.API
	// instance is the current daemon; nil if it was killed.
	instance *instance
}

// instance is one run of a daemon.
type instance struct {
	daemon *daemon.Daemon
	cancel context.CancelFunc
	// done is closed when the daemon has exited: it was killed, or its planned stop is complete.
	done chan struct{}
}

// alive reports whether the node's daemon is running.
func (n *node) alive() bool {
	if n.instance == nil {
		return false
	}
	select {
	case <-n.instance.done:
		return false
	default:
		return true
	}
}

// newCluster starts daemons and waits until they are ready. The seed determines which daemon owns which partition.
func newCluster(t *testing.T, daemons int, seed uint64) *cluster {
	t.Helper()
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 0)), fabric: memnet.New(), store: memapi.New()}
	c.startBackends()
	c.configure()
	for i := range daemons {
		n := &node{name: fmt.Sprintf("d%d", i+1), index: i + 1, fault: apitest.New(c.store)}
		c.nodes = append(c.nodes, n)
		c.serve(platformHost, n.address(9), standin.ObjectAPI(n.fault))
		c.start(n)
	}
	c.awaitReady()
	return c
}

// address returns the node's address with a port.
func (n *node) address(port int) string { return fmt.Sprintf("10.0.0.%d:%d", n.index, port) }

func (c *cluster) startBackends() {
	for i := range engineCount {
		engine := standin.NewEngine(standin.EngineOptions{
			FirstToken: 20 * time.Millisecond, NextToken: 10 * time.Millisecond, AnswerTokens: 8, ChecksFencing: i == 0,
		})
		c.engines = append(c.engines, engine)
		c.serve(backendHost, fmt.Sprintf(engineAddress, i+1), engine.Handler())
	}
	c.tool = &standin.Service{Delay: 5 * time.Millisecond}
	c.serve(backendHost, toolAddress, c.tool.Handler())
	c.plain = &standin.Service{Delay: 5 * time.Millisecond}
	c.serve(backendHost, plainAddress, c.plain.Handler())
}

func (c *cluster) serve(host, address string, handler fasthttp.RequestHandler) {
	c.t.Helper()
	listener, err := c.fabric.Listen(host, address)
	assert.NilError(c.t, err)
	server := &fasthttp.Server{Handler: handler, NoDefaultDate: true, Logger: discardLogger{}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	c.t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
}

// discardLogger discards the log lines of servers, which report every killed client.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// configure writes the configuration directly to the store of the object API.
func (c *cluster) configure() {
	c.put(&rookpassv1.Object{
		Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_ORGANISATION, Name: organisation},
		Spec: &rookpassv1.Object_Organisation{Organisation: &rookpassv1.Organisation{
			SecretHashes: []string{callerHash}, Definitions: []string{"agent"}, PlainServices: []string{"log"}, MaxCalls: 1000,
			BudgetTokens: organisationBudget,
		}},
	})
	c.put(&rookpassv1.Object{
		Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "agent"},
		Spec: &rookpassv1.Object_Definition{Definition: &rookpassv1.Definition{
			BudgetTokens: 1_000_000, MaxPriority: 9, Models: []string{"m"}, Services: []string{"book"},
			SubAgents: []string{"agent"}, DefaultMaxTokens: 8, ServiceTimeoutMs: 5000,
		}},
	})
	for i := range engineCount {
		c.put(backendObject(fmt.Sprintf("engine-%d", i+1), &rookpassv1.BackendServer{
			Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Address: fmt.Sprintf(engineAddress, i+1), Serves: []string{"m"}, MaxConcurrency: 100,
		}))
	}
	c.put(backendObject("tool-1", &rookpassv1.BackendServer{
		Kind: rookpassv1.CallKind_CALL_KIND_TOOL, Address: toolAddress, Serves: []string{"book"}, MaxConcurrency: 100, CallCostTokens: 10,
	}))
	c.put(backendObject("plain-1", &rookpassv1.BackendServer{
		Kind: rookpassv1.CallKind_CALL_KIND_PLAIN, Address: plainAddress, Serves: []string{"log"}, MaxConcurrency: 100,
	}))
}

func backendObject(name string, spec *rookpassv1.BackendServer) *rookpassv1.Object {
	return &rookpassv1.Object{
		Key:  &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_BACKEND_SERVER, Name: name},
		Spec: &rookpassv1.Object_BackendServer{BackendServer: spec},
	}
}

// put creates or replaces a configuration object and returns its new version.
func (c *cluster) put(object *rookpassv1.Object) uint64 {
	c.t.Helper()
	key, _ := config.Key(object.Key)
	value, err := protojson.Marshal(object)
	assert.NilError(c.t, err)
	var version uint64
	if current, err := c.store.Get(context.Background(), key); err == nil {
		version = current.Version
	}
	written, err := c.store.Put(context.Background(), key, value, version)
	assert.NilError(c.t, err)
	return written.Version
}

// configInForce reports whether all running daemons have applied the change with a version.
func (c *cluster) configInForce(version uint64) bool {
	for _, n := range c.nodes {
		if n.alive() && n.instance.daemon.Config().AsOf() < version {
			return false
		}
	}
	return true
}

func (c *cluster) settings(n *node) settings.Settings {
	s := settings.Default()
	s.Name, s.DataCentre, s.Plaintext, s.Partitions = n.name, "dc", true, partitions
	s.CallerAddress, s.HTTPAddress = n.address(1), n.address(2)
	s.PeerAddress, s.ForwardAddress = n.address(3), n.address(4)
	s.ObjectAPIAddress = n.address(9)
	s.OperatorSecretHash = rootHash
	s.WritesPerSecond = 1000
	return s
}

// start starts a new daemon on a node.
func (c *cluster) start(n *node) {
	c.t.Helper()
	c.fabric.Restart(n.name)
	log := logrus.New()
	log.SetOutput(io.Discard)
	d, err := daemon.New(c.settings(n), memnet.Host{Fabric: c.fabric, Name: n.name}, log, &telemetry.Tracing{}, rand.New(rand.NewPCG(c.random.Uint64(), 0)))
	assert.NilError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	inst := &instance{daemon: d, cancel: cancel, done: make(chan struct{})}
	n.instance = inst
	go func() {
		defer close(inst.done)
		_ = d.Run(ctx)
	}()
	c.t.Cleanup(func() { c.kill(n) })
}

// kill kills a node's daemon without a graceful stop, and waits until it has ended.
func (c *cluster) kill(n *node) {
	inst := n.instance
	if inst == nil {
		return
	}
	n.instance = nil
	c.fabric.Kill(n.name)
	inst.cancel()
	<-inst.done
}

// awaitReady waits until all running daemons are ready.
func (c *cluster) awaitReady() {
	c.t.Helper()
	c.await(time.Minute, "all daemons are ready", func() bool {
		for _, n := range c.nodes {
			if n.alive() && n.instance.daemon.Ready() != nil {
				return false
			}
		}
		return true
	})
}

// await polls a condition, and fails the test if it does not hold within the limit.
func (c *cluster) await(limit time.Duration, what string, holds func() bool) {
	c.t.Helper()
	for began := time.Now(); !holds(); <-time.After(50 * time.Millisecond) {
		if time.Since(began) > limit {
			c.t.Fatalf("condition not met after %v: %s", limit, what)
		}
	}
}

// client returns a caller's client that connects to a node.
func (c *cluster) client(n *node) *client.Client { return c.connect(n, organisation, callerSecret) }

// operator returns an operator's client that connects to a node.
func (c *cluster) operator(n *node) *client.Client {
	return c.connect(n, auth.RootOperator, rootSecret)
}

func (c *cluster) connect(n *node, name, secret string) *client.Client {
	c.t.Helper()
	conn, err := client.New(client.Options{
		Address: n.address(1), Name: name, Secret: secret,
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return c.fabric.Dial(ctx, callerHost, address)
		},
	})
	assert.NilError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ownerOf returns the running node that owns a program, or nil.
func (c *cluster) ownerOf(programID string) *node {
	c.t.Helper()
	for _, n := range c.nodes {
		if n.alive() && n.instance.daemon.Holds(programID) {
			return n
		}
	}
	return nil
}

// nextAlive returns the next running node after the given one, or nil.
func (c *cluster) nextAlive(not *node) *node {
	for i := range c.nodes {
		if n := c.nodes[(not.index+i)%len(c.nodes)]; n != not && n.alive() {
			return n
		}
	}
	return nil
}

// definitionKey returns the object API key of the program definition, and whether it is valid.
func definitionKey() (string, bool) {
	return config.Key(&rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "agent"})
}
