package exchange

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

const (
	// relayInterval is the time between two relays of a hub.
	relayInterval = ReportInterval
	// relayedExpiry is how long another hub's sums count. It tolerates some lost calls.
	relayedExpiry = 4 * relayInterval
)

// Sums is the sum of the reports of all daemons that report to one hub. It is sent to other hubs.
type Sums struct {
	// Hub is the address of the hub, Daemons the number of daemons that report to it.
	Hub     string
	Daemons int
	// The other fields are as in Reply.
	Suspects, Failing map[incarnation.ID]int
	Demand            map[string]int
	Levels, Started   map[ServiceLevel]int
	Loads             map[incarnation.ID]int
	Speeds            map[incarnation.ID]SpeedReports
}

// receivedSums are another hub's sums and when they were received.
type receivedSums struct {
	receivedAt time.Time
	sums       *Sums
}

// Relay stores another hub's sums.
func (s *Service) Relay(sums *Sums, _ *struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed[sums.Hub] = receivedSums{time.Now(), sums}
	return nil
}

// Sums returns the sum of the reports to this hub, or nil if there are none.
func (s *Service) Sums(hub string) *Sums {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.local.expire(time.Now())
	if len(s.local.reports) == 0 {
		return nil
	}
	return &Sums{Hub: hub, Daemons: len(s.local.reports), Suspects: maps.Clone(s.local.suspects), Failing: maps.Clone(s.local.failing),
		Demand: maps.Clone(s.local.demand), Levels: maps.Clone(s.local.levels), Started: maps.Clone(s.local.started), Loads: maps.Clone(s.local.loads),
		Speeds: boundSpeedReports(maps.Clone(s.local.speeds))}
}

// hubPerDataCentre reports whether there are more than maxDaemonsPerHub daemons, as far as this hub and the daemons
// that report to it know. There is then a hub in each data centre.
func (s *Service) hubPerDataCentre() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.local.reports) > maxDaemonsPerHub {
		return true
	}
	for _, e := range s.local.reports {
		if e.Value.(*report).args.Daemons > maxDaemonsPerHub {
			return true
		}
	}
	return false
}

// mergeRelayed adds the sums of other hubs to a reply and drops expired ones. The caller holds s.mu.
func (s *Service) mergeRelayed(now time.Time, reply *Reply) {
	for hub, r := range s.relayed {
		if now.Sub(r.receivedAt) > relayedExpiry {
			delete(s.relayed, hub)
			continue
		}
		reply.Daemons += r.sums.Daemons
		mergeCounts(reply.Suspects, r.sums.Suspects)
		mergeCounts(reply.Failing, r.sums.Failing)
		mergeCounts(reply.Demand, r.sums.Demand)
		mergeCounts(reply.Levels, r.sums.Levels)
		mergeCounts(reply.Started, r.sums.Started)
		mergeCounts(reply.Loads, r.sums.Loads)
		mergeSpeeds(reply.Speeds, r.sums.Speeds)
	}
}

func mergeCounts[K comparable](sums, more map[K]int) {
	for key, n := range more {
		sums[key] += n
	}
}

// Relayer sends the sums of this hub to the other hubs.
type Relayer struct {
	Service *Service
	Links   *peerlink.Pool
	// SelfAddress is this hub's address.
	SelfAddress string
	// HubsByArea returns the candidate addresses of each hub in the order in which to try them, keyed by data centre
	// if perDataCentre is set, else by region.
	HubsByArea func(perDataCentre bool) map[string][]string
	Log        logrus.FieldLogger

	mu sync.Mutex
	// failovers holds the hubs whose first candidate did not answer, by area.
	failovers map[string]failover
}

// failover is how many candidates of a hub are skipped, and since when.
type failover struct {
	skipped int
	since   time.Time
}

// failoverExpiry is the time after which skipped candidates are tried again.
const failoverExpiry = 8 * time.Second

// Run relays the sums every relayInterval until ctx ends, as long as any daemon reports to this hub.
func (r *Relayer) Run(ctx context.Context) error {
	r.failovers = map[string]failover{}
	for wait.For(ctx, relayInterval) == nil {
		sums := r.Service.Sums(r.SelfAddress)
		if sums == nil {
			continue
		}
		hubs := r.HubsByArea(r.Service.hubPerDataCentre())
		if len(hubs) <= 1 {
			continue // there is no other hub
		}
		var calls sync.WaitGroup
		for name, candidates := range hubs {
			calls.Go(func() { r.relayTo(ctx, name, candidates, sums) })
		}
		calls.Wait()
	}
	return ctx.Err()
}

// relayTo sends the sums to the hub of one area. If it does not answer, the next candidate is used from the next relay
// on, as the hub's daemons fail over to it too.
func (r *Relayer) relayTo(ctx context.Context, name string, candidates []string, sums *Sums) {
	skipped := r.candidatesSkipped(name)
	place := candidates[skipped%len(candidates)]
	if place == r.SelfAddress {
		return // the area's daemons have failed over to this hub
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := peerlink.Call[struct{}](ctx, r.Links.LinkTo(place), ServiceName+".Relay", sums)
	if err == nil {
		return
	}
	r.Log.WithFields(logrus.Fields{"event": "relay-failed", "hub": name, "place": place, "daemons": sums.Daemons,
		"error": err}).Info("hub did not answer relay; trying next candidate")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers[name] = failover{skipped + 1, time.Now()}
}

// candidatesSkipped returns how many candidates of a hub are currently skipped.
func (r *Relayer) candidatesSkipped(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.failovers[name]
	if time.Since(m.since) > failoverExpiry {
		return 0
	}
	return m.skipped
}
