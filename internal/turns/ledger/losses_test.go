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
		finishTurns(t, c.ledger("front-1"), programCount)
		c.wipe(nodeName(1))
		c.wipe(nodeName(6))
		c.start(nodeName(1), false)
		c.start(nodeName(6), false)
		c.awaitAllSlotsHeld()
		c.kill(nodeName(0))
		c.kill(nodeName(4))
		checkTurns(t, c.ledger("front-2"), programCount)
	})
}

// TestRandomFaults: disks are lost, killed, cut off, replaced and added in a random order, never more at once
// than is borne; turns are kept meanwhile. At the end every turn that was acknowledged is there.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(25) {
		size := []struct{ disks, tolerance int }{{3, 1}, {4, 1}, {7, 2}, {6, 1}, {8, 2}}[seed%5]
		t.Run(fmt.Sprint("seed ", seed, " ", size), func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) { runRandomFaults(t, seed, size.disks, size.tolerance) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64, disks, tolerance int) {
	r := rand.New(rand.NewPCG(seed, 3))
	c := newCluster(t, disks, tolerance)
	l := c.ledger("front-1")
	spares, acknowledged := 0, map[string]string{}
	for step := range 8 {
		injectFaults(c, r, r.IntN(tolerance)+1, &spares)
		for i := range 3 {
			id := fmt.Sprintf("p%d-%d", step, i)
			// A turn that is refused or unsure is no loss; one that was acknowledged must stay.
			if err := l.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn(id, id, "", id)); err == nil {
				acknowledged[id] = "in " + id + "|out " + id + "\n"
			}
		}
		c.awaitAllSlotsHeld()
	}
	assert.Assert(t, len(acknowledged) >= 20, "%d of 24 turns were kept", len(acknowledged))
	reader := c.ledger("front-2")
	for id, text := range acknowledged {
		assert.Equal(t, chainText(t, reader, id, id), text)
	}
	_, err := reader.Chain(contextWithTimeout(t, time.Second), "p", "nowhere")
	assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
}

// injectFaults lets something happen to up to count holders of slots.
func injectFaults(c *cluster, r *rand.Rand, count int, spares *int) {
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
			if c.canVacate(name) {
				c.retire(name)
				c.waitUntil(func() bool { return c.retirementState(name) == "done" })
				c.wipe(name)
			}
		}
	}
}

// canVacate tells whether a holder of a slot can be emptied without a spare.
func (c *cluster) canVacate(name string) bool {
	l := c.layout()
	return l.CanVacate(slices.IndexFunc(l.Slots, func(s layout.Slot) bool { return s.Disk.Node == name }))
}
