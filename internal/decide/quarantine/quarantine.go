// Package quarantine keeps requests that end servers away from further ones.
//
// A server that ends may have been ended by any of the requests in flight there: all are suspects. What proves an end may
// come seconds later, so an attempt that failed at a server whose fate is not known counts as an open end until news of the
// server decides it, for openTime at most. A request under which maxEnds servers have ended, open ends included, is
// quarantined: front daemons refuse it. Good answers weigh against ends, and a server that responds to a later request takes
// its end back. Of a request under which any server has ended, no more copies are sent at once than it may still end servers.
//
// Requests are compared by content, since each attempt of a caller has its own ID and reaches another daemon. Front
// daemons report ends to a few store daemons, the registrars, before they send the request again. Each registrar counts
// for itself, and tells all front daemons at once when a request is suspected, quarantined or cleared. It keeps what it knows on
// its disk too. One that has lost its disk learns from the reports and front daemons again, and is outvoted until then.
package quarantine

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

const (
	// maxEnds is how many servers may end under a request that no server answers well.
	maxEnds = 3
	// answersPerEnd is how many good answers outweigh one end. It is the ratio at which a sequential probability ratio test
	// tells a request that ends one server of five from one whose servers end anyway, one of a hundred.
	answersPerEnd = 14
	// endLifetime is how long an end counts, and a good answer. Callers and programs repeat a request within seconds.
	endLifetime = 2 * time.Minute
	// openTime is how long after an open end the list of servers shows it: an entry lapses within some four seconds of its server's
	// end. It is measured in time for which the list is known.
	openTime = 5 * time.Second
	// clockError bounds the time that a daemon takes to note when something happened.
	clockError = 20 * time.Millisecond
	// StartNotice is the time from the start of a server within which the list of servers shows it. A response on a connection
	// that was opened after a failed attempt is of the same start only if none is listed after that time.
	StartNotice = 2 * time.Second
	// quarantineTime is how long a request is refused after the last end. Then one further end quarantines it again.
	quarantineTime = 10 * time.Minute
	// objectionTime is how long a request is not quarantined yet if servers ended beside one another under copies of it:
	// about the time until daemons that know a good answer have told. It is shorter than the pauses of callers.
	objectionTime = 60 * time.Millisecond
	// maxEntries bounds the requests of which ends are kept, and maxEndsKept the ends kept of each.
	maxEntries  = 4096
	maxEndsKept = 8
)

// Evidence is what shows that a server has ended, or may have.
type Evidence string

// Kinds of evidence.
const (
	// Refused means that nobody listens at the server's address.
	Refused Evidence = "refused"
	// Lapsed means that the server's entry is gone from the list of servers.
	Lapsed Evidence = "lapsed"
	// Restarted means that a later start of the server is listed.
	Restarted Evidence = "restarted"
	// Replaced means that another server listens at the address.
	Replaced Evidence = "replaced"
	// Broken means that the connection broke while somebody listens at the address: the same server or its successor.
	Broken Evidence = "broken"
	// Silent means that the server showed no sign of life: it has ended, is cut off, hangs or is slow.
	Silent Evidence = "silent"
	// Unheard means that the daemon that sent the request has not told how it ended: that daemon has ended or is cut off.
	Unheard Evidence = "unheard"
)

// Open reports whether the evidence leaves open whether the server has ended.
func (e Evidence) Open() bool { return e == Broken || e == Silent || e == Unheard }

// rank orders evidence by what it proves: nothing yet, seen by nobody or by the daemon that sent the request; an end, unless the
// server responds later; an end for certain.
func (e Evidence) rank() int {
	switch e {
	case Unheard:
		return -1
	case Broken, Silent:
		return 0
	case Restarted, Replaced:
		return 2
	default:
		return 1
	}
}

// End is the end of a server while it ran a request, or an open one.
type End struct {
	// Server is the start of the server that ended.
	Server incarnation.ID
	// Attempt is the ID of the caller's attempt.
	Attempt string
	// SentAt is when the request was sent to the server, EndedAt when the attempt failed.
	SentAt, EndedAt time.Time
	// RunsUntil is until when the server may work on the request, if that is later than EndedAt: an attempt that was given up may
	// end its server after that.
	RunsUntil time.Time
	// Evidence is what shows the end.
	Evidence Evidence
	// Common is set if servers that never got the request ended at the same time.
	Common bool
	// Told is set if another daemon told the times as ages, which grow on their way: they are earlier by up to reportTimeout.
	Told bool
}

