package ledger_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/turns/layout"

	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/turns/ledger"
)

// TestTwoDisksLostAtOnce: with a tolerance of two, both come back empty, refill at the same time, and then two
// others are away.
func TestTwoDisksLostAtOnce(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 8, 2)
		keep(t, c.ledger("front-1"), programs)
		c.wipe(node(1))
		c.wipe(node(6))
		c.start(node(1), false)
		c.start(node(6), false)
		c.settled()
		c.kill(node(0))
		c.kill(node(4))
		check(t, c.ledger("front-2"), programs)
	})
}

// TestRandomLosses: disks are lost, killed, cut off, replaced and added in a random order, never more at once
// than is borne; turns are kept meanwhile. At the end every turn that was acknowledged is there.
func TestRandomLosses(t *testing.T) {
	for seed := range uint64(25) {
		size := []struct{ disks, tolerance int }{{3, 1}, {4, 1}, {7, 2}, {6, 1}, {8, 2}}[seed%5]
		t.Run(fmt.Sprint("seed ", seed, " ", size), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) { randomLosses(t, seed, size.disks, size.tolerance) })
		})
	}
}

func randomLosses(t *testing.T, seed uint64, disks, tolerance int) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, disks, tolerance)
	l := c.ledger("front-1")
	spares, kept := 0, map[string]string{}
	for step := range 8 {
		strike(c, r, r.IntN(tolerance)+1, &spares)
		for i := range 3 {
			id := fmt.Sprintf("p%d-%d", step, i)
			// A turn that is refused or unsure is no loss; one that was acknowledged must stay.
			if err := l.Finish(within(t, 5*time.Second), finished(id, id, "", id)); err == nil {
				kept[id] = "in " + id + "|out " + id + "\n"
			}
		}
		c.settled()
	}
	assert.Assert(t, len(kept) >= 20, "%d of 24 turns were kept", len(kept))
	reader := c.ledger("front-2")
	for id, text := range kept {
		assert.Equal(t, texts(t, reader, id, id), text)
	}
	_, err := reader.Chain(within(t, time.Second), "p", "nowhere")
	assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
}

// strike lets something happen to up to count holders of slots.
func strike(c *cluster, r *rand.Rand, count int, spares *int) {
	var holders []string
	for name := range c.holders() {
		holders = append(holders, name)
	}
	slices.Sort(holders)
	r.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, name := range holders[:count] {
		switch r.IntN(5) {
		case 0: // killed and back with its disk
			c.kill(name)
			c.start(name, false)
		case 1: // back with an empty disk
			c.wipe(name)
			c.start(name, false)
		case 2: // gone for good; another VM comes
			c.wipe(name)
			*spares++
			c.start(fmt.Sprint("spare-", *spares), false)
		case 3: // cut off from the front
			c.fabric.Partition("front-1", name)
			time.Sleep(time.Second)
			c.fabric.Heal("front-1", name)
		case 4: // emptied, then gone for good
			if c.mayLeave(name) {
				c.retire(name)
				c.eventually(func() bool { return c.told(name) == "done" })
				c.wipe(name)
			}
		}
	}
}

// mayLeave tells whether a holder of a slot can be emptied without a spare.
func (c *cluster) mayLeave(name string) bool {
	l := c.current()
	return l.CanVacate(slices.IndexFunc(l.Slots, func(s layout.Slot) bool { return s.Disk.Node == name }))
}
