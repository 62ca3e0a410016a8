package backend

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// defaultCapacity is the number of concurrent calls of a backend server whose configuration sets none.
const defaultCapacity = 16

// Options configure a Runner.
type Options struct {
	Dial   httpclient.DialFunc
	Config *config.Store
	Tracer trace.Tracer
	// DataCentre is the data centre of this daemon.
	DataCentre string
	// Daemons returns the number of daemons that share the backend servers.
	Daemons func() int
	// IdleTimeout limits the time without any byte from a backend server; 0 means the default.
	IdleTimeout time.Duration
}

// Runner implements holder.Runner over the backend servers of the configuration.
type Runner struct {
	options Options
	fleet   atomic.Pointer[fleet]
	stats   Stats

	// mu guards the servers and pools of the fleet.
	mu sync.Mutex
}

// Stats holds the counters of a Runner.
type Stats struct {
	ModelCalls   atomic.Int64
	ServiceCalls atomic.Int64
	Failures     atomic.Int64
	Refusals     atomic.Int64
}

// fleet is an immutable set of clients and pools, replaced when the configuration changes.
type fleet struct {
	backends map[string]*rookpassv1.BackendServer
	servers  map[string]*server
	// pools is keyed by target: a model or service name with its kind.
	pools map[target]*pool
	// costs holds the highest charge for one call, in tokens, by service name.
	costs map[string]int64
}

// target identifies a model or service.
type target struct {
	kind rookpassv1.CallKind
	name string
}

// NewRunner returns a runner for the current configuration. Run keeps it up to date.
func NewRunner(options Options) *Runner {
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	r := &Runner{options: options}
	r.fleet.Store(&fleet{})
	r.Refresh()
	return r
}

func (r *Runner) Stats() *Stats { return &r.stats }

// Run refreshes the fleet on each configuration change until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	for {
		changed := r.options.Config.Changed()
		r.Refresh()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Refresh applies the current configuration and number of daemons. Clients and pools of unchanged servers are kept.
func (r *Runner) Refresh() {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.fleet.Load()
	next := &fleet{
		backends: r.options.Config.View().Backends,
		servers:  map[string]*server{},
		pools:    map[target]*pool{},
		costs:    map[string]int64{},
	}
	// Sorted by name, so that ties between servers are broken in the same way everywhere.
	for _, name := range slices.Sorted(maps.Keys(next.backends)) {
		r.addServer(old, next, name, next.backends[name])
	}
	for t, p := range old.pools {
		if next.pools[t] == nil {
			p.servers = nil
		}
	}
	for _, p := range next.pools {
		p.dispatch()
	}
	r.fleet.Store(next)
}

// sameServer reports whether a server has the same address and kind as before.
func sameServer(old, now *rookpassv1.BackendServer) bool {
	return old.GetAddress() == now.Address && old.GetKind() == now.Kind
}

// newServer returns a server with the client for its kind.
func (r *Runner) newServer(name string, backend *rookpassv1.BackendServer) *server {
	s := &server{name: name, health: &health{}}
	if backend.Kind == rookpassv1.CallKind_CALL_KIND_MODEL {
		s.engine = NewEngine(backend.Address, r.options.Dial, r.options.IdleTimeout)
	} else {
		s.service = NewService(backend.Address, r.options.Dial, r.options.IdleTimeout)
	}
	return s
}

func (r *Runner) addServer(old, next *fleet, name string, backend *rookpassv1.BackendServer) {
	s := old.servers[name]
	if s == nil || !sameServer(old.backends[name], backend) {
		s = r.newServer(name, backend)
	}
	s.capacity = r.share(backend.MaxConcurrency)
	s.draining = backend.Draining && guard.Enabled(guard.Draining)
	s.remote = backend.DataCentre != r.options.DataCentre
	s.pools = nil
	next.servers[name] = s
	for _, served := range backend.Serves {
		next.costs[served] = max(next.costs[served], backend.CallCostTokens)
		p := r.poolFor(old, next, target{backend.Kind, served})
		p.servers = append(p.servers, s)
		s.pools = append(s.pools, p)
	}
}

// poolFor returns the next fleet's pool of a target. An existing pool keeps its queued calls.
func (r *Runner) poolFor(old, next *fleet, t target) *pool {
	if p := next.pools[t]; p != nil {
		return p
	}
	p := old.pools[t]
	if p == nil {
		p = &pool{mu: &r.mu, costs: policy.DefaultCosts()}
	}
	p.servers = nil
	next.pools[t] = p
	return p
}

// share returns the number of a server's slots that this daemon may use: an equal share per daemon, rounded up.
func (r *Runner) share(places int32) int {
	if places == 0 {
		places = defaultCapacity
	}
	daemons := max(1, r.options.Daemons())
	return (int(places) + daemons - 1) / daemons
}

// Model implements holder.Runner.
func (r *Runner) Model(ctx context.Context, call holder.ModelCall, text func([]byte)) (holder.ModelResult, error) {
	f := r.fleet.Load()
	p := f.pools[target{rookpassv1.CallKind_CALL_KIND_MODEL, call.Model}]
	if p == nil {
		return holder.ModelResult{}, verdict.RetryLater(verdict.Unavailable, failureRetry, "no engine serves %q", call.Model)
	}
	a := &slotRequest{
		organisation: call.Organisation,
		weight:       r.weight(call.Organisation),
		priority:     call.Priority,
		attained:     call.AttainedTokens,
		promptTokens: int64(len(call.Prompt)) / bytesPerToken,
		costTokens:   int64(len(call.Prompt))/bytesPerToken + call.MaxTokens,
		holds:        call.CachedOn,
		avoid:        call.Exclude,
	}
	s, err := p.acquire(ctx, a)
	if err != nil || s == nil {
		return holder.ModelResult{}, noServer(err)
	}
	r.stats.ModelCalls.Add(1)
	ctx, span := r.options.Tracer.Start(ctx, "engine", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("rookpass.backend_server", s.name)))
	defer span.End()
	usage, err := s.engine.Complete(ctx, completion(call), text)
	p.release(s, r.healthy(ctx, err))
	result := holder.ModelResult{
		Backend:          s.name,
		PromptTokens:     usage.PromptTokens,
		CachedTokens:     usage.CachedTokens,
		CompletionTokens: usage.CompletionTokens,
	}
	return result, err
}

