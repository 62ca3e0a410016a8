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

// TestTwoDisksLostAtOnce checks, with a tolerance of two, that two disks which come back empty are refilled before two
// others are killed.
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

// TestRandomFaults loses, kills, cuts off, replaces and adds disks in a random order, within the tolerance, while turns
// are written. Every acknowledged turn must be readable at the end.
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
			// Only acknowledged turns must be readable at the end.
			if err := l.Finish(contextWithTimeout(t, 5*time.Second), finishedTurn(id, id, "", id)); err == nil {
				acknowledged[id] = "in " + id + "|out " + id + "\n"
			}
		}
		c.awaitAllSlotsHeld()
	}
	assert.Assert(t, len(acknowledged) >= 20, "only %d of 24 turns were acknowledged", len(acknowledged))
	reader := c.ledger("front-2")
	for id, text := range acknowledged {
		assert.Equal(t, chainText(t, reader, id, id), text)
	}
	_, err := reader.Chain(contextWithTimeout(t, time.Second), "p", "nowhere")
	assert.ErrorIs(t, err, ledger.ErrTurnNotFound)
}

// injectFaults applies a random fault to each of count holders of slots.
func injectFaults(c *cluster, r *rand.Rand, count int, spares *int) {
	var holders []string
	for name := range c.holders() {
		holders = append(holders, name)
	}
	slices.Sort(holders)
	r.Shuffle(len(holders), func(i, j int) { holders[i], holders[j] = holders[j], holders[i] })
	for _, name := range holders[:count] {
		switch r.IntN(5) {
		case 0: // restarted with its disk
			c.kill(name)
			c.start(name, false)
		case 1: // restarted with an empty disk
			c.wipe(name)
			c.start(name, false)
		case 2: // lost and replaced by another VM
			c.wipe(name)
			*spares++
			c.start(fmt.Sprint("spare-", *spares), false)
		case 3: // cut off from the front
			c.fabric.Partition("front-1", name)
			time.Sleep(time.Second)
			c.fabric.Heal("front-1", name)
		case 4: // retired, then lost
			if c.canVacate(name) {
				c.retire(name)
				c.waitUntil(func() bool { return c.retirementState(name) == "done" })
				c.wipe(name)
			}
		}
	}
}

// canVacate reports whether a holder of a slot can be emptied without a spare.
func (c *cluster) canVacate(name string) bool {
	l := c.layout()
	return l.CanVacate(slices.IndexFunc(l.Slots, func(s layout.Slot) bool { return s.Disk.Node == name }))
}
