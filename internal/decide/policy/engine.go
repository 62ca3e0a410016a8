// Package policy holds the scheduler's decisions as pure functions and values, free of clocks, locks and I/O.
package policy

// Engine describes one model engine at the time a call is assigned.
type Engine struct {
	Name string
	// InFlight is how many calls this daemon has on the engine, Capacity how many it may have there.
	InFlight, Capacity int
	// CachedTokens is how many tokens of the call's prompt the engine is believed to have cached.
	CachedTokens int64
	// PeerCalls estimates the calls of other daemons on the engine. Without a report for each engine it is the same
	// for all of them: it then raises the cost of processing uncached tokens, which delays those calls, but does not
	// tell engines apart.
	PeerCalls float64
	// PeerCallsAboveMean is by how much the calls of other daemons on the engine, averaged over about a second,
	// exceed their mean over the service's engines.
	PeerCallsAboveMean float64
	// Excluded engines are draining, ejected, or have already failed this call.
	Excluded bool
	// Remote engines are in another data centre.
	Remote bool
}

// Costs are the cost coefficients that ChooseEngine applies, in seconds.
type Costs struct {
	// PrefillPerToken is the time to process one uncached prompt token on an idle engine.
	PrefillPerToken float64 `json:"prefill_seconds_per_token"`
	// SlowdownPerCall is the added time for each call already on the engine.
	SlowdownPerCall float64 `json:"slowdown_seconds_per_call"`
	// CrossDataCentre is the added time for an engine in another data centre.
	CrossDataCentre float64 `json:"cross_data_centre_seconds"`
}

// DefaultCosts returns the costs of a mid-size model, for use where the real ones are not known.
func DefaultCosts() Costs {
	return Costs{PrefillPerToken: 0.0002, SlowdownPerCall: 0.05, CrossDataCentre: 0.003}
}

// ChooseEngine returns the index of the engine with the lowest expected cost for a call of promptTokens, or -1 if all
// engines are excluded or full.
func ChooseEngine(engines []Engine, promptTokens int64, costs Costs) int {
	best, bestCost := -1, 0.0
	for i, engine := range engines {
		if engine.Excluded || engine.InFlight >= engine.Capacity {
			continue
		}
		cost := ExpectedCost(engine, promptTokens, costs)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// peerCallWeight is the weight of another daemon's call relative to one of this daemon's own. Reports lag by about
// the duration of a call; at full weight all daemons would move to the same engine together.
const peerCallWeight = 0.3

// ExpectedCost returns the expected cost in seconds of a call of promptTokens on an engine: the time to process its
// uncached tokens, counted once for the call and once for each call that it delays, plus the slowdown by the calls
// already there and the cost of crossing data centres.
func ExpectedCost(engine Engine, promptTokens int64, costs Costs) float64 {
	uncached := max(0, promptTokens-engine.CachedTokens)
	cost := float64(uncached+1) * costs.PrefillPerToken * (1 + float64(engine.InFlight) + engine.PeerCalls)
	cost += costs.SlowdownPerCall * (float64(engine.InFlight) + peerCallWeight*engine.PeerCallsAboveMean)
	if engine.Remote {
		cost += costs.CrossDataCentre
	}
	return cost
}
