package faultmatrix

import (
	"context"
	"fmt"
	"time"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// row is a row of the matrix: what is under way when the fault strikes.
type row struct {
	name string
	// step is the number of the agent's step at whose begin the fault is set off.
	step int
	// kills marks a row that kills a daemon by itself, so that calls may be cut whatever the fault.
	kills bool
	// drive does the row's work and returns what it saw broken.
	drive func(c *cluster, a *agent) []violation
}

var rows = []row{
	{name: "start", step: 0, drive: program},
	{name: "model call", step: 1, drive: program},
	{name: "tool call", step: 2, drive: program},
	{name: "sub-agent", step: 3, drive: program},
	{name: "sub-agent's model call", step: 4, drive: program},
	{name: "second tool call", step: 5, drive: program},
	{name: "last model call", step: 6, drive: program},
	{name: "end", step: 7, drive: program},
	{name: "takeover", step: 2, drive: takeover, kills: true},
	{name: "hand-over", step: 2, drive: handOver},
	{name: "plain post", step: 0, drive: posts},
	{name: "configuration change", step: 0, drive: configurationChange},
	{name: "two operators", step: 0, drive: twoOperators},
	{name: "backend drain", step: 1, drive: backendDrain},
}

// program runs the script; it must finish.
func program(_ *cluster, a *agent) []violation { return finished(a.script("key")) }

func finished(err error) []violation {
	if err == nil {
		return nil
	}
	return []violation{{answerWhole, "the program did not finish: " + err.Error()}}
}

// takeover runs the script while the program's owner is dead, so that the fault strikes its successor.
func takeover(c *cluster, a *agent) []violation {
	strike := a.before
	a.before = func(step int) {
		if step == 2 {
			c.killOwner(a, "key")
			<-time.After(1500 * time.Millisecond)
		}
		strike(step)
	}
	return finished(a.script("key"))
}

// killOwner kills a program's owner and boots it again soon.
func (c *cluster) killOwner(a *agent, key string) {
	owner := c.ownerOf(a.history.started[key])
	if owner == nil {
		return
	}
	c.kill(owner)
	if a.entry == owner {
		a.elsewhere()
	}
	time.AfterFunc(5*time.Second, func() {
		if !owner.alive() {
			c.boot(owner)
		}
	})
}

// handOver runs the script while the program's owner stops as planned.
func handOver(c *cluster, a *agent) []violation {
	strike := a.before
	a.before = func(step int) {
		if step == 2 {
			if owner := c.ownerOf(a.history.started["key"]); owner != nil {
				owner.life.daemon.Drain()
			}
		}
		strike(step)
	}
	return finished(a.script("key"))
}

// posts sends plain requests that must not be repeated, one after the other.
func posts(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	for i := range 4 {
		request := &rookpassv1.SendRequest{
			Target: "log", Path: "/hours", Body: fmt.Appendf(nil, "hours %d", i), RequestId: fmt.Sprintf("post-%d", i),
		}
		var last error
		err := a.step(func(ctx context.Context) error {
			_, err := a.client.Caller.Send(a.client.Context(ctx), request)
			if err != nil {
				last = verdict.FromGRPC(err)
				return last
			}
			last = nil
			return nil
		})
		ran := 0
		for _, effect := range c.plain.Effects() {
			if effect.RequestID == request.RequestId {
				ran++
			}
		}
		switch {
		case ran > 1:
			k.violated(atMostOnce, "%s ran %d times", request.RequestId, ran)
		case err == nil && ran == 0:
			k.violated(answerWhole, "%s was answered but never ran", request.RequestId)
		case last != nil && notRun(last) && ran > 0:
			k.violated(notRunTrue, "%s ran, though refused: %v", request.RequestId, last)
		case err != nil && notRun(err):
			k.violated(answerWhole, "%s was given up: %v", request.RequestId, err)
		}
	}
	return k.violations
}

// definitionWith returns the program definition with another bound, so that a change can be seen.
func definitionWith(maxTurns int64) *rookpassv1.Object {
	return &rookpassv1.Object{
		Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "agent"},
		Spec: &rookpassv1.Object_Definition{Definition: &rookpassv1.Definition{
			BudgetTokens: 1_000_000, MaxPriority: 9, MaxTurns: maxTurns, Models: []string{"m"}, Services: []string{"book"},
			SubAgents: []string{"agent"}, DefaultMaxTokens: 8, ServiceTimeoutMs: 5000,
		}},
	}
}

