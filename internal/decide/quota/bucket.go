// Package quota enforces the request limits of organisations across all front daemons.
//
// An organisation's requests are counted by three store daemons, its replicas, each with a token bucket of its own. A
// front daemon asks all three for each request, and two of them must grant it. A grant is given after the caller
// sends the request and before the backend server gets it, so no window holds more requests than grants, however long
// a request waits. Any two majorities share a replica, so front daemons that reach different replicas can't spend the
// limit twice.
package quota

import "time"

// Limit is an organisation's request limit: PerSecond requests in the long run and Burst on top. PerSecond 0 means no
// limit.
type Limit struct{ PerSecond, Burst float64 }

// Bounded reports whether there is a limit.
func (l Limit) Bounded() bool { return l.PerSecond > 0 }

// Tolerance is by how much a limit may be exceeded in any window of length Window: by the fraction Excess of what it
// allows there, plus Slack requests.
type Tolerance struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// allowedExcess returns by how many requests a limit may be exceeded in a window.
func (t Tolerance) allowedExcess(l Limit) float64 { return t.Excess*t.allowedInWindow(l) + t.Slack }

// allowedInWindow returns how many requests a limit allows in a window.
func (t Tolerance) allowedInWindow(l Limit) float64 { return l.PerSecond*t.Window.Seconds() + l.Burst }

const (
	// capacityShare is the size of a bucket as a fraction of the allowed excess, initialShare the fill of one without
	// history. With these, all replicas may be killed twice in a window, with stand-ins meanwhile, before the
	// tolerance is exceeded.
	capacityShare = 0.45
	initialShare  = 0.1
	// standInIdleTime is how long a stand-in may go without requests before its count is stale, since others have
	// counted meanwhile. It is the time between two requests of a small organisation.
	standInIdleTime = 200 * time.Millisecond
	// maxGrantDelay is how long a request of a running program may be delayed: for the caller that is cheaper than a
	// refusal and a retry on a new connection. It covers programs that call several tools at once: with 300 ms, many of
	// their requests were refused.
	maxGrantDelay = 700 * time.Millisecond
)

// Bucket is the token bucket of one organisation. The caller passes the time.
type Bucket struct {
	tolerance Tolerance
	limit     Limit
	// version is the version of the configuration that set limit.
	version    int64
	refilledAt time.Time
	// tokens is how many requests may be granted now; a negative number of requests has been granted for later.
	tokens float64
}

// TakeReply tells whether a request may run, and after how long; for a refused one, Wait is the time until there is
// room.
type TakeReply struct {
	Granted bool
	Wait    time.Duration
}

// NewBucket returns the bucket of an organisation that has not been counted since the given time, filled with what
// has accrued since. Accrual starts maxGrantDelay later: another bucket may have granted requests for up to then.
func NewBucket(t Tolerance, l Limit, version int64, since, now time.Time) *Bucket {
	b := &Bucket{tolerance: t, limit: l, version: version, refilledAt: since.Add(maxGrantDelay)}
	b.tokens = b.initialTokens()
	b.refill(now)
	return b
}

// StandIn records that the bucket is asked in place of another. If it has not been asked for standInIdleTime, it
// drops what has accrued, which may have been granted by the other.
func (b *Bucket) StandIn(now time.Time) {
	if now.Sub(b.refilledAt) <= standInIdleTime {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.tokens, b.initialTokens())
}

// SetLimit applies the limit of a configuration, unless one of the same or a newer version was applied.
func (b *Bucket) SetLimit(l Limit, version int64, now time.Time) {
	if version <= b.version {
		return
	}
	b.refill(now)
	b.limit, b.version = l, version
	b.tokens = min(b.tokens, b.capacity())
}

// NoteReserved records that requests have been granted for later, up to d from now: a bucket that did not grant them
// itself grants none for an earlier time.
func (b *Bucket) NoteReserved(d time.Duration, now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens, 1-min(d, maxGrantDelay).Seconds()*b.rate())
}

// Take grants a request, at once or with a delay, or tells when there is room for it. A program's first request is
// only granted at once, so that running programs take precedence over new ones.
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

// Return takes back the grant of a request that did not run.
func (b *Bucket) Return(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.capacity())
}

// Idle reports whether the bucket is full, so that dropping it loses no information.
func (b *Bucket) Idle(now time.Time) bool {
	b.refill(now)
	return b.tokens >= b.capacity()
}

// available returns how many requests may be granted now.
func (b *Bucket) available(now time.Time) float64 {
	b.refill(now)
	return b.tokens
}

// capacity returns the size of the bucket. Limit.Burst is not part of it, but of the rate.
func (b *Bucket) capacity() float64 { return max(1, capacityShare*b.tolerance.allowedExcess(b.limit)) }

// initialTokens returns the fill of a bucket without history.
func (b *Bucket) initialTokens() float64 { return initialShare * b.tolerance.allowedExcess(b.limit) }

// rate returns the tokens per second: all that a window allows, spread over it. If the bucket held Burst instead, an
// organisation that exceeds PerSecond slightly for long would be refused what no window forbids.
func (b *Bucket) rate() float64 {
	return b.tolerance.allowedInWindow(b.limit) / b.tolerance.Window.Seconds()
}

// refill adds what has accrued since the last call.
func (b *Bucket) refill(now time.Time) {
	passed := now.Sub(b.refilledAt).Seconds()
	if passed <= 0 {
		return
	}
	b.refilledAt = now
	b.tokens = min(b.capacity(), b.tokens+passed*b.rate())
}

// timeToRefill returns how long it takes until the given number of tokens has accrued.
func (b *Bucket) timeToRefill(requests float64) time.Duration {
	return time.Duration(max(0, requests) / b.rate() * float64(time.Second))
}
