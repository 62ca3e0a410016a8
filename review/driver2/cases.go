package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// readyLimit bounds the time until all front daemons are ready, traffic starts after leadTime at the earliest.
	readyLimit = 30 * time.Second
	leadTime   = 10 * time.Second
	// recoveryTime is recovery_s, syncTime sync_s, retention retain_s of the settings and the configuration.
	recoveryTime = 12 * time.Second
	syncTime     = 5 * time.Second
	retention    = 60 * time.Second
	// retireTime is the duration_s of a retirement.
	retireTime = 9 * time.Second
	// programs is the number of programs of a case, budget the token budget of each.
	programs = 24
	budget   = 1000
)

// firstTurns has programs take one turn each and returns those that were answered whole.
func firstTurns(c *caller, name string) []*turn {
	var turns []*turn
	for i := range programs {
		program := fmt.Sprintf("%s%02d", name, i)
		_, t := c.retry(program, "["+program+" first]", nil, budget, 5*time.Second)
		if t != nil {
			turns = append(turns, t)
		}
	}
	c.record.say("%d of %d first turns were answered whole", len(turns), programs)
	return turns
}

// continueTurns continues each turn once, for up to recoveryTime all together, and reports how many were answered with 404 or 410
// within their retention, were served, or neither.
func continueTurns(c *caller, turns []*turn) (denied, served, open int) {
	until := time.Now().Add(recoveryTime)
	for _, t := range turns {
		limit := max(time.Until(until), 400*time.Millisecond)
		sent := time.Now()
		a, next := c.retry(t.program, "["+t.program+" next]", t, budget, limit)
		switch {
		case next != nil:
			served++
		case (a.status == http.StatusNotFound || a.status == http.StatusGone) && sent.Sub(t.answered) < retention:
			denied++
			c.record.add("LOST     turn %s was answered whole %.1f s before %s got status %d", t.id, sent.Sub(t.answered).Seconds(), a.id, a.status)
		default:
			open++
		}
	}
	c.record.say("of %d turns %d were continued, %d got 404 or 410, %d neither", len(turns), served, denied, open)
	return denied, served, open
}

// firstStart starts the whole system for the first time while the platform's store turns two of six VMs away. Later a disk is lost.
// With TROUBLE=disk the store turns nobody away.
func firstStart(s *system, trouble bool) (bool, error) {
	turnedAway := s.stores()[1:]
	if trouble && os.Getenv("TROUBLE") != "disk" {
		for _, m := range turnedAway {
			m.refused.Store(true)
			s.record.say("the platform's store turns %s away", m.node)
		}
	}
	if err := s.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	time.Sleep(4500 * time.Millisecond)
	for _, m := range turnedAway {
		m.refused.Store(false)
	}
	s.record.say("the platform's store serves all VMs")
	if err := s.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	c := newCaller(s)
	turns := firstTurns(c, "a")
	if len(turns) == 0 {
		return false, fmt.Errorf("no turn was answered")
	}
	if trouble {
		if err := s.stores()[0].loseDisk(2 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(syncTime)
	c.next++ // the lines of turns arrive through another zone
	denied, _, _ := continueTurns(c, turns)
	return denied > 0, nil
}

// finalSpan is the time behind recoveryTime up to the end of a case, minTries how many tries of a turn count.
const (
	finalSpan = 4 * time.Second
	minTries  = 5
)

// tryTurns tries all turns side by side, from the return of the VMs until finalSpan behind recoveryTime, and returns how many of
// them reached a server, and how many reached none in minTries or more.
func tryTurns(s *system, turns []*turn) (reached, unreached int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	until := time.Now().Add(recoveryTime + finalSpan)
	for _, t := range turns {
		wg.Go(func() {
			c, tries := newCaller(s), 0
			for ; time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
				tries++
				if a := c.attempt(t.program, "["+t.program+" next]", t, budget); s.ran(a.id) {
					mu.Lock()
					defer mu.Unlock()
					reached++
					return
				}
			}
			mu.Lock()
			defer mu.Unlock()
			if tries >= minTries {
				unreached++
				s.record.add("LOST     a turn that goes on from %s, answered whole %.1f s ago, reached no server in %d tries", t.id, time.Since(t.answered).Seconds(), tries)
			}
		})
	}
	wg.Wait()
	s.record.say("up to %.0f s after the VMs were back, of %d turns that go on from kept ones %d reached a server, %d reached none in %d tries or more",
		(recoveryTime + finalSpan).Seconds(), len(turns), reached, unreached, minTries)
	return reached, unreached
}

// retireLostDisk asks for the retirement of a VM whose disk has just been lost. Once the system says that it is completed, the VM is
// removed. At the end another disk is lost, right after a configuration was acknowledged.
func retireLostDisk(s *system, trouble bool) (bool, error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	if err := s.awaitReady(readyLimit); err != nil {
		return false, err
	}
	time.Sleep(time.Until(began.Add(leadTime)))
	turns := firstTurns(newCaller(s), "b")
	if len(turns) == 0 {
		return false, fmt.Errorf("no turn was answered")
	}
	retired, second := s.stores()[0], s.stores()[1]
	if trouble {
		asked := time.AfterFunc(time.Second, func() { s.retire(retired) })
		defer asked.Stop()
		if err := retired.loseDisk(2 * time.Second); err != nil {
			return false, err
		}
	} else {
		s.retire(retired)
	}
	completed, limit := time.Time{}, time.Now().Add(retireTime)
	for completed.IsZero() && time.Now().Before(limit) {
		time.Sleep(20 * time.Millisecond)
		if s.store.Status("retirements", retired.node) == `{"state":"completed"}` {
			completed = time.Now()
		}
	}
	if completed.IsZero() {
		s.record.say("the retirement is not completed: status %s", s.store.Status("retirements", retired.node))
	} else {
		s.record.say("the retirement of %s is completed; it is removed", retired.node)
		retired.kill()
	}
	time.Sleep(2 * syncTime) // no disk counts as lost any more
	s.record.say("the operator's next configuration is acknowledged")
	s.store.Set("config", "main", operatorConfig(8))
	if err := second.loseDisk(time.Second); err != nil {
		return false, err
	}
	_, unreached := tryTurns(s, turns)
	return unreached > 0, nil
}

// firstStartKilled kills the processes of all store VMs at one moment, soon after the whole system has started for the first time.
func firstStartKilled(s *system, trouble bool) (bool, error) {
	if err := s.startAll(); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		time.Sleep(time.Second)
		for _, m := range s.stores() {
			s.record.say("%s is killed", m.node)
			m.kill()
		}
		time.Sleep(500 * time.Millisecond)
		for _, m := range s.stores() {
			s.record.say("%s starts again", m.node)
			if err := m.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(began.Add(leadTime + recoveryTime)))
	c := newCaller(s)
	served := 0
	for i := range programs {
		program := fmt.Sprintf("c%02d", i)
		if _, t := c.retry(program, "["+program+" first]", nil, budget, time.Second); t != nil {
			served++
		}
	}
	s.record.say("%d of %d programs were served, from %.0f s after the start on", served, programs, (leadTime + recoveryTime).Seconds())
	return served == 0, nil
}
