package policy

// RelativeLatency is how long a server's answers take against what like calls take at all servers of its kind: a moving mean of these
// ratios, which counts as 1 before the first. Answers of one kind are compared: a server that has just had three calls of 312 ms
// is no slower than one that had three of 78 ms. The zero value is ready for use.
type RelativeLatency struct {
	// surplus is the mean ratio less 1.
	surplus float64
}

const (
	// paceWeight is the weight of the newest answer: a server that has turned five times slower counts as slow after one or two.
	paceWeight = 0.15
	// usualSpread is up to which mean ratio a server counts as one like the others. Where calls vary by as much as their mean,
	// the mean of a server that is no slower lies above it after some 5 in 100 answers (TestEqualServersSeldomCountAsSlow).
	usualSpread = 1.5
	// maxSlowness bounds how much worse a server counts for having been slow.
	maxSlowness = 6.0
)

// Observe takes an answer into account that took so many seconds, where like calls usually take usual; 0 where that is not known.
func (p *RelativeLatency) Observe(seconds, usual float64) {
	if usual <= 0 {
		return
	}
	p.surplus += paceWeight * (seconds/usual - 1 - p.surplus)
}

// Ratio returns the mean ratio.
func (p *RelativeLatency) Ratio() float64 { return 1 + p.surplus }

// CostFactor returns by which factor the server counts worse than others: 1 unless it is clearly slower.
func (p *RelativeLatency) CostFactor() float64 {
	if p.Ratio() <= usualSpread {
		return 1
	}
	return min(p.Ratio(), maxSlowness)
}
