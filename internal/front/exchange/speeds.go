package exchange

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/speed"
)

const (
	// maxSpeeds bounds the servers in a message; those furthest from the normal speed are kept. 32 take 6 KB/s of the
	// 13 KB/s that a daemon may use for control.
	maxSpeeds = 32
	// normalSpeed is the normal speed per mille.
	normalSpeed = 1000
)

// SpeedReports is the sum of the speeds that daemons report of a server, per mille of the normal speed, and how many
// report one.
type SpeedReports struct {
	Total, Reporters int
}

// Mean returns the mean speed; 1 without reports.
func (r SpeedReports) Mean() float64 {
	if r.Reporters <= 0 {
		return 1
	}
	return clampSpeed(float64(r.Total) / float64(r.Reporters) / normalSpeed)
}

// PerMille returns a speed as it is reported.
func PerMille(speed float64) int { return int(math.Round(clampSpeed(speed) * normalSpeed)) }

func clampSpeed(s float64) float64 { return min(max(s, speed.Min), speed.Max) }

// BoundSpeeds returns the speeds of a report within the bounds of messages: at most maxSpeeds servers, each with a
// possible speed.
func BoundSpeeds(speeds map[incarnation.ID]int) map[incarnation.ID]int {
	bounded := furthest(speeds, func(perMille int) float64 { return float64(perMille) / normalSpeed })
	for id, perMille := range bounded {
		bounded[id] = PerMille(float64(perMille) / normalSpeed)
	}
	return bounded
}

// boundSpeedReports does the same for summed reports.
func boundSpeedReports(reports map[incarnation.ID]SpeedReports) map[incarnation.ID]SpeedReports {
	return furthest(reports, SpeedReports.Mean)
}

// furthest returns a copy of a map with the maxSpeeds servers whose speed is furthest from normal; nil if it is empty.
func furthest[V any](all map[incarnation.ID]V, speedOf func(V) float64) map[incarnation.ID]V {
	if len(all) == 0 {
		return nil
	}
	if len(all) <= maxSpeeds {
		return maps.Clone(all)
	}
	distance := func(id incarnation.ID) float64 { return math.Abs(math.Log(clampSpeed(speedOf(all[id])))) }
	ids := slices.SortedFunc(maps.Keys(all), func(a, b incarnation.ID) int {
		return cmp.Or(cmp.Compare(distance(b), distance(a)), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born))
	})
	kept := make(map[incarnation.ID]V, maxSpeeds)
	for _, id := range ids[:maxSpeeds] {
		kept[id] = all[id]
	}
	return kept
}

// addSpeed adds to the reports of a server and deletes those without a reporter.
func addSpeed(sums map[incarnation.ID]SpeedReports, id incarnation.ID, by SpeedReports) {
	sum := SpeedReports{Total: sums[id].Total + by.Total, Reporters: sums[id].Reporters + by.Reporters}
	if sum.Reporters <= 0 {
		delete(sums, id)
		return
	}
	sums[id] = sum
}

// mergeSpeeds adds another hub's reports; impossible ones are ignored.
func mergeSpeeds(sums, more map[incarnation.ID]SpeedReports) {
	for id, r := range more {
		if r.Reporters > 0 {
			addSpeed(sums, id, SpeedReports{Total: PerMille(r.Mean()) * r.Reporters, Reporters: r.Reporters})
		}
	}
}
