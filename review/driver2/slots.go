package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// manyPrograms have a first turn each, of inputBytes, so that the copy of a disk takes some time.
	manyPrograms = 600
	inputBytes   = 20 << 10
	workers      = 32
	// slotSyncTime is sync_s of this deployment, fillTime bounds the time until both VMs have said that their slots are filled.
	slotSyncTime = 6 * time.Second
	fillTime     = 40 * time.Second
)

// manyTurns has programs take a first turn each, side by side.
func manyTurns(s *system) []*turn {
	var mu sync.Mutex
	var turns []*turn
	var next atomic.Int64
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			c := newCaller(s)
			c.next = w
			for i := next.Add(1); i <= manyPrograms; i = next.Add(1) {
				program := fmt.Sprintf("m%03d", i)
				if _, t := c.retry(program, "["+program+strings.Repeat(" first", inputBytes/6)+"]", nil, budget, 5*time.Second); t != nil {
					mu.Lock()
					turns = append(turns, t)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	s.record.say("%d of %d first turns were answered whole", len(turns), manyPrograms)
	return turns
}

// storedLayout is what the platform's store sees of a layout.
type storedLayout struct {
	Spec struct {
		Epoch int `json:"epoch"`
		Slots []struct {
			Disk struct {
				ID   string `json:"id"`
				Node string `json:"node"`
			} `json:"disk"`
			Joining *struct{} `json:"joining"`
		} `json:"slots"`
	} `json:"spec"`
}

// watchFills returns a channel that is closed once each of some VMs has written a layout, which was acknowledged, that says that it holds
// its slot alone.
func watchFills(s *system, vms ...*machine) <-chan struct{} {
	both := make(chan struct{})
	var mu sync.Mutex
	filled := map[string]bool{}
	s.onLayout = func(from *machine, body []byte) {
		var l storedLayout
		if err := json.Unmarshal(body, &l); err != nil {
			return
		}
		var slots []string
		own := false
		for _, slot := range l.Spec.Slots {
			state := slot.Disk.Node + " " + slot.Disk.ID
			if slot.Joining != nil {
				state += " being taken over"
			} else if slot.Disk.Node == from.node {
				own = true
			}
			slots = append(slots, state)
		}
		s.record.add("layout   epoch %d written by %s: %s", l.Spec.Epoch, from.node, strings.Join(slots, ", "))
		mu.Lock()
		defer mu.Unlock()
		for _, vm := range vms {
			if vm == from && own && !filled[from.node] {
				filled[from.node] = true
				if len(filled) == len(vms) {
					close(both)
				}
			}
		}
	}
	return both
}

// loseDisks lets several VMs lose their disks at one moment.
func loseDisks(down time.Duration, vms ...*machine) error {
	errs := make([]error, len(vms))
	var wg sync.WaitGroup
	for i, vm := range vms {
		wg.Go(func() { errs[i] = vm.loseDisk(down) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// twoSlotsFilled has two disks lost at one moment, as many as are tolerated. Directly after both VMs have had it acknowledged that their
// slots are filled again, two other disks are lost while all other machines lose power. With TROUBLE=final there is only that last fault.
func twoSlotsFilled(s *system, trouble bool) (bool, error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	if err := s.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	turns := manyTurns(s)
	if len(turns) < manyPrograms/4 {
		return false, fmt.Errorf("too few turns were answered")
	}
	stores := s.stores()
	if trouble && os.Getenv("TROUBLE") != "final" {
		both := watchFills(s, stores[0], stores[1])
		if err := loseDisks(2*time.Second, stores[0], stores[1]); err != nil {
			return false, err
		}
		back := time.Now()
		select {
		case <-both:
			s.record.say("both slots are filled, says a write that was acknowledged %.1f s after the VMs were back", time.Since(back).Seconds())
			if time.Since(back) < slotSyncTime {
				return false, fmt.Errorf("the copy was too fast on this machine: the VMs still count as lost")
			}
		case <-time.After(fillTime):
			return false, fmt.Errorf("the slots were not filled within %v", fillTime)
		}
	}
	if trouble {
		if err := finalFault(s, stores[2], stores[3]); err != nil {
			return false, err
		}
	}
	time.Sleep(recoveryTime)
	return underAQuarter(s, turns), nil
}

// finalFault lets some VMs lose their disks while all other machines lose power. All are back after a second.
func finalFault(s *system, lost ...*machine) error {
	var wg sync.WaitGroup
	for _, m := range s.machines {
		wg.Go(m.kill)
	}
	wg.Wait()
	for _, m := range lost {
		s.record.say("disk of %s is lost", m.node)
		if err := os.RemoveAll(m.dataDir()); err != nil {
			return err
		}
	}
	s.record.say("all machines have lost power")
	time.Sleep(time.Second)
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	s.record.say("all machines are back")
	return nil
}

// underAQuarter sends first turns, and turns that go on from kept ones, and reports whether under a quarter is served.
func underAQuarter(s *system, turns []*turn) bool {
	c := newCaller(s)
	asked, served := 0, 0
	for i := range programs {
		for _, previous := range []*turn{nil, turns[i]} {
			program := fmt.Sprintf("n%02d", i)
			if previous != nil {
				program = previous.program
			}
			asked++
			if a := c.attempt(program, "["+program+" next]", previous, budget); a.status == 200 {
				served++
			}
		}
	}
	s.record.say("of the requests sent over %.0f s after the machines were back %d of %d were served", recoveryTime.Seconds(), served, asked)
	return served*4 < asked
}
