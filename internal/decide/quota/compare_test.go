package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/quota"
)

// limiter enforces one organisation's limit over many fronts.
type limiter interface {
	// take reports whether a front may run a request at a time.
	take(front int, now time.Time) bool
	// messages returns how many messages were sent between daemons.
	messages() int
}

// staticShares gives each front a fixed share of the limit.
type staticShares struct{ buckets []*quota.Bucket }

func newStaticShares(fronts int, l quota.Limit, now time.Time) limiter {
	n := float64(fronts)
	own := quota.Tolerance{Window: tolerance.Window, Excess: tolerance.Excess, Slack: tolerance.Slack / n}
	s := &staticShares{}
	for range fronts {
		s.buckets = append(s.buckets, quota.NewBucket(own, quota.Limit{PerSecond: l.PerSecond / n, Burst: l.Burst / n}, 1, now.Add(-time.Minute), now))
	}
	return s
}

func (s *staticShares) take(front int, now time.Time) bool {
	return s.buckets[front].Take(true, now).Granted
}
func (s *staticShares) messages() int { return 0 }

// gossip counts at each front; after every interval a front learns what all others counted at their last report.
type gossip struct {
	limit      float64
	interval   time.Duration
	own        [][]time.Time
	seen       []int
	reportedAt []time.Time
	report     []int
	sent       int
}

func newGossip(fronts int, l quota.Limit, now time.Time) limiter {
	pause := 300 * time.Millisecond * time.Duration(max(1, (fronts+149)/150)) // the interval at which fronts exchange reports
	g := &gossip{limit: l.PerSecond*tolerance.Window.Seconds() + l.Burst, interval: pause, own: make([][]time.Time, fronts), seen: make([]int, fronts),
		reportedAt: make([]time.Time, fronts), report: make([]int, fronts)}
	for i := range g.reportedAt {
		g.reportedAt[i] = now.Add(-time.Duration(i) * pause / time.Duration(fronts))
	}
	return g
}

func (g *gossip) recent(front int, now time.Time) int {
	old := 0
	for old < len(g.own[front]) && now.Sub(g.own[front][old]) > tolerance.Window {
		old++
	}
	g.own[front] = g.own[front][old:]
	return len(g.own[front])
}

func (g *gossip) take(front int, now time.Time) bool {
	for i := range g.reportedAt {
		for now.Sub(g.reportedAt[i]) >= g.interval {
			g.reportedAt[i] = g.reportedAt[i].Add(g.interval)
			g.report[i] = g.recent(i, g.reportedAt[i])
			g.sent++
			g.seen[i] = 0
			for j, n := range g.report {
				if j != i {
					g.seen[i] += n
				}
			}
		}
	}
	if float64(g.recent(front, now)+g.seen[front]) >= g.limit {
		return false
	}
	g.own[front] = append(g.own[front], now)
	return true
}

func (g *gossip) messages() int { return g.sent }

// replicated asks the replicas for each request.
type replicated struct {
	bucket *quota.Bucket
	sent   int
}

func newReplicated(_ int, l quota.Limit, now time.Time) limiter {
	return &replicated{bucket: quota.NewBucket(tolerance, l, 1, now.Add(-time.Minute), now)}
}

func (c *replicated) take(_ int, now time.Time) bool {
	c.sent += 3
	return c.bucket.Take(true, now).Granted
}
func (c *replicated) messages() int { return c.sent }

// result is the fraction of requests refused, the fullest window relative to what is allowed, and the messages per
// second.
type result struct {
	refused, fullest float64
	perSecond        float64
}

// compare lets an organisation send a multiple of its usual load through some of the fronts.
func compare(make func(int, quota.Limit, time.Time) limiter, fronts, through int, usual, times float64) result {
	var f result
	const seeds, seconds = 10, 12
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 3))
		now := time.Unix(0, 0)
		limit := quota.Limit{PerSecond: 1.6 * usual, Burst: 1.6 * usual}
		w := make(fronts, limit, now)
		used := r.Perm(fronts)[:min(through, fronts)]
		var ran []time.Time
		asked, refused := 0, 0
		for end := now.Add(seconds * time.Second); now.Before(end); {
			now = now.Add(time.Duration(r.ExpFloat64() / (usual * times) * float64(time.Second)))
			asked++
			if w.take(used[r.IntN(len(used))], now) {
				ran = append(ran, now)
			} else {
				refused++
			}
		}
		f.refused += float64(refused) / float64(asked) / seeds
		f.fullest = max(f.fullest, float64(maxInWindow(ran, tolerance.Window))/allowed(limit))
		f.perSecond += float64(w.messages()) / seconds / seeds
	}
	return f
}

// TestCompareLimiters compares three limiters for a small and a large organisation: at its usual load through few
// fronts, and at ten times that through all of them. The replicated limiter (homes) must refuse less than 2% of the
// former and never exceed what is allowed in the latter.
func TestCompareLimiters(t *testing.T) {
	limiters := map[string]func(int, quota.Limit, time.Time) limiter{"shares": newStaticShares, "gossip": newGossip, "homes": newReplicated}
	for _, fronts := range []int{7, 58, 259, 400} {
		for _, usual := range []float64{5, 140} {
			for name, make := range limiters {
				calm, hot := compare(make, fronts, 3, usual, 1), compare(make, fronts, fronts, usual, 10)
				t.Logf("%d fronts, %v a second, %s: usual load %.3f refused, %.0f messages a second; ten times that fills the fullest window to %.2f of what is allowed", fronts, usual, name,
					calm.refused, calm.perSecond, hot.fullest)
				if name == "homes" {
					assert.Assert(t, calm.refused < 0.02 && hot.fullest <= 1, "%+v %+v", calm, hot)
				}
			}
		}
	}
}
