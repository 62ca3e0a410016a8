package faultmatrix

import (
	"context"
	"fmt"
	"time"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// scenario is one scenario of the matrix: what is in progress when the fault is injected.
type scenario struct {
	name string
	// step is the number of the agent's step at which the fault is injected.
	step int
	// kills is set if the scenario itself kills a daemon, so that calls may fail with any fault.
	kills bool
	// drive runs the scenario and returns the violations that it detected.
	drive func(c *cluster, a *agent) []violation
}

var scenarios = []scenario{
	{name: "start", step: 0, drive: runProgram},
	{name: "model call", step: 1, drive: runProgram},
	{name: "tool call", step: 2, drive: runProgram},
	{name: "sub-agent", step: 3, drive: runProgram},
	{name: "sub-agent's model call", step: 4, drive: runProgram},
	{name: "second tool call", step: 5, drive: runProgram},
	{name: "last model call", step: 6, drive: runProgram},
	{name: "end", step: 7, drive: runProgram},
	{name: "takeover", step: 2, drive: runTakeover, kills: true},
	{name: "hand-over", step: 2, drive: runHandOver},
	{name: "plain post", step: 0, drive: runPosts},
	{name: "configuration change", step: 0, drive: configurationChange},
	{name: "two operators", step: 0, drive: twoOperators},
	{name: "backend drain", step: 1, drive: backendDrain},
}

// runProgram runs the script, which must succeed.
func runProgram(_ *cluster, a *agent) []violation { return checkFinished(a.script("key")) }

func checkFinished(err error) []violation {
	if err == nil {
		return nil
	}
	return []violation{{answerComplete, "program did not finish: " + err.Error()}}
}

// runTakeover runs the script and kills the program's owner at step 2, so that the fault affects its successor.
func runTakeover(c *cluster, a *agent) []violation {
	inject := a.beforeStep
	a.beforeStep = func(step int) {
		if step == 2 {
			c.killAndRestartOwner(a, "key")
			<-time.After(1500 * time.Millisecond)
		}
		inject(step)
	}
	return checkFinished(a.script("key"))
}

// killAndRestartOwner kills a program's owner and restarts it after 5 s.
func (c *cluster) killAndRestartOwner(a *agent, key string) {
	owner := c.ownerOf(a.history.started[key])
	if owner == nil {
		return
	}
	c.kill(owner)
	if a.entry == owner {
		a.switchNode()
	}
	time.AfterFunc(5*time.Second, func() {
		if !owner.alive() {
			c.start(owner)
		}
	})
}

// runHandOver runs the script and starts a planned stop of the program's owner at step 2.
func runHandOver(c *cluster, a *agent) []violation {
	strike := a.beforeStep
	a.beforeStep = func(step int) {
		if step == 2 {
			if owner := c.ownerOf(a.history.started["key"]); owner != nil {
				owner.instance.daemon.Drain()
			}
		}
		strike(step)
	}
	return checkFinished(a.script("key"))
}

// runPosts sends non-idempotent plain requests one after the other.
func runPosts(c *cluster, a *agent) []violation {
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
			k.addViolation(atMostOnce, "%s ran %d times", request.RequestId, ran)
		case err == nil && ran == 0:
			k.addViolation(answerComplete, "%s was answered but did not run", request.RequestId)
		case last != nil && isNotRun(last) && ran > 0:
			k.addViolation(refusalTrue, "%s ran although it was rejected as not run: %v", request.RequestId, last)
		case err != nil && isNotRun(err):
			k.addViolation(answerComplete, "%s failed: %v", request.RequestId, err)
		}
	}
	return k.violations
}

// definitionWith returns the program definition with another MaxTurns, by which a change can be recognised.
func definitionWith(maxTurns int64) *rookpassv1.Object {
	return &rookpassv1.Object{
		Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "agent"},
		Spec: &rookpassv1.Object_Definition{Definition: &rookpassv1.Definition{
			BudgetTokens: 1_000_000, MaxPriority: 9, MaxTurns: maxTurns, Models: []string{"m"}, Services: []string{"book"},
			SubAgents: []string{"agent"}, DefaultMaxTokens: 8, ServiceTimeoutMs: 5000,
		}},
	}
}

// longestOutage is the longest time for which a fault keeps the object API unavailable. An accepted change must be in
// force within longestOutage plus configTimeout.
const longestOutage = 20 * time.Second

// configurationChange changes a definition and checks that every daemon applies it.
func configurationChange(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	version, err := a.change(c, 77)
	if err != nil {
		return []violation{{configMonotonic, "change not accepted: " + err.Error()}}
	}
	<-time.After(longestOutage + configTimeout)
	for _, n := range c.nodes {
		if !n.alive() {
			continue
		}
		view := n.instance.daemon.Config().View()
		if n.instance.daemon.Config().AsOf() < version || view.Definitions["agent"].MaxTurns != 77 {
			k.addViolation(configMonotonic, "%s has not applied version %d", n.name, version)
		}
	}
	return k.violations
}

// change replaces the definition and returns the accepted version. Each attempt first reads the definition, since the
// one before may have run.
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

// twoOperators makes two concurrent changes of the same version, of which at most one may be accepted.
func twoOperators(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	key, _ := definitionKey()
	current, err := c.store.Get(context.Background(), key)
	if err != nil {
		return []violation{{configMonotonic, err.Error()}}
	}
	accepted := make(chan int64, 2)
	a.beforeStep(0)
	a.steps++
	for i, n := range c.nodes[:2] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
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
		k.addViolation(configMonotonic, "two concurrent changes of one version were both accepted")
	}
	<-time.After(longestOutage + configTimeout)
	for _, n := range c.nodes {
		if !n.alive() || first+second == 0 {
			continue
		}
		if got := n.instance.daemon.Config().View().Definitions["agent"].MaxTurns; got != first+second {
			k.addViolation(configMonotonic, "%s has MaxTurns %d in force, accepted was %d", n.name, got, first+second)
		}
	}
	return k.violations
}

// drainTimeout is the time after which a draining backend server must not get new calls.
const drainTimeout = 5 * time.Second

// backendDrain drains an engine under load and checks that it gets no calls after drainTimeout.
func backendDrain(c *cluster, a *agent) []violation {
	k := &checker{c: c}
	id, err := a.start("key", 0)
	if err != nil {
		return checkFinished(err)
	}
	c.put(backendObject("engine-1", &rookpassv1.BackendServer{
		Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Address: fmt.Sprintf(engineAddress, 1), Serves: []string{"m"},
		MaxConcurrency: 100, Draining: true,
	}))
	drained := time.Now()
	for sequence := uint64(1); time.Since(drained) < 3*drainTimeout; sequence++ {
		if _, err := a.call(modelCall(id, sequence)); err != nil {
			return append(k.violations, checkFinished(err)...)
		}
		<-time.After(500 * time.Millisecond)
	}
	for _, served := range c.engines[0].Served() {
		// Calls that a frozen daemon has sent arrive when it is thawed. docs/PROOFS.md documents this exception.
		inWindow := served.Admitted.Equal(c.fabric.LastThaw())
		if late := served.Admitted.Sub(drained); late > drainTimeout && !inWindow {
			k.addViolation(drainingRespected, "%s was admitted %v after the start of draining", served.RequestID, late)
		}
	}
	return k.violations
}
