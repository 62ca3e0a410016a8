// Package membership finds dead daemons sooner than their leases lapse. Each daemon probes a few others,
// chosen so that every daemon is probed by as many, whatever the size of the cluster.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/peer"
)

// Options of a Prober.
type Options struct {
	// Interval is the time between probes of one peer.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// Fanout is how many peers a daemon probes.
	Fanout int
	// Failures in a row make a peer suspect.
	Failures int
	// Witnesses is how many other daemons are asked before a peer is taken as dead.
	Witnesses int
}

// DefaultOptions returns what rookpassd uses.
func DefaultOptions() Options {
	return Options{
		Interval:  500 * time.Millisecond,
		Timeout:   400 * time.Millisecond,
		Fanout:    3,
		Failures:  3,
		Witnesses: 2,
	}
}

// Peers is what the prober asks of other daemons; *peer.Client implements it.
type Peers interface {
	Probe(ctx context.Context, address, incarnation string) (peer.ProbeReply, error)
	Witness(ctx context.Context, address string, args peer.WitnessArgs) (bool, error)
	Config(ctx context.Context, address string) (objectapi.Snapshot, error)
}

// Prober probes peers and tells the tracker which are dead. Use New, then Run.
type Prober struct {
	self    string
	tracker *cluster.Tracker
	config  *config.Store
	peers   Peers
	options Options
	random  *rand.Rand
	// failures counts failed probes in a row, by incarnation.
	failures map[string]int
	probes   atomic.Int64
	suspects atomic.Int64
}

// New returns a prober for the daemon with incarnation self.
func New(self string, tracker *cluster.Tracker, store *config.Store, peers Peers, options Options, random *rand.Rand) *Prober {
	return &Prober{
		self: self, tracker: tracker, config: store, peers: peers, options: options, random: random,
		failures: map[string]int{},
	}
}

// Probes returns how many probes were sent.
func (p *Prober) Probes() int64 { return p.probes.Load() }

// Suspects returns how often a peer was taken as dead.
func (p *Prober) Suspects() int64 { return p.suspects.Load() }

// Run probes until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.round(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probed is the outcome of one probe.
type probed struct {
	incarnation string
	reply       peer.ProbeReply
	err         error
}

func (p *Prober) round(ctx context.Context) {
	view := p.tracker.View()
	targets := p.targets(view)
	results := make(chan probed, len(targets))
	for _, incarnation := range targets {
		address := view.Daemons[incarnation].PeerAddress
		go func() {
			probeCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
			defer cancel()
			reply, err := p.peers.Probe(probeCtx, address, incarnation)
			results <- probed{incarnation, reply, err}
		}()
	}
	p.probes.Add(int64(len(targets)))
	for range targets {
		p.take(ctx, view, <-results)
	}
	for incarnation := range p.failures {
		if !slices.Contains(targets, incarnation) {
			delete(p.failures, incarnation)
		}
	}
}

// targets returns the daemons that follow this one in order of incarnation.
func (p *Prober) targets(view *cluster.View) []string {
	var others []string
	for incarnation, daemon := range view.Daemons {
		if !daemon.Sealed && incarnation != p.self {
			others = append(others, incarnation)
		}
	}
	slices.Sort(others)
	first, _ := slices.BinarySearch(others, p.self)
	var targets []string
	for i := 0; i < min(p.options.Fanout, len(others)); i++ {
		targets = append(targets, others[(first+i)%len(others)])
	}
	return targets
}

// take judges one outcome. An answer from another incarnation means that the probed one is gone.
func (p *Prober) take(ctx context.Context, view *cluster.View, result probed) {
	if result.err == nil && result.reply.Incarnation == result.incarnation {
		delete(p.failures, result.incarnation)
		p.learnConfig(ctx, view, result)
		return
	}
	p.failures[result.incarnation]++
	if p.failures[result.incarnation] < p.options.Failures {
		return
	}
	if result.err == nil || p.confirmed(ctx, view, result.incarnation) {
		p.suspects.Add(1)
		p.tracker.Suspect(result.incarnation)
	}
}

// confirmed tells whether a witness answered that it does not reach the peer either. Without a witness
// nobody is suspected: it may be this daemon that is cut off. The peer's lease then decides.
func (p *Prober) confirmed(ctx context.Context, view *cluster.View, incarnation string) bool {
	var witnesses []string
	for other, daemon := range view.Daemons {
		if other != p.self && other != incarnation && !daemon.Sealed && p.failures[other] == 0 {
			witnesses = append(witnesses, other)
		}
	}
	slices.Sort(witnesses)
	p.random.Shuffle(len(witnesses), func(i, j int) { witnesses[i], witnesses[j] = witnesses[j], witnesses[i] })
	args := peer.WitnessArgs{Address: view.Daemons[incarnation].PeerAddress, Incarnation: incarnation}
	agreed := false
	for _, other := range witnesses[:min(len(witnesses), p.options.Witnesses)] {
		witnessCtx, cancel := context.WithTimeout(ctx, 2*p.options.Timeout)
		reached, err := p.peers.Witness(witnessCtx, view.Daemons[other].PeerAddress, args)
		cancel()
		if err == nil && reached {
			return false
		}
		agreed = agreed || err == nil
	}
	return agreed
}

// learnConfig takes the peer's word on the configuration while the object API does not answer this daemon.
func (p *Prober) learnConfig(ctx context.Context, view *cluster.View, result probed) {
	if !result.reply.ConfigFresh {
		return
	}
	if p.config.ConfirmByPeer(result.reply.ConfigRevision, result.reply.ConfigAsOf) {
		return
	}
	// The watch usually brings the change within milliseconds; only a daemon that is cut off fetches it.
	if p.config.Fresh(p.options.Interval) {
		return
	}
	fetchCtx, cancel := context.WithTimeout(ctx, 2*p.options.Timeout)
	defer cancel()
	snapshot, err := p.peers.Config(fetchCtx, view.Daemons[result.incarnation].PeerAddress)
	if err == nil {
		p.config.Import(snapshot)
	}
}
