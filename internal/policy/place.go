// Package policy holds the scheduler's decisions as pure functions and values: no clock, lock or I/O.
package policy

// Engine is what is known of one model engine when a call is placed.
type Engine struct {
	Name string
	// InFlight are this daemon's calls on the engine; Capacity is how many it may have there.
	InFlight, Capacity int
	// CachedTokens of the call's prompt that the engine is thought to hold.
	CachedTokens int64
	// Excluded engines are draining, ejected, or broke this call off before.
	Excluded bool
	// Remote engines stand in another data centre.
	Remote bool
}

// Costs are the relative costs that Place weighs, in seconds.
type Costs struct {
	// PrefillPerToken is the time to process one uncached prompt token on an idle engine.
	PrefillPerToken float64
	// SlowdownPerCall is the added share of time for each call already running on the engine.
	SlowdownPerCall float64
	// CrossDataCentre is the added time of an engine in another data centre.
	CrossDataCentre float64
}

// DefaultCosts are plausible for a mid-size model; a measured prefill rate should replace them.
func DefaultCosts() Costs {
	return Costs{PrefillPerToken: 0.0002, SlowdownPerCall: 0.05, CrossDataCentre: 0.003}
}

// Place returns the index of the engine on which a call of promptTokens is expected to finish first, or -1
// when none may take it.
func Place(engines []Engine, promptTokens int64, costs Costs) int {
	best, bestCost := -1, 0.0
	for i, engine := range engines {
		if engine.Excluded || engine.InFlight >= engine.Capacity {
			continue
		}
		cost := Expected(engine, promptTokens, costs)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Expected returns the time in seconds that a call of promptTokens is expected to take on an engine.
func Expected(engine Engine, promptTokens int64, costs Costs) float64 {
	uncached := max(0, promptTokens-engine.CachedTokens)
	cost := float64(uncached+1) * costs.PrefillPerToken * (1 + costs.SlowdownPerCall*float64(engine.InFlight))
	// Beyond prefill, each running call slows this one's decoding.
	cost += costs.SlowdownPerCall * float64(engine.InFlight)
	if engine.Remote {
		cost += costs.CrossDataCentre
	}
	return cost
}
