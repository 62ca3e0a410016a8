package exchange

import (
	"container/list"
	"maps"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// sums are what all daemons have said last, added up as reports come: to add up 259 reports for each of them costs 13
// times as much (BenchmarkSwap).
type sums struct {
	reports map[string]*list.Element // of *report
	// order has the reports, the oldest in front.
	order             *list.List
	suspects, failing map[incarnation.ID]int
	demand            map[string]int
	loads             map[incarnation.ID]int
}

// report is what one daemon said last. Of a stale one only the suspects still count.
type report struct {
	at    time.Time
	said  *Args
	stale bool
}

func newSums() sums {
	return sums{reports: map[string]*list.Element{}, order: list.New(), suspects: map[incarnation.ID]int{},
		failing: map[incarnation.ID]int{}, demand: map[string]int{}, loads: map[incarnation.ID]int{}}
}

// take puts a report in the place of its daemon's last one.
func (s *sums) take(now time.Time, said *Args) {
	if e := s.reports[said.From]; e != nil {
		s.drop(e)
	}
	s.reports[said.From] = s.order.PushBack(&report{at: now, said: said})
	s.count(said, 1)
	s.countFresh(said, 1)
}

// forget drops what is too old.
func (s *sums) forget(now time.Time) {
	fresh := staleAfter * ReportIntervalFor(len(s.reports))
	for e := s.order.Front(); e != nil; {
		r, next := e.Value.(*report), e.Next()
		switch age := now.Sub(r.at); {
		case age > memory:
			s.drop(e)
		case age > fresh:
			if !r.stale {
				r.stale = true
				s.countFresh(r.said, -1)
			}
		default:
			return
		}
		e = next
	}
}

// drop removes a report.
func (s *sums) drop(e *list.Element) {
	r := e.Value.(*report)
	s.order.Remove(e)
	delete(s.reports, r.said.From)
	s.count(r.said, -1)
	if !r.stale {
		s.countFresh(r.said, -1)
	}
}

func (s *sums) count(said *Args, by int) {
	for _, id := range said.Suspects {
		add(s.suspects, id, by)
	}
}

func (s *sums) countFresh(said *Args, by int) {
	for _, id := range said.Failing {
		add(s.failing, id, by)
	}
	for service, n := range said.Demand {
		add(s.demand, service, by*n)
	}
	for id, n := range said.Loads {
		add(s.loads, id, by*n)
	}
}

// others answers a daemon with all that was said but by itself.
func (s *sums) others(own *Args, reply *Reply) {
	s.count(own, -1)
	s.countFresh(own, -1)
	reply.Suspects, reply.Failing = maps.Clone(s.suspects), maps.Clone(s.failing)
	reply.Demand, reply.Loads = maps.Clone(s.demand), maps.Clone(s.loads)
	s.count(own, 1)
	s.countFresh(own, 1)
	reply.Daemons = len(s.reports) - 1
	reply.Here = reply.Daemons
	for from := range s.reports { // the order of a map's keys differs each time
		if len(reply.Peers) == maxPeers {
			break
		}
		if from != own.From {
			reply.Peers = append(reply.Peers, from)
		}
	}
}

// add adds to a sum; one of 0 takes no place.
func add[K comparable](sums map[K]int, key K, n int) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}
