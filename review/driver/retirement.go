package main

import (
	"os"
	"strings"
	"time"
)

const (
	// retiredStore is the machine that is to be emptied, lostStore the one whose disk is lost at the end.
	retiredStore = "store-hall-a-1"
	lostStore    = "store-hall-b-1"
	// retireAfter is how long after the loss of power the retirement is asked for.
	retireAfter = time.Second
	// retireTime is the duration_s of the retirement.
	retireTime = 8 * time.Second
)

// andsRookpass has the zones, the tolerance and the bounds of sites/ands-rookpass.toml.
var andsRookpass = deployment{region: "dakar", zones: []string{"hall-a", "hall-b", "hall-c"}, storesPerZone: 1, toleratedMachines: 1,
	lead: 10 * time.Second, syncTime: 4300 * time.Millisecond, contactTime: 3 * time.Second, recoveryTime: 12 * time.Second}

// playRetirement: a store machine loses its disk, is asked to be emptied, and is taken away once it has said that it is
// empty. Later another one loses its disk.
func (c *setting) playRetirement(trouble, binary, dir string) int {
	if err := c.start(andsRookpass, binary, dir); err != nil {
		return c.notRun("%v", err)
	}
	before := c.runPrograms("3a")
	if status := c.retire(trouble == "1"); status != statusHeld {
		return status
	}
	retired := time.Now()
	programs := append(before, c.runPrograms("3b")...)
	c.servedBefore = float64(len(programs)) / (2 * programCount)
	// Until the machine that lost its disk no longer counts as lost.
	time.Sleep(time.Until(retired.Add(c.system.syncTime + c.system.contactTime + time.Second)))
	if trouble != "0" {
		if err := c.loseDisks(lostStore); err != nil {
			return c.notRun("%v", err)
		}
	}
	return c.checkService(programs)
}

// retire asks for the retirement of a store machine, which has just lost its disk if loss is set, and takes it away once
// the retirement is completed.
func (c *setting) retire(loss bool) int {
	m := c.system.machine(retiredStore)
	if loss {
		if err := c.system.loseDisk(m); err != nil {
			return c.notRun("%v", err)
		}
	}
	time.Sleep(retireAfter)
	c.record.event("operator writes retirements/%s, duration_s %.0f", m.name, retireTime.Seconds())
	c.system.store.Set("retirements", m.name, map[string]any{"duration_s": retireTime.Seconds()})
	asked := time.Now()
	time.Sleep(downTime - retireAfter)
	if loss {
		if err := c.system.start(m); err != nil {
			return c.notRun("%v", err)
		}
	}
	for !strings.Contains(c.system.store.Status("retirements", m.name), "completed") {
		if time.Since(asked) > retireTime {
			// The machine stays: it has not said that it is empty.
			c.record.event("%s has not completed its retirement in time: %s", m.name, c.system.store.Status("retirements", m.name))
			return statusHeld
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.record.event("the status of the retirement is completed after %.1f s; the platform removes %s", time.Since(asked).Seconds(), m.name)
	c.system.kill(m)
	if err := os.RemoveAll(m.dataDir()); err != nil {
		return c.notRun("%v", err)
	}
	return statusHeld
}
