package node

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rookpass/rookpass/internal/objects/feed"
	"github.com/rookpass/rookpass/internal/objects/mirror"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/platform"
)

// readersGroupKey selects the slots whose daemons read the platform's objects.
const readersGroupKey = "readers of the platform's objects"

// readers returns a function that lists the daemons through which this one reads the platform's objects, or none if it
// reads the store itself. There are 2 x tolerance + 1 readers however many store daemons there are, since the calls of
// a watch have a cost. One is left even if twice as many disks are lost as the tolerance. If no reader answers, the
// daemon reads the store.
func (b *base) readers(store *replica.Store) func() []feed.NamedMirror {
	links := peerlink.NewPool(b.host.dial) // separate from the links for turns: a watch that hangs must not break their calls
	return func() []feed.NamedMirror {
		l := store.Layout()
		if l == nil {
			return nil
		}
		var disks []layout.Disk
		for _, slot := range l.Group(readersGroupKey) {
			disk := l.Slots[slot].Disk
			if disk.Node == b.settings.Node {
				return nil
			}
			disks = append(disks, disk)
		}
		var mirrors []feed.NamedMirror
		for _, disk := range b.byPreference(disks) {
			mirrors = append(mirrors, feed.NamedMirror{Name: disk.Node, Mirror: mirror.NewClient(links.LinkTo(disk.Address))})
		}
		return mirrors
	}
}

// byPreference sorts disks in place: the nearest first, and at the same distance by a hash of both VMs' names.
func (b *base) byPreference(disks []layout.Disk) []layout.Disk {
	rank := func(d layout.Disk) uint64 { return xxhash.Sum64String(b.settings.Node + " " + d.Node) }
	at := b.settings.Topology()
	slices.SortFunc(disks, func(a, b layout.Disk) int {
		return cmp.Or(cmp.Compare(at.DistanceTo(a.DataCentre), at.DistanceTo(b.DataCentre)), cmp.Compare(rank(a), rank(b)))
	})
	return disks
}

// singlePrefixSource adapts the platform's store to watches of one prefix each.
type singlePrefixSource struct{ store *platform.Store }

func (s singlePrefixSource) List(ctx context.Context, prefix string) (objectapi.Snapshot, error) {
	return s.store.List(ctx, prefix)
}

func (s singlePrefixSource) Wait(ctx context.Context, prefix string, after uint64, d time.Duration) (objectapi.Batch, error) {
	return s.store.Wait(ctx, []string{prefix}, after, d)
}
