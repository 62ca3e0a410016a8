package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// attemptRecord describes one attempt of a request at a server, for the log.
type attemptRecord struct {
	server  incarnation.ID
	outcome string
	took    time.Duration
	// inFlight and candidates are the server's requests in flight and the number of candidate servers when it was
	// chosen.
	inFlight   int
	candidates int
	// uncached is the estimated number of prompt tokens that the server did not have in its cache.
	uncached         int64
	reusedConnection bool
}

// formatAttempts returns attempts for the log, separated by commas: server/outcome/ms/in flight/candidates, then the
// uncached tokens if any, and "kept" if a failed attempt used a kept connection.
func formatAttempts(attempts []attemptRecord) string {
	parts := make([]string, len(attempts))
	for i, a := range attempts {
		parts[i] = fmt.Sprintf("%s/%s/%dms/%d/%d", a.server, a.outcome, a.took.Milliseconds(), a.inFlight, a.candidates)
		if a.uncached > 0 {
			parts[i] += fmt.Sprintf("/%dt", a.uncached)
		}
		if a.reusedConnection {
			parts[i] += "/kept"
		}
	}
	return strings.Join(parts, ",")
}

// sendTo sends the request to one server. It returns the response, which is signed if its status is a success, or a
// failure. NotRun responses are failures too. A stream continues after lastEvent.
func (x *exchange) sendTo(ctx context.Context, choice *balance.Choice, body [][]byte, lastEvent string) (*upstream.Response, *upstream.Failure) {
	header := maps.Clone(x.header)
	x.g.headerCodec.AddForwardInfo(header, x.forwardInfo(choice.Server.ID.Server, lastEvent))
	request := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: body, ID: x.requestInfo.ID,
		Idempotent: x.route.Repeatable(),
	}
	copied := x.newCopy(choice)
	if copied.permit != nil {
		x.g.quarantine.Sent(ctx, copied.permit, &copied.Copy)
		copied.SentAt = time.Now()
	}
	x.possibleRuns.Add(1)
	copied.watch()
	response, failure := x.g.sender.Do(ctx, endpoint(&choice.Server), x.connectionLimit(&choice.Server), request)
	if failure != nil && failure.Verdict == verdict.NotRun || failure == nil && response.Info.NotRun {
		x.possibleRuns.Add(-1)
	}
	if failure != nil {
		if failure.Verdict != verdict.NotRun { // failed dials keep their reason, since no server was reached
			failure.Reason = failureReason(ctx, failure.Reason)
		}
		x.copies.keep(copied)
		return nil, failure
	}
	choice.HeadReceived()
	if response.Status == http.StatusMisdirectedRequest {
		x.g.quarantine.ServerNews(choice.Server.ID, quarantine.Replaced)
	} else {
		x.g.quarantine.Responded(choice.Server.ID, copied.SentAt, response.ConnectedAt)
	}
	x.copies.keep(copied)
	switch {
	case response.Info.NotRun:
		response.Discard()
		x.countResponse(response, nil)
		response.Close()
		reason := reasonShed
		if response.Status == http.StatusMisdirectedRequest {
			reason = reasonMisdirected
		}
		return nil, response.NewFailure(verdict.NotRun, reason, Error.New("server responded with status %d", response.Status))
	case isSuccess(response.Status) && !response.Info.Signed:
		response.Close()
		return nil, response.NewFailure(verdict.MayHaveRun, upstream.ReasonMalformed, Error.New("response with status %d is not signed", response.Status))
	}
	return response, nil
}

const (
	// reasonShed means that the server refused the request because it was overloaded.
	reasonShed = "shed"
	// reasonMisdirected means that another server responded at the address.
	reasonMisdirected = "gone"
	// reasonRestarted means that the server has restarted since the request was sent.
	reasonRestarted = "restarted"
)

// failureReason returns the reason of a failed attempt: the given one, unless the server has restarted.
func failureReason(ctx context.Context, reason string) string {
	if errors.Is(context.Cause(ctx), balance.ErrRestarted) {
		return reasonRestarted
	}
	return reason
}

