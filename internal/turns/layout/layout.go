// Package layout assigns the storage of programs' turns to disks.
//
// A layout has a fixed number of slots, set when the system first starts. Each slot is held by one disk. While another
// disk takes the slot over, a write counts for the slot only if both disks have it. A program's records are stored on
// the slots of its group, and a durable record is always held by a quorum of them.
//
// A disk that must be emptied while no other disk takes its slot vacates the slot. The slot is first leaving: it counts
// towards no quorum until all its records are on a quorum of the rest of each group. Then it is vacant permanently, and
// groups are formed without it.
package layout

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("layout")

// Disk identifies a disk. A disk that comes back empty gets a new ID.
type Disk struct {
	ID   string `json:"id"`
	Node string `json:"node"`
	// Address is the IP:port at which the disk's daemon listens.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Slot is a position in the layout, held by one disk.
type Slot struct {
	// DataCentre is that of the slot's first disk. It stays when the disk changes, so that groups do too.
	DataCentre string `json:"data_centre"`
	Disk       Disk   `json:"disk"`
	// Joining is the disk that is taking the slot over, or nil.
	Joining *Disk `json:"joining,omitempty"`
	// Leaving slots are read but not written. Vacant slots have no disk.
	Leaving bool `json:"leaving,omitempty"`
	Vacant  bool `json:"vacant,omitempty"`
}

// Layout is one version of the assignment of disks to slots.
type Layout struct {
	// Epoch increases with each change.
	Epoch uint64 `json:"epoch"`
	// Tolerance is the number of disks that may be lost at the same time.
	Tolerance int    `json:"tolerance"`
	Slots     []Slot `json:"slots"`
}

// Decode parses the JSON encoding of a layout.
func Decode(value []byte) (*Layout, error) {
	l := &Layout{}
	if err := json.Unmarshal(value, l); err != nil {
		return nil, Error.Wrap(err)
	}
	return l, nil
}

// Encode returns the JSON encoding of the layout.
func (l *Layout) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, Error.Wrap(err)
}

// Clone returns a copy with the epoch incremented.
func (l *Layout) Clone() *Layout {
	next := *l
	next.Epoch++
	next.Slots = slices.Clone(l.Slots)
	return &next
}

// Disks returns the disks that hold slots, in slot order.
func (l *Layout) Disks() []Disk {
	disks := make([]Disk, 0, l.OccupiedSlots())
	for _, slot := range l.Slots {
		if !slot.Vacant {
			disks = append(disks, slot.Disk)
		}
	}
	return disks
}

// OccupiedSlots returns the number of slots that have a disk. Each write calls it, so it does not allocate.
func (l *Layout) OccupiedSlots() int {
	n := 0
	for i := range l.Slots {
		if !l.Slots[i].Vacant {
			n++
		}
	}
	return n
}

// CanVacate reports whether a slot can be vacated: the remaining slots must be enough for a full group.
func (l *Layout) CanVacate(slot int) bool {
	staying := 0
	for i, other := range l.Slots {
		if i != slot && !other.Vacant && !other.Leaving {
			staying++
		}
	}
	return staying >= l.groupSize()
}

func (l *Layout) groupSize() int { return 2*l.Tolerance + 1 }

// Quorum returns how many slots of a group must hold a record for it to be durable, and how many must answer for a
// budget to be known. Any two quorums of a group share a slot.
func (l *Layout) Quorum() int { return min(l.Tolerance+1, l.OccupiedSlots()) }

// AbsenceQuorum returns how many slots of the whole layout must report a record as missing to prove that it does not
// exist.
func (l *Layout) AbsenceQuorum() int { return l.OccupiedSlots() - l.Quorum() + 1 }

// SlotOf returns the index of the slot that a disk holds, or -1.
func (l *Layout) SlotOf(disk string) int {
	return slices.IndexFunc(l.Slots, func(s Slot) bool { return s.Disk.ID == disk })
}

// SlotJoinedBy returns the index of the slot that a disk is taking over, or -1.
func (l *Layout) SlotJoinedBy(disk string) int {
	return slices.IndexFunc(l.Slots, func(s Slot) bool { return s.Joining != nil && s.Joining.ID == disk })
}

// Group returns the slots that store a program's records: 2 x tolerance + 1 of the slots that are not vacant, selected
// by rendezvous hash so that they spread over data centres. It depends only on the slots and their data centres, not on
// the disks that hold them.
func (l *Layout) Group(program string) []int {
	order := make([]int, 0, len(l.Slots))
	weights := make([]uint64, len(l.Slots))
	key := xxhash.Sum64String(program)
	for i, slot := range l.Slots {
		if slot.Vacant {
			continue
		}
		order = append(order, i)
		weights[i] = mix(key + uint64(i+1)*0x9e3779b97f4a7c15)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(weights[b], weights[a]) })
	size := min(l.groupSize(), len(order))
	if size == len(order) {
		return order
	}
	group := make([]int, 0, size)
	seen := map[string]int{}
	for round := 0; len(group) < size; round++ {
		for _, slot := range order {
			if len(group) < size && seen[l.Slots[slot].DataCentre] == round && !slices.Contains(group, slot) {
				group = append(group, slot)
				seen[l.Slots[slot].DataCentre]++
			}
		}
	}
	return group
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
