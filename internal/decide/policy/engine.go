// Package policy holds the scheduler's decisions as pure functions and values: no clock, lock or I/O.
package policy

// Engine is what is known of one model engine when a call is placed.
type Engine struct {
	Name string
	// InFlight are this daemon's calls on the engine; Capacity is how many it may have there.
	InFlight, Capacity int
	// CachedTokens of the call's prompt that the engine is thought to hold.
	CachedTokens int64
	// PeerCalls are the calls that other daemons are thought to have on it, for want of a report the same on each
	// engine: it weighs what a prompt that is read holds up, not one engine against another.
	PeerCalls float64
	// PeerCallsAboveMean are the calls that others had on it over the last second, above their mean on the service's engines.
	PeerCallsAboveMean float64
	// Excluded engines are draining, ejected, or broke this call off before.
	Excluded bool
	// Remote engines stand in another data centre.
	Remote bool
}

// Costs are the relative costs that Place weighs, in seconds.
type Costs struct {
	// PrefillPerToken is the time to process one uncached prompt token on an idle engine.
	PrefillPerToken float64 `json:"prefill_seconds_per_token"`
	// SlowdownPerCall is the added time for each call already on the engine.
	SlowdownPerCall float64 `json:"slowdown_seconds_per_call"`
	// CrossDataCentre is the added time of an engine in another data centre.
	CrossDataCentre float64 `json:"cross_data_centre_seconds"`
}

// DefaultCosts are plausible for a mid-size model; a measured prefill rate should replace them.
func DefaultCosts() Costs {
	return Costs{PrefillPerToken: 0.0002, SlowdownPerCall: 0.05, CrossDataCentre: 0.003}
}

// ChooseEngine returns the index of the engine on which a call of promptTokens is expected to finish first, or -1
// when none may take it.
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

// peerCallWeight is what a call of another daemon counts against one of this daemon's own. Reports are as old as a
// call takes, so daemons that trust them whole turn to one engine and leave it together.
const peerCallWeight = 0.3

// ExpectedCost returns what a call of promptTokens is expected to cost on an engine: the seconds that reading its
// prompt takes, once for the call itself and once for each that is held up beside it, and those that the calls
// already there add to its own time.
func ExpectedCost(engine Engine, promptTokens int64, costs Costs) float64 {
	uncached := max(0, promptTokens-engine.CachedTokens)
	cost := float64(uncached+1) * costs.PrefillPerToken * (1 + float64(engine.InFlight) + engine.PeerCalls)
	cost += costs.SlowdownPerCall * (float64(engine.InFlight) + peerCallWeight*engine.PeerCallsAboveMean)
	if engine.Remote {
		cost += costs.CrossDataCentre
	}
	return cost
}
