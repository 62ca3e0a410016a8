package main

import (
	"fmt"
	"net/http"
	"os"
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
