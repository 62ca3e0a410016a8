package policy_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// TestNormalServersRarelyCountAsSlow observes calls of three kinds, whose durations vary by as much as their mean
// (log-normal).
func TestNormalServersRarelyCountAsSlow(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	sigma := math.Sqrt(math.Ln2)
	usual := []float64{0.078, 0.312, 0.208}
	slow, answers := 0, 0
	for range 145 {
		var p policy.RelativeLatency
		for range 50 {
			mean := usual[random.IntN(len(usual))]
			p.Observe(mean*math.Exp(sigma*random.NormFloat64()-sigma*sigma/2), mean)
			answers++
			if p.CostFactor() > 1 {
				slow++
			}
		}
	}
	assert.Assert(t, float64(slow) <= 0.06*float64(answers), "%d of %d", slow, answers)
}

func TestSlowServerIsDetectedSoon(t *testing.T) {
	var p policy.RelativeLatency
	for range 20 {
		p.Observe(0.1, 0.1)
	}
	assert.Equal(t, p.CostFactor(), 1.0)
	for range 2 {
		p.Observe(0.5, 0.1)
	}
	assert.Assert(t, p.CostFactor() > 1.5, "%v", p.CostFactor())
	for range 50 {
		p.Observe(5, 0.1)
	}
	assert.Equal(t, p.CostFactor(), 6.0)
	for range 40 {
		p.Observe(0.1, 0.1)
	}
	assert.Equal(t, p.CostFactor(), 1.0)
}

func TestResponseWithoutTypicalTimeIsIgnored(t *testing.T) {
	var p policy.RelativeLatency
	p.Observe(5, 0)
	assert.Equal(t, p.Ratio(), 1.0)
}
