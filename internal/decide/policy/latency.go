package policy

// RelativeLatency is the moving average of the ratio of a server's response times to the usual time of like calls on
// all servers of its kind; 1 before the first observation. Comparing like calls keeps a server that happened to get
// long ones from counting as slow. The zero value is ready for use.
type RelativeLatency struct {
	// excess is the average ratio less 1.
	excess float64
}

const (
	// latencyWeight is the weight of the newest response: a server that becomes five times slower counts as slow
	// after one or two responses.
	latencyWeight = 0.15
	// maxNormalRatio is the average ratio up to which a server counts as normal. Where durations vary by as much as
	// their mean, a server of normal speed exceeds it after some 5% of its responses
	// (TestNormalServersRarelyCountAsSlow).
	maxNormalRatio = 1.5
	// maxCostFactor bounds CostFactor.
	maxCostFactor = 6.0
)

// Observe records a response that took the given seconds, where like calls typically take typical; it is ignored
// where typical is not known (0).
func (r *RelativeLatency) Observe(seconds, typical float64) {
	if typical <= 0 {
		return
	}
	r.excess += latencyWeight * (seconds/typical - 1 - r.excess)
}

// Ratio returns the average ratio.
func (r *RelativeLatency) Ratio() float64 { return 1 + r.excess }

// CostFactor returns the factor by which a server's cost is multiplied: 1 unless it is clearly slower than others.
func (r *RelativeLatency) CostFactor() float64 {
	if r.Ratio() <= maxNormalRatio {
		return 1
	}
	return min(r.Ratio(), maxCostFactor)
}
