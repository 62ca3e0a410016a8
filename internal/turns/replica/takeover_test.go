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

// TestShortfall: the latest state of a turn counts, and only those disks that have it so; what is here already is not lacked.
func TestShortfall(t *testing.T) {
	own := newIndex()
	here := turnRecord("here", "")
	own.add(&here, position(1), time.Now())
	s := newShortfall(own)
	a, b, c := layout.Disk{ID: "a"}, layout.Disk{ID: "b"}, layout.Disk{ID: "c"}
	s.add(a, []TurnState{{"here", turn.Finished}, {"both", turn.Finished}, {"later", turn.Reserved}})
	s.add(b, []TurnState{{"both", turn.Finished}, {"later", turn.Finished}})
	s.add(c, []TurnState{{"later", turn.Reserved}})
	assert.DeepEqual(t, s.at(a), []string{"both"})
	assert.DeepEqual(t, s.at(b), []string{"both", "later"})
	assert.Equal(t, len(s.at(c)), 0)
	s.remove(s.at(a))
	assert.DeepEqual(t, s.at(b), []string{"later"})
	assert.Equal(t, s.len(), 1)
}

// TestPulledInPages: every record comes once, however large they are together; those that are gone are passed over.
func TestPulledInPages(t *testing.T) {
	s := openStore(t, t.TempDir())
	self := s.Self()
	s.UpdateLayout(formed(1, append(others(), self)...))
	var ids []string
	for i := range 20 {
		r := turnRecord(fmt.Sprint("t", i), "")
		r.Input = make([]byte, 50<<10)
		assert.Equal(t, write(t, s, self.ID, 1, r).Header.Status, OK)
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
		assert.Assert(t, size <= pullBytes+50<<10, "%d bytes in a page", size)
		left = left[page.Next:]
	}
	assert.Assert(t, pages > 3, "%d pages", pages)
	slices.Sort(pulled)
	assert.Equal(t, len(slices.Compact(pulled)), 20)
	assert.Equal(t, len(pulled), 20)
}
