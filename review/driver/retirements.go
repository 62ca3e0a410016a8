package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// keptPrograms is the number of programs that have a turn before the final fault.
	keptPrograms = 600
	// concurrentTurns bounds the turns that are sent at the same time.
	concurrentTurns = 12
	// retirementWait is the time from the request of the retirements to the first turns that are checked.
	retirementWait = 4 * time.Second
)

// jornada has the zones, the machines with a disk, the tolerance and the bounds of further-grown/jornada-obra-grown.toml,
// with one front in a zone.
var jornada = deployment{region: "cr-central", zones: []string{"cr-central-a", "cr-central-b", "cr-central-c"}, storesPerZone: 3, toleratedMachines: 2,
	lead: 14 * time.Second, syncTime: 6 * time.Second, contactTime: 4 * time.Second, recoveryTime: 15 * time.Second}

var (
	// emptiedStores are the machines that are to be emptied, one in each zone.
	emptiedStores = []string{"store-cr-central-a-1", "store-cr-central-b-1", "store-cr-central-c-1"}
	// lostStores are as many others as fault_tolerance permits to lose.
	lostStores = []string{"store-cr-central-a-2", "store-cr-central-b-2"}
)

// playRetirements: three store machines are asked to be emptied at the same time. Then two of the others, as many as the
// deployment tolerates, lose their disks.
func (c *setting) playRetirements(trouble, binary, dir string) int {
	if err := c.start(jornada, binary, dir); err != nil {
		return c.notRun("%v", err)
	}
	c.keepTurns("3a")
	if trouble == "1" || trouble == "retire" {
		for _, name := range emptiedStores {
			c.record.event("operator writes retirements/%s, duration_s %.0f", name, retireTime.Seconds())
			c.system.store.Set("retirements", name, map[string]any{"duration_s": retireTime.Seconds()})
		}
	}
	time.Sleep(retirementWait)
	programs := c.keepTurns("3b")
	if len(programs) < keptPrograms*9/10 {
		return c.notRun("only %d of %d programs had their turn answered before the final fault", len(programs), keptPrograms)
	}
	if trouble == "1" || trouble == "final" {
		if err := c.loseDisks(lostStores...); err != nil {
			return c.notRun("%v", err)
		}
	}
	time.Sleep(c.system.syncTime + c.system.contactTime)
	return c.checkKept(programs)
}

// forEach calls do for the numbers below n, several at the same time.
func forEach(n int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range concurrentTurns {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wg.Wait()
}

// keepTurns runs one turn of each of many programs, and returns those whose turn was answered whole.
func (c *setting) keepTurns(prefix string) []program {
	all := make([]program, keptPrograms)
	forEach(keptPrograms, func(i int) {
		all[i].name = fmt.Sprintf("%s%06x", prefix, 0xfa8100+i)
		if last, whole := c.completeTurn(all[i], i); whole {
			all[i].last = last
		}
	})
	var done []program
	for _, p := range all {
		if p.last != "" {
			done = append(done, p)
		}
	}
	c.record.event("%d of %d programs have a turn that was answered whole", len(done), keptPrograms)
	return done
}

// checkKept checks the rule LOST: a turn that goes on from a turn that was answered whole less than retain_s ago must not
// get 404 or 410.
func (c *setting) checkKept(programs []program) int {
	var denied, served atomic.Int64
	forEach(len(programs), func(i int) {
		p := programs[i]
		t := c.client.newTurn(p.name, p.last)
		a := c.client.send(t, i+1)
		switch {
		case a.status == 404 || a.status == 410:
			denied.Add(1)
			c.record.event("turn %s after %s, which was answered whole, gets %d", t.id, p.last, a.status)
		case a.whole:
			served.Add(1)
		}
	})
	c.record.event("%d turns went on from turns that were answered whole: %d served, %d got 404 or 410", len(programs), served.Load(), denied.Load())
	if denied.Load() > 0 {
		c.record.event("LOST is broken")
		return statusBroken
	}
	c.record.event("LOST holds")
	return statusHeld
}
