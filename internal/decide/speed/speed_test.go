package speed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/speed"
)

// server is an estimate under a sequence of responses.
type server struct {
	speed.Estimate
	base *speed.Baseline
	now  time.Time
}

func newServer() *server { return &server{base: speed.NewBaseline(), now: time.Unix(1000, 0)} }

// answer observes n responses that take the given multiple of the expected time, at 5 a second.
func (s *server) answer(n int, ratio float64) {
	for range n {
		s.now = s.now.Add(200 * time.Millisecond)
		s.Observe(s.now, 0.1*ratio, 0.1, s.base)
	}
}

func (s *server) speed() float64 { return s.Speed(s.now, s.base) }

// TestMomentarySlowResponseIsIgnored guards against servers that are avoided for one slow response.
func TestMomentarySlowResponseIsIgnored(t *testing.T) {
	s := newServer()
	assert.Equal(t, s.speed(), 1.0)
	s.answer(1, 10)
	assert.Equal(t, s.speed(), 1.0, "the first response")
	s = newServer()
	for range 20 {
		s.answer(7, 1)
		s.answer(1, 10)
		assert.Assert(t, s.speed() > 0.95, "%.2f", s.speed())
	}
}

// TestLastingChangeIsFollowed guards against estimates that follow a change of speed later than within 2 s at 5
// responses a second.
func TestLastingChangeIsFollowed(t *testing.T) {
	for _, ratio := range []float64{2, 5, 0.6} {
		s := newServer()
		s.answer(30, 1)
		s.answer(10, ratio)
		assert.Assert(t, math.Abs(math.Log(s.speed()*ratio)) < math.Log(1.3), "%.2f at a ratio of %v", s.speed(), ratio)
		s.answer(5, 1)
		assert.Assert(t, math.Abs(math.Log(s.speed())) < math.Log(1.15), "%.2f after a ratio of %v", s.speed(), ratio)
	}
}

// TestOverdueRequestsCount guards against a server that stops being used only when its slow responses have come.
func TestOverdueRequestsCount(t *testing.T) {
	s := newServer()
	s.answer(10, 1)
	for range 3 {
		s.Sent(s.now, 0.1)
	}
	s.now = s.now.Add(190 * time.Millisecond)
	assert.Assert(t, s.speed() > 0.95, "%.2f", s.speed())
	s.now = s.now.Add(210 * time.Millisecond)
	assert.Assert(t, s.speed() < 0.4, "%.2f", s.speed())
	for range 3 {
		s.Ended(s.now.Add(-400 * time.Millisecond))
	}
	assert.Assert(t, s.speed() > 0.95, "abandoned requests say nothing: %.2f", s.speed())
}

// TestNormalServersRarelyCountAsSlow observes calls of three kinds, whose durations vary by as much as their mean
// (log-normal). It guards against normal servers whose whole cost counts as higher by chance.
func TestNormalServersRarelyCountAsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	sigma := math.Sqrt(math.Ln2)
	usual := []float64{0.078, 0.312, 0.208}
	base := speed.NewBaseline()
	slow, answers := 0, 0
	for range 145 {
		s := newServer()
		s.base = base
		for range 50 {
			mean := usual[random.IntN(len(usual))]
			s.now = s.now.Add(200 * time.Millisecond)
			s.Observe(s.now, mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), mean, base)
			answers++
			if speed.CostFactor(s.speed()) > 1 {
				slow++
			}
		}
	}
	t.Logf("%d of %d", slow, answers)
	assert.Assert(t, float64(slow) <= 0.06*float64(answers), "%d of %d", slow, answers)
}

// TestSpeedReturnsToNormalWithoutResponses guards against a server that stays unused since it was slow once.
func TestSpeedReturnsToNormalWithoutResponses(t *testing.T) {
	s := newServer()
	s.answer(30, 1)
	s.answer(10, 4)
	slow := math.Log(s.speed())
	s.now = s.now.Add(5 * time.Second)
	assert.Assert(t, math.Abs(math.Log(s.speed())/slow-0.5) < 0.01, "%.2f", s.speed())
	s.now = s.now.Add(20 * time.Second)
	assert.Assert(t, s.speed() > 0.9, "%.2f", s.speed())
}

// TestResponsesWithoutExpectationAreIgnored guards against infinite ratios.
func TestResponsesWithoutExpectationAreIgnored(t *testing.T) {
	s := newServer()
	for range 5 {
		s.Observe(s.now, 5, 0, s.base)
		s.Observe(s.now, 0, 5, s.base)
	}
	assert.Equal(t, s.speed(), 1.0)
}

// TestReportsOfOthers guards against daemons that use a server too rarely to notice that it is slow, and against a
// false report.
func TestReportsOfOthers(t *testing.T) {
	s := newServer()
	s.SetPeers(s.now, 0.2, 1, s.base)
	assert.Equal(t, s.speed(), 1.0, "a single report without own responses")
	s.SetPeers(s.now, 0.2, 6, s.base)
	assert.Assert(t, s.speed() < 0.3, "%.2f", s.speed())
	s.now = s.now.Add(400 * time.Millisecond)
	s.SetPeers(s.now, 1, 3, s.base)
	assert.Assert(t, s.speed() > 0.95, "%.2f", s.speed())
	s.SetPeers(s.now, 0.2, 6, s.base)
	s.now = s.now.Add(2800 * time.Millisecond)
	assert.Assert(t, s.speed() > 0.3, "reports expire: %.2f", s.speed())
	own := newServer()
	own.answer(20, 1)
	own.SetPeers(own.now, 0, 1, own.base)
	assert.Assert(t, own.speed() > 0.95, "one false report: %.2f", own.speed())
}

