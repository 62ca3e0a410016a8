package dispatch_test

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/dispatch"
	"github.com/rookpass/rookpass/internal/decide/share"
)

// fleet is a number of daemons that send to engines with the given slots. Each reports its demand every 300 ms and
// learns that of the others as of one report earlier.
type fleet struct {
	daemons []*dispatch.Scheduler
	slots   int
	mu      sync.Mutex
	random  *rand.Rand
	running int
	// served is how many turns of each organisation ended.
	served map[string]int
}

// turnTime is the duration of a turn on engines that are not overloaded.
const turnTime = 370 * time.Millisecond

func newFleet(daemons, slots int) *fleet {
	f := &fleet{slots: slots, random: rand.New(rand.NewPCG(1, 2)), served: map[string]int{}}
	for range daemons {
		f.daemons = append(f.daemons, dispatch.New())
	}
	return f
}

// exchange exchanges the demand of all daemons until stop is closed.
func (f *fleet) exchange(stop <-chan struct{}) {
	before := make([]dispatch.Demand, len(f.daemons))
	for {
		select {
		case <-stop:
			return
		case <-time.After(300 * time.Millisecond):
		}
		all := dispatch.Demand{All: share.Demand{}, Started: share.Demand{}}
		for _, demand := range before {
			add(all, demand, 1)
		}
		for i, d := range f.daemons {
			add(all, before[i], -1)
			d.SetPeerDemand(map[string]dispatch.Demand{"m": {All: maps.Clone(all.All), Started: maps.Clone(all.Started)}})
			add(all, before[i], 1)
		}
		for i, d := range f.daemons {
			before[i] = d.Demand()["m"]
		}
	}
}

// add adds a demand to a sum, or subtracts it if by is -1.
func add(sum, d dispatch.Demand, by int) {
	for level, n := range d.All {
		sum.All[level] += by * n
	}
	for level, n := range d.Started {
		sum.Started[level] += by * n
	}
}

func (f *fleet) pick(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

// begin counts a turn as running and returns how long it takes: longer the more turns share the slots.
func (f *fleet) begin() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running++
	return max(turnTime, turnTime*time.Duration(f.running)/time.Duration(f.slots))
}

func (f *fleet) end(organisation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running--
	f.served[organisation]++
}

// program is a chain of turns with a time limit of 1.5 times its duration without load, plus the objective.
type program struct {
	level, turns int
	organisation string
	objective    time.Duration
}

// run runs a program, each turn at another daemon, and reports whether it met its limit. A refused turn is sent three
// times.
func (f *fleet) run(p program) bool {
	limit := time.Duration(p.turns)*turnTime*3/2 + p.objective
	deadline := time.Now().Add(limit)
	for i := range p.turns {
		if !f.runTurn(p, i > 0, limit, deadline) {
			return false
		}
	}
	return !time.Now().After(deadline)
}

func (f *fleet) runTurn(p program, started bool, limit time.Duration, deadline time.Time) bool {
	for range 3 {
		d := f.daemons[f.pick(len(f.daemons))]
		c := &dispatch.Call{Service: "m", Route: "r", Slots: f.slots, Level: p.level, Organisation: p.organisation, ProgramStarted: started, Competing: true,
			TimeBudget: limit, Deadline: deadline, UnloadedDuration: turnTime, FirstEventBy: time.Now().Add(2 * time.Second), Tokens: 1000}
		if d.Acquire(context.Background(), c) != nil {
			time.Sleep(d.RetryAfter(c))
			continue
		}
		time.Sleep(f.begin())
		f.end(p.organisation)
		d.ObserveCompletion(c)
		d.Release(c)
		return true
	}
	return false
}

// load is a kind of program that starts at a rate per second.
type load struct {
	program
	perSecond float64
}

// results counts the programs of a kind and those that met their limit, by the second in which they started.
type results struct {
	all, inTime []int
}

func (r results) share(from, to int) float64 {
	all, inTime := 0, 0
	for s := from; s < to; s++ {
		all += r.all[s]
		inTime += r.inTime[s]
	}
	return float64(inTime) / float64(max(1, all))
}

