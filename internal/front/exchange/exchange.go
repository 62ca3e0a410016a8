// Package exchange lets front daemons learn of one another, and share which backend servers look dead, through a store
// daemon, their hub. Few daemons meet at one in each region, many at one in each data centre, and the hubs tell one another
// their sums. So what a hub has to do, and the time until word is round, follow the daemons of a data centre.
package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Exchange"

const (
	// ReportInterval is the time between two calls of a daemon: what one has seen helps the others soon after.
	ReportInterval = 300 * time.Millisecond
	// memory is how long a daemon is remembered that no longer calls: several pauses of 400 daemons.
	memory = 6 * time.Second
	// staleAfter is how many pauses a daemon's demand and what fails it count after its report. What a dead daemon had comes to the
	// others, and would take their share of the slots for as long as it counts.
	staleAfter = 3
	// maxPeers is how many other daemons an answer names: enough helpers for a detour.
	maxPeers = 16
	// crowd is how many daemons may call a hub every Pause; more of them call less often, so that the calls that come
	// together stay bounded.
	crowd = 150
	// callTimeout bounds one call.
	callTimeout = 600 * time.Millisecond
)

// Args are what a daemon has seen.
type Args struct {
	// From is the address at which the daemon helps others.
	From string
	// Daemons is how many there are, as far as it knows.
	Daemons int
	// Suspects are servers that look dead to it, Failing those that failed it last, just now.
	Suspects, Failing []incarnation.ID
	// Demand are the turns that it has under way or waiting, by service, Loads those that were at each model server
	// since its last report, in the mean and in tenths.
	Demand map[string]int
	Loads  map[incarnation.ID]int
}

// Reply is what the others have seen.
type Reply struct {
	// Peers are some other daemons' addresses, Daemons how many there are, Here how many of them meet at this hub.
	Peers         []string
	Daemons, Here int
	// Suspects and Failing tell how many of them named a server.
	Suspects, Failing map[incarnation.ID]int
	// Demand and Loads are the sums over the others.
	Demand map[string]int
	Loads  map[incarnation.ID]int
}

// Service answers daemons. Its exported methods are net/rpc methods.
type Service struct {
	mu  sync.Mutex
	all sums
	// relayed are the sums of other hubs, by their addresses.
	relayed map[string]relayed
}

// NewService returns a service that knows nobody.
func NewService() *Service { return &Service{all: newSums(), relayed: map[string]relayed{}} }

// Swap takes a daemon's report and answers with the others'.
func (s *Service) Swap(args *Args, reply *Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.all.forget(now)
	s.all.take(now, args)
	s.all.others(args, reply)
	s.addRelayed(now, reply)
	return nil
}

// ReportIntervalFor returns the time until the next call of one of so many daemons at a hub.
func ReportIntervalFor(daemons int) time.Duration {
	return ReportInterval * time.Duration(max(1, (daemons+crowd-1)/crowd))
}

// Swap calls a service over a link.
func Swap(ctx context.Context, link *peerlink.Link, args *Args) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peerlink.Call[Reply](ctx, link, ServiceName+".Swap", args)
}
