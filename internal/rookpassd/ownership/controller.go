// Package ownership decides which partitions this daemon serves: it seals the logs of dead daemons, claims and
// recovers partitions assigned to this daemon, and hands partitions over to their preferred owners.
//
// The controller is level-triggered: each pass compares the cluster view with the partitions served here and
// performs the next step. Every step can be repeated, by this daemon or another.
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

// Journal is the part of this daemon's log that ownership needs.
type Journal interface {
	Position() uint64
}

// Peers hands partitions over; *peer.Client implements it.
type Peers interface {
	Prepare(ctx context.Context, address, incarnation string, partition uint32) (uint64, error)
	Adopt(ctx context.Context, address, incarnation string, partition uint32, epoch uint64, programs []*peerv1.ProgramSnapshot) error
}

// Dependencies holds what a Controller uses.
type Dependencies struct {
	Name        string
	Incarnation string
	API         objectapi.API
	// Limiter limits this daemon's writes to the object API.
	Limiter *rate.Limiter
	Tracker *cluster.Tracker
	Holder  Holder
	Journal Journal
	Peers   Peers
	Log     logrus.FieldLogger
	// Retention is how long an ended program's answers can be fetched.
	Retention time.Duration
	// CheckpointSegments is the number of log segments after which a partition is checkpointed.
	CheckpointSegments uint64
}

// Intervals and delays of the controller.
const (
	// reconcileInterval is the longest wait between passes.
	reconcileInterval = time.Second
	// backupSealDelay is how long daemons other than the first wait before they seal a dead daemon's log.
	backupSealDelay = 2 * time.Second
	// adoptGrace is how long a new owner waits for the state of an announced hand-over before it recovers the
	// partition from the log.
	adoptGrace = 2 * time.Second
	// startGrace is how long a new daemon waits for other daemons to appear before it claims partitions.
	startGrace = 500 * time.Millisecond
)

// parallelClaims bounds how many partitions are claimed and recovered at once.
const parallelClaims = 8

// Controller runs the reconciliation loop. Use New, then Run.
type Controller struct {
	Dependencies
	logs *logCache

	mu sync.Mutex
	// expectedHandOvers maps partitions whose hand-over to this daemon was announced to the announcement's time.
	expectedHandOvers map[uint32]time.Time
	// handedOverEpoch maps partitions handed over to the new owner's epoch.
	handedOverEpoch map[uint32]uint64
	// deadSince maps incarnations to the time at which they were first considered dead.
	deadSince map[string]time.Time
	draining  atomic.Bool
	stats     Stats
}

// Stats counts completed operations of a controller.
type Stats struct {
	Claims      atomic.Int64
	HandOvers   atomic.Int64
	Seals       atomic.Int64
	Checkpoints atomic.Int64
}

// New returns a Controller; Run starts it.
func New(deps Dependencies) *Controller {
	return &Controller{
		Dependencies: deps, logs: newLogCache(deps.API),
		expectedHandOvers: map[uint32]time.Time{}, handedOverEpoch: map[uint32]uint64{}, deadSince: map[string]time.Time{},
	}
}

// Stats returns the counters.
func (c *Controller) Stats() *Stats { return &c.stats }

// Drain makes Prepare refuse further hand-overs. The lease must be marked as draining as well, so that the partitions
// served here move to other daemons.
func (c *Controller) Drain() { c.draining.Store(true) }

// OwnsNone reports whether this daemon serves no partition.
func (c *Controller) OwnsNone() bool {
	for number := range c.Tracker.View().Partitions {
		if _, owned := c.Holder.Owns(uint32(number)); owned {
			return false
		}
	}
	return true
}

// Run reconciles after each change of the view, and at least every reconcileInterval, until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	_ = wait.For(ctx, startGrace)
	for ctx.Err() == nil {
		changed := c.Tracker.Changed()
		c.reconcile(ctx)
		timer := time.NewTimer(reconcileInterval)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// reconcile seals the logs of dead daemons and performs the next step for each partition that needs one.
func (c *Controller) reconcile(ctx context.Context) {
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
		step := c.nextStep(view, uint32(number), candidates)
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

// nextStep returns the step that a partition needs from this daemon, or nil.
func (c *Controller) nextStep(view *cluster.View, number uint32, candidates []string) func(context.Context) error {
	partition := view.Partitions[number]
	preferred := cluster.Preferred(number, candidates)
	epoch, owned := c.Holder.Owns(number)
	if c.viewIsStale(number, partition.GetEpoch(), epoch, owned) {
		return nil
	}
	if partition.Partition == nil {
		if preferred == c.Incarnation {
			return func(ctx context.Context) error { return c.claim(ctx, number, partition) }
		}
		return nil
	}
	if partition.OwnerIncarnation == c.Incarnation {
		return c.nextOwnedStep(view, number, owned, preferred)
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

// nextOwnedStep returns the next step for a partition whose object names this daemon as owner, or nil.
func (c *Controller) nextOwnedStep(view *cluster.View, number uint32, owned bool, preferred string) func(context.Context) error {
	partition := view.Partitions[number]
	switch {
	case !owned && c.awaitingAdoption(number):
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

// awaitingAdoption reports whether a hand-over was announced at most adoptGrace ago and its state has not arrived.
func (c *Controller) awaitingAdoption(number uint32) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	announced, found := c.expectedHandOvers[number]
	if found && time.Since(announced) > adoptGrace {
		delete(c.expectedHandOvers, number)
		return false
	}
	return found
}