// outage is the longest time for which the faults keep the object API away; what is accepted before must be in
// force that long after at the latest.
const outage = 20 * time.Second

// configurationChange has an operator change a definition, and follows the change to every daemon.
func configurationChange(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	version, err := a.change(c, 77)
	if err != nil {
		return []violation{{configRises, "change was not accepted: " + err.Error()}}
	}
	<-time.After(outage + inForceWithin)
	for _, n := range c.nodes {
		if !n.alive() {
			continue
		}
		view := n.life.daemon.Config().View()
		if n.life.daemon.Config().AsOf() < version || view.Definitions["agent"].MaxTurns != 77 {
			k.violated(configRises, "%s does not have version %d in force", n.name, version)
		}
	}
	return k.violations
}

// change replaces the definition and returns the accepted version. An answer "may have run" is settled by
// reading.
func (a *agent) change(c *cluster, maxTurns int64) (uint64, error) {
	var version uint64
	err := a.step(func(ctx context.Context) error {
		operator := c.operator(a.entry)
		current, err := operator.Operator.Get(operator.Context(ctx), definitionWith(0).Key)
		if err != nil {
			return verdict.FromGRPC(err)
		}
		if current.GetDefinition().MaxTurns == maxTurns {
			version = current.Version
			return nil
		}
		written, err := operator.Operator.Put(operator.Context(ctx), &rookpassv1.PutRequest{
			Object: definitionWith(maxTurns), IfVersion: current.Version,
		})
		if err != nil {
			return verdict.FromGRPC(err)
		}
		version = written.Version
		return nil
	})
	return version, err
}

// twoOperators race each other from the same version: one change is accepted, the other is told of the
// conflict.
func twoOperators(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	key, _ := definitionKey()
	current, err := c.store.Get(context.Background(), key)
	if err != nil {
		return []violation{{configRises, err.Error()}}
	}
	accepted := make(chan int64, 2)
	a.before(0)
	a.steps++
	for i, n := range c.nodes[:2] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			operator := c.operator(n)
			_, err := operator.Operator.Put(operator.Context(ctx), &rookpassv1.PutRequest{
				Object: definitionWith(int64(100 + i)), IfVersion: current.Version,
			})
			if err != nil {
				accepted <- 0
				return
			}
			accepted <- int64(100 + i)
		}()
	}
	first, second := <-accepted, <-accepted
	if first != 0 && second != 0 {
		k.violated(configRises, "two operators' changes of one version were both accepted")
	}
	<-time.After(outage + inForceWithin)
	for _, n := range c.nodes {
		if !n.alive() || first+second == 0 {
			continue
		}
		if got := n.life.daemon.Config().View().Definitions["agent"].MaxTurns; got != first+second {
			k.violated(configRises, "%s has %d in force, accepted was %d", n.name, got, first+second)
		}
	}
	return k.violations
}

// leaveWithin is how soon a leaving backend server must get no new work.
const leaveWithin = 5 * time.Second

// backendDrain takes an engine out of service under load and looks for work that it got later.
func backendDrain(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	id, err := a.start("key", 0)
	if err != nil {
		return finished(err)
	}
	c.put(backendObject("engine-1", &rookpassv1.BackendServer{
		Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Address: fmt.Sprintf(engineAddress, 1), Serves: []string{"m"},
		MaxConcurrency: 100, Draining: true,
	}))
	drained := time.Now()
	for sequence := uint64(1); time.Since(drained) < 3*leaveWithin; sequence++ {
		if _, err := a.call(modelCall(id, sequence)); err != nil {
			return append(k.violations, finished(err)...)
		}
		<-time.After(500 * time.Millisecond)
	}
	for _, served := range c.engines[0].Served() {
		// What a frozen daemon had sent arrives when it thaws; docs/PROOFS.md names this window.
		inWindow := served.Admitted.Equal(c.fabric.LastThaw())
		if late := served.Admitted.Sub(drained); late > leaveWithin && !inWindow {
			k.violated(leavingLeft, "%s was admitted %v after the drain", served.RequestID, late)
		}
	}
	return k.violations
}
