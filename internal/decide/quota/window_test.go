package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/quota"
)

// maxInWindow returns the largest number of times within any window, both ends included.
func maxInWindow(times []time.Time, window time.Duration) int {
	slices.SortFunc(times, time.Time.Compare)
	most, from := 0, 0
	for i, at := range times {
		for at.Sub(times[from]) > window {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// allowed returns how many requests a window may hold.
func allowed(l quota.Limit) float64 {
	return (l.PerSecond*tolerance.Window.Seconds()+l.Burst)*(1+tolerance.Excess) + tolerance.Slack
}

// replicaSet is the daemons that count one organisation's requests: three replicas and two stand-ins.
type replicaSet struct {
	r             *rand.Rand
	limit         quota.Limit
	version       int64
	started       [5]time.Time
	buckets       [5]*quota.Bucket
	downUntil     [5]time.Time
	reservedUntil time.Time // until when requests have been granted for later
}

// restart stops a replica, which returns after a time without its state.
func (s *replicaSet) restart(i int, now time.Time, after time.Duration) {
	s.buckets[i], s.downUntil[i] = nil, now.Add(after)
	s.started[i] = s.downUntil[i]
}

// take asks like a front daemon that detects at once which replicas are down, and returns when the request may run.
func (s *replicaSet) take(now time.Time, first bool) (time.Time, bool) {
	granted, asked := 0, 0
	var delay time.Duration
	for i := range s.buckets {
		if asked == 3 {
			break
		}
		if now.Before(s.downUntil[i]) {
			continue
		}
		asked++
		if s.buckets[i] == nil {
			since := s.started[i]
			if i >= 3 {
				since = now
			}
			s.buckets[i] = quota.NewBucket(tolerance, s.limit, s.version, since, now)
		}
		if i >= 3 {
			s.buckets[i].StandIn(now)
		}
		s.buckets[i].SetLimit(s.limit, s.version, now)
		if s.reservedUntil.After(now) {
			s.buckets[i].NoteReserved(s.reservedUntil.Sub(now), now)
		}
		if answer := s.buckets[i].Take(first, now); answer.Granted {
			granted++
			delay = max(delay, answer.Wait)
		}
	}
	if at := now.Add(delay); granted >= 2 && at.After(s.reservedUntil) {
		s.reservedUntil = at
	}
	return now.Add(delay), granted >= 2
}

// TestNoWindowHoldsMoreThanTheLimit simulates random demand and kills of single replicas and of all at once, at most
// twice within a window, and checks that no window holds more requests than allowed.
func TestNoWindowHoldsMoreThanTheLimit(t *testing.T) {
	for seed := range uint64(3000) {
		r := rand.New(rand.NewPCG(seed, 7))
		rate := 1 + r.Float64()*float64(1+r.IntN(300))
		h := &replicaSet{r: r, limit: quota.Limit{PerSecond: rate, Burst: rate * 2 * r.Float64()}, version: 1}
		now := time.Unix(0, 0)
		demand := rate * 12 * r.Float64()
		var ran []time.Time
		var kills []time.Time
		for end := now.Add(20 * time.Second); now.Before(end); {
			now = now.Add(time.Duration(r.ExpFloat64() / demand * float64(time.Second)))
			if r.IntN(40) == 0 {
				demand = rate * 12 * r.Float64()
			}
			if r.Float64() < 0.4/demand && (len(kills) < 2 || now.Sub(kills[len(kills)-2]) > tolerance.Window) {
				kills = append(kills, now)
				h.kill(now)
			}
			if at, granted := h.take(now, r.IntN(8) == 0); granted {
				ran = append(ran, at)
			}
		}
		n := maxInWindow(ran, tolerance.Window)
		assert.Assert(t, float64(n) <= allowed(h.limit), "seed %d: %d requests of %.1f in a window of %+v, kills %v", seed, n, allowed(h.limit), h.limit, kills)
	}
}

// kill restarts some replicas, and in a third of the cases all of them.
func (s *replicaSet) kill(now time.Time) {
	for i := range [...]int{1, 2, 5}[s.r.IntN(3)] {
		s.restart((i+s.r.IntN(5))%5, now, time.Duration(s.r.IntN(2000))*time.Millisecond)
	}
	if s.r.IntN(3) > 0 {
		return
	}
	for i := range s.buckets {
		s.restart(i, now, time.Duration(s.r.IntN(1000))*time.Millisecond)
	}
}

// TestWindowCheckDetectsExcess checks that the check of windows finds a limiter that grants 10% too much.
func TestWindowCheckDetectsExcess(t *testing.T) {
	for _, rate := range []float64{5, 50, 300} {
		limit := quota.Limit{PerSecond: rate, Burst: rate}
		var ran []time.Time
		pause := time.Duration(float64(tolerance.Window) / (1.1 * allowed(limit)))
		for at := time.Unix(0, 0); at.Before(time.Unix(20, 0)); at = at.Add(pause) {
			ran = append(ran, at)
		}
		assert.Assert(t, float64(maxInWindow(ran, tolerance.Window)) > allowed(limit), fmt.Sprint(rate))
	}
}

// TestLowerLimitBindsAtOnce checks that a lowered limit applies at once, and that one of an older configuration is
// ignored.
func TestLowerLimitBindsAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	b := quota.NewBucket(tolerance, quota.Limit{PerSecond: 100, Burst: 100}, 5, now.Add(-time.Hour), now)
	low := quota.Limit{PerSecond: 2, Burst: 2}
	b.SetLimit(low, 6, now)
	b.SetLimit(quota.Limit{PerSecond: 100, Burst: 100}, 5, now)
	granted := 0
	for range 5000 {
		now = now.Add(time.Millisecond)
		if b.Take(false, now).Granted {
			granted++
		}
	}
	assert.Assert(t, float64(granted) <= allowed(low), "%d granted", granted)
}

// TestReturnedGrantsServeOthers checks that requests that did not run are not counted.
func TestReturnedGrantsServeOthers(t *testing.T) {
	now := time.Unix(0, 0)
	limit := quota.Limit{PerSecond: 1, Burst: 1}
	b := quota.NewBucket(tolerance, limit, 1, now.Add(-time.Hour), now)
	for range 1000 {
		assert.Assert(t, b.Take(true, now).Granted)
		b.Return(now)
	}
}