// TestOwnResponsesAreReported guards against reports of speeds that others reported, which would confirm one another.
func TestOwnResponsesAreReported(t *testing.T) {
	s := newServer()
	s.SetPeers(s.now, 0.2, 6, s.base)
	_, known := s.Own(s.now, s.base)
	assert.Assert(t, !known)
	s.answer(3, 1)
	own, known := s.Own(s.now, s.base)
	assert.Assert(t, known && own == 1 && !s.OwnDiffers(s.now, s.base))
	s.answer(5, 3)
	assert.Assert(t, s.OwnDiffers(s.now, s.base))
	s.now = s.now.Add(2 * time.Second)
	_, known = s.Own(s.now, s.base)
	assert.Assert(t, !known, "old responses are not reported")
}

// TestBiasedExpectationsAreNormal guards against a whole service that counts as slow because its cost model does not
// fit, or since it was learnt before its servers changed.
func TestBiasedExpectationsAreNormal(t *testing.T) {
	base := speed.NewBaseline()
	list := []*server{newServer(), newServer(), newServer()}
	for range 40 {
		for i, s := range list {
			s.base = base
			s.answer(1, []float64{2.5, 2.5, 5}[i])
		}
	}
	assert.Assert(t, list[0].speed() > 0.85 && list[0].speed() < 1.18, "%.2f", list[0].speed())
	assert.Assert(t, list[2].speed() < 0.62 && list[2].speed() > 0.4, "%.2f", list[2].speed())
}

// TestFairLoad guards against a bound on the busiest server that leaves cached prompts while servers have room, or
// that ignores that some servers are slower.
func TestFairLoad(t *testing.T) {
	var single speed.Fair
	single.Add(50, 8, 1)
	assert.Equal(t, single.Share(50, 8), 0.0)
	assert.Assert(t, !single.Exceeded(50, 8) && !single.Probe(0.2, 0, 0) && !single.PassOver(0.2, 0.9))
	var fair speed.Fair
	for _, load := range []float64{6, 6, 6, 6} {
		fair.Add(load, 8, 1)
	}
	assert.Assert(t, !fair.Exceeded(7.7, speed.Capacity(8, 1)))
	assert.Assert(t, fair.Exceeded(7.9, speed.Capacity(8, 1)))
	assert.Assert(t, fair.Exceeded(6, speed.Capacity(8, 0.5)), "a slower server")
	assert.Assert(t, !fair.Exceeded(9, speed.Capacity(8, 1.5)), "a faster server")
	assert.Equal(t, speed.Capacity(8, 2), 12.0, "a speed counts as at most 1.5")
	var idle speed.Fair
	for _, load := range []float64{4, 0, 0, 0} {
		idle.Add(load, 8, 1)
	}
	assert.Assert(t, !idle.Exceeded(4, 8), "a server with free slots")
	assert.Assert(t, !fair.PassOver(1, 0.999) && fair.PassOver(0.6, 0.61) && !fair.PassOver(0.6, 0.59))
	assert.Assert(t, fair.Probe(0.2, 0, 0.04) && !fair.Probe(0.2, 0, 0.06) && !fair.Probe(0.2, 1, 0) && !fair.Probe(0.9, 0, 0))
}

// TestFactors checks that normal differences between servers only shift load, and that hedging delays are bounded.
func TestFactors(t *testing.T) {
	assert.Equal(t, speed.CostFactor(1), 1.0)
	assert.Equal(t, speed.CostFactor(0.67), 1.0)
	assert.Assert(t, speed.CostFactor(0.2) > 3)
	assert.Equal(t, speed.LoadFactor(0.5), 2.0)
	assert.Equal(t, speed.HedgeFactor(1), 1.0)
	assert.Equal(t, speed.HedgeFactor(0.2), 1.5)
	assert.Equal(t, speed.HedgeFactor(2), 1/1.5)
}

// TestRoom guards against all daemons choosing the server that was the least loaded, against load on clearly slow servers,
// and against more than a normal server's share for one that seems fast.
func TestRoom(t *testing.T) {
	var f speed.Fair
	assert.Equal(t, f.Room(0, 8, 1), 0.0, "nothing to compare with")
	for _, load := range []float64{0, 4, 8} {
		f.Add(load, 8, 1)
	}
	idle, usual, busy := f.Room(0, 8, 1), f.Room(4, 8, 1), f.Room(8, 8, 1)
	assert.Assert(t, idle > usual && usual > busy && busy > 0)
	assert.Assert(t, idle <= 2*busy, "%v and %v: loads known late must not decide alone", idle, busy)
	assert.Equal(t, f.Room(1000, 8, 1), 0.0)
	assert.Assert(t, f.Room(4, 8, 0.6) < usual)
	assert.Assert(t, f.Room(0, 8, 0.2) < idle/10)
	assert.Equal(t, f.Room(4, 8, 2), usual)
	var without speed.Fair
	without.Add(0, 8, 1)
	without.Add(0, 8, 1)
	assert.Equal(t, without.Room(0, 8, 1), 0.0, "no load is known")
}
