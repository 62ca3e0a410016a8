package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/metrics"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/callers"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/gateway"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/upstream"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/platform"
)

// testCodec is a header codec with short header names.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (call.RequestInfo, error) {
	info := call.RequestInfo{ID: h.Get("Id"), Program: h.Get("Program"), PreviousTurn: h.Get("Previous"), LastEvent: h.Get("After"), MaxOutputTokens: 100}
	if key := h.Get("Api-Key"); key != "" {
		info.Key, info.HasKey = secret.HashOf(key), true
	}
	if h.Get("Finish") != "" {
		d, err := time.ParseDuration(h.Get("Finish"))
		if err != nil {
			return info, err
		}
		info.TimeBudget = d
	}
	if h.Get("Budget") != "" {
		info.HasBudget = true
		_, err := fmt.Sscan(h.Get("Budget"), &info.TokenBudget)
		return info, err
	}
	if h.Get("Deadline") != "" {
		d, err := time.ParseDuration(h.Get("Deadline"))
		info.Timeout = d
		return info, err
	}
	return info, nil
}
func (testCodec) ForwardedHeaders(h http.Header) http.Header {
	return platform.HeaderCodec{}.ForwardedHeaders(h)
}
func (testCodec) HeaderRoles() call.HeaderRoles {
	return call.HeaderRoles{OfAttempt: map[string]bool{"Id": true, "Deadline": true, "Finish": true}, OfProgram: map[string]bool{"Program": true}}
}
func (testCodec) AddForwardInfo(h http.Header, to call.ForwardInfo) {
	h.Set("Left", to.Timeout.String())
	h.Set("Server", to.Server)
	h.Set("Last-Event", to.LastEvent)
	h.Set("Organisation", to.Organisation)
}
func (testCodec) DecodeResponse(h http.Header, status int) call.ResponseInfo {
	return call.ResponseInfo{ID: h.Get("Id"), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421}
}
func (testCodec) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// memoryLedger is a ledger in memory.
type memoryLedger struct {
	mu       sync.Mutex
	turns    map[string]*turn.Record
	spent    int64
	released []string
	// settled are completed turns of routes without retention.
	settled []*turn.Record
	// fail has errors to return, by method.
	fail map[string]error
}

func (b *memoryLedger) Ready() bool { return true }

func (b *memoryLedger) Chain(_ context.Context, _, id string) ([]*turn.Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.fail["chain"]; err != nil {
		return nil, err
	}
	var chain []*turn.Record
	for id != "" {
		r := b.turns[id]
		if r == nil {
			return nil, ledger.ErrTurnNotFound
		}
		chain = append([]*turn.Record{r}, chain...)
		id = r.Previous
	}
	return chain, nil
}

func (b *memoryLedger) Reserve(_ context.Context, r *turn.Record, budget int64) (ledger.ProgramUsage, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.fail["reserve"]; err != nil {
		return ledger.ProgramUsage{}, err
	}
	if b.spent+r.Tokens > budget {
		return ledger.ProgramUsage{Spent: b.spent}, ledger.ErrBudgetExceeded
	}
	return ledger.ProgramUsage{Spent: b.spent}, nil
}

func (b *memoryLedger) Finish(_ context.Context, r *turn.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.fail["finish"]; err != nil {
		return err
	}
	b.turns[r.ID] = r
	b.spent += r.Tokens
	return nil
}

func (b *memoryLedger) Settle(r *turn.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State == turn.Void {
		b.released = append(b.released, r.ID)
		return
	}
	b.settled = append(b.settled, r)
	b.spent += r.Tokens
}

// fixture is a gateway in front of backend servers, each of which is a handler.
type fixture struct {
	t         *testing.T
	ledger    *memoryLedger
	catalog   *catalog.Catalog
	gateway   *gateway.Gateway
	scheduler *dispatch.Scheduler
	// servers is the watch handler of the servers, which are numbered in the order of their handlers.
	servers *catalog.ServersHandler
	objects []objectapi.Object
	quotas  *fakeQuotas
	config  catalog.Config
	configs *catalog.ConfigHandler
	// outcomes receives the outcome of each completed request.
	outcomes chan string
	url      string
	memory   *membudget.Budget
	metrics  *metrics.Registry
	balancer *balance.Balancer
	pool     *upstream.Pool
	// mu guards attempts, memoryLines and requestLines.
	mu sync.Mutex
	// attempts are the logged attempts of the completed requests, and memoryLines the log lines of reservations that did
	// not fit.
	attempts    []string
	memoryLines []logrus.Fields
	// requestLines are the log lines of the completed requests.
	requestLines []logrus.Fields
}

// Levels implements logrus.Hook.
func (r *fixture) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *fixture) Fire(e *logrus.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e.Data["event"] == "memory" {
		r.memoryLines = append(r.memoryLines, e.Data)
	}
	if e.Data["event"] == "request" {
		r.requestLines = append(r.requestLines, e.Data)
		r.attempts = append(r.attempts, fmt.Sprint(e.Data["attempts"]))
		r.outcomes <- fmt.Sprint(e.Data["outcome"])
	}
	return nil
}

// fixtureNetwork is the network between callers, the gateway and the servers.
type fixtureNetwork interface {
	// serve serves requests until the test ends and returns the server's address.
	serve(t *testing.T, name string, h http.Handler) string
	dial(ctx context.Context, network, address string) (net.Conn, error)
}

// loopback is the network of the machine.
type loopback struct{}

