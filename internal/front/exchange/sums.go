package exchange

import (
	"container/list"
	"maps"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// aggregate holds the latest report of each daemon and their running sums. Keeping running sums avoids adding up all
// reports for each reply (BenchmarkSwap).
type aggregate struct {
	reports map[string]*list.Element // of *report
	// order lists the reports, the oldest first.
	order             *list.List
	suspects, failing map[incarnation.ID]int
	demand            map[string]int
	levels, started   map[ServiceLevel]int
	loads             map[incarnation.ID]int
	speeds            map[incarnation.ID]SpeedReports
}

// report is the latest report of one daemon. Only the suspects of a stale report count.
type report struct {
	receivedAt time.Time
	args       *Args
	stale      bool
}

func newAggregate() aggregate {
	return aggregate{reports: map[string]*list.Element{}, order: list.New(), suspects: map[incarnation.ID]int{},
		failing: map[incarnation.ID]int{}, demand: map[string]int{}, levels: map[ServiceLevel]int{}, started: map[ServiceLevel]int{}, loads: map[incarnation.ID]int{},
		speeds: map[incarnation.ID]SpeedReports{}}
}

// record replaces a daemon's previous report.
func (s *aggregate) record(now time.Time, said *Args) {
	if e := s.reports[said.From]; e != nil {
		s.remove(e)
	}
	said.Speeds = BoundSpeeds(said.Speeds)
	s.reports[said.From] = s.order.PushBack(&report{receivedAt: now, args: said})
	s.addSuspects(said, 1)
	s.addRecent(said, 1)
}

// expire marks reports as stale and removes expired ones.
func (s *aggregate) expire(now time.Time) {
	fresh := staleIntervals * ReportIntervalFor(len(s.reports))
	for e := s.order.Front(); e != nil; {
		r, next := e.Value.(*report), e.Next()
		switch age := now.Sub(r.receivedAt); {
		case age > reportExpiry:
			s.remove(e)
		case age > fresh:
			if !r.stale {
				r.stale = true
				s.addRecent(r.args, -1)
			}
		default:
			return
		}
		e = next
	}
}

func (s *aggregate) remove(e *list.Element) {
	r := e.Value.(*report)
	s.order.Remove(e)
	delete(s.reports, r.args.From)
	s.addSuspects(r.args, -1)
	if !r.stale {
		s.addRecent(r.args, -1)
	}
}

// addSuspects adds the suspects of a report to the sums, or subtracts them if by is -1.
func (s *aggregate) addSuspects(said *Args, by int) {
	for _, id := range said.Suspects {
		addCount(s.suspects, id, by)
	}
}

// addRecent does the same for the parts of a report that count only until it is stale.
func (s *aggregate) addRecent(said *Args, by int) {
	for _, id := range said.Failing {
		addCount(s.failing, id, by)
	}
	for service, n := range said.Demand {
		addCount(s.demand, service, by*n)
	}
	for key, n := range said.Levels {
		addCount(s.levels, key, by*n)
	}
	for key, n := range said.Started {
		addCount(s.started, key, by*n)
	}
	for id, n := range said.Loads {
		addCount(s.loads, id, by*n)
	}
	for id, perMille := range said.Speeds {
		addSpeed(s.speeds, id, SpeedReports{Total: by * perMille, Reporters: by})
	}
}

// replyTo fills in a reply with the sum of all reports but the daemon's own.
func (s *aggregate) replyTo(own *Args, reply *Reply) {
	s.addSuspects(own, -1)
	s.addRecent(own, -1)
	reply.Suspects, reply.Failing = maps.Clone(s.suspects), maps.Clone(s.failing)
	reply.Demand, reply.Loads = maps.Clone(s.demand), maps.Clone(s.loads)
	reply.Levels, reply.Started = maps.Clone(s.levels), maps.Clone(s.started)
	reply.Speeds = maps.Clone(s.speeds)
	s.addSuspects(own, 1)
	s.addRecent(own, 1)
	reply.Daemons = len(s.reports) - 1
	reply.Here = reply.Daemons
	for from := range s.reports { // random order, so that a daemon learns of different peers over time
		if len(reply.Peers) == maxPeers {
			break
		}
		if from != own.From {
			reply.Peers = append(reply.Peers, from)
		}
	}
}

// addCount adds n to a sum and deletes sums of 0.
func addCount[K comparable](sums map[K]int, key K, n int) {
	if sums[key] += n; sums[key] == 0 {
		delete(sums, key)
	}
}
