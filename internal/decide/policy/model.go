package policy

// Observation is one call that an engine has answered whole, as its daemon saw it.
type Observation struct {
	// Uncached are the prompt tokens that the engine was thought to have to read, Generated those of the answer.
	Uncached, Generated int64
	// InFlight were this daemon's calls on the engine when the call was sent, MeanInFlight those on an engine of
	// the service in the mean.
	InFlight, MeanInFlight float64
	// Seconds from sending the call to the end of its answer.
	Seconds float64
}

// CostModel learns what calls take on the engines of one service: a weighted least-squares fit of their times,
// drawn to its defaults until enough was seen. The zero value is not usable; use NewCostModel. It is not safe for
// concurrent use.
type CostModel struct {
	defaults Costs
	// normalMatrix and targets are the sums of the normal equations.
	normalMatrix [features][features]float64
	normalVector [features]float64
	weights      [features]float64
	sinceSolve   int
}

// The features of a call, in the units that make their weights of like size.
const (
	featureBase        = iota // 1
	featureUncached           // thousands of tokens
	featureGenerated          // hundreds of tokens
	featureInFlight           // calls of this daemon on the engine
	featureServiceLoad        // calls of this daemon on an engine in the mean: how busy the service is as a whole
	features
)

const (
	// modelDecay is the weight that what was learnt keeps at each observation: some 500 calls count.
	modelDecay = 0.998
	// priorWeight is how many observations of size one the defaults count for.
	priorWeight = 20
	// solveInterval observations the weights are worked out anew.
	solveInterval = 10
	// defaultGeneratedPer100 are the seconds for a hundred tokens before any were seen: 4 ms a token.
	defaultGeneratedPer100 = 0.4
	// maxCostRatio bounds how far learnt costs may lie from the defaults, either way: a wrong fit must not send every
	// call to one engine.
	maxCostRatio = 30
)

// NewCostModel returns a model that knows nothing but defaults.
func NewCostModel(defaults Costs) *CostModel {
	m := &CostModel{defaults: defaults}
	m.weights = m.prior()
	return m
}

func (m *CostModel) prior() [features]float64 {
	var prior [features]float64
	prior[featureUncached] = 1000 * m.defaults.PrefillPerToken
	prior[featureGenerated] = defaultGeneratedPer100
	prior[featureInFlight] = m.defaults.SlowdownPerCall
	return prior
}

// Observe takes a call into account.
func (m *CostModel) Observe(o Observation) {
	x := featuresOf(o)
	for i := range x {
		for j := range x {
			m.normalMatrix[i][j] = modelDecay*m.normalMatrix[i][j] + x[i]*x[j]
		}
		m.normalVector[i] = modelDecay*m.normalVector[i] + x[i]*o.Seconds
	}
	m.sinceSolve++
	if m.sinceSolve >= solveInterval {
		m.sinceSolve = 0
		m.solve()
	}
}

func featuresOf(o Observation) [features]float64 {
	return [features]float64{1, float64(o.Uncached) / 1000, float64(o.Generated) / 100, o.InFlight, o.MeanInFlight}
}

// solve works the weights out by Gaussian elimination. The pull towards the defaults keeps the equations regular.
func (m *CostModel) solve() {
	prior := m.prior()
	a, b := m.normalMatrix, m.normalVector
	for i := range b {
		a[i][i] += priorWeight
		b[i] += priorWeight * prior[i]
	}
	for i := range b {
		for k := i + 1; k < features; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < features; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := features - 1; i >= 0; i-- {
		for j := i + 1; j < features; j++ {
			b[i] -= a[i][j] * m.weights[j]
		}
		m.weights[i] = b[i] / a[i][i]
	}
}

// Costs returns the costs as learnt so far.
func (m *CostModel) Costs() Costs {
	costs := m.defaults
	costs.PrefillPerToken = clampCost(m.weights[featureUncached]/1000, m.defaults.PrefillPerToken)
	costs.SlowdownPerCall = clampCost(m.weights[featureInFlight], m.defaults.SlowdownPerCall)
	return costs
}

// Expected returns the time in seconds that a call is expected to take; Seconds is not read.
func (m *CostModel) Expected(o Observation) float64 {
	seconds := 0.0
	for i, x := range featuresOf(o) {
		seconds += m.weights[i] * x
	}
	return max(seconds, 0)
}

// clampCost bounds a learnt cost by costRange around its default.
func clampCost(learnt, byDefault float64) float64 {
	return min(max(learnt, byDefault/maxCostRatio), byDefault*maxCostRatio)
}
