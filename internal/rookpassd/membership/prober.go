// Package membership detects dead daemons before their leases expire. Each daemon probes a fixed number of others and
// is probed by the same number, whatever the size of the cluster.
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

// Options configures a Prober.
type Options struct {
	// Interval is the time between probes of one peer.
	Interval time.Duration
	// Timeout bounds one probe; witness and configuration requests get twice as long.
	Timeout time.Duration
	// Fanout is how many peers a daemon probes.
	Fanout int
	// Failures is the number of consecutive failed probes after which a peer is suspected.
	Failures int
	// Witnesses is how many other daemons are asked to confirm that a peer is unreachable.
	Witnesses int
}

// DefaultOptions returns the options that rookpassd uses.
func DefaultOptions() Options {
	return Options{
		Interval:  500 * time.Millisecond,
		Timeout:   400 * time.Millisecond,
		Fanout:    3,
		Failures:  3,
		Witnesses: 2,
	}
}

// Peers sends the prober's requests to other daemons; *peer.Client implements it.
type Peers interface {
	Probe(ctx context.Context, address, incarnation string) (peer.ProbeReply, error)
	Witness(ctx context.Context, address string, args peer.WitnessArgs) (bool, error)
	Config(ctx context.Context, address string) (objectapi.Snapshot, error)
}

// Prober probes peers and reports dead ones to the tracker. Use New, then Run.
type Prober struct {
	self    string
	tracker *cluster.Tracker
	config  *config.Store
	peers   Peers
	options Options
	random  *rand.Rand
	// failures counts consecutive failed probes by incarnation.
	failures map[string]int
	probes   atomic.Int64
	suspects atomic.Int64
}

// New returns a Prober for the daemon with incarnation self.
func New(self string, tracker *cluster.Tracker, store *config.Store, peers Peers, options Options, random *rand.Rand) *Prober {
	return &Prober{
		self: self, tracker: tracker, config: store, peers: peers, options: options, random: random,
		failures: map[string]int{},
	}
}

// Probes returns how many probes were sent.
func (p *Prober) Probes() int64 { return p.probes.Load() }

// Suspects returns how often a peer was reported dead to the tracker.
func (p *Prober) Suspects() int64 { return p.suspects.Load() }

// Run probes peers every Interval until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	ticker := time.NewTicker(p.options.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.probeRound(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probeResult is the outcome of one probe.
type probeResult struct {
	incarnation string
	reply       peer.ProbeReply
	err         error
}

func (p *Prober) probeRound(ctx context.Context) {
	view := p.tracker.View()
	targets := p.targets(view)
	results := make(chan probeResult, len(targets))
	for _, incarnation := range targets {
		address := view.Daemons[incarnation].PeerAddress
		go func() {
			probeCtx, cancel := context.WithTimeout(ctx, p.options.Timeout)
			defer cancel()
			reply, err := p.peers.Probe(probeCtx, address, incarnation)
			results <- probeResult{incarnation, reply, err}
		}()
	}
	p.probes.Add(int64(len(targets)))
	for range targets {
		p.handleResult(ctx, view, <-results)
	}
	for incarnation := range p.failures {
		if !slices.Contains(targets, incarnation) {
			delete(p.failures, incarnation)
		}
	}
}

// targets returns up to Fanout daemons that follow this one in the sorted ring of incarnations.
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

// handleResult processes the outcome of one probe. A reply from another incarnation at the same address shows that the
// probed incarnation has ended, so it needs no witness.
func (p *Prober) handleResult(ctx context.Context, view *cluster.View, result probeResult) {
	if result.err == nil && result.reply.Incarnation == result.incarnation {
		delete(p.failures, result.incarnation)
		p.syncConfig(ctx, view, result)
		return
	}
	p.failures[result.incarnation]++
	if p.failures[result.incarnation] < p.options.Failures {
		return
	}
	if result.err == nil || p.confirmedDead(ctx, view, result.incarnation) {
		p.suspects.Add(1)
		p.tracker.Suspect(result.incarnation)
	}
}

// confirmedDead reports whether a witness failed to reach the peer and none that was asked reached it. Without a
// witness's reply it returns false, since this daemon may be the one cut off; the peer's lease then decides.
func (p *Prober) confirmedDead(ctx context.Context, view *cluster.View, incarnation string) bool {
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

// syncConfig confirms the configuration from a peer's probe reply. It imports the peer's configuration if this daemon
// misses a change and cannot confirm its own configuration with the object API.
func (p *Prober) syncConfig(ctx context.Context, view *cluster.View, result probeResult) {
	if !result.reply.ConfigFresh {
		return
	}
	if p.config.ConfirmByPeer(result.reply.ConfigRevision, result.reply.ConfigAsOf) {
		return
	}
	// The watch usually delivers the change soon; only a daemon without a recent confirmation fetches it.
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
