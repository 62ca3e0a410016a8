// Package quarantine keeps requests that end servers away from further ones.
//
// A server that ends may have been ended by any of the requests in flight there: all are suspects. A request under which
// maxEnds servers have ended without a good answer since is quarantined: front daemons refuse it. A good answer to the same
// content clears it, and a server that responds to a later request takes its end back.
//
// Requests are compared by content, since each attempt of a caller has its own ID and reaches another daemon. Front
// daemons report ends to a few store daemons, the registrars, before they send the request again. Each registrar counts
// for itself, and tells all front daemons at once when a request is quarantined or cleared. State is in memory: a
// registrar that was restarted learns from the reports and front daemons again, and is outvoted until then.
package quarantine

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

const (
	// maxEnds is how many servers may end under a request.
	maxEnds = 3
	// endLifetime is how long an end counts. Callers and programs repeat a request within seconds.
	endLifetime = 2 * time.Minute
	// quarantineTime is how long a request is refused after the last end. Then one further end quarantines it again.
	quarantineTime = 10 * time.Minute
	// objectionTime is how long a request is not quarantined yet if servers ended beside one another under copies of it:
	// about the time until daemons that know a good answer have told. It is shorter than the pauses of callers.
	objectionTime = 60 * time.Millisecond
	// maxEntries bounds the requests of which ends are kept, and maxEndsKept the ends kept of each.
	maxEntries  = 4096
	maxEndsKept = 8
)

// End is the end of a server while it ran a request.
type End struct {
	// Server is the start of the server that ended.
	Server incarnation.ID
	// Attempt is the ID of the caller's attempt.
	Attempt string
	// SentAt is when the request was sent to the server, EndedAt when the server's end was noticed.
	SentAt, EndedAt time.Time
}

// State is what is known of a request.
type State struct {
	// Ends are those that count against the request.
	Ends []End
	// TakenBack are servers that responded after they had been taken for ended.
	TakenBack []incarnation.ID
	// AnsweredAt is the time of the last good answer; zero if none is known.
	AnsweredAt time.Time
	// Quarantined is set if the request must not be sent, until Until. Until is set before Quarantined where other daemons
	// may object.
	Quarantined bool
	Until       time.Time
}

// Servers returns the servers that have ended.
func (s State) Servers() []incarnation.ID {
	servers := make([]incarnation.ID, len(s.Ends))
	for i, end := range s.Ends {
		servers[i] = end.Server
	}
	return servers
}

// Age returns the time since the last end.
func (s State) Age(now time.Time) time.Duration {
	if len(s.Ends) == 0 {
		return 0
	}
	return now.Sub(s.Ends[len(s.Ends)-1].EndedAt)
}
