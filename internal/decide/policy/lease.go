package policy

import "time"

// LeaseExpiry describes the store entries that owners renew by heartbeat: which outages of the store they can expire
// in, and how soon they return.
type LeaseExpiry struct {
	// MinOutage is the shortest outage of the store in which the entry of a live owner can expire.
	MinOutage time.Duration
	// Renewal is how long after the store's return every live owner has renewed its entry and the update has arrived.
	Renewal time.Duration
}

const (
	// expiryHeartbeats is the shortest outage in which an entry can expire, in heartbeats: three renewals must be
	// missed, the last one received may be a heartbeat older than the outage, and heartbeats vary by a tenth.
	expiryHeartbeats = 1.8
	// renewalTime is the 2 s within which live owners renew after an outage, and 0.2 s for the update to arrive.
	renewalTime = 2200 * time.Millisecond
)

// NewLeaseExpiry returns the expiry times for owners that renew their entries every heartbeat.
func NewLeaseExpiry(heartbeat time.Duration) LeaseExpiry {
	return LeaseExpiry{MinOutage: time.Duration(expiryHeartbeats * float64(heartbeat)), Renewal: renewalTime}
}

// GraceUntil returns until when missing entries count as those of live owners, where the store's state was confirmed
// at lastSeen and next at seenAgain; the zero time if the gap was too short for entries to expire. The gap counts
// from the confirmed state and not from the detection of the outage, since a store that hangs is detected late.
func (l LeaseExpiry) GraceUntil(lastSeen, seenAgain time.Time) time.Time {
	if seenAgain.Sub(lastSeen) < l.MinOutage {
		return time.Time{}
	}
	return seenAgain.Add(l.Renewal)
}
