package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
)

// Quarantine knows which requests end servers. Requests are given by the keys of their content.
type Quarantine interface {
	State(keys []quarantine.Key) quarantine.State
	// ServerEnded reports that a server ended while it ran a request, and returns once that is known elsewhere.
	ServerEnded(ctx context.Context, keys []quarantine.Key, owner quarantine.Owner, end quarantine.End) quarantine.State
	// Answered reports that a request was answered well, Responded that a server has responded to some request that was sent
	// at a time.
	Answered(keys []quarantine.Key, owner quarantine.Owner)
	Responded(server incarnation.ID, sentAt time.Time)
}

// reasonQuarantined is the refusal reason of requests under which too many servers have ended.
const reasonQuarantined = "quarantined"

// notQuarantined refuses requests under which too many servers have ended.
func notQuarantined(x *exchange) *refusal {
	if x.checkQuarantine() {
		return x.quarantineRefusal(nil)
	}
	return nil
}

// checkQuarantine reports whether the request must not be sent to a server, by what is known now.
func (x *exchange) checkQuarantine() bool {
	x.quarantine = x.g.quarantine.State(x.keys)
	return x.quarantine.Quarantined
}

// quarantineRefusal is for requests that did not run. Their caller may come back when the quarantine is over.
func (x *exchange) quarantineRefusal(err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: time.Until(x.quarantine.Until), err: err}
}

// owner identifies the organisation of the caller.
func (x *exchange) owner() quarantine.Owner { return quarantine.OwnerOf(x.organisationName()) }

// addQuarantine adds to a log line why a request was not sent, or not sent again.
func (x *exchange) addQuarantine(fields logrus.Fields) {
	if !x.quarantine.Quarantined {
		return
	}
	fields["content"] = x.identity()
	fields["ends"], fields["ended_servers"] = len(x.quarantine.Ends), x.quarantine.Servers()
	fields["knowledge_age_ms"] = x.quarantine.Age(time.Now()).Milliseconds()
	fields["refused_for_ms"] = time.Until(x.quarantine.Until).Milliseconds()
}
