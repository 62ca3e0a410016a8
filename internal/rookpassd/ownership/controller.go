// Package ownership decides which partitions this daemon serves: it seals the logs of dead daemons, claims
// partitions that fall to it, recovers them, and hands partitions over to daemons that should have them.
//
// The controller is level-triggered: each pass compares the cluster's view with what is in service here and
// does the next step. Every step can be repeated, by this daemon or another.
package ownership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Holder serves partitions; *holder.Holder implements it.
type Holder interface {
	Owns(partition uint32) (epoch uint64, owned bool)
	Recover(ctx context.Context, partition uint32, epoch uint64, programs map[string]*program.Program) error
	Adopt(partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error
	Close(ctx context.Context, partition uint32) ([]*peerv1.ProgramSnapshot, error)
	Reopen(partition uint32)
	Drop(partition uint32)
	Snapshots(partition uint32, retention time.Duration) [][]byte
	ExpireRemote(ctx context.Context, alive func(incarnation string) bool)
}

// Journal is this daemon's log, as far as ownership needs it.
type Journal interface {
	Position() uint64
}

// Peers hands partitions over; *peer.Client implements it.
type Peers interface {
	Prepare(ctx context.Context, address, incarnation string, partition uint32) (uint64, error)
	Adopt(ctx context.Context, address, incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error
}

// Dependencies of a Controller.
type Dependencies struct {
	Name        string
	Incarnation string
	API         objectapi.API
	// Limiter is this daemon's share of the object API's writes.
	Limiter *rate.Limiter
	Tracker *cluster.Tracker
	Holder  Holder
	Journal Journal
	Peers   Peers
	Log     logrus.FieldLogger
	// Retention is how long an ended program's answers can be fetched.
	Retention time.Duration
	// CheckpointSegments is how many segments of the log a partition may need for its recovery.
	CheckpointSegments uint64
}

// Times of the controller.
const (
	// passInterval is the longest time between passes.
	passInterval = time.Second
	// secondSealer is how much later than the preferred daemon any other seals a dead one's log.
	secondSealer = 2 * time.Second
	// adoptGrace is how long a new owner waits for the state that a hand-over brings before it recovers from
	// the log.
	adoptGrace = 2 * time.Second
	// startGrace is how long a new daemon waits for others to show up before it claims partitions.
	startGrace = 500 * time.Millisecond
)

// parallelClaims bounds how many partitions are claimed and recovered at once.
const parallelClaims = 8

// Controller owns the loop. Use New, then Run.
type Controller struct {
	Dependencies
	logs *logCache

	mu sync.Mutex
	// expected are partitions whose hand-over to this daemon was announced, with the announcement's time.
	expected map[uint32]time.Time
	// given holds, for partitions handed over, the new owner's epoch.
	given map[uint32]uint64
	// deadSince tells when an incarnation was first seen dead.
	deadSince map[string]time.Time
	draining  atomic.Bool
	stats     Stats
}

// Stats counts what a controller has done.
type Stats struct {
	Claims      atomic.Int64
	HandOvers   atomic.Int64
	Seals       atomic.Int64
	Checkpoints atomic.Int64
}

// New returns a controller.
func New(deps Dependencies) *Controller {
	return &Controller{
		Dependencies: deps, logs: newLogCache(deps.API),
		expected: map[uint32]time.Time{}, given: map[uint32]uint64{}, deadSince: map[string]time.Time{},
	}
}

// Stats returns the counters.
func (c *Controller) Stats() *Stats { return &c.stats }

// Drain lets the controller hand all partitions over. The lease must say so too.
func (c *Controller) Drain() { c.draining.Store(true) }

// OwnsNone tells whether no partition is in service here.
func (c *Controller) OwnsNone() bool {
	for number := range c.Tracker.View().Partitions {
		if _, owned := c.Holder.Owns(uint32(number)); owned {
			return false
		}
	}
	return true
}

// Run makes passes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	_ = wait.For(ctx, startGrace)
	for ctx.Err() == nil {
		changed := c.Tracker.Changed()
		c.pass(ctx)
		timer := time.NewTimer(passInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// pass does the next step for everything that is not as it should be.
func (c *Controller) pass(ctx context.Context) {
	view := c.Tracker.View()
	if _, joined := view.Daemons[c.Incarnation]; !joined {
		return
	}
	c.sealDead(ctx, view)
	c.Holder.ExpireRemote(ctx, c.Tracker.Alive)
	candidates := view.Candidates(c.Tracker.Alive)
	var group errgroup.Group
	group.SetLimit(parallelClaims)
	for number := range view.Partitions {
		step := c.next(view, uint32(number), candidates)
		if step == nil {
			continue
		}
		group.Go(func() error {
			if err := step(ctx); err != nil && ctx.Err() == nil {
				c.Log.WithFields(logrus.Fields{"event": "partition.step_failed", "partition": number, "error": err}).Warn()
			}
			return nil
		})
	}
	_ = group.Wait()
}

// next returns the step that a partition needs from this daemon, or nil.
func (c *Controller) next(view *cluster.View, number uint32, candidates []string) func(context.Context) error {
	partition := view.Partitions[number]
	preferred := cluster.Preferred(number, candidates)
	epoch, owned := c.Holder.Owns(number)
	if c.outdated(number, partition.GetEpoch(), epoch, owned) {
		return nil
	}
	if partition.Partition == nil {
		if preferred == c.Incarnation {
			return func(ctx context.Context) error { return c.claim(ctx, number, partition) }
		}
		return nil
	}
	if partition.OwnerIncarnation == c.Incarnation {
		return c.nextOwned(view, number, owned, preferred)
	}
	if owned && epoch < partition.Epoch {
		return func(context.Context) error { c.Holder.Drop(number); return nil }
	}
	owner, known := view.Daemons[partition.OwnerIncarnation]
	if preferred == c.Incarnation && known && owner.Sealed {
		return func(ctx context.Context) error { return c.claim(ctx, number, partition) }
	}
	return nil
}

// nextOwned is next for a partition whose object names this daemon.
func (c *Controller) nextOwned(view *cluster.View, number uint32, owned bool, preferred string) func(context.Context) error {
	partition := view.Partitions[number]
	switch {
	case !owned && c.expecting(number):
		return nil
	case !owned:
		return func(ctx context.Context) error { return c.recover(ctx, partition.Partition) }
	case preferred != "" && preferred != c.Incarnation:
		target := view.Daemons[preferred].Daemon
		return func(ctx context.Context) error { return c.handOver(ctx, partition, target) }
	case c.needsCheckpoint(partition.Partition):
		return func(ctx context.Context) error { return c.checkpoint(ctx, partition) }
	default:
		return nil
	}
}

// expecting tells whether a hand-over's state is on its way.
func (c *Controller) expecting(number uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	announced, found := c.expected[number]
	if found && time.Since(announced) > adoptGrace {
		delete(c.expected, number)
		return false
	}
	return found
}
