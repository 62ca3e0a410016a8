package policy

// Observation is one completed call on an engine, as its daemon saw it.
type Observation struct {
	// Uncached is how many prompt tokens the engine was expected to process, Generated how many tokens it generated.
	Uncached, Generated int64
	// InFlight is how many calls this daemon had on the engine when the call was sent, MeanInFlight how many it had
	// on average on an engine of the service.
	InFlight, MeanInFlight float64
	// Seconds is the time from sending the call to the end of its response.
	Seconds float64
}

// CostModel learns the duration of calls on the engines of one service by weighted least squares, regularised towards
// its default costs. The zero value is not usable; use NewCostModel. It is not safe for concurrent use.
type CostModel struct {
	defaults Costs
	// normalMatrix and normalVector are the sums of the normal equations.
	normalMatrix [features][features]float64
	normalVector [features]float64
	weights      [features]float64
	sinceSolve   int
}

// The features of a call, in units that give their weights a similar magnitude.
const (
	featureBase        = iota // constant 1
	featureUncached           // thousands of tokens
	featureGenerated          // hundreds of tokens
	featureInFlight           // calls of this daemon on the engine
	featureServiceLoad        // mean calls of this daemon on an engine: the load of the service as a whole
	features
)

const (
	// modelDecay is the factor on the sums at each observation: some 500 calls count.
	modelDecay = 0.998
	// priorWeight is the weight of the defaults, in observations with a feature of 1.
	priorWeight = 20
	// solveInterval is the number of observations between updates of the weights.
	solveInterval = 10
	// defaultGeneratedPer100 is the time in seconds to generate a hundred tokens before any was observed.
	defaultGeneratedPer100 = 0.4
	// maxCostRatio bounds learnt costs relative to the defaults, either way: a wrong fit must not send every call to
	// one engine.
	maxCostRatio = 30
)

// NewCostModel returns a model that starts from the default costs.
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

// Observe adds a completed call.
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

// solve computes the weights by Gaussian elimination. The regularisation keeps the equations non-singular.
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

// Costs returns the costs learnt so far.
func (m *CostModel) Costs() Costs {
	costs := m.defaults
	costs.PrefillPerToken = clampCost(m.weights[featureUncached]/1000, m.defaults.PrefillPerToken)
	costs.SlowdownPerCall = clampCost(m.weights[featureInFlight], m.defaults.SlowdownPerCall)
	return costs
}

// Expected returns the expected duration of a call in seconds; o.Seconds is ignored.
func (m *CostModel) Expected(o Observation) float64 {
	seconds := 0.0
	for i, x := range featuresOf(o) {
		seconds += m.weights[i] * x
	}
	return max(seconds, 0)
}

// clampCost limits a learnt cost to maxCostRatio around its default.
func clampCost(learnt, byDefault float64) float64 {
	return min(max(learnt, byDefault/maxCostRatio), byDefault*maxCostRatio)
}
