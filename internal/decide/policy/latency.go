package policy

// RelativeLatency is how long a server's answers take against what like calls take at all servers of its kind: a moving mean of these
// ratios, which counts as 1 before the first. Answers of one kind are compared: a server that has just had three calls of 312 ms
// is no slower than one that had three of 78 ms. The zero value is ready for use.
type RelativeLatency struct {
	// excess is the mean ratio less 1.
	excess float64
}

const (
	// latencyWeight is the weight of the newest answer: a server that has turned five times slower counts as slow after one or two.
	latencyWeight = 0.15
	// maxNormalRatio is up to which mean ratio a server counts as one like the others. Where calls vary by as much as their mean,
	// the mean of a server that is no slower lies above it after some 5 in 100 answers (TestEqualServersSeldomCountAsSlow).
	maxNormalRatio = 1.5
	// maxCostFactor bounds how much worse a server counts for having been slow.
	maxCostFactor = 6.0
)

// Observe takes an answer into account that took so many seconds, where like calls usually take usual; 0 where that is not known.
func (r *RelativeLatency) Observe(seconds, typical float64) {
	if typical <= 0 {
		return
	}
	r.excess += latencyWeight * (seconds/typical - 1 - r.excess)
}

// Ratio returns the mean ratio.
func (r *RelativeLatency) Ratio() float64 { return 1 + r.excess }

// CostFactor returns by which factor the server counts worse than others: 1 unless it is clearly slower.
func (r *RelativeLatency) CostFactor() float64 {
	if r.Ratio() <= maxNormalRatio {
		return 1
	}
	return min(r.Ratio(), maxCostFactor)
}
