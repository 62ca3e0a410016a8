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
	// relayPause is the time between two calls of a hub to another.
	relayPause = ReportInterval
	// relayMemory is how long another hub's sums count: some calls may be lost.
	relayMemory = 4 * relayPause
)

// Sums are what the daemons that meet at a hub have said, added up.
type Sums struct {
	// Hub is the address of the hub, Daemons how many meet there.
	Hub     string
	Daemons int
	// The rest is as in Reply.
	Suspects, Failing map[incarnation.ID]int
	Demand            map[string]int
	Loads             map[incarnation.ID]int
}

// relayed are another hub's sums, and when they came.
type relayed struct {
	at   time.Time
	sums *Sums
}

// Relay takes another hub's sums.
func (s *Service) Relay(sums *Sums, _ *struct{}) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayed[sums.Hub] = relayed{time.Now(), sums}
	return nil
}

// Sums returns what the daemons that meet here have said, or nil where none does.
func (s *Service) Sums(hub string) *Sums {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.forget(time.Now())
	if len(s.all.reports) == 0 {
		return nil
	}
	return &Sums{Hub: hub, Daemons: len(s.all.reports), Suspects: maps.Clone(s.all.suspects), Failing: maps.Clone(s.all.failing),
		Demand: maps.Clone(s.all.demand), Loads: maps.Clone(s.all.loads)}
}

// crowded tells whether there are so many daemons that they meet in each data centre, as far as those know that meet here.
func (s *Service) crowded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.all.reports) > crowd {
		return true
	}
	for _, e := range s.all.reports {
		if e.Value.(*report).said.Daemons > crowd {
			return true
		}
	}
	return false
}

// addRelayed adds to an answer what other hubs' daemons have said. It is called with the lock held.
func (s *Service) addRelayed(now time.Time, reply *Reply) {
	for hub, r := range s.relayed {
		if now.Sub(r.at) > relayMemory {
			delete(s.relayed, hub)
			continue
		}
		reply.Daemons += r.sums.Daemons
		addAll(reply.Suspects, r.sums.Suspects)
		addAll(reply.Failing, r.sums.Failing)
		addAll(reply.Demand, r.sums.Demand)
		addAll(reply.Loads, r.sums.Loads)
	}
}

func addAll[K comparable](sums, more map[K]int) {
	for key, n := range more {
		sums[key] += n
	}
}

// Relayer tells the other hubs what this one's daemons have said.
type Relayer struct {
	Service *Service
	Links   *peerlink.Pool
	// SelfAddress is this daemon's address.
	SelfAddress string
	// HubsByArea returns where each hub may be, the likeliest first: one in each data centre where daemons are many, else one in
	// each region.
	HubsByArea func(crowded bool) map[string][]string
	Log        logrus.FieldLogger

	mu sync.Mutex
	// moves has the hubs whose likeliest place has not answered.
	moves map[string]move
}

// move is how many places of a hub are passed over, and since when.
type move struct {
	places int
	at     time.Time
}

// returnTime is how long a place that has not answered is passed over.
const returnTime = 8 * time.Second

// Run relays until ctx ends. A daemon at which none meets has nothing to tell.
func (r *Relayer) Run(ctx context.Context) error {
	r.moves = map[string]move{}
	for wait.For(ctx, relayPause) == nil {
		sums := r.Service.Sums(r.SelfAddress)
		if sums == nil {
			continue
		}
		hubs := r.HubsByArea(r.Service.crowded())
		if len(hubs) <= 1 {
			continue // all daemons meet here
		}
		var calls sync.WaitGroup
		for name, places := range hubs {
			calls.Go(func() { r.tell(ctx, name, places, sums) })
		}
		calls.Wait()
	}
	return ctx.Err()
}

// tell calls one hub. Where that has not answered, the next place is told: its daemons have moved there too.
func (r *Relayer) tell(ctx context.Context, name string, places []string, sums *Sums) {
	moved := r.moved(name)
	place := places[moved%len(places)]
	if place == r.SelfAddress {
		return // its daemons have moved here
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := peerlink.Call[struct{}](ctx, r.Links.LinkTo(place), ServiceName+".Relay", sums)
	if err == nil {
		return
	}
	r.Log.WithFields(logrus.Fields{"event": "relay-failed", "hub": name, "place": place, "daemons": sums.Daemons,
		"error": err}).Info("another hub has not answered; telling the next")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.moves[name] = move{moved + 1, time.Now()}
}

// moved returns how many places of a hub are passed over now.
func (r *Relayer) moved(name string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.moves[name]
	if time.Since(m.at) > returnTime {
		return 0
	}
	return m.places
}
