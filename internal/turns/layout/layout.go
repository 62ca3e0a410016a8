// Package layout tells which disks hold which programs' turns.
//
// A layout has a fixed number of slots, decided when the system first starts. Each slot is held by one disk;
// while another disk takes the slot over, writes to the slot count only if both disks have them. A program's
// records lie on the slots of its group: a durable record is held by a quorum of them, always.
//
// A disk that is to be emptied with no other to take its slot gives the slot up: it is leaving, and counts for
// nothing, until all that it holds is on a quorum of the rest of each group; then the slot is vacant for good, and groups
// do without it.
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

// Disk is one life of a disk: one that comes back empty has a new ID.
type Disk struct {
	ID   string `json:"id"`
	Node string `json:"node"`
	// Address is where the disk's daemon listens, IP:port.
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
}

// Slot is a place for one disk.
type Slot struct {
	// DataCentre of the slot's first disk spreads groups; it stays when the disk changes, so that groups
	// do.
	DataCentre string `json:"data_centre"`
	Disk       Disk   `json:"disk"`
	// Joining is the disk that takes the slot over, if any.
	Joining *Disk `json:"joining,omitempty"`
	// Leaving slots are read from but not written to. Vacant ones have no disk.
	Leaving bool `json:"leaving,omitempty"`
	Vacant  bool `json:"vacant,omitempty"`
}

// Layout is one state of the slots.
type Layout struct {
	// Epoch rises with each change.
	Epoch uint64 `json:"epoch"`
	// Tolerance is how many disks may be lost at one time.
	Tolerance int    `json:"tolerance"`
	Slots     []Slot `json:"slots"`
}

// Decode returns the layout that value encodes.
func Decode(value []byte) (*Layout, error) {
	l := &Layout{}
	if err := json.Unmarshal(value, l); err != nil {
		return nil, Error.Wrap(err)
	}
	return l, nil
}

// Encode returns the layout's encoding.
func (l *Layout) Encode() ([]byte, error) {
	value, err := json.Marshal(l)
	return value, Error.Wrap(err)
}

// Clone returns a copy with the epoch raised.
func (l *Layout) Clone() *Layout {
	next := *l
	next.Epoch++
	next.Slots = slices.Clone(l.Slots)
	return &next
}

// Disks returns the disks that hold slots, in the order of the slots.
func (l *Layout) Disks() []Disk {
	disks := make([]Disk, 0, l.OccupiedSlots())
	for _, slot := range l.Slots {
		if !slot.Vacant {
			disks = append(disks, slot.Disk)
		}
	}
	return disks
}

// OccupiedSlots returns the number of slots that have a disk. Each write asks for it, so it makes no list.
func (l *Layout) OccupiedSlots() int {
	n := 0
	for i := range l.Slots {
		if !l.Slots[i].Vacant {
			n++
		}
	}
	return n
}

// CanVacate tells whether a slot can be given up: the others that stay must make whole groups.
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

// Quorum is how many slots of a group must hold a record to make it durable, and how many must answer for a
// budget to be known: any two quorums share a slot.
func (l *Layout) Quorum() int { return min(l.Tolerance+1, l.OccupiedSlots()) }

// AbsenceQuorum is how many slots of the whole layout must say that they have no such record for it not to exist.
func (l *Layout) AbsenceQuorum() int { return l.OccupiedSlots() - l.Quorum() + 1 }

// SlotOf returns the slot that a disk holds, or -1.
func (l *Layout) SlotOf(disk string) int {
	return slices.IndexFunc(l.Slots, func(s Slot) bool { return s.Disk.ID == disk })
}

// SlotJoinedBy returns the slot that a disk is taking over, or -1.
func (l *Layout) SlotJoinedBy(disk string) int {
	return slices.IndexFunc(l.Slots, func(s Slot) bool { return s.Joining != nil && s.Joining.ID == disk })
}

// Group returns the slots for a program: 2 x tolerance + 1 of those that are not vacant, picked by rendezvous
// hash, those in data centres not yet picked first. It depends only on the slots and their data centres, not on
// who holds them.
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

// mix spreads the bits of a word (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
