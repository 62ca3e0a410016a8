package policy

import "time"

// LeaseExpiry tells how entries behave that their owners renew, and that a store drops where they don't.
type LeaseExpiry struct {
	// MinOutage is the shortest outage of the store in which the entry of a live owner can lapse.
	MinOutage time.Duration
	// Renewal is within which of the store's return a live owner has renewed its entry, and word of it is here.
	Renewal time.Duration
}

const (
	// expiryHeartbeats is how many heartbeats without a renewal an outage has at least where an entry lapses: three are missed,
	// and the last one that came may be one older than the outage. Owners beat roughly, so a tenth less.
	expiryHeartbeats = 1.8
	// renewalTime is how soon after an outage live owners are back, 2 s, and the time that word of it takes, 0.2 s.
	renewalTime = 2200 * time.Millisecond
)

// NewLeaseExpiry returns what holds for owners that renew their entries every heartbeat.
func NewLeaseExpiry(heartbeat time.Duration) LeaseExpiry {
	return LeaseExpiry{MinOutage: time.Duration(expiryHeartbeats * float64(heartbeat)), Renewal: renewalTime}
}

// GraceUntil returns until when missing entries count as those of live owners, where the store's word of last is
// followed by that of again; the zero time where too little time has passed for entries to lapse. It goes by the age
// of what is known, not by the time for which the store was noticed to be away: one that is silent is noticed late.
func (l LeaseExpiry) GraceUntil(lastSeen, seenAgain time.Time) time.Time {
	if seenAgain.Sub(lastSeen) < l.MinOutage {
		return time.Time{}
	}
	return seenAgain.Add(l.Renewal)
}