// play starts programs of each kind for the given seconds at rates multiplied by factor(second), and returns the
// results of each kind.
func (f *fleet) play(seconds int, kinds []load, factor func(kind, second int) float64) []results {
	all := make([]results, len(kinds))
	stop := make(chan struct{})
	go f.exchange(stop)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for k, kind := range kinds {
		all[k] = results{make([]int, seconds), make([]int, seconds)}
		wg.Go(func() {
			for second := range seconds {
				n := int(kind.perSecond*factor(k, second) + 0.5)
				all[k].all[second] = n
				for range n {
					time.Sleep(time.Second / time.Duration(n))
					wg.Go(func() {
						if f.run(kind.program) {
							mu.Lock()
							all[k].inTime[second]++
							mu.Unlock()
						}
					})
				}
			}
		})
	}
	wg.Wait()
	close(stop)
	return all
}

// TestUrgentProgramsInTimeUnderOverload plays 52 daemons before engines with 384 slots (1,040 turns/s). For ten seconds
// callers ask for 1,530 turns/s, of which 590 are urgent. It guards against urgent programs waiting for others, against
// the others getting nothing, and against a queue that outlasts the burst.
func TestUrgentProgramsInTimeUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(52, 384)
		kinds := []load{
			{program{level: 0, turns: 4, organisation: "o", objective: 250 * time.Millisecond}, 49},
			{program{level: 2, turns: 13, organisation: "o", objective: 500 * time.Millisecond}, 24},
		}
		got := f.play(24, kinds, func(_, second int) float64 {
			if second >= 4 && second < 14 {
				return 3
			}
			return 1
		})
		urgent, other := got[0], got[1]
		t.Logf("urgent: before %.2f, burst %.2f, from 2 s after %.2f", urgent.share(0, 4), urgent.share(4, 14), urgent.share(16, 24))
		t.Logf("other: before %.2f, burst %.2f, from 2 s after %.2f", other.share(0, 4), other.share(4, 14), other.share(16, 24))
		assert.Assert(t, urgent.share(4, 14) > 0.95)
		assert.Assert(t, urgent.share(16, 24) > 0.99)
		assert.Assert(t, other.share(4, 14) > 0.15, "a third of them fits")
		assert.Assert(t, other.share(16, 24) > 0.95)
	})
}

// TestOneOrganisationDoesNotSlowOthers plays 20 organisations at a level, of which one asks for 15 times its usual for
// eight seconds: more than the engines can take. It guards against all organisations waiting with it.
func TestOneOrganisationDoesNotSlowOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(52, 384)
		var kinds []load
		for i := range 20 {
			kinds = append(kinds, load{program{level: 1, turns: 5, organisation: string(rune('a' + i)), objective: 250 * time.Millisecond}, 8})
		}
		got := f.play(16, kinds, func(kind, second int) float64 {
			if kind == 0 && second >= 4 && second < 12 {
				return 15
			}
			return 1
		})
		all, inTime := 0, 0
		for _, r := range got[1:] {
			for second := 4; second < 12; second++ {
				all += r.all[second]
				inTime += r.inTime[second]
			}
		}
		others := float64(inTime) / float64(all)
		t.Logf("large %.2f, others %.2f", got[0].share(4, 12), others)
		assert.Assert(t, others > 0.95)
		assert.Assert(t, got[0].share(4, 12) > 0.15, "half of its programs fit")
	})
}

// TestHubLost plays the burst while no daemon hears of the others: each then admits its own demand, and the engines
// queue, but every program is served or refused.
func TestHubLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(10, 80)
		f.daemons = slices.Clip(f.daemons)
		done := make(chan bool, 400)
		for range 400 {
			go func() { done <- f.run(program{turns: 2, organisation: "o", objective: time.Second}) }()
		}
		for range 400 {
			<-done
		}
		for _, d := range f.daemons {
			assert.Equal(t, d.Running()+d.Waiting(), 0)
		}
	})
}
