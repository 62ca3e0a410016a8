package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// holdersOf returns the nodes whose disks hold a turn's finished record.
func (c *cluster) holdersOf(program, id string) []string {
	var holders []string
	for i := range 64 {
		d := c.nodes[nodeName(i)]
		if d == nil {
			continue
		}
		for _, e := range d.store.Turns(program) {
			if e.ID == id && e.State == turn.Finished {
				holders = append(holders, nodeName(i))
			}
		}
	}
	return holders
}

// regionalLedger returns a ledger on a host in region a, which has the nodes with even numbers.
func (c *cluster) regionalLedger(host string, disks int) *ledger.Ledger {
	regions := map[string]string{host: "a"}
	for i := range disks {
		regions[nodeName(i)] = []string{"a", "b"}[i%2]
	}
	l := ledger.New(peerlink.NewPool(dialFrom(c.fabric, host)), place.Topology{DataCentre: host, Regions: regions}, 1, c.log)
	l.UpdateLayout(c.layout())
	c.t.Cleanup(func() { assert.NilError(c.t, l.Flush(contextWithTimeout(c.t, time.Minute))) })
	return l
}

// TestFinishedTurnsGoToNearestQuorum guards against finished turns that are sent to more or farther disks than needed.
func TestFinishedTurnsGoToNearestQuorum(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		const disks = 10
		c := newCluster(t, disks, 2)
		l := c.regionalLedger("front-1", disks)
		finishTurns(t, l, programCount)
		assert.NilError(t, l.Flush(contextWithTimeout(t, time.Minute)))
		for i := range programCount {
			program := fmt.Sprint("p", i)
			inRegion := 0
			for _, slot := range c.layout().Group(program) {
				var n int
				_, err := fmt.Sscanf(c.layout().Slots[slot].Disk.Node, "store-%d", &n)
				assert.NilError(t, err)
				inRegion += 1 - n%2
			}
			holders := c.holdersOf(program, program+"-a")
			assert.Equal(t, len(holders), 3, "%v", holders)
			near := 0
			for _, holder := range holders {
				var n int
				_, err := fmt.Sscanf(holder, "store-%d", &n)
				assert.NilError(t, err)
				near += 1 - n%2
			}
			assert.Equal(t, near, min(3, inRegion), "%v", holders)
		}
		checkTurns(t, c.regionalLedger("front-2", disks), programCount)
	})
}

// TestFallbackDisksReplaceUnresponsiveDisk checks that an unresponsive disk delays one turn only by fallbackDelay, and
// later turns not at all.
func TestFallbackDisksReplaceUnresponsiveDisk(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 5, 2)
		l := c.ledger("front-1")
		assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), finishedTurn("p", "first", "", "first")))
		unresponsive := c.holdersOf("p", "first")[0]
		c.fabric.Freeze(unresponsive)
		defer c.fabric.Thaw(unresponsive)
		began := time.Now()
		assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), finishedTurn("p", "second", "first", "second")))
		assert.Assert(t, time.Since(began) <= 150*time.Millisecond, "%v", time.Since(began))
		time.Sleep(time.Second) // the call to the unresponsive disk has ended
		began = time.Now()
		assert.NilError(t, l.Finish(contextWithTimeout(t, time.Second), finishedTurn("p", "third", "second", "third")))
		assert.Assert(t, time.Since(began) <= 50*time.Millisecond, "%v", time.Since(began))
		assert.Assert(t, len(c.holdersOf("p", "third")) >= 3)
	})
}

// TestTurnsSurviveLossOfTwoOfThreeDisks checks every pair of the three disks that hold a turn.
func TestTurnsSurviveLossOfTwoOfThreeDisks(t *testing.T) {
	for _, survivor := range []int{0, 1, 2} {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, 7, 2)
			finishTurns(t, c.ledger("front-1"), programCount)
			assert.NilError(t, c.ledger("front-1").Flush(contextWithTimeout(t, time.Minute)))
			holders := c.holdersOf("p1", "p1-b")
			assert.Equal(t, len(holders), 3)
			for i, holder := range holders {
				if i != survivor {
					c.wipe(holder)
				}
			}
			for i, holder := range holders {
				if i != survivor {
					c.start(holder, false)
				}
			}
			c.awaitAllSlotsHeld()
			checkTurns(t, c.ledger("front-2"), programCount)
			// The copies are restored: two more disks may be lost.
			again := c.holdersOf("p1", "p1-b")
			assert.Assert(t, len(again) >= 3, "%v", again)
		})
	}
}
