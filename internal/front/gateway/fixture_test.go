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
	"github.com/rookpass/rookpass/internal/base/metrics"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/front/gateway"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/upstream"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
	"github.com/rookpass/rookpass/platform"
)

// dialect uses short names of headers.
type dialect struct{}

func (dialect) DecodeRequest(h http.Header) (call.RequestInfo, error) {
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
func (dialect) ForwardedHeaders(h http.Header) http.Header {
	return platform.HeaderCodec{}.ForwardedHeaders(h)
}
func (dialect) AddForwardInfo(h http.Header, to call.ForwardInfo) {
	h.Set("Left", to.Timeout.String())
	h.Set("Server", to.Server)
	h.Set("Last-Event", to.LastEvent)
	h.Set("Organisation", to.Organisation)
}
func (dialect) DecodeResponse(h http.Header, status int) call.ResponseInfo {
	return call.ResponseInfo{ID: h.Get("Id"), Signed: h.Get("Seal") != "", NotRun: h.Get("Not-Run") != "" || status == 421}
}
func (dialect) SetRequestID(h http.Header, id string) { h.Set("Id", id) }

// books is a ledger in memory.
type books struct {
	mu     sync.Mutex
	turns  map[string]*turn.Record
	spent  int64
	voided []string
	// settled are the turns that were whole on routes that keep no history.
	settled []*turn.Record
	// fail is returned by the method that it names.
	fail map[string]error
}

func (b *books) Ready() bool { return true }

func (b *books) Chain(_ context.Context, _, id string) ([]*turn.Record, error) {
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

func (b *books) Reserve(_ context.Context, r *turn.Record, budget int64) (ledger.ProgramUsage, error) {
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

func (b *books) Finish(_ context.Context, r *turn.Record) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.fail["finish"]; err != nil {
		return err
	}
	b.turns[r.ID] = r
	b.spent += r.Tokens
	return nil
}

func (b *books) Settle(r *turn.Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.State == turn.Void {
		b.voided = append(b.voided, r.ID)
		return
	}
	b.settled = append(b.settled, r)
	b.spent += r.Tokens
}

// rig is a gateway before backend servers, each a handler.
type rig struct {
	t       *testing.T
	books   *books
	catalog *catalog.Catalog
	gateway *gateway.Gateway
	gate    *dispatch.Scheduler
	// entries holds the servers, numbered in the order of their handlers.
	entries *catalog.ServersHandler
	objects []objectapi.Object
	quotas  *limits
	config  catalog.Config
	configs *catalog.ConfigHandler
	// ended gets the reason of each request that has ended.
	ended chan string
	url   string
}

// Levels implements logrus.Hook.
func (r *rig) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *rig) Fire(e *logrus.Entry) error {
	if e.Data["event"] == "request" {
		r.ended <- fmt.Sprint(e.Data["outcome"])
	}
	return nil
}

func newRig(t *testing.T, servers ...http.HandlerFunc) *rig {
	r := &rig{t: t, gate: dispatch.New(), books: &books{turns: map[string]*turn.Record{}, fail: map[string]error{}}, catalog: catalog.New(),
		quotas: &limits{}, ended: make(chan string, 1000)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(r)
	for i, h := range servers {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		r.objects = append(r.objects, objectapi.Object{Key: fmt.Sprintf("s/%d", i), Value: []byte(s.Listener.Addr().String())})
	}
	balancer := balance.New("front", place.Topology{DataCentre: "here"})
	r.entries = catalog.NewServersHandler(catalog.ServersOptions{Catalog: r.catalog, Prefix: "s/", Decode: decodeServer,
		LeaseExpiry: policy.NewLeaseExpiry(time.Second), Log: log, OnStarted: func(id incarnation.ID) { balancer.ServerStarted(id) }})
	r.entries.Reset(r.objects, 1)
	r.configure(log)
	dial := (&net.Dialer{}).DialContext
	r.gateway = gateway.New(gateway.Options{Catalog: r.catalog, Balancer: balancer, Sender: upstream.NewPool(dial, dialect{}, 100),
		Ledger: r.books, HeaderCodec: dialect{}, Log: log, Stats: gateway.NewStats(metrics.New()), Scheduler: r.gate, BodyBytes: 1500,
		ConfigAgeLimits: policy.NewConfigAgeLimits(keyWithdrawal, keyAddition), Quotas: r.quotas})
	front := httptest.NewServer(r.gateway)
	t.Cleanup(front.Close)
	r.url = front.URL
	return r
}

// decodeServer decodes a server's address, behind which may stand a blank and when it started.
func decodeServer(o objectapi.Object) (catalog.Server, error) {
	address, born, _ := strings.Cut(string(o.Value), " ")
	id := incarnation.ID{Server: o.Key[2:]}
	id.Born, _ = strconv.ParseInt(born, 10, 64)
	return catalog.Server{ID: id, Service: "svc", Address: address, Slots: 4}, nil
}

func (r *rig) configure(log logrus.FieldLogger) {
	route := func(prefix string, kind catalog.Kind, attempts int) catalog.Route {
		return catalog.Route{Name: prefix, Host: "127.0.0.1", Prefix: prefix, Kind: kind, MaxAttempts: attempts,
			Targets: []catalog.Target{{Service: "svc", Weight: 1}}, Timeout: 3 * time.Second}
	}
	config := catalog.Config{Version: 1, Services: []catalog.Service{{Name: "svc", TokensPerEvent: 3}},
		Limits: catalog.Limits{MaxBodyBytes: 1000},
		Routes: []catalog.Route{route("/twice/", catalog.Idempotent, 3), route("/once/", catalog.AtMostOnce, 3), route("/turn/", catalog.Stream, 2),
			route("/stream/", catalog.Stream, 2), route("/resume/", catalog.Stream, 2)}}
	config.Routes[2].RetainTurns, config.Routes[2].Retention = true, time.Minute
	config.Routes[4].Resumable = true
	r.config = config
	r.configs = catalog.NewConfigHandler(r.catalog, "c/", func(objectapi.Object) (catalog.Config, bool, error) { return r.config, true, nil }, log)
	r.configs.Reset([]objectapi.Object{{Key: "c/main"}}, 1)
}

// reply is what a caller gets.
type reply struct {
	status int
	body   string
	header http.Header
	broken bool
	// closes tells that the caller is asked to leave the connection.
	closes bool
}

func (r *rig) send(path, body string, headers ...string) reply {
	r.t.Helper()
	return r.sendThen(path, body, func() {}, headers...)
}

// sendThen calls begun as soon as the caller has the head of the answer and a byte of its body.
func (r *rig) sendThen(path, body string, begun func(), headers ...string) reply {
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
	_, _ = reader.Peek(1) // an empty or broken body shows below
	begun()
	got, err := io.ReadAll(reader)
	return reply{status: resp.StatusCode, body: string(got), header: resp.Header, broken: err != nil, closes: resp.Close}
}
