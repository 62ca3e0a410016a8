package gateway

import (
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quota"
)

const (
	// retryKeyUnknown is for requests whose key can't be checked because the configuration is too old. Another daemon
	// may have a newer one, and this daemon's watch will return soon.
	retryKeyUnknown = 300 * time.Millisecond
	// retryQuotaUnavailable is for requests that too few daemons could count. Dead daemons are detected within about
	// this time.
	retryQuotaUnavailable = 200 * time.Millisecond
	// minRetryAfter is the shortest retry time for a caller over its organisation's rate limit.
	minRetryAfter = 20 * time.Millisecond
	// reasonOverLimit is the refusal reason of requests over their organisation's rate limit.
	reasonOverLimit = "over-limit"
)

// withOrganisation finds the organisation of the caller's key, before any resources are used for the request.
func withOrganisation(x *exchange) *refusal {
	if !x.table.Config.RequireKeys || x.route.Public {
		return nil
	}
	if x.requestInfo.HasKey {
		x.organisation = x.table.OrganisationByKey(x.requestInfo.Key)
	}
	return refusalForKey(x.g.configAgeLimits.KeyStatus(x.organisation != nil, x.tableAge))
}

// recheckKey checks the caller's key again after the request was queued: it may have been revoked meanwhile.
func (x *exchange) recheckKey() *refusal {
	if x.organisation == nil {
		return nil
	}
	table, age := x.g.catalog.TableWithAge()
	// A key moved to another organisation meanwhile counts for the one that had it when the request arrived.
	return refusalForKey(x.g.configAgeLimits.KeyStatus(table.OrganisationByKey(x.requestInfo.Key) != nil, age))
}

// refusalForKey returns the refusal for the status of a key, or nil if the key is valid.
func refusalForKey(p policy.KeyStatus) *refusal {
	switch p {
	case policy.KeyValid:
		return nil
	case policy.KeyInvalid:
		return &refusal{status: http.StatusUnauthorized, reason: "key-unknown"}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "key-unproved", retryAfter: jitter(retryKeyUnknown)}
	}
}

// withinRateLimit takes one request from the organisation's rate limit, and waits if the grant says so.
func withinRateLimit(x *exchange) *refusal {
	if x.organisation == nil || !x.organisation.Limit.Bounded() {
		return nil
	}
	began := time.Now()
	grant, err := x.g.quotas.Take(x.ctx, quota.Request{Organisation: x.organisation.Name, Limit: x.organisation.Limit,
		Version: x.table.Config.Version, First: x.startsProgram()})
	x.g.stats.quota(time.Since(began))
	x.logRateLimit(grant, err)
	var over *quota.OverLimitError
	switch {
	case err == nil:
		x.grant = grant
		_ = wait.For(x.ctx, grant.Wait) // a caller that disconnects meanwhile is detected by the next step
		return nil
	case errors.As(err, &over):
		return &refusal{status: http.StatusTooManyRequests, reason: reasonOverLimit, retryAfter: jitter(max(over.Wait, minRetryAfter)), err: err}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "limit-unsure", retryAfter: jitter(retryQuotaUnavailable), err: err}
	}
}

// logRateLimit logs a request that was refused or delayed by its organisation's rate limit.
func (x *exchange) logRateLimit(grant *quota.Grant, err error) {
	fields := logrus.Fields{"event": "limit", "id": x.requestInfo.ID, "organisation": x.organisation.Name, "per_s": x.organisation.Limit.PerSecond,
		"burst": x.organisation.Limit.Burst, "config": x.table.Config.Version, "first": x.startsProgram()}
	switch {
	case err != nil:
		fields["outcome"], fields["error"] = "refused", err
	case grant.Wait > 0:
		fields["outcome"], fields["held_ms"] = "held", grant.Wait.Milliseconds()
	default:
		return
	}
	x.g.log.WithFields(fields).Info("organisation reached its rate limit")
}

// startsProgram reports whether the request is the first turn of a program, according to its headers.
func (x *exchange) startsProgram() bool {
	return x.requestInfo.Program != "" && x.route.RetainTurns && x.requestInfo.PreviousTurn == ""
}

// returnGrant returns the grant if no server can have run the request.
func (x *exchange) returnGrant() {
	if x.possibleRuns.Load() == 0 {
		x.grant.Return()
	}
}

// organisationName returns the name of the caller's organisation, or "" if it has none.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// level returns the request's priority level, 0 first.
func (x *exchange) level() int {
	return x.table.Level(x.organisation, x.route)
}
