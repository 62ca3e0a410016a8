package layout_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rookpass/rookpass/internal/turns/layout"
)

func drawLayout(t *rapid.T) *layout.Layout {
	l := &layout.Layout{Tolerance: rapid.IntRange(0, 3).Draw(t, "tolerance")}
	zones := rapid.IntRange(1, 6).Draw(t, "data centres")
	for i := range rapid.IntRange(1, 14).Draw(t, "slots") {
		l.Slots = append(l.Slots, layout.Slot{DataCentre: fmt.Sprint(rapid.IntRange(0, zones-1).Draw(t, "data centre")),
			Disk: layout.Disk{ID: fmt.Sprint(i)}})
	}
	return l
}

// TestQuorumsIntersect checks that two quorums of a group share a slot, and so do a quorum and an absence quorum of the
// whole layout.
func TestQuorumsIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t)
		for i := range l.Slots {
			l.Slots[i].Vacant = l.CanVacate(i) && rapid.Bool().Draw(t, "vacant")
		}
		group := l.Group(rapid.String().Draw(t, "program"))
		assert.Equal(t, len(group), min(2*l.Tolerance+1, l.OccupiedSlots()))
		for _, slot := range group {
			assert.Assert(t, !l.Slots[slot].Vacant)
		}
		assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(group)))), len(group))
		assert.Assert(t, 2*l.Quorum() > len(group))
		assert.Assert(t, l.Quorum()+l.AbsenceQuorum() > l.OccupiedSlots())
	})
}

// TestVacatedSlotLeavesOtherGroupMembers checks that a vacated slot is only replaced in its groups, so that a quorum of
// the remaining slots is a quorum of the new group.
func TestVacatedSlotLeavesOtherGroupMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t)
		slot := rapid.IntRange(0, len(l.Slots)-1).Draw(t, "slot")
		if !l.CanVacate(slot) {
			t.Skip("too few slots")
		}
		program := rapid.String().Draw(t, "program")
		before := l.Group(program)
		l.Slots[slot].Vacant = true
		after := l.Group(program)
		remaining := slices.DeleteFunc(slices.Clone(before), func(s int) bool { return s == slot })
		for _, s := range remaining {
			assert.Assert(t, slices.Contains(after, s), "slot %d left the group %v, now %v, with slot %d", s, before, after, slot)
		}
	})
}

// TestGroupsAreStableWhenDisksChange checks that a group depends on slots, not on the disks that hold them.
func TestGroupsAreStableWhenDisksChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLayout(t)
		program := rapid.String().Draw(t, "program")
		next := l.Clone()
		next.Slots[0].Disk = layout.Disk{ID: "new", DataCentre: "elsewhere"}
		assert.DeepEqual(t, l.Group(program), next.Group(program))
		assert.Equal(t, next.Epoch, l.Epoch+1)
	})
}

// TestGroupsSpreadOverDataCentres guards against a data centre that holds a quorum of a group where it could be
// avoided.
func TestGroupsSpreadOverDataCentres(t *testing.T) {
	l := &layout.Layout{Tolerance: 2}
	for i := range 10 {
		l.Slots = append(l.Slots, layout.Slot{DataCentre: fmt.Sprint(i / 2)})
	}
	used := map[int]int{}
	for p := range 500 {
		zones := map[string]int{}
		for _, slot := range l.Group(fmt.Sprint("program", p)) {
			zones[l.Slots[slot].DataCentre]++
			used[slot]++
		}
		assert.Equal(t, len(zones), 5)
	}
	for slot, n := range used {
		assert.Assert(t, n > 170 && n < 330, "slot %d is in %d of 500 groups; 250 would be even", slot, n)
	}
}