func (loopback) serve(t *testing.T, name string, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	if name == "front" {
		set := callers.New(callers.Options{Name: "callers", MaxConns: 1000, Limits: func() connlimit.Limits { return connlimit.Limits{} },
			Memory: membudget.New(membudget.Limits{Total: 64 << 20}), Observer: metrics.New(), Log: logrus.New()})
		s.Listener = set.Attach(s.Config, s.Listener)
	}
	s.Start()
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (loopback) dial(ctx context.Context, network, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

// fixtureLimits are the memory limits of most tests: plenty, but for the bodies of requests.
var fixtureLimits = membudget.Limits{Total: 64 << 20, ByClass: map[membudget.Class]int64{membudget.RequestBodies: 1500}}

func newFixture(t *testing.T, servers ...http.HandlerFunc) *fixture {
	return newFixtureOn(t, loopback{}, fixtureLimits, 1000, servers...)
}

func newFixtureOn(t *testing.T, network fixtureNetwork, limits membudget.Limits, maxBodyBytes int64, servers ...http.HandlerFunc) *fixture {
	r := &fixture{t: t, scheduler: dispatch.New(), ledger: &memoryLedger{turns: map[string]*turn.Record{}, fail: map[string]error{}}, catalog: catalog.New(),
		memory: membudget.New(limits), metrics: metrics.New(),
		quotas: &fakeQuotas{}, outcomes: make(chan string, 1000)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	for i, h := range servers {
		address := network.serve(t, fmt.Sprint("server-", i), h)
		r.objects = append(r.objects, objectapi.Object{Key: fmt.Sprintf("s/%d", i), Value: []byte(address)})
	}
	r.balancer = balance.New("front", place.Topology{DataCentre: "here"})
	r.servers = catalog.NewServersHandler(catalog.ServersOptions{Catalog: r.catalog, Prefix: "s/", Decode: decodeServer,
		LeaseExpiry: policy.NewLeaseExpiry(time.Second), Log: log, OnStarted: func(id incarnation.ID) { r.balancer.ServerStarted(id) }})
	r.servers.Reset(r.objects, 1)
	r.configure(log, maxBodyBytes)
	r.pool = upstream.NewPool(network.dial, testCodec{}, 10000)
	r.gateway = gateway.New(gateway.Options{Catalog: r.catalog, Balancer: r.balancer, Sender: r.pool,
		Ledger: r.ledger, HeaderCodec: testCodec{}, Log: log, Stats: gateway.NewStats(r.metrics), Scheduler: r.scheduler, Memory: r.memory,
		ConfigAgeLimits: policy.NewConfigAgeLimits(maxRevocationDelay, maxAdditionDelay), Quotas: r.quotas,
		Quarantine: quarantine.NewClient(nil, nil, func() []string { return nil }, log)})
	r.url = "http://" + network.serve(t, "front", r.gateway)
	return r
}

// decodeServer decodes an entry "ADDRESS" or "ADDRESS BORN".
func decodeServer(o objectapi.Object) (catalog.Server, error) {
	address, born, _ := strings.Cut(string(o.Value), " ")
	id := incarnation.ID{Server: o.Key[2:]}
	id.Born, _ = strconv.ParseInt(born, 10, 64)
	return catalog.Server{ID: id, Service: "svc", Address: address, Slots: 4}, nil
}

// sweep does what a front daemon does each second.
func (r *fixture) sweep() { r.pool.CloseIdle(func(upstream.Endpoint) bool { return true }) }

func (r *fixture) configure(log logrus.FieldLogger, maxBodyBytes int64) {
	route := func(prefix string, kind catalog.Kind, attempts int) catalog.Route {
		return catalog.Route{Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, MaxAttempts: attempts,
			Targets: []catalog.Target{{Service: "svc", Weight: 1}}, Timeout: 3 * time.Second}
	}
	config := catalog.Config{Version: 1, Services: []catalog.Service{{Name: "svc", TokensPerEvent: 3}},
		Limits: catalog.Limits{MaxBodyBytes: maxBodyBytes},
		Routes: []catalog.Route{route("/twice/", catalog.Idempotent, 3), route("/once/", catalog.AtMostOnce, 3), route("/turn/", catalog.Stream, 2),
			route("/stream/", catalog.Stream, 2), route("/resume/", catalog.Stream, 2)}}
	config.Routes[2].RetainTurns, config.Routes[2].Retention = true, time.Minute
	config.Routes[4].Resumable = true
	r.config = config
	r.configs = catalog.NewConfigHandler(r.catalog, "c/", func(objectapi.Object) (catalog.Config, bool, error) { return r.config, true, nil }, log)
	r.configs.Reset([]objectapi.Object{{Key: "c/main"}}, 1)
}

// reply is the response that a caller receives.
type reply struct {
	status int
	body   string
	header http.Header
	broken bool
	// closes is set if the response closes the connection.
	closes bool
}

func (r *fixture) send(path, body string, headers ...string) reply {
	r.t.Helper()
	return r.sendThen(path, body, func() {}, headers...)
}

// sendThen sends a request and calls begun once the head of the response and a byte of its body have arrived.
func (r *fixture) sendThen(path, body string, begun func(), headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequest(http.MethodPost, r.url+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Header.Set("Id", "id-"+body)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{broken: true}
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	_, _ = reader.Peek(1) // errors show when the body is read below
	begun()
	got, err := io.ReadAll(reader)
	return reply{status: resp.StatusCode, body: string(got), header: resp.Header, broken: err != nil, closes: resp.Close}
}
