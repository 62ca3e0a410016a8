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
	// retryUnproved is for a daemon that can't say whether a key holds: the caller's next try most likely reaches another
	// daemon, and this one knows when its next watch is answered.
	retryUnproved = 300 * time.Millisecond
	// retryUncounted is for an organisation whose requests too few daemons can count: about the time in which a daemon that
	// died is found out.
	retryUncounted = 200 * time.Millisecond
	// leastReturn is the least time that a caller over its organisation's limit is told to stay away.
	leastReturn = 20 * time.Millisecond
	// reasonOverLimit is why a request is refused whose organisation is at its limit.
	reasonOverLimit = "over-limit"
)

// withOrganisation finds the organisation that the caller's key proves, before anything is spent on the request.
func withOrganisation(x *exchange) *refusal {
	if !x.table.Config.RequireKeys || x.route.Public {
		return nil
	}
	if x.info.HasKey {
		x.organisation = x.table.OrganisationByKey(x.info.Key)
	}
	return refusalOfProof(x.g.proofs.KeyStatus(x.organisation != nil, x.tableAge))
}

// stillProved looks at the caller's key once more: the request may have waited since it came.
func (x *exchange) stillProved() *refusal {
	if x.organisation == nil {
		return nil
	}
	table, age := x.g.catalog.TableWithAge()
	// A key that was passed on meanwhile proves the organisation that had it when the request came.
	return refusalOfProof(x.g.proofs.KeyStatus(table.OrganisationByKey(x.info.Key) != nil, age))
}

// refusalOfProof returns what a caller is told whose key is not proved.
func refusalOfProof(p policy.KeyStatus) *refusal {
	switch p {
	case policy.KeyValid:
		return nil
	case policy.KeyInvalid:
		return &refusal{status: http.StatusUnauthorized, reason: "key-unknown"}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "key-unproved", retryAfter: jitter(retryUnproved)}
	}
}

// withinLimit takes the organisation's right to one more request.
func withinLimit(x *exchange) *refusal {
	if x.organisation == nil || !x.organisation.Limit.Bounded() {
		return nil
	}
	began := time.Now()
	grant, err := x.g.quotas.Take(x.ctx, quota.Request{Organisation: x.organisation.Name, Limit: x.organisation.Limit,
		Version: x.table.Config.Version, First: x.beginsProgram()})
	x.g.stats.quota(time.Since(began))
	x.logLimit(grant, err)
	var over *quota.OverLimitError
	switch {
	case err == nil:
		x.grant = grant
		_ = wait.For(x.ctx, grant.Wait) // a caller that leaves meanwhile is seen by the next step
		return nil
	case errors.As(err, &over):
		return &refusal{status: http.StatusTooManyRequests, reason: reasonOverLimit, retryAfter: jitter(max(over.Wait, leastReturn)), err: err}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "limit-unsure", retryAfter: jitter(retryUncounted), err: err}
	}
}

// logLimit tells of a request that its organisation's limit held up.
func (x *exchange) logLimit(grant *quota.Grant, err error) {
	fields := logrus.Fields{"event": "limit", "id": x.info.ID, "organisation": x.organisation.Name, "per_s": x.organisation.Limit.PerSecond,
		"burst": x.organisation.Limit.Burst, "config": x.table.Config.Version, "first": x.beginsProgram()}
	switch {
	case err != nil:
		fields["outcome"], fields["error"] = "refused", err
	case grant.Wait > 0:
		fields["outcome"], fields["held_ms"] = "held", grant.Wait.Milliseconds()
	default:
		return
	}
	x.g.log.WithFields(fields).Info("organisation at its limit")
}

// beginsProgram tells whether a program begins with the request, as far as the request says.
func (x *exchange) beginsProgram() bool {
	return x.info.Program != "" && x.route.RetainTurns && x.info.PreviousTurn == ""
}

// returnGrant gives the organisation's right back where no server can have run the request.
func (x *exchange) returnGrant() {
	if x.mayRun.Load() == 0 {
		x.grant.Return()
	}
}

// organisationName returns the name of the caller's organisation, or nothing.
func (x *exchange) organisationName() string {
	if x.organisation == nil {
		return ""
	}
	return x.organisation.Name
}

// priority returns the request's rank, 0 first: its organisation's goes before its route's.
func (x *exchange) priority() int {
	if x.organisation != nil && x.organisation.HasPriority {
		return x.organisation.Priority
	}
	return x.route.Priority
}