// connectionLimit returns how many connections to a server are allowed; 0 means no limit.
func (x *exchange) connectionLimit(s *catalog.Server) int {
	service := x.table.Service(s.Service)
	if service == nil {
		return 0
	}
	return service.MaxConns
}

// healthPath returns the path at which a server tells how it is. Any other one is answered too, since a request without an ID is not run.
func (x *exchange) healthPath(s *catalog.Server) string {
	if service := x.table.Service(s.Service); service != nil && strings.HasPrefix(service.HealthPath, "/") {
		return service.HealthPath
	}
	return "/"
}

func endpoint(s *catalog.Server) upstream.Endpoint {
	return upstream.Endpoint{Address: s.Address, Server: s.ID}
}

// hasIdleConnection reports whether there is an idle connection to a server that the request may use.
func (x *exchange) hasIdleConnection(s *catalog.Server) bool {
	return x.g.sender.HasIdle(endpoint(s), x.route.Repeatable())
}

// recordAttempt records an attempt and reports its outcome to the balancer.
func (x *exchange) recordAttempt(choice *balance.Choice, began time.Time, outcome string, result balance.Outcome) {
	choice.Done(result)
	x.attempts = append(x.attempts, attemptRecord{server: choice.Server.ID, outcome: outcome, took: time.Since(began),
		inFlight: choice.InFlight, candidates: choice.Candidates, uncached: choice.Uncached})
	x.g.stats.attempt(outcome)
	if result == balance.Answered {
		x.answered.Store(true)
		x.g.quarantine.Answered(x.keys, x.owner())
	}
}

// recordWhole records an attempt whose response is whole: its server has outlived it.
func (x *exchange) recordWhole(choice *balance.Choice, began time.Time, outcome string, result balance.Outcome) {
	x.copies.take(choice.Server.ID).outlived()
	x.recordAttempt(choice, began, outcome, result)
}

// recordGivenUp records an attempt whose response is not read any further.
func (x *exchange) recordGivenUp(choice *balance.Choice, began time.Time, outcome string) {
	x.giveUp(choice, outcome)
	x.recordAttempt(choice, began, outcome, balance.Abandoned)
}

// recordFailure records a failed attempt.
func (x *exchange) recordFailure(choice *balance.Choice, began time.Time, failure *upstream.Failure) {
	if failure.Framing != "" {
		x.received.begin(failure.Framing)
	}
	result := balance.Failed
	switch {
	case failure.Reason == reasonShed, failure.Reason == upstream.ReasonNoConns:
		result = balance.Shed
	case x.r.Context().Err() != nil, failure.Reason == reasonUnread:
		result = balance.Abandoned
	}
	x.recordAttempt(choice, began, failure.Reason, result)
	x.attempts[len(x.attempts)-1].reusedConnection = failure.Reused
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// lookupServer returns an incarnation of a server, or nil if it is no longer known.
func (x *exchange) lookupServer(id incarnation.ID) *catalog.Server {
	return x.g.catalog.Servers().Server(id)
}

// refreshServers sets the current servers of a balancer request, so that servers that started draining since the last
// attempt get no further one.
func (x *exchange) refreshServers(request *balance.Request) {
	servers := x.g.catalog.Servers()
	pool := servers.Pool(x.serviceName)
	if service := x.table.Service(x.serviceName); service != nil {
		request.ColdPerSecond = service.ColdPerSecond
	}
	request.Servers, request.Constraints = pool.Servers, servers.Constraints(time.Now(), x.allowedRegions(), request.ColdPerSecond > 0)
	request.Slots, request.DataCentres = pool.Slots(&request.Constraints)
}

// allowedRegions returns the regions that both the route and the organisation allow.
func (x *exchange) allowedRegions() catalog.AllowedRegions {
	if x.organisation == nil {
		return x.route.AllowedRegions
	}
	return x.route.AllowedRegions.Intersect(x.organisation.AllowedRegions)
}
