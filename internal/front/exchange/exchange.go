// Package exchange shares state between front daemons: which daemons exist, which backend servers appear to be down,
// and the demand and load that each daemon adds. Daemons report to a hub, a service of a store daemon. With few
// daemons there is one hub per region, with many one per data centre; hubs relay their sums to each other. The load of
// a hub and the propagation delay therefore depend on the number of daemons in one data centre.
package exchange

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

const ServiceName = "Exchange"

const (
	// ReportInterval is the time between two reports of a daemon if its hub has at most maxDaemonsPerHub daemons.
	ReportInterval = 300 * time.Millisecond
	// reportExpiry is how long a report is kept after its daemon stops reporting: several report intervals with 400
	// daemons.
	reportExpiry = 6 * time.Second
	// staleIntervals is how many report intervals the demand, loads and failing servers of a report count. It is short
	// because the demand of a dead daemon reduces the slots that the others may use.
	staleIntervals = 3
	// maxPeers bounds the number of daemon addresses in a reply. So many suffice as relays to daemons that can't be
	// reached directly.
	maxPeers = 16
	// maxDaemonsPerHub is how many daemons may report to a hub every ReportInterval. With more daemons the interval
	// grows, which bounds the rate of calls.
	maxDaemonsPerHub = 150
	// callTimeout bounds a call to a hub.
	callTimeout = 600 * time.Millisecond
)

// Args is a daemon's report.
type Args struct {
	// From is the address at which other daemons can reach this one.
	From string
	// Daemons is the number of daemons known to this one.
	Daemons int
	// Suspects are servers that appear to be down to this daemon. Failing are servers whose last response to it was a
	// recent failure.
	Suspects, Failing []incarnation.ID
	// Levels is the number of turns running or queued, by service and priority level; Started is the number of those
	// that run or belong to a started program. Demand is the sum over the levels, for daemons that do not know levels.
	// Loads is the number of turns at each model server now, in tenths.
	Demand          map[string]int
	Levels, Started map[ServiceLevel]int
	Loads           map[incarnation.ID]int
	// Speeds are the speeds of servers by the daemon's own recent responses, per mille of the normal speed.
	Speeds map[incarnation.ID]int
}

// ServiceLevel is a priority level of the turns for a service; level 0 is the most urgent.
type ServiceLevel struct {
	Service string
	Level   int
}

// Reply is the sum of the other daemons' reports.
type Reply struct {
	// Peers are addresses of some other daemons. Daemons is the number of other daemons, Here the number of those that
	// report to this hub.
	Peers         []string
	Daemons, Here int
	// Suspects and Failing give the number of daemons that named each server.
	Suspects, Failing map[incarnation.ID]int
	// Demand, Levels and Loads are sums over the other daemons.
	Demand          map[string]int
	Levels, Started map[ServiceLevel]int
	Loads           map[incarnation.ID]int
	// Speeds are what the other daemons report.
	Speeds map[incarnation.ID]SpeedReports
}

// Service is the net/rpc service of a hub. Its exported methods with a matching signature are net/rpc methods.
type Service struct {
	mu    sync.Mutex
	local aggregate
	// relayed holds the sums received from other hubs, by hub address.
	relayed map[string]receivedSums
}

// NewService returns a service without reports.
func NewService() *Service {
	return &Service{local: newAggregate(), relayed: map[string]receivedSums{}}
}

// Swap records a daemon's report and replies with the sum of the others'.
func (s *Service) Swap(args *Args, reply *Reply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.local.expire(now)
	s.local.record(now, args)
	s.local.replyTo(args, reply)
	s.mergeRelayed(now, reply)
	reply.Speeds = boundSpeedReports(reply.Speeds)
	return nil
}

// ReportIntervalFor returns the time between two reports of a daemon if its hub has the given number of daemons.
func ReportIntervalFor(daemons int) time.Duration {
	return ReportInterval * time.Duration(max(1, (daemons+maxDaemonsPerHub-1)/maxDaemonsPerHub))
}

// Swap sends a report to the hub at the other end of a link and returns its reply.
func Swap(ctx context.Context, link *peerlink.Link, args *Args) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return peerlink.Call[Reply](ctx, link, ServiceName+".Swap", args)
}