// bytesPerToken is an estimate that is used only to compare calls.
const bytesPerToken = 4

func completion(call holder.ModelCall) CompletionRequest {
	return CompletionRequest{
		Model:        call.Model,
		Prompt:       string(call.Prompt),
		MaxTokens:    call.MaxTokens,
		Priority:     call.Priority,
		RequestID:    fmt.Sprintf("%s/%s/%d.%d", call.ProgramID, call.RequestID, call.Epoch, call.Attempt),
		CacheSalt:    call.Organisation,
		HoldTag:      call.ProgramID,
		FencingToken: call.Epoch,
	}
}

// noServer returns the error of a call that got no server.
func noServer(err error) error {
	if err != nil {
		return err
	}
	return verdict.RetryLater(verdict.Unavailable, busyRetry, "no other backend server is available for the call")
}

// healthy reports whether an outcome counts as a success of the server. Refusals and the end of the caller's
// context do not count as failures.
func (r *Runner) healthy(ctx context.Context, err error) bool {
	if err == nil || ctx.Err() != nil {
		return true
	}
	typed := verdict.Of(err)
	if typed.Verdict == verdict.NotRun && typed.Code != verdict.Unavailable {
		r.stats.Refusals.Add(1)
		return true
	}
	r.stats.Failures.Add(1)
	return false
}

func (r *Runner) weight(organisation string) int32 {
	return max(1, r.options.Config.View().Organisations[organisation].GetWeight())
}

// maxServiceAttempts is the maximum number of attempts of one service call, including the first.
const maxServiceAttempts = 3

// Service implements holder.Runner. A failed call is retried at another server only if it did not run or is
// idempotent.
func (r *Runner) Service(ctx context.Context, call holder.ServiceCall) (holder.ServiceResult, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	var avoid []string
	for attempt := 1; ; attempt++ {
		name, answer, err := r.serviceOnce(ctx, call, avoid)
		if err == nil {
			return r.serviceResult(name, answer), nil
		}
		again := call.Idempotent || verdict.Of(err).Verdict == verdict.NotRun
		if name == "" || !again || attempt == maxServiceAttempts || ctx.Err() != nil {
			return holder.ServiceResult{Backend: name}, err
		}
		avoid = append(avoid, name)
	}
}

func (r *Runner) serviceResult(name string, answer Response) holder.ServiceResult {
	return holder.ServiceResult{
		Backend:    name,
		Status:     answer.Status,
		Body:       answer.Body,
		CostTokens: r.fleet.Load().backends[name].GetCallCostTokens(),
	}
}

// serviceOnce makes one attempt and returns the name of the server, which is empty if the call got none.
func (r *Runner) serviceOnce(ctx context.Context, call holder.ServiceCall, avoid []string) (string, Response, error) {
	f := r.fleet.Load()
	kind := rookpassv1.CallKind_CALL_KIND_TOOL
	path := ToolPath(call.Service)
	if call.Kind == holder.KindPlain {
		kind, path = rookpassv1.CallKind_CALL_KIND_PLAIN, call.Path
		if path == "" {
			path = "/"
		}
	}
	p := f.pools[target{kind, call.Service}]
	if p == nil {
		return "", Response{}, verdict.RetryLater(verdict.Unavailable, failureRetry, "no server serves %q", call.Service)
	}
	s, err := p.acquire(ctx, &slotRequest{
		organisation: call.Organisation, weight: r.weight(call.Organisation), costTokens: 1, avoid: avoid,
	})
	if err != nil || s == nil {
		return "", Response{}, noServer(err)
	}
	r.stats.ServiceCalls.Add(1)
	ctx, span := r.options.Tracer.Start(ctx, call.Kind, trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("rookpass.backend_server", s.name)))
	defer span.End()
	answer, err := s.service.Send(ctx, path, call.Body, call.RequestID, call.Idempotent)
	p.release(s, r.healthy(ctx, err))
	return s.name, answer, err
}

// ServiceCost implements holder.Runner.
func (r *Runner) ServiceCost(service string) int64 {
	return r.fleet.Load().costs[service]
}

// Engine returns the client of an engine, or nil if there is none.
func (r *Runner) Engine(name string) *Engine {
	if s := r.fleet.Load().servers[name]; s != nil {
		return s.engine
	}
	return nil
}

// Engines returns the sorted names of all engines.
func (r *Runner) Engines() []string {
	var names []string
	for name, s := range r.fleet.Load().servers {
		if s.engine != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Status returns the status of all backend servers, sorted by name.
func (r *Runner) Status() []*rookpassv1.BackendStatus {
	f := r.fleet.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*rookpassv1.BackendStatus
	for _, name := range slices.Sorted(maps.Keys(f.backends)) {
		list = append(list, &rookpassv1.BackendStatus{
			Name:     name,
			Draining: f.backends[name].Draining,
			InFlight: int32(f.servers[name].inFlight),
			Ejected:  f.servers[name].health.ejected(time.Now()),
		})
	}
	return list
}
