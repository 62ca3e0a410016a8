package quarantine

import (
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

const (
	// suspectTime is how long after a failed attempt news of its server may show that the server ended then, in time for which the
	// list of servers is known.
	suspectTime = 8 * time.Second
	// maxSuspects bounds the failed attempts that are kept.
	maxSuspects = 4096
	// commonWindow is the time within which servers that end do so by a common cause, failureWindow that within which attempts
	// fail by one. Both are shorter than the time that a caller takes to end as many servers by one request after the other.
	commonWindow  = 500 * time.Millisecond
	failureWindow = time.Second
	// commonCount is how many servers that never got a request have to end within commonWindow of one that got it, or how many other
	// requests have to fail at such servers within failureWindow, before a common cause is assumed.
	commonCount = 3
)

// Suspect is an attempt that failed at a server of which nobody knows whether it has ended.
type Suspect struct {
	Keys  []Key
	Owner Owner
	End   End
	// Counts is set if the end counts while it is open. Otherwise the attempt was given up for another reason, and counts only
	// if the server turns out to have ended.
	Counts bool
}

// content returns the key that covers the whole request.
func (s *Suspect) content() Key { return s.Keys[len(s.Keys)-1] }

// fate is how a server ended, as far as this daemon knows.
type fate struct {
	evidence Evidence
	at       time.Time
}

// SuspectLog keeps failed attempts until news of their servers shows whether these have ended, or until suspectTime has passed.
// It is not safe for concurrent use, and the caller passes the time. Use NewSuspectLog.
type SuspectLog struct {
	suspects []Suspect
	// fates are those of servers that ended within suspectTime: an attempt may fail after its server's end is known.
	fates map[incarnation.ID]fate
}

// NewSuspectLog returns an empty log.
func NewSuspectLog() *SuspectLog { return &SuspectLog{fates: map[incarnation.ID]fate{}} }

// Add keeps a failed attempt. If the server is known to have ended since the request was sent, it returns the evidence instead.
func (l *SuspectLog) Add(now time.Time, s Suspect) (evidence Evidence, ended bool) {
	if f, known := l.fates[s.End.Server]; known && !f.at.Before(s.End.SentAt) {
		return f.evidence, true
	}
	l.Outlived(s.End.Server, s.End.Attempt) // more is known of the attempt now
	if len(l.suspects) < maxSuspects {
		l.suspects = append(l.suspects, s)
	}
	return "", false
}

// Outlived drops an attempt that its server has outlived.
func (l *SuspectLog) Outlived(server incarnation.ID, attempt string) {
	l.suspects = slices.DeleteFunc(l.suspects, func(s Suspect) bool { return s.End.isOf(server, attempt) })
}

// Ended records that a server has ended and returns the attempts that failed there before, with that evidence.
func (l *SuspectLog) Ended(now time.Time, server incarnation.ID, evidence Evidence) (ended []Suspect) {
	for other, f := range l.fates {
		if now.Sub(f.at) >= suspectTime {
			delete(l.fates, other)
		}
	}
	if f, known := l.fates[server]; !known || f.evidence.rank() < evidence.rank() {
		l.fates[server] = fate{evidence, now}
	}
	l.suspects = slices.DeleteFunc(l.suspects, func(s Suspect) bool {
		if s.End.Server == server {
			s.End.Evidence = evidence
			ended = append(ended, s)
		}
		return s.End.Server == server
	})
	return ended
}

// EarlierStarts returns the earlier starts of a server at which attempts failed.
func (l *SuspectLog) EarlierStarts(id incarnation.ID) map[incarnation.ID]bool {
	earlier := map[incarnation.ID]bool{}
	for _, s := range l.suspects {
		if s.End.Server.StartedBefore(id) {
			earlier[s.End.Server] = true
		}
	}
	return earlier
}

// Responded drops the attempts that are no longer suspect by a response of their server. listAge is the time since the list of
// servers was last known.
func (l *SuspectLog) Responded(r Response, listAge time.Duration) {
	l.suspects = slices.DeleteFunc(l.suspects, func(s Suspect) bool { return r.contradicts(s.End, listAge) })
}

// Expire drops the attempts of which nothing more is expected, where the list of servers is known as of listed, and returns those
// that counted and remain unknown.
func (l *SuspectLog) Expire(now, listed time.Time) (unknown []End) {
	l.suspects = slices.DeleteFunc(l.suspects, func(s Suspect) bool {
		old := listed.Sub(s.End.EndedAt) >= suspectTime || now.Sub(s.End.EndedAt) >= endLifetime
		if old && s.Counts {
			unknown = append(unknown, s.End)
		}
		return old
	})
	return unknown
}

// Open returns how many attempts are kept that count while their servers' fates are open.
func (l *SuspectLog) Open() int {
	n := 0
	for _, s := range l.suspects {
		if s.Counts {
			n++
		}
	}
	return n
}

// OthersEnded reports whether enough servers ended within commonWindow for a common cause, without those that a request
// touched.
func (l *SuspectLog) OthersEnded(now time.Time, touched func(incarnation.ID) bool) bool {
	n := 0
	for server, f := range l.fates {
		if now.Sub(f.at) < commonWindow && !touched(server) {
			n++
		}
	}
	return n >= commonCount
}

// OthersFailed reports whether enough other requests failed within failureWindow at servers that a request did not touch: then
// this daemon's own network is the likelier cause.
func (l *SuspectLog) OthersFailed(now time.Time, request Key, touched func(incarnation.ID) bool) bool {
	servers, requests := map[incarnation.ID]bool{}, map[Key]bool{}
	for _, s := range l.suspects {
		if other := s.content(); s.Counts && other != request && now.Sub(s.End.EndedAt) < failureWindow && !touched(s.End.Server) {
			servers[s.End.Server], requests[other] = true, true
		}
	}
	return len(servers) >= commonCount && len(requests) >= commonCount
}
