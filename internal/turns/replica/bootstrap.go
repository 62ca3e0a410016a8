package replica

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const (
	// registrationDelay is the time from a disk's registration until it first lists the registered disks. It covers the
	// different start times of the VMs, which are within 0.3 s of each other, and of their daemons.
	registrationDelay = 1200 * time.Millisecond
	// recheckDelay is the time until the next list, which must show the same disks.
	recheckDelay = 500 * time.Millisecond
	// writerStagger is how much longer each further disk waits for the layout before it writes one itself.
	writerStagger = time.Second
)

// bootstrapState is a disk's progress in forming the first layout.
type bootstrapState struct {
	registered bool
	// nextCheck is when to list the registered disks again. lastSeen is what the last list showed.
	nextCheck time.Time
	lastSeen  []layout.Disk
}

// formLayout creates the first layout. Each disk registers with an object of its own, which avoids conflicts. The first
// disk by name writes the layout once two lists in a row show the same disks. If it does not, the next one does.
func (c *Controller) formLayout(ctx context.Context) error {
	if !c.firstStart {
		return nil
	}
	f := &c.bootstrap
	if !f.registered {
		return c.register(ctx)
	}
	if time.Now().Before(f.nextCheck) {
		return nil
	}
	disks, err := c.registeredDisks(ctx)
	if err != nil {
		return err
	}
	rank := slices.Index(disks, c.store.Self())
	if rank < 0 {
		f.registered = false // the registration was not stored
		return nil
	}
	unchanged := slices.Equal(disks, f.lastSeen)
	first := f.lastSeen == nil
	f.lastSeen, f.nextCheck = disks, time.Now().Add(recheckDelay)
	switch {
	case first && rank > 0:
		f.nextCheck = f.nextCheck.Add(time.Duration(rank) * writerStagger)
	case unchanged || rank > 0:
		return c.putLayout(ctx, c.initialLayout(disks))
	}
	return nil
}

// register stores this disk's registration.
func (c *Controller) register(ctx context.Context) error {
	self := c.store.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = c.api.Put(ctx, c.candidatesPrefix+self.Node, value, objectapi.MustNotExist)
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	c.bootstrap.registered, c.bootstrap.nextCheck = true, time.Now().Add(registrationDelay)
	return nil
}

// registeredDisks returns the registered disks, sorted by node name.
func (c *Controller) registeredDisks(ctx context.Context) ([]layout.Disk, error) {
	snapshot, err := c.api.List(ctx, c.candidatesPrefix)
	if err != nil {
		return nil, err
	}
	var disks []layout.Disk
	for _, object := range snapshot.Objects {
		var disk layout.Disk
		if err := json.Unmarshal(object.Value, &disk); err != nil {
			c.log.WithFields(logrus.Fields{"event": "entry-malformed", "key": object.Key, "error": err}).Error("disk registration is malformed")
			continue
		}
		disks = append(disks, disk)
	}
	slices.SortFunc(disks, func(a, b layout.Disk) int { return strings.Compare(a.Node, b.Node) })
	return disks, nil
}

func (c *Controller) initialLayout(disks []layout.Disk) *layout.Layout {
	l := &layout.Layout{Epoch: 1, Tolerance: c.tolerance}
	for _, disk := range disks {
		l.Slots = append(l.Slots, layout.Slot{DataCentre: disk.DataCentre, Disk: disk})
	}
	return l
}
