package catalog

import (
	"cmp"
	"slices"
)

// priority is what requests are ranked by: first the organisation's priority, or that of the route where the
// organisation has none, then the route's.
type priority struct {
	first, route int
}

// levels ranks the priorities that requests can have under one configuration.
type levels struct {
	sorted []priority // without duplicates, the most urgent first
}

// newLevels returns the levels of the streams of a configuration. Other requests don't queue.
func newLevels(config *Config) levels {
	firsts := map[int]bool{}
	for i := range config.Organisations {
		if o := &config.Organisations[i]; o.HasPriority {
			firsts[o.Priority] = true
		}
	}
	var l levels
	for i := range config.Routes {
		route := &config.Routes[i]
		if route.Kind != Stream {
			continue
		}
		l.sorted = append(l.sorted, priority{route.Priority, route.Priority})
		for first := range firsts {
			l.sorted = append(l.sorted, priority{first, route.Priority})
		}
	}
	slices.SortFunc(l.sorted, comparePriorities)
	l.sorted = slices.Compact(l.sorted)
	return l
}

func comparePriorities(a, b priority) int {
	return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route))
}

// Level returns the rank of a request's priority among all that the configuration knows, 0 for the most urgent.
// organisation is nil if the caller has none.
func (t *Table) Level(organisation *Organisation, route *Route) int {
	p := priority{route.Priority, route.Priority}
	if organisation != nil && organisation.HasPriority {
		p.first = organisation.Priority
	}
	level, _ := slices.BinarySearchFunc(t.levels.sorted, p, comparePriorities)
	return level
}

// Competing reports whether requests differ in priority, or belong to different organisations.
func (t *Table) Competing() bool { return len(t.levels.sorted) > 1 || len(t.Config.Organisations) > 1 }