// sentAfter reports whether the request was certainly sent after a time.
func (e End) sentAfter(at time.Time) bool {
	err := clockError
	if e.Told {
		err += reportTimeout
	}
	return at.Add(err).Before(e.SentAt)
}

// undecided reports whether the list of servers, known as of listed, may not show the end yet.
func (e End) undecided(listed time.Time) bool { return listed.Sub(e.EndedAt) < openTime }

// undecidedFor returns for how much longer the list of servers has to be known until it shows the end.
func (e End) undecidedFor(listed time.Time) time.Duration {
	return openTime - max(0, listed.Sub(e.EndedAt))
}

// isOf reports whether the end is that of a server under an attempt.
func (e End) isOf(server incarnation.ID, attempt string) bool {
	return e.Server == server && e.Attempt == attempt
}

// Response tells that a server has responded to a request.
type Response struct {
	Server incarnation.ID
	// SentAt is when the request was sent, ConnectedAt when its connection was opened; zero if that is not known.
	SentAt, ConnectedAt time.Time
}

// contradicts reports whether the response shows that the server had not ended. A later start of the server may respond under the
// name of the one before, but not on a connection that is older than the failed attempt, and not for longer than StartNotice where
// the list of servers is kept up to date. listAge is the time since it was last known.
func (r Response) contradicts(end End, listAge time.Duration) bool {
	sameStart := end.sentAfter(r.ConnectedAt) || r.SentAt.Add(-listAge).Sub(end.EndedAt) >= StartNotice
	return r.Server == end.Server && r.SentAt.After(end.EndedAt) && r.SentAt.After(end.RunsUntil) && sameStart && end.Evidence.rank() < Restarted.rank()
}

// Withdrawal tells that the end of a server under an attempt was taken back, because the server has responded since. It names the end
// rather than the time of the response: by the time that another daemon knows, ages have grown.
type Withdrawal struct {
	Server  incarnation.ID
	Attempt string
}

// of reports whether the end is the withdrawn one. What is certain is not withdrawn.
func (w Withdrawal) of(end End) bool {
	return end.isOf(w.Server, w.Attempt) && end.Evidence.rank() < Restarted.rank()
}

// State is what is known of a request.
type State struct {
	// Ends are those that count against the request, open ones included.
	Ends []End
	// Withdrawn are ends that were taken back.
	Withdrawn []Withdrawal
	// Answers counts good answers.
	Answers []Tally
	// Suspect is set if the ends outweigh the good answers, or if the request is crowded: copies are sent only with a permit.
	Suspect bool
	// Crowded is set if one more copy would make as many as may still end servers, with those in flight, or given up at servers that are
	// not known to have outlived them.
	Crowded bool
	// Quarantined is set if the request must not be sent, until Until. Until is set before Quarantined where other daemons
	// may object. Unsure is set if open ends decide: then Until is when they no longer count.
	Quarantined, Unsure bool
	Until               time.Time
}

// Servers returns the servers that have ended.
func (s State) Servers() []incarnation.ID {
	servers := make([]incarnation.ID, len(s.Ends))
	for i, end := range s.Ends {
		servers[i] = end.Server
	}
	return servers
}

// Evidence returns the evidence of each end.
func (s State) Evidence() []Evidence {
	evidence := make([]Evidence, len(s.Ends))
	for i, end := range s.Ends {
		evidence[i] = end.Evidence
	}
	return evidence
}

// Open returns how many ends are open.
func (s State) Open() int {
	open := 0
	for _, end := range s.Ends {
		if end.Evidence.Open() {
			open++
		}
	}
	return open
}

// Age returns the time since the last end.
func (s State) Age(now time.Time) time.Duration {
	if len(s.Ends) == 0 {
		return 0
	}
	return now.Sub(s.Ends[len(s.Ends)-1].EndedAt)
}
