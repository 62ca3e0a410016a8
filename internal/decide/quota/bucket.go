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

// over returns how many requests above a limit are borne in a window.
func (t Tolerance) over(l Limit) float64 { return t.Excess*t.window(l) + t.Slack }

// window returns what a limit allows in a window.
func (t Tolerance) window(l Limit) float64 { return l.PerSecond*t.Window.Seconds() + l.Burst }

const (
	// spareShare of what may be exceeded is the most that a bucket holds, startShare what one holds that knows nothing of the
	// past. All homes may so be killed twice in a window, with others standing in meanwhile, before the limit is broken.
	spareShare = 0.45
	startShare = 0.1
	// standInGap is how long nobody may have asked a home that stands in for its count to be believed: others have counted
	// meanwhile. It is the pause between two requests of a small organisation.
	standInGap = 200 * time.Millisecond
	// longestDelay is how long a request of a program under way is held for its turn: it costs the caller less than to be
	// refused and to come back, which takes a new connection. Programs ask for several tools at once, so 0.3 s were too
	// little: of 308 requests over limits on a calm day 171 were of programs under way, and 0 of 114 with 0.7 s.
	longestDelay = 700 * time.Millisecond
)

// Bucket counts one organisation's requests. It has no clock of its own.
type Bucket struct {
	tolerance Tolerance
	limit     Limit
	// version is that of the configuration that set limit.
	version int64
	at      time.Time
	// level is how many requests may be granted now; below 0 they have been granted for later.
	level float64
}

// TakeReply tells whether a request may run, and after how long: where it is not granted, when there will be room.
type TakeReply struct {
	Granted bool
	Wait    time.Duration
}

// NewBucket returns the bucket of an organisation of which nothing was counted since a time: it holds what has come in
// since then. What another bucket granted before for later may take until longestDelay from then.
func NewBucket(t Tolerance, l Limit, version int64, since, now time.Time) *Bucket {
	b := &Bucket{tolerance: t, limit: l, version: version, at: since.Add(longestDelay)}
	b.level = b.start()
	b.advance(now)
	return b
}

// StandIn tells that the bucket is asked in the place of another: what came in while nobody asked it has been granted there.
func (b *Bucket) StandIn(now time.Time) {
	if now.Sub(b.at) <= standInGap {
		return
	}
	b.at = now
	b.level = min(b.level, b.start())
}

// SetLimit takes over the limit of a configuration, unless it knows that of a newer one.
func (b *Bucket) SetLimit(l Limit, version int64, now time.Time) {
	if version <= b.version {
		return
	}
	b.advance(now)
	b.limit, b.version = l, version
	b.level = min(b.level, b.capacity())
}

// NoteReserved tells that grants for later were given for up to a time from now: a bucket that has not given them itself gives none
// for before.
func (b *Bucket) NoteReserved(d time.Duration, now time.Time) {
	b.advance(now)
	b.level = min(b.level, 1-min(d, longestDelay).Seconds()*b.rate())
}

// Take grants a request, now or for soon, or tells when there is room for it. first is set for a request with which a
// program begins: it is granted only for now, so that programs under way have all that comes in before others begin.
func (b *Bucket) Take(first bool, now time.Time) TakeReply {
	b.advance(now)
	wait, longest := b.until(1-b.level), longestDelay
	if first {
		longest = 0
	}
	if wait > longest {
		return TakeReply{Wait: wait - longest}
	}
	b.level--
	return TakeReply{Granted: true, Wait: wait}
}

// Return takes a granted request back that has not run.
func (b *Bucket) Return(now time.Time) {
	b.advance(now)
	b.level = min(b.level+1, b.capacity())
}

// Idle tells whether nothing is known that a new bucket would not know.
func (b *Bucket) Idle(now time.Time) bool {
	b.advance(now)
	return b.level >= b.capacity()
}

// free returns how many requests may be granted now.
func (b *Bucket) free(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// capacity returns the most that the bucket holds. What the limit allows on top for a burst comes in by rate.
func (b *Bucket) capacity() float64 { return max(1, spareShare*b.tolerance.over(b.limit)) }

// start returns what the bucket holds where it knows nothing of the past.
func (b *Bucket) start() float64 { return startShare * b.tolerance.over(b.limit) }

// rate returns how many requests come in a second: all that a window allows, spread over it. With Burst held in the bucket
// in place of that, an organisation that asks a little more than PerSecond for long would be refused what no window
// forbids.
func (b *Bucket) rate() float64 { return b.tolerance.window(b.limit) / b.tolerance.Window.Seconds() }

// advance lets in what has come since the last look.
func (b *Bucket) advance(now time.Time) {
	passed := now.Sub(b.at).Seconds()
	if passed <= 0 {
		return
	}
	b.at = now
	b.level = min(b.capacity(), b.level+passed*b.rate())
}

// until returns when so many more requests will have come in.
func (b *Bucket) until(requests float64) time.Duration {
	return time.Duration(max(0, requests) / b.rate() * float64(time.Second))
}
