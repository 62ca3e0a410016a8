package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const (
	// stepInterval is the time between two steps of the controller.
	stepInterval = 200 * time.Millisecond
)

// Retirements tells which VMs' disks are to be emptied, and records the progress.
type Retirements interface {
	// Retiring reports whether a VM's disk is to be emptied.
	Retiring(node string) bool
	// Report records that a VM's disk is being emptied or, if done, is empty.
	Report(ctx context.Context, node string, done bool) error
}

// Controller manages the slot of a disk: it takes a slot over, keeps it and vacates it. Use NewController, then Run.
type Controller struct {
	store            *Store
	api              objectapi.API
	links            *peerlink.Pool
	topology         place.Topology
	retirements      Retirements
	log              logrus.FieldLogger
	layoutKey        string
	candidatesPrefix string
	firstStart       bool
	tolerance        int
	diskBytes        int64

	mu            sync.Mutex
	layoutVersion uint64

	bootstrap         bootstrapState
	unresponsiveSince map[string]time.Time
	reportedState     string
	lastClean         time.Time
	// retiringSince is when this disk began to wait for a spare disk to take its slot; zero if it does not wait.
	retiringSince time.Time
}

// Options configures a controller.
type Options struct {
	Store       *Store
	API         objectapi.API
	Links       *peerlink.Pool
	Retirements Retirements
	Log         logrus.FieldLogger
	// Topology tells how far other data centres are from this daemon.
	Topology place.Topology
	// LayoutKey is the key of the layout object. CandidatesPrefix is the prefix of the objects that register disks for
	// the first layout.
	LayoutKey, CandidatesPrefix string
	// FirstStart tells that the system starts with empty disks.
	FirstStart bool
	// Tolerance is the number of disks that may be lost at the same time.
	Tolerance int
	// DiskBytes is the size of the disk; 0 turns the copying of old segments off.
	DiskBytes int64
}

// NewController returns the controller of a store.
func NewController(o Options) *Controller {
	return &Controller{store: o.Store, api: o.API, links: o.Links, topology: o.Topology, retirements: o.Retirements, log: o.Log, layoutKey: o.LayoutKey, candidatesPrefix: o.CandidatesPrefix,
		firstStart: o.FirstStart, tolerance: o.Tolerance, diskBytes: o.DiskBytes, unresponsiveSince: map[string]time.Time{}}
}

// ObserveLayout takes a version of the layout object from a watch.
func (c *Controller) ObserveLayout(object objectapi.Object) {
	l, err := layout.Decode(object.Value)
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "layout-malformed", "version": object.Version, "error": err}).Error("layout object is malformed")
		return
	}
	c.mu.Lock()
	if object.Version > c.layoutVersion {
		c.layoutVersion = object.Version
	}
	c.mu.Unlock()
	c.store.UpdateLayout(l)
}

// Run manages the disk's slot and cleans the disk until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := c.step(ctx); err != nil && ctx.Err() == nil {
			c.log.WithFields(logrus.Fields{"event": "layout-step", "error": err}).Warn("layout step failed; retrying")
		}
		c.clean(time.Now())
		_ = wait.For(ctx, stepInterval)
	}
	return ctx.Err()
}

func (c *Controller) step(ctx context.Context) error {
	if !c.store.isOpen() {
		return nil
	}
	l := c.store.Layout()
	if l == nil {
		return c.formLayout(ctx)
	}
	self := c.store.Self()
	if err := c.reportRetirement(ctx, l); err != nil {
		return err
	}
	if slot := l.SlotOf(self.ID); slot >= 0 {
		return c.keepOrVacate(ctx, l, slot)
	}
	if len(c.store.DiskProblems()) > 0 {
		return nil // nothing can be copied to this disk
	}
	if slot := l.SlotJoinedBy(self.ID); slot >= 0 {
		return c.takeOver(ctx, l, slot)
	}
	if c.retirements.Retiring(self.Node) {
		return nil
	}
	slot := c.findSlot(ctx, l)
	if slot < 0 {
		return nil
	}
	next := l.Clone()
	next.Slots[slot].Joining, next.Slots[slot].Leaving = &self, false
	c.log.WithFields(logrus.Fields{"event": "slot-join", "slot": slot, "from_node": l.Slots[slot].Disk.Node,
		"retiring": c.retirements.Retiring(l.Slots[slot].Disk.Node), "epoch": next.Epoch}).Info("taking over a slot")
	return c.putLayout(ctx, next)
}

// keepOrVacate handles the slot that this disk holds: it vacates the slot of a retiring VM and keeps any other.
func (c *Controller) keepOrVacate(ctx context.Context, l *layout.Layout, slot int) error {
	switch {
	case l.Slots[slot].Joining != nil:
		return nil // another disk is taking it over
	case c.retirements.Retiring(c.store.Self().Node):
		return c.vacate(ctx, l, slot)
	default:
		return c.cancelVacating(ctx, l, slot)
	}
}

// putLayout replaces the layout object, unless it is newer than the version that this disk knows.
func (c *Controller) putLayout(ctx context.Context, next *layout.Layout) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	c.mu.Lock()
	version := c.layoutVersion
	c.mu.Unlock()
	object, err := c.api.Put(ctx, c.layoutKey, value, version)
	if err == nil {
		c.ObserveLayout(object)
		return nil
	}
	// After a conflict or a lost answer the next step starts from the stored layout.
	current, readErr := c.api.Get(ctx, c.layoutKey)
	if readErr == nil {
		c.ObserveLayout(current)
	}
	if errors.Is(err, objectapi.ErrConflict) {
		return nil
	}
	return errors.Join(err, readErr)
}

// reportRetirement reports the progress of emptying this VM's disk, once for each change.
func (c *Controller) reportRetirement(ctx context.Context, l *layout.Layout) error {
	self := c.store.Self()
	if !c.retirements.Retiring(self.Node) {
		c.reportedState = ""
		return nil
	}
	done := l.SlotOf(self.ID) < 0 && l.SlotJoinedBy(self.ID) < 0
	state := "running"
	if done {
		state = "done"
	}
	if c.reportedState == state {
		return nil
	}
	if err := c.retirements.Report(ctx, self.Node, done); err != nil {
		return err
	}
	c.reportedState = state
	c.log.WithFields(logrus.Fields{"event": "retirement", "state": state, "epoch": l.Epoch}).Info("retirement reported")
	return nil
}
