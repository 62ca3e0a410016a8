package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// TestMissingTurns checks that only the latest state of a turn counts, with the disks that hold it, and that turns
// which are stored here are not missing.
func TestMissingTurns(t *testing.T) {
	own := newIndex()
	here := finishedTurn("here", "")
	own.add(&here, positionIn(1), time.Now())
	s := newMissingTurns(own)
	a, b, c := layout.Disk{ID: "a"}, layout.Disk{ID: "b"}, layout.Disk{ID: "c"}
	s.add(a, []TurnState{{"here", turn.Finished}, {"both", turn.Finished}, {"later", turn.Reserved}})
	s.add(b, []TurnState{{"both", turn.Finished}, {"later", turn.Finished}})
	s.add(c, []TurnState{{"later", turn.Reserved}})
	assert.DeepEqual(t, s.heldBy(a), []string{"both"})
	assert.DeepEqual(t, s.heldBy(b), []string{"both", "later"})
	assert.Equal(t, len(s.heldBy(c)), 0)
	s.remove(s.heldBy(a))
	assert.DeepEqual(t, s.heldBy(b), []string{"later"})
	assert.Equal(t, s.len(), 1)
}

// TestPullPages checks that large records arrive exactly once over several pages, and that missing ones are skipped.
func TestPullPages(t *testing.T) {
	s := openStore(t, t.TempDir())
	self := s.Self()
	s.UpdateLayout(layoutOf(1, append(otherDisks(), self)...))
	var ids []string
	for i := range 20 {
		r := finishedTurn(fmt.Sprint("t", i), "")
		r.Input = make([]byte, 50<<10)
		assert.Equal(t, writeRecord(t, s, self.ID, 1, r).Header.Status, OK)
		ids = append(ids, r.ID, fmt.Sprint("gone", i))
	}
	var pulled []string
	pages := 0
	for left := ids; len(left) > 0; pages++ {
		var page PullReply
		assert.NilError(t, NewService(s).Pull(&PullArgs{Target: Target{Disk: self.ID, Epoch: 1}, IDs: left}, &page))
		assert.Equal(t, page.Header.Status, OK)
		size := 0
		for _, r := range page.Records {
			pulled = append(pulled, r.ID)
			size += len(r.Input)
		}
		assert.Assert(t, size <= pullPageBytes+50<<10, "%d bytes in a page", size)
		left = left[page.Next:]
	}
	assert.Assert(t, pages > 3, "%d pages", pages)
	slices.Sort(pulled)
	assert.Equal(t, len(slices.Compact(pulled)), 20)
	assert.Equal(t, len(pulled), 20)
}
