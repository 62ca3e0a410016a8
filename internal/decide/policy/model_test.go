package policy_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

var defaults = policy.Costs{PrefillPerToken: 0.00002, SlowdownPerCall: 0.008, CrossDataCentre: 0.004}

// observe feeds calls of an engine with the given real costs; their durations vary by up to 20%.
func observe(m *policy.CostModel, calls int, perToken, perCall float64) {
	random := rand.New(rand.NewPCG(1, 2))
	for range calls {
		o := policy.Observation{Uncached: random.Int64N(2000), Generated: random.Int64N(200), MeanInFlight: 4 * random.Float64()}
		o.InFlight = math.Round(2 * o.MeanInFlight * random.Float64())
		real := 0.01 + perToken*float64(o.Uncached) + 0.005*float64(o.Generated) + perCall*o.InFlight + 0.1*o.MeanInFlight
		o.Seconds = real * (0.8 + 0.4*random.Float64())
		m.Observe(o)
	}
}

func near(t *testing.T, got, want, share float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= share*want, "%v is not within %v of %v", got, share, want)
}

func TestCostsAreLearnt(t *testing.T) {
	for _, c := range []struct{ perToken, perCall float64 }{{0.000016, 0.01}, {0.0002, 0.03}, {0.00005, 0.02}} {
		m := policy.NewCostModel(defaults)
		assert.Equal(t, m.Costs(), defaults)
		observe(m, 2000, c.perToken, c.perCall)
		near(t, m.Costs().PrefillPerToken, c.perToken, 0.35)
		near(t, m.Costs().SlowdownPerCall, c.perCall, 0.5)
		assert.Equal(t, m.Costs().CrossDataCentre, defaults.CrossDataCentre)
		near(t, m.Expected(policy.Observation{Uncached: 1000, Generated: 100, InFlight: 2, MeanInFlight: 2}),
			0.01+1000*c.perToken+0.5+2*c.perCall+0.2, 0.1)
	}
}

// TestCostsFollowAChange checks that the model adapts to engines that become faster.
func TestCostsFollowAChange(t *testing.T) {
	m := policy.NewCostModel(defaults)
	observe(m, 2000, 0.0004, 0.02)
	observe(m, 2000, 0.0001, 0.02)
	near(t, m.Costs().PrefillPerToken, 0.0001, 0.5)
}

// TestCostsStayInBounds checks that extreme durations can't move costs out of bounds.
func TestCostsStayInBounds(t *testing.T) {
	for _, seconds := range []float64{0, 1e6} {
		m := policy.NewCostModel(defaults)
		for i := range 500 {
			m.Observe(policy.Observation{Uncached: int64(i), InFlight: float64(500 - i), Seconds: seconds})
		}
		costs := m.Costs()
		assert.Assert(t, costs.PrefillPerToken >= defaults.PrefillPerToken/30 && costs.PrefillPerToken <= 30*defaults.PrefillPerToken)
		assert.Assert(t, costs.SlowdownPerCall >= defaults.SlowdownPerCall/30 && costs.SlowdownPerCall <= 30*defaults.SlowdownPerCall)
	}
}

func BenchmarkObserve(b *testing.B) {
	m := policy.NewCostModel(defaults)
	for i := 0; b.Loop(); i++ {
		m.Observe(policy.Observation{Uncached: int64(i % 2000), Generated: 70, InFlight: float64(i % 5), MeanInFlight: 2, Seconds: 0.3})
	}
}
