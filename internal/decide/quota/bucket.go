// Package quota keeps the limits of organisations on their requests, over all front daemons together.
//
// An organisation's requests are counted by three store daemons, its homes, each with a token bucket of its own. A front
// daemon asks all three for each request on its way; two of them must grant it. Since a grant lies between the caller's
// sending and the backend server's getting the request, no window holds more requests than grants, however long a
// request waits; since two majorities share a home, fronts that reach different ones can't spend the limit twice.
package quota

import "time"

// Limit is what an organisation may ask for: PerSecond requests in the long run and Burst on top. PerSecond of 0 is no
// limit.
type Limit struct{ PerSecond, Burst float64 }

// Bounded tells whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// Tolerance is by how much a limit may be exceeded in any Window: by Excess of what it allows there, and Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// allowedExcess returns how many requests above a limit are borne in a window.
func (t Tolerance) allowedExcess(l Limit) float64 { return t.Excess*t.allowedInWindow(l) + t.Slack }

// allowedInWindow returns what a limit allows in a allowedInWindow.
func (t Tolerance) allowedInWindow(l Limit) float64 { return l.PerSecond*t.Window.Seconds() + l.Burst }

const (
	// capacityShare of what may be exceeded is the most that a bucket holds, startShare what one holds that knows nothing of the
	// past. All homes may so be killed twice in a window, with others standing in meanwhile, before the limit is broken.
	capacityShare = 0.45
	initialShare  = 0.1
	// standInIdleTime is how long nobody may have asked a home that stands in for its count to be believed: others have counted
	// meanwhile. It is the pause between two requests of a small organisation.
	standInIdleTime = 200 * time.Millisecond
	// maxGrantDelay is how long a request of a program under way is held for its turn: it costs the caller less than to be
	// refused and to come back, which takes a new connection. Programs ask for several tools at once, so 0.3 s were too
	// little: of 308 requests over limits on a calm day 171 were of programs under way, and 0 of 114 with 0.7 s.
	maxGrantDelay = 700 * time.Millisecond
)

// Bucket counts one organisation's requests. It has no clock of its own.
type Bucket struct {
	tolerance Tolerance
	limit     Limit
	// version is that of the configuration that set limit.
	version    int64
	refilledAt time.Time
	// tokens is how many requests may be granted now; below 0 they have been granted for later.
	tokens float64
}

// TakeReply tells whether a request may run, and after how long: where it is not granted, when there will be room.
type TakeReply struct {
	Granted bool
	Wait    time.Duration
}

// NewBucket returns the bucket of an organisation of which nothing was counted since a time: it holds what has come in
// since then. What another bucket granted before for later may take until longestDelay from then.
func NewBucket(t Tolerance, l Limit, version int64, since, now time.Time) *Bucket {
	b := &Bucket{tolerance: t, limit: l, version: version, refilledAt: since.Add(maxGrantDelay)}
	b.tokens = b.initialTokens()
	b.refill(now)
	return b
}

// StandIn tells that the bucket is asked in the place of another: what came in while nobody asked it has been granted there.
func (b *Bucket) StandIn(now time.Time) {
	if now.Sub(b.refilledAt) <= standInIdleTime {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, b.initialTokens())
}

// SetLimit takes over the limit of a configuration, unless it knows that of a newer one.
func (b *Bucket) SetLimit(l Limit, version int64, now time.Time) {
	if version <= b.version {
		return
	}
	b.refill(now)
	b.limit, b.version = l, version
	b.tokens = min(b.tokens, b.capacity())
}

// NoteReserved tells that grants for later were given for up to a time from now: a bucket that has not given them itself gives none
// for before.
func (b *Bucket) NoteReserved(d time.Duration, now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens, 1-min(d, maxGrantDelay).Seconds()*b.rate())
}

// Take grants a request, now or for soon, or tells when there is room for it. first is set for a request with which a
// program begins: it is granted only for now, so that programs under way have all that comes in before others begin.
func (b *Bucket) Take(first bool, now time.Time) TakeReply {
	b.refill(now)
	wait, longest := b.timeToRefill(1-b.tokens), maxGrantDelay
	if first {
		longest = 0
	}
	if wait > longest {
		return TakeReply{Wait: wait - longest}
	}
	b.tokens--
	return TakeReply{Granted: true, Wait: wait}
}

// Return takes a granted request back that has not run.
func (b *Bucket) Return(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.capacity())
}

// Idle tells whether nothing is known that a new bucket would not know.
func (b *Bucket) Idle(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}

// available returns how many requests may be granted now.
func (b *Bucket) available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// capacity returns the most that the bucket holds. What the limit allows on top for a burst comes in by rate.
func (b *Bucket) capacity() float64 { return max(1, capacityShare*b.tolerance.allowedExcess(b.limit)) }

// initialTokens returns what the bucket holds where it knows nothing of the past.
func (b *Bucket) initialTokens() float64 { return initialShare * b.tolerance.allowedExcess(b.limit) }

// rate returns how many requests come in a second: all that a window allows, spread over it. With Burst held in the bucket
// in place of that, an organisation that asks a little more than PerSecond for long would be refused what no window
// forbids.
func (b *Bucket) rate() float64 {
	return b.tolerance.allowedInWindow(b.limit) / b.tolerance.Window.Seconds()
}

// refill lets in what has come since the last look.
func (b *Bucket) refill(now time.Time) {
	passed := now.Sub(b.refilledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.capacity(), b.tokens+passed*b.rate())
}

// timeToRefill returns when so many more requests will have come in.
func (b *Bucket) timeToRefill(requests float64) time.Duration {
	return time.Duration(max(0, requests) / b.rate() * float64(time.Second))
}
