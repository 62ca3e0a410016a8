// Package gateway accepts callers' HTTP requests, forwards them to backend servers and returns their responses.
//
// A request passes a list of steps, each of which may refuse it. It is then either a plain request, whose response is
// buffered before it is forwarded, or a stream, whose events are forwarded as they arrive. Most streams are turns of
// agent programs. Their token budgets are kept by the ledger, and on routes that retain turns their history too.
package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/zeebo/errs"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
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

// Ledger stores turns and token budgets.
type Ledger interface {
	Ready() bool
	Chain(ctx context.Context, program, id string) ([]*turn.Record, error)
	Reserve(ctx context.Context, record *turn.Record, budget int64) (ledger.ProgramUsage, error)
	Finish(ctx context.Context, record *turn.Record) error
	Settle(record *turn.Record)
}

// Sender sends a request to a server.
type Sender interface {
	Do(ctx context.Context, to upstream.Endpoint, limit int, r *upstream.Request) (*upstream.Response, *upstream.Failure)
	// HasIdle reports whether there is an idle connection that a request may use. Requests that are not repeatable
	// need a connection with more time left before the server closes it.
	HasIdle(to upstream.Endpoint, repeatable bool) bool
	// Probe finds out whether a server has ended, after a connection to it broke.
	Probe(ctx context.Context, to upstream.Endpoint, limit int) upstream.Liveness
	// HasOlder reports whether a connection to a server that was opened before a time is still open.
	HasOlder(to upstream.Endpoint, than time.Time) bool
	// Hold takes a connection to a server out of use, which closes if the server ends; nil if there is none to be had.
	Hold(ctx context.Context, to upstream.Endpoint, limit int) *upstream.Held
}

// Quotas grants requests within the rate limits of organisations.
type Quotas interface {
	Take(ctx context.Context, r quota.Request) (*quota.Grant, error)
}

// Gateway is an http.Handler. Use New to create one.
type Gateway struct {
	catalog     *catalog.Catalog
	balancer    *balance.Balancer
	sender      Sender
	ledger      Ledger
	headerCodec call.HeaderCodec
	log         logrus.FieldLogger
	stats       *Stats
	// memory accounts for all that is held for callers and servers.
	memory          *membudget.Budget
	sizes           sizeEstimates
	scheduler       *dispatch.Scheduler
	configAgeLimits policy.ConfigAgeLimits
	quotas          Quotas
	quarantine      Quarantine
	steps           []step
	draining        atomic.Bool
	activeRequests  atomic.Int64
	// givenUp counts the given-up copies that are watched.
	givenUp atomic.Int64
}

// Options configure a Gateway.
type Options struct {
	Catalog     *catalog.Catalog
	Balancer    *balance.Balancer
	Sender      Sender
	Ledger      Ledger
	HeaderCodec call.HeaderCodec
	Log         logrus.FieldLogger
	Stats       *Stats
	// Scheduler decides when turns are sent to model servers.
	Scheduler *dispatch.Scheduler
	// Memory bounds all that is held for callers and servers.
	Memory *membudget.Budget
	// ConfigAgeLimits bound the age of the configuration with which callers' keys are checked.
	ConfigAgeLimits policy.ConfigAgeLimits
	// Quotas grants requests of organisations with a rate limit.
	Quotas Quotas
	// Quarantine knows which requests end servers.
	Quarantine Quarantine
}

// New returns a gateway.
func New(o Options) *Gateway {
	g := &Gateway{catalog: o.Catalog, balancer: o.Balancer, sender: o.Sender, ledger: o.Ledger, headerCodec: o.HeaderCodec,
		log: o.Log, stats: o.Stats, scheduler: o.Scheduler, configAgeLimits: o.ConfigAgeLimits, quotas: o.Quotas, memory: o.Memory, quarantine: o.Quarantine}
	g.steps = []step{withRequestInfo, withSoundFraming, withConfig, withRoute, withOrganisation, withDeadline, withBody, withIdentity, notQuarantined, withinRateLimit}
	return g
}

// Drain makes all further responses close their connection. Requests are still served.
func (g *Gateway) Drain() { g.draining.Store(true) }

// ActiveRequests returns the number of requests being served.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// exchange is one HTTP request and its response.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	arrived time.Time
	// deadline is the earlier of the caller's deadline and the route's timeout; zero if there is neither.
	deadline    time.Time
	requestInfo call.RequestInfo
	table       *catalog.Table
	// tableAge is the maximum age of the table when the request arrived.
	tableAge time.Duration
	route    *catalog.Route
	// organisation is the caller's, by its key; nil if no key is required.
	organisation *catalog.Organisation
	// grant is the right to run under the organisation's rate limit; nil if it has none.
	grant *quota.Grant
	body  []byte
	// memory is the request's part of Gateway.memory.
	memory *membudget.Holding
	header http.Header
	// keys identify the request's content; the last one covers the whole request.
	keys []quarantine.Key
	// quarantine is what was known of servers that ended under the request when that was last checked.
	quarantine quarantine.State
	// permit is that of the next copy, if the request is suspected of ending servers.
	permit atomic.Pointer[quarantine.Permit]
	// copies are those at servers of which more is expected.
	copies sentCopies
	// answered is set once a server has answered the request well.
	answered atomic.Bool
	// serviceName is the service picked by the route's weights.
	serviceName string

	attempts []attemptRecord
	// possibleRuns counts the attempts that a server may have run or may yet run.
	possibleRuns atomic.Int32
	// headSent is set once a part of the response has been sent.
	headSent bool
	// received describes the servers' responses.
	received receivedResponse
}

