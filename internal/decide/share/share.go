// Package share divides the slots of a service's engines between the daemons that send to them, by what waits at each.
package share

import (
	"maps"
	"slices"
)

// Demand is how many calls run or wait at each priority level; 0 is the most urgent.
type Demand map[int]int

// Total returns the number of calls at all levels.
func (d Demand) Total() int {
	n := 0
	for _, calls := range d {
		n += calls
	}
	return n
}

// UpTo returns how many calls are at a level or at more urgent ones.
func (d Demand) UpTo(level int) int {
	n := 0
	for l, calls := range d {
		if l <= level {
			n += calls
		}
	}
	return n
}

// overcommit is how many calls of the most urgent level all daemons together may have under way for each slot. Daemons
// learn of one another late, and calls spread unevenly, so that slots would otherwise stay empty. Less urgent calls only
// fill the slots themselves, so that urgent ones find a free slot.
const overcommit = 1.25

// Slots returns how many calls a daemon may have under way on engines with the given slots, where it has own calls and
// the other daemons have others. Levels are served in order: a level gets all it asks for while there is room, and
// otherwise the daemon gets its proportional part of what is left. Fractions add up over the levels, so that few calls
// at each of many levels are not rounded away.
func Slots(slots int, own, others Demand) float64 {
	used, part, limit := 0.0, 0.0, overcommit*float64(slots)
	for _, level := range levels(own, others) {
		wanted := float64(own[level] + others[level])
		if wanted == 0 {
			continue
		}
		left := max(0, limit-used)
		if wanted > left {
			return part + left*float64(own[level])/wanted
		}
		used += wanted
		part += float64(own[level])
		limit = float64(slots)
	}
	return part
}

// levels returns the levels of both demands, the most urgent first.
func levels(own, others Demand) []int {
	all := maps.Clone(own)
	for level := range others {
		if all == nil {
			all = Demand{}
		}
		all[level] += 0
	}
	return slices.Sorted(maps.Keys(all))
}
