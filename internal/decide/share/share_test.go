package share_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/rookpass/rookpass/internal/decide/share"
)

func TestSlotsOfOneLevel(t *testing.T) {
	for _, c := range []struct {
		slots, own, others int
		want               float64
	}{
		{16, 5, 0, 5}, {16, 10, 10, 10}, {16, 20, 20, 10}, {16, 1, 999, 0.02}, {0, 3, 0, 0}, {160, 100, 300, 50},
	} {
		got := share.Slots(c.slots, share.Demand{0: c.own}, share.Demand{0: c.others})
		assert.Assert(t, got > c.want-1e-9 && got < c.want+1e-9, "%+v: %v", c, got)
	}
}

// TestUrgentLevelsComeFirst guards against less urgent calls at one daemon taking slots from urgent ones at another.
func TestUrgentLevelsComeFirst(t *testing.T) {
	urgentDaemon, otherDaemon := share.Demand{0: 30}, share.Demand{2: 300}
	assert.Equal(t, share.Slots(40, urgentDaemon, otherDaemon), 30.0)
	assert.Equal(t, share.Slots(40, otherDaemon, urgentDaemon), 10.0)
	assert.Equal(t, share.Slots(20, otherDaemon, urgentDaemon), 0.0)
}

// TestLevelWithoutCallsChangesNothing checks that a level that nobody uses leaves the share as it is without levels.
func TestLevelWithoutCallsChangesNothing(t *testing.T) {
	assert.Equal(t, share.Slots(16, share.Demand{0: 0, 4: 20}, share.Demand{1: 0, 4: 20}), 10.0)
}

// TestSharesFitSlots checks that the shares of daemons that know of one another fill the slots if there is enough demand,
// and exceed the overcommitted slots never.
func TestSharesFitSlots(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 500).Draw(r, "slots")
		daemons := rapid.SliceOfN(rapid.MapOfN(rapid.IntRange(0, 5), rapid.IntRange(0, 50), 1, 4), 1, 60).Draw(r, "demand")
		all := share.Demand{}
		for _, d := range daemons {
			for level, n := range d {
				all[level] += n
			}
		}
		sum := 0.0
		for _, d := range daemons {
			others := share.Demand{}
			for level, n := range all {
				others[level] = n - d[level]
			}
			part := share.Slots(slots, d, others)
			if part > float64(share.Demand(d).Total())+1e-9 {
				r.Fatalf("a share of %v for %v", part, d)
			}
			sum += part
		}
		if least := min(float64(slots), float64(all.Total())); sum < least-1e-6 || sum > 1.25*float64(slots)+1e-6 {
			r.Fatalf("shares of %d slots add up to %v, at least %v are wanted", slots, sum, least)
		}
	})
}