// refusal is a response that the gateway itself makes in place of a server's.
type refusal struct {
	status int
	// reason is a stable identifier for logs and metrics.
	reason string
	// retryAfter tells the caller when to try again; 0 sends no Retry-After header.
	retryAfter time.Duration
	err        error
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	x := &exchange{g: g, w: w, r: r, ctx: r.Context(), arrived: time.Now(), memory: g.memory.NewHolding()}
	defer x.memory.Close()
	x.setWriteDeadline(time.Time{}) // the previous request on the connection has left one
	defer func() { x.setWriteDeadline(time.Now().Add(finalWriteTime)) }()
	defer x.returnGrant()
	defer x.releasePermit()
	var cancel context.CancelFunc
	x.ctx, cancel = context.WithCancel(x.ctx)
	defer cancel()
	for _, s := range g.steps {
		if refused := s(x); refused != nil {
			x.refuse(refused)
			return
		}
	}
	if !x.deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		x.ctx, cancelDeadline = context.WithDeadline(x.ctx, x.deadline)
		defer cancelDeadline()
		x.setWriteDeadline(x.deadline.Add(writeGrace))
	}
	x.serviceName = x.route.PickService(randomFraction())
	var refused *refusal
	if x.streams() {
		refused = x.serveStream()
	} else {
		refused = x.servePlain()
	}
	if refused != nil {
		x.refuse(refused)
		return
	}
	x.recordOutcome(0, "answered", nil)
}

// streams reports whether events of the response are forwarded as they arrive.
func (x *exchange) streams() bool { return x.route.RetainTurns || x.route.Kind == catalog.Stream }

// writeGrace is how long after its deadline a response may still be written, since the last event of a turn waits for
// the turn's record.
const writeGrace = maxRecordWait + 500*time.Millisecond

// finalWriteTime bounds writing the end of a response, at most a few KB, after the request has ended. net/http removes the
// bound before the next request.
const finalWriteTime = 10 * time.Second

// setWriteDeadline bounds writes to a caller that does not read. The zero time removes the bound.
func (x *exchange) setWriteDeadline(until time.Time) {
	if err := http.NewResponseController(x.w).SetWriteDeadline(until); err != nil {
		x.g.log.WithFields(logrus.Fields{"event": "write-unbounded", "id": x.requestInfo.ID, "error": err}).Debug("failed to set write deadline; a caller that does not read may block the request")
	}
}

// writeStatus sends a status and the headers set so far. A draining gateway closes the connection after the response.
func (x *exchange) writeStatus(status int) {
	if x.g.draining.Load() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.WriteHeader(status)
}

// refuse responds with a refusal, or aborts the response if a part of it has been sent.
func (x *exchange) refuse(refused *refusal) {
	status := refused.status
	if x.headSent || x.r.Context().Err() != nil {
		status = 0
	}
	x.recordOutcome(status, refused.reason, refused.err)
	if x.headSent {
		x.abort()
	}
	h := x.w.Header()
	x.g.headerCodec.SetRequestID(h, x.requestInfo.ID)
	if refused.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(refused.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	text := refused.reason + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	x.writeStatus(refused.status)
	_, _ = x.w.Write([]byte(text)) // the caller may have disconnected
}

// abort ends a response of which a part has been sent without its end. It does not return. A caller of HTTP/1.0 has no
// chunks: an orderly close would be the end of the response, so that its connection is reset instead.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) {
		x.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

// resetConnection resets the caller's connection.
func (x *exchange) resetConnection() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err == nil {
		tcp, ok := conn.(interface{ SetLinger(seconds int) error })
		if ok {
			err = tcp.SetLinger(0)
		} else {
			err = Error.New("a connection of type %T can't be reset", conn)
		}
		err = errors.Join(err, conn.Close())
	}
	if err != nil {
		x.g.log.WithFields(logrus.Fields{"event": "reset-failed", "id": x.requestInfo.ID, "error": err}).Warn("failed to reset the caller's connection; its response may look complete")
	}
}

// recordOutcome counts and logs the request.
func (x *exchange) recordOutcome(status int, reason string, err error) {
	took := time.Since(x.arrived)
	route, config := "", int64(0)
	if x.route != nil {
		route = x.route.Name
	}
	if x.table != nil {
		config = x.table.Config.Version
	}
	x.g.stats.request(reason, took)
	fields := logrus.Fields{"event": "request", "id": x.requestInfo.ID, "route": route, "config": config, "outcome": reason,
		"ms": took.Milliseconds(), "attempts": formatAttempts(x.attempts)}
	if len(x.attempts) > 1 || len(x.attempts) > 0 && reason != "answered" {
		fields["content"] = x.identity()
	}
	if x.requestInfo.Program != "" {
		fields["program"] = x.requestInfo.Program
	}
	if x.organisation != nil {
		x.g.stats.organisation(x.table.MetricLabel(x.organisation.Name), reason)
	}
	if x.table != nil && x.table.Config.RequireKeys {
		fields["organisation"], fields["config_age_ms"] = x.organisationName(), x.tableAge.Milliseconds()
	}
	x.received.addTo(fields)
	x.addQuarantine(fields)
	if status != 0 {
		fields["status"] = status
	}
	if err != nil {
		fields["error"] = err
	}
	x.g.log.WithFields(fields).Info("request ended")
}

// timeLeft returns the time until the deadline, at least a millisecond, or 0 if there is none.
func (x *exchange) timeLeft() time.Duration {
	if x.deadline.IsZero() {
		return 0
	}
	return max(time.Until(x.deadline), time.Millisecond)
}
