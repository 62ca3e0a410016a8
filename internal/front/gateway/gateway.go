// Package gateway takes callers' HTTP requests, sends them to backend servers and returns their answers.
//
// A request passes a row of steps that each may refuse it. What is left is either a plain request, whose answer
// is read before it is passed on, or a stream, whose events are passed on as they come. Most streams are turns of
// agent programs, whose token budgets and, on routes that keep it, history lie with the ledger.
package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"
	"golang.org/x/sync/semaphore"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/upstream"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// Error is the class of this package's errors.
var Error = errs.Class("gateway")

// Ledger keeps turns and budgets.
type Ledger interface {
	Ready() bool
	Chain(ctx context.Context, program, id string) ([]*turn.Record, error)
	Reserve(ctx context.Context, record *turn.Record, budget int64) (ledger.ProgramUsage, error)
	Finish(ctx context.Context, record *turn.Record) error
	Settle(record *turn.Record)
}

// Sender sends one request to one server.
type Sender interface {
	Do(ctx context.Context, to upstream.Endpoint, limit int, r *upstream.Request) (*upstream.Response, *upstream.Failure)
	// HasIdle tells whether a connection rests that a request may use, one that may run more than once or one that must not.
	HasIdle(to upstream.Endpoint, repeatable bool) bool
}

// Quotas grants requests within the limits of organisations.
type Quotas interface {
	Take(ctx context.Context, r quota.Request) (*quota.Grant, error)
}

// Gateway is an http.Handler. Use New.
type Gateway struct {
	catalog  *catalog.Catalog
	balancer *balance.Balancer
	sender   Sender
	ledger   Ledger
	dialect  call.HeaderCodec
	log      logrus.FieldLogger
	stats    *Stats
	// bodies are the bytes that bodies of requests may hold together.
	bodies   *semaphore.Weighted
	gate     *dispatch.Scheduler
	proofs   policy.ConfigAgeLimits
	quotas   Quotas
	steps    []step
	stopping atomic.Bool
	active   atomic.Int64
}

// Options are what a gateway needs.
type Options struct {
	Catalog     *catalog.Catalog
	Balancer    *balance.Balancer
	Sender      Sender
	Ledger      Ledger
	HeaderCodec call.HeaderCodec
	Log         logrus.FieldLogger
	Stats       *Stats
	// Scheduler decides which turns go to model servers when.
	Scheduler *dispatch.Scheduler
	// BodyBytes bounds what bodies of requests hold together, in bytes.
	BodyBytes int64
	// ConfigAgeLimits are how old the configuration may be by which callers' keys are judged.
	ConfigAgeLimits policy.ConfigAgeLimits
	// Quotas grants requests of organisations that have a limit.
	Quotas Quotas
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{catalog: o.Catalog, balancer: o.Balancer, sender: o.Sender, ledger: o.Ledger, dialect: o.HeaderCodec,
		log: o.Log, stats: o.Stats, gate: o.Scheduler, proofs: o.ConfigAgeLimits, quotas: o.Quotas, bodies: semaphore.NewWeighted(o.BodyBytes)}
	g.steps = []step{withCallInfo, withConfig, withRoute, withOrganisation, withDeadline, withBody, withinLimit}
	return g
}

// Drain makes every answer from here on close its connection.
func (g *Gateway) Drain() { g.stopping.Store(true) }

// ActiveRequests returns how many requests are being served.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// exchange is one request on its way.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Time
	// until is when the caller or the route's timeout gives the request up; zero where neither bounds it.
	until time.Time
	info  call.RequestInfo
	table *catalog.Table
	// tableAge is how old the table may have been when the request came.
	tableAge time.Duration
	route    *catalog.Route
	// organisation is the one that the caller's key proved; nil where none is asked for.
	organisation *catalog.Organisation
	// grant is the right to run that the organisation's limit gave; nil where it has none.
	grant *quota.Grant
	body  []byte
	// reserved is what the body takes of Gateway.bodies.
	reserved int64
	header   http.Header
	// service is the one that the route's weights picked for the request.
	service string

	attempts []attempt
	// mayRun counts the tries that a server may have begun on, or may yet.
	mayRun atomic.Int32
	// begun is set once a part of the answer has left.
	begun bool
}

