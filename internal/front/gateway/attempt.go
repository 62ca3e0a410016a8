package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// attempt is one try of a request at one server, for the log.
type attempt struct {
	server  incarnation.ID
	outcome string
	took    time.Duration
	// inFlight and candidates are what the choice saw.
	inFlight   int
	candidates int
	// uncached are the prompt tokens that the server was thought to have to read.
	uncached int64
	reused   bool
}

// describe returns attempts as one word for the log, joined by commas: server/outcome/ms/in flight/candidates, and
// for turns the tokens to read.
func describe(attempts []attempt) string {
	parts := make([]string, len(attempts))
	for i, a := range attempts {
		parts[i] = fmt.Sprintf("%s/%s/%dms/%d/%d", a.server, a.outcome, a.took.Milliseconds(), a.inFlight, a.candidates)
		if a.uncached > 0 {
			parts[i] += fmt.Sprintf("/%dt", a.uncached)
		}
		if a.reused {
			parts[i] += "/kept"
		}
	}
	return strings.Join(parts, ",")
}

// try sends the request to one chosen server. It returns an answer that the server signed, or a failure.
// NotRun answers are failures too. A stream goes on behind lastEvent.
func (x *exchange) try(ctx context.Context, choice *balance.Choice, body [][]byte, lastEvent string) (*upstream.Response, *upstream.Failure) {
	header := maps.Clone(x.header)
	x.g.dialect.AddForwardInfo(header, x.address(choice.Server.ID.Server, lastEvent))
	request := &upstream.Request{
		Method: x.r.Method, URI: x.r.RequestURI, Host: x.r.Host, Header: header, Body: body, ID: x.info.ID,
		Idempotent: x.route.Repeatable(),
	}
	limit := 0
	if service := x.table.Service(choice.Server.Service); service != nil {
		limit = service.MaxConns
	}
	x.mayRun.Add(1)
	answer, failure := x.g.sender.Do(ctx, endpoint(&choice.Server), limit, request)
	if failure != nil && failure.Verdict == verdict.NotRun || failure == nil && answer.Info.NotRun {
		x.mayRun.Add(-1)
	}
	if failure != nil {
		if failure.Verdict != verdict.NotRun { // a failed dial keeps its reason: it is no try at a server
			failure.Reason = reasonOf(ctx, failure.Reason)
		}
		return nil, failure
	}
	choice.HeadReceived()
	switch {
	case answer.Info.NotRun:
		_, _ = io.Copy(io.Discard, answer.Body) // so that the connection can be kept; the answer says all
		answer.Close()
		reason := reasonShed
		if answer.Status == http.StatusMisdirectedRequest {
			reason = reasonGone
		}
		return nil, upstream.NewFailure(verdict.NotRun, reason, Error.New("status %d", answer.Status))
	case isSuccess(answer.Status) && !answer.Info.Signed:
		answer.Close()
		return nil, upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonMalformed, Error.New("status %d without a signature", answer.Status))
	}
	return answer, nil
}

const (
	// reasonShed is a server's word that it was full.
	reasonShed = "shed"
	// reasonGone means that another server answers at the address.
	reasonGone = "gone"
	// reasonRestarted means that the start of the server that was asked is over.
	reasonRestarted = "restarted"
)

// reasonOf returns why a try ended that has failed: the reason given, unless its server has started again.
func reasonOf(ctx context.Context, reason string) string {
	if errors.Is(context.Cause(ctx), balance.ErrRestarted) {
		return reasonRestarted
	}
	return reason
}

func endpoint(s *catalog.Server) upstream.Endpoint {
	return upstream.Endpoint{Address: s.Address, Server: s.ID}
}

// connected tells whether a connection to a server rests that the request may use.
func (x *exchange) connected(s *catalog.Server) bool {
	return x.g.sender.HasIdle(endpoint(s), x.route.Repeatable())
}

// note records an attempt and tells the balancer how it went.
func (x *exchange) note(choice *balance.Choice, began time.Time, outcome string, told balance.Outcome) {
	choice.Done(told)
	x.attempts = append(x.attempts, attempt{server: choice.Server.ID, outcome: outcome, took: time.Since(began),
		inFlight: choice.InFlight, candidates: choice.Candidates, uncached: choice.Uncached})
	x.g.stats.attempt(outcome)
}

// noteFailure records a failed attempt.
func (x *exchange) noteFailure(choice *balance.Choice, began time.Time, failure *upstream.Failure) {
	told := balance.Failed
	switch {
	case failure.Reason == reasonShed, failure.Reason == upstream.ReasonNoConns:
		told = balance.Shed
	case x.r.Context().Err() != nil:
		told = balance.Abandoned
	}
	x.note(choice, began, failure.Reason, told)
	x.attempts[len(x.attempts)-1].reused = failure.Reused
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// known returns a start of a server that is in use now, or nil.
func (x *exchange) known(id incarnation.ID) *catalog.Server { return x.g.catalog.Servers().Server(id) }

// look tells the choice of a server which there are now: one that has begun to leave since the last try must get nothing more.
func (x *exchange) look(ask *balance.Request) {
	servers := x.g.catalog.Servers()
	fleet := servers.Pool(x.service)
	if service := x.table.Service(x.service); service != nil {
		ask.ColdPerSecond = service.ColdPerSecond
	}
	ask.Servers, ask.Constraints = fleet.Servers, servers.Constraints(time.Now(), x.homes(), ask.ColdPerSecond > 0)
	ask.Slots, ask.DataCentres = fleet.Slots(&ask.Constraints)
}

// homes returns the regions to which the request may go: both its route and its organisation bind it.
func (x *exchange) homes() catalog.AllowedRegions {
	if x.organisation == nil {
		return x.route.AllowedRegions
	}
	return x.route.AllowedRegions.Intersect(x.organisation.AllowedRegions)
}
