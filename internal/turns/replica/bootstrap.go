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
	// formSettle is the time from a disk's entry until it looks who else has come. VMs start within 0.3 s of each
	// other, their daemons a while later.
	formSettle = 1200 * time.Millisecond
	// formAgain is the time until the second look, which must show the same disks.
	formAgain = 500 * time.Millisecond
	// formTurn is how much longer each further disk waits for the layout before it makes one itself.
	formTurn = time.Second
)

// forming is how far a disk has come with the first layout.
type forming struct {
	entered bool
	// look is when to look who has come, seen what the last look showed.
	look time.Time
	seen []layout.Disk
}

// form makes the first layout. Each disk enters itself as an object of its own, so that many do not get into each
// other's way; the first of them, by name, writes the layout once a second look shows no further disk. Where
// it does not, the next one does.
func (c *Controller) form(ctx context.Context) error {
	if !c.firstStart {
		return nil
	}
	f := &c.forming
	if !f.entered {
		return c.enter(ctx)
	}
	if time.Now().Before(f.look) {
		return nil
	}
	disks, err := c.entries(ctx)
	if err != nil {
		return err
	}
	place := slices.Index(disks, c.store.Self())
	if place < 0 {
		f.entered = false // the entry was never carried out
		return nil
	}
	settled := slices.Equal(disks, f.seen)
	first := f.seen == nil
	f.seen, f.look = disks, time.Now().Add(formAgain)
	switch {
	case first && place > 0:
		f.look = f.look.Add(time.Duration(place) * formTurn)
	case settled || place > 0:
		return c.put(ctx, c.firstLayout(disks))
	}
	return nil
}

// enter writes this disk's entry.
func (c *Controller) enter(ctx context.Context) error {
	self := c.store.Self()
	value, err := json.Marshal(self)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = c.api.Put(ctx, c.candidates+self.Node, value, objectapi.MustNotExist)
	if err != nil && !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	c.forming.entered, c.forming.look = true, time.Now().Add(formSettle)
	return nil
}

// entries returns the disks that have entered themselves, in the order of their names.
func (c *Controller) entries(ctx context.Context) ([]layout.Disk, error) {
	snapshot, err := c.api.List(ctx, c.candidates)
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

func (c *Controller) firstLayout(disks []layout.Disk) *layout.Layout {
	l := &layout.Layout{Epoch: 1, Tolerance: c.tolerance}
	for _, disk := range disks {
		l.Slots = append(l.Slots, layout.Slot{DataCentre: disk.DataCentre, Disk: disk})
	}
	return l
}