// refusal is an answer of the gateway's own.
type refusal struct {
	status int
	// reason is a stable word for logs and counters.
	reason string
	// retryAfter tells the caller when to come back; 0 says nothing.
	retryAfter time.Duration
	err        error
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	x := &exchange{g: g, w: w, r: r, ctx: r.Context(), arrived: time.Now()}
	defer x.release()
	defer x.returnGrant()
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithCancel(x.ctx)
	defer cancel()
	for _, s := range g.steps {
		if refused := s(x); refused != nil {
			x.refuse(refused)
			return
		}
	}
	if !x.until.IsZero() {
		var cancelDeadline context.CancelFunc
		x.ctx, cancelDeadline = context.WithDeadline(x.ctx, x.until)
		defer cancelDeadline()
		x.boundWrites(x.until.Add(writeSlack))
		defer x.boundWrites(time.Time{})
	}
	x.service = x.route.PickService(random())
	var refused *refusal
	if x.route.RetainTurns || x.route.Kind == catalog.Stream {
		refused = x.serveStream()
	} else {
		refused = x.servePlain()
	}
	if refused != nil {
		x.refuse(refused)
		return
	}
	x.finish(0, "answered", nil)
}

// writeSlack is how long after a request's time an answer may still be written: the last event of a turn waits
// for its record.
const writeSlack = finishWait + 500*time.Millisecond

// boundWrites ends writes to a caller that does not read: nothing else does. The zero time lifts the bound.
func (x *exchange) boundWrites(until time.Time) {
	if err := http.NewResponseController(x.w).SetWriteDeadline(until); err != nil {
		x.g.log.WithFields(logrus.Fields{"event": "write-unbounded", "id": x.info.ID, "error": err}).Debug("a caller that does not read may hold the request")
	}
}

// writeHead sends a status and the headers set so far. A stopping daemon asks the caller to leave.
func (x *exchange) writeHead(status int) {
	if x.g.stopping.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// refuse answers the request, or breaks the answer off where a part of it has left already.
func (x *exchange) refuse(f *refusal) {
	status := f.status
	if x.begun || x.r.Context().Err() != nil {
		status = 0
	}
	x.finish(status, f.reason, f.err)
	if x.begun {
		panic(http.ErrAbortHandler)
	}
	h := x.w.Header()
	x.g.dialect.SetRequestID(h, x.info.ID)
	if f.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(f.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := f.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.writeHead(f.status)
	_, _ = x.w.Write([]byte(text)) // the caller may have left; nothing more can be done for it
}

// finish counts and logs the request.
func (x *exchange) finish(status int, reason string, err error) {
	took := time.Since(x.arrived)
	route, config := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		config = x.table.Config.Version
	}
	x.g.stats.request(reason, took)
	fields := logrus.Fields{"event": "request", "id": x.info.ID, "route": route, "config": config, "outcome": reason,
		"ms": took.Milliseconds(), "attempts": describe(x.attempts)}
	if x.info.Program != "" {
		fields["program"] = x.info.Program
	}
	if x.organisation != nil {
		x.g.stats.organisation(x.table.MetricLabel(x.organisation.Name), reason)
	}
	if x.table != nil && x.table.Config.RequireKeys {
		fields["organisation"], fields["config_age_ms"] = x.organisationName(), x.tableAge.Milliseconds()
	}
	if status != 0 {
		fields["status"] = status
	}
	if err != nil {
		fields["error"] = err
	}
	x.g.log.WithFields(fields).Info("request ended")
}

// left returns the time until the request is given up, or 0 where nothing bounds it.
func (x *exchange) left() time.Duration {
	if x.until.IsZero() {
		return 0
	}
	return max(time.Until(x.until), time.Millisecond)
}
