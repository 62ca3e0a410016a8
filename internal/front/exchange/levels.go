package exchange

import (
	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/share"
)

// leastUrgent is the level at which calls count that a daemon reported without a level.
const leastUrgent = 1 << 10

// SetDemand sets the demand of a report, by service.
func (a *Args) SetDemand(demand map[string]dispatch.Demand) {
	a.Demand, a.Levels, a.Started = map[string]int{}, map[ServiceLevel]int{}, map[ServiceLevel]int{}
	for service, d := range demand {
		a.Demand[service] = d.All.Total()
		for level, calls := range d.All {
			a.Levels[ServiceLevel{service, level}] = calls
		}
		for level, calls := range d.Started {
			a.Started[ServiceLevel{service, level}] = calls
		}
	}
}

// AddCalls adds the calls under way of services whose calls do not queue.
func (a *Args) AddCalls(calls map[string]int) {
	for service, n := range calls {
		if _, queued := a.Demand[service]; !queued {
			a.Demand[service] = n
		}
	}
}

// PeerDemand returns the demand of the other daemons, by service. Calls without a level, which daemons of an older
// version report, count as least urgent.
func (r *Reply) PeerDemand() map[string]dispatch.Demand {
	demand := map[string]dispatch.Demand{}
	for service, calls := range r.Demand {
		demand[service] = dispatch.Demand{All: share.Demand{leastUrgent: calls}, Started: share.Demand{}}
	}
	for key, calls := range r.Levels {
		if d, known := demand[key.Service]; known {
			d.All[key.Level] += calls
			d.All[leastUrgent] = max(0, d.All[leastUrgent]-calls)
		}
	}
	for key, calls := range r.Started {
		if d, known := demand[key.Service]; known {
			d.Started[key.Level] += calls
		}
	}
	return demand
}
