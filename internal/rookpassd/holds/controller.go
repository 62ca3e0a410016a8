// Package holds releases the engine cache of ended programs. A hold is cache that an engine keeps for a program.
// One periodic task releases the recorded holds of this daemon's ended programs. The other compares the holds that
// engines report with the running programs, to find holds that a failed daemon did not record.
package holds

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/rookpassd/backend"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Programs provides the programs of this daemon. *holder.Holder implements it.
type Programs interface {
	Held() []holder.EndedProgram
	Released(ctx context.Context, programID string, backends []string) error
	Ended(programs []string) []string
}

// Engines provides the clients of model engines. *backend.Runner implements it.
type Engines interface {
	Engine(name string) *backend.Engine
	Engines() []string
}

// Peers asks other daemons which of their programs have ended. *peer.Client implements it.
type Peers interface {
	Ended(ctx context.Context, address string, programs []string) ([]string, error)
}

// Options of a Controller.
type Options struct {
	Incarnation string
	Partitions  uint32
	Tracker     *cluster.Tracker
	Programs    Programs
	Engines     Engines
	Peers       Peers
	Log         logrus.FieldLogger
}

// Intervals and timeouts of the controller.
const (
	releaseInterval = 500 * time.Millisecond
	// compareInterval is how often the holds of each engine are compared, by one daemon per engine.
	compareInterval = 5 * time.Second
	engineTimeout   = 2 * time.Second
)

// Controller runs both periodic tasks. Use New, then Run.
type Controller struct {
	Options
	released atomic.Int64
	orphans  atomic.Int64
}

// New returns a controller.
func New(options Options) *Controller { return &Controller{Options: options} }

// Released returns the number of recorded holds released for programs of this daemon.
func (c *Controller) Released() int64 { return c.released.Load() }

// Orphans returns the number of orphaned holds released by comparison.
func (c *Controller) Orphans() int64 { return c.orphans.Load() }

// Run runs both tasks until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	release := time.NewTicker(releaseInterval)
	defer release.Stop()
	compare := time.NewTicker(compareInterval)
	defer compare.Stop()
	for {
		if !guard.Enabled(guard.CacheRelease) {
			return nil
		}
		select {
		case <-release.C:
			c.releaseEnded(ctx)
		case <-compare.C:
			c.compareAll(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// releaseEnded releases the holds of this daemon's ended programs and records the releases that engines confirmed.
func (c *Controller) releaseEnded(ctx context.Context) {
	for _, held := range c.Programs.Held() {
		var confirmed []string
		for _, name := range held.Backends {
			if c.release(ctx, name, held.ID) {
				confirmed = append(confirmed, name)
			}
		}
		if len(confirmed) == 0 {
			continue
		}
		c.released.Add(int64(len(confirmed)))
		if err := c.Programs.Released(ctx, held.ID, confirmed); err != nil {
			return // The releases are repeated in the next round; Release is idempotent.
		}
	}
}

// release releases a hold and reports whether the engine confirmed it. An engine that was deleted from the
// configuration counts as confirmed.
func (c *Controller) release(ctx context.Context, name, tag string) bool {
	engine := c.Engines.Engine(name)
	if engine == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	return engine.Release(ctx, tag) == nil
}

// compareAll compares the engines that are assigned to this daemon.
func (c *Controller) compareAll(ctx context.Context) {
	view := c.Tracker.View()
	candidates := view.Candidates(c.Tracker.Alive)
	for _, name := range c.Engines.Engines() {
		if cluster.Preferred(uint32(xxhash.Sum64String(name)), candidates) == c.Incarnation {
			c.compare(ctx, view, name)
		}
	}
}

// compare releases an engine's holds for programs that have ended or are unknown to their owner.
func (c *Controller) compare(ctx context.Context, view *cluster.View, name string) {
	engine := c.Engines.Engine(name)
	if engine == nil {
		return
	}
	listCtx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	listed, err := engine.ListHolds(listCtx)
	if err != nil {
		return
	}
	byOwner := map[string][]string{}
	for _, hold := range listed {
		owner, found := view.Owner(program.PartitionOf(hold.Tag, c.Partitions))
		if found {
			byOwner[owner.Incarnation] = append(byOwner[owner.Incarnation], hold.Tag)
		}
	}
	for incarnation, tags := range byOwner {
		for _, tag := range c.ended(ctx, view, incarnation, tags) {
			if c.release(ctx, name, tag) {
				c.orphans.Add(1)
				c.Log.WithFields(logrus.Fields{"event": "hold.orphan_released", "backend_server": name, "program_id": tag}).Info()
			}
		}
	}
}

// ended asks the owner of the given programs which of them have ended or are unknown.
func (c *Controller) ended(ctx context.Context, view *cluster.View, incarnation string, tags []string) []string {
	if incarnation == c.Incarnation {
		return c.Programs.Ended(tags)
	}
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	ended, err := c.Peers.Ended(ctx, view.Daemons[incarnation].PeerAddress, tags)
	if err != nil {
		return nil
	}
	return ended
}
