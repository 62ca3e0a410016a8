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
	// registrationDelay is the time from a disk's entry until it looks who else has come. VMs start within 0.3 s of each
	// other, their daemons a while later.
	registrationDelay = 1200 * time.Millisecond
	// recheckDelay is the time until the second look, which must show the same disks.
	recheckDelay = 500 * time.Millisecond
	// writerStagger is how much longer each further disk waits for the layout before it makes one itself.
	writerStagger = time.Second
)

// bootstrapState is how far a disk has come with the first layout.
type bootstrapState struct {
	registered bool
	// nextCheck is when to nextCheck who has come, seen what the last nextCheck showed.
	nextCheck time.Time
	lastSeen  []layout.Disk
}

// formLayout makes the first layout. Each disk enters itself as an object of its own, so that many do not get into each
// other's way; the first of them, by name, writes the layout once a second look shows no further disk. Where
// it does not, the next one does.
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
		f.registered = false // the entry was never carried out
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

// register writes this disk's entry.
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

// registeredDisks returns the disks that have entered themselves, in the order of their names.
func (c *Controller) registeredDisks(ctx context.Context) ([]layout.Disk, error) {
	snapshot, err := c.api.List(ctx, c.candidatesPrefix)
	if err != nil {
		return nil, err
	}
	var disks []layout.Disk
	for _, object := range snapshot.Objects {
		var disk layout.Disk
		if err := json.Unmarshal(object.Value, &disk); err != nil {
			c.log.WithFields(logrus.Fields{"event": "entry-malformed", "key": object.Key, "error": err}).Error("disk's entry not read")
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
