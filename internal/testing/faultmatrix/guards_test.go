package faultmatrix

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// guardCase is an invariant, the guard that protects it, and a scenario that violates it if the guard is disabled.
type guardCase struct {
	invariant invariant
	guard     guard.Guard
	run       func(c *cluster, a *agent) []violation
}

var guardCases = []guardCase{
	{inOrder, guard.SequenceCheck, func(_ *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		_, _ = a.call(modelCall(id, 1))
		_, _ = a.call(modelCall(id, 3)) // out of order, must be rejected
		return nil
	}},
	{historyComplete, guard.Seal, func(c *cluster, a *agent) []violation {
		// The owner's peers can't reach it and take over, while callers and the object API can reach it. Its watch is
		// blind, so it continues to make calls until its next renewal.
		id, _ := a.start("key", 0)
		owner := c.ownerOf(id)
		if a.entry != owner {
			a.entry, a.client = owner, c.client(owner)
		}
		owner.fault.SetFault(apitest.NoClusterUpdates)
		time.AfterFunc(6*time.Second, func() { owner.fault.SetFault(apitest.None) })
		for _, n := range c.nodes {
			if n != owner {
				c.fabric.Partition(owner.name, n.name)
				time.AfterFunc(6*time.Second, func() { c.fabric.Heal(owner.name, n.name) })
			}
		}
		for sequence := uint64(1); sequence <= 60; sequence++ {
			if _, err := a.call(modelCall(id, sequence)); err != nil {
				break // without the seal, the new owner does not know the earlier calls
			}
		}
		return nil
	}},
	{withinBudget, guard.Budget, func(_ *cluster, a *agent) []violation {
		id, _ := a.start("key", 60)
		for sequence := uint64(1); sequence < 5; sequence++ {
			_, _ = a.call(modelCall(id, sequence))
		}
		return nil
	}},
	{memoryFreed, guard.CacheRelease, func(_ *cluster, a *agent) []violation { return runProgram(nil, a) }},
	{answerComplete, guard.CompleteStream, func(c *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		for _, engine := range c.engines {
			engine.SetFaults(standin.EngineFaults{CutAfter: 3, ForgetStreams: true})
		}
		time.AfterFunc(time.Second, func() {
			for _, engine := range c.engines {
				engine.SetFaults(standin.EngineFaults{})
			}
		})
		_, _ = a.call(modelCall(id, 1))
		return nil
	}},
	{historyComplete, guard.DurableAnswers, func(c *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		_, _ = a.call(modelCall(id, 1)) // borrows from the organisation's budget
		setAPIFault(apitest.Down, c.nodes...)
		_, _ = a.call(modelCall(id, 2))
		c.kill(c.ownerOf(id))
		<-time.After(time.Second) // so that a request that a peer is relaying fails within the outage too
		for _, n := range c.nodes {
			n.fault.SetFault(apitest.None)
		}
		a.switchNode()
		return nil
	}},
	{refusalTrue, guard.UncertainVerdict, func(c *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		c.tool.SetFaults(standin.ServiceFaults{DropAnswer: true})
		o := &outcome{program: id, call: toolCall(id, 1)}
		a.history.outcomes = append(a.history.outcomes, o)
		ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
		defer cancel()
		if answer, err := a.client.Call(ctx, o.call, nil); err != nil {
			o.attemptErrors = append(o.attemptErrors, err)
		} else {
			o.answered, o.verdict = true, verdict.FromProto(answer.Final.Verdict)
		}
		return nil
	}},
	{atMostOnce, guard.IntentRecord, func(c *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		c.tool.SetFaults(standin.ServiceFaults{HangMillis: 1000})
		time.AfterFunc(500*time.Millisecond, func() { c.kill(c.ownerOf(id)) })
		_, _ = a.call(toolCall(id, 1))
		return nil
	}},
	{drainingRespected, guard.Draining, backendDrain},
	{stopGraceful, guard.GracefulStop, func(c *cluster, a *agent) []violation {
		id, _ := a.start("key", 0)
		owner := c.ownerOf(id)
		c.tool.SetFaults(standin.ServiceFaults{HangMillis: 2000})
		time.AfterFunc(500*time.Millisecond, owner.instance.daemon.Drain)
		_, _ = a.call(toolCall(id, 1))
		return failedRequests(a.history)
	}},
	{configMonotonic, guard.MonotonicConfig, func(c *cluster, _ *agent) []violation {
		// A daemon that has applied a change loses its watch and gets an older list.
		watched := watchConfig(c)
		before, _ := c.store.List(context.Background(), "")
		c.put(definitionWith(77))
		<-time.After(time.Second)
		c.nodes[0].fault.SetStale(before)
		<-time.After(10 * time.Second)
		c.nodes[0].fault.SetFault(apitest.None)
		return watched()
	}},
}

// TestCheckerDetectsDisabledGuards runs each case with its guard enabled and expects no violations, and again with the
// guard disabled and expects the checker to report the invariant.
func TestCheckerDetectsDisabledGuards(t *testing.T) {
	for _, g := range guardCases {
		t.Run(fmt.Sprintf("%s/guard %d", g.invariant, g.guard), func(t *testing.T) {
			var protected, unprotected []violation
			testbubble.Run(t, func(t *testing.T) { protected = runCase(t, g) })
			assert.Equal(t, len(protected), 0, "violations with the guard enabled: %v", protected)
			restore := guard.Disable(g.guard)
			defer restore()
			testbubble.Run(t, func(t *testing.T) { unprotected = runCase(t, g) })
			caught := slices.ContainsFunc(unprotected, func(v violation) bool { return v.invariant == g.invariant })
			assert.Assert(t, caught, "invariant not reported with the guard disabled; got %v", unprotected)
		})
	}
}

// runCase runs a case in a new cluster and checks all invariants afterwards.
func runCase(t *testing.T, g guardCase) []violation {
	c := newCluster(t, 3, 1)
	a := newAgent(c, c.nodes[0])
	violations := g.run(c, a)
	<-time.After(settleTime)
	if err := a.readAll(); err != nil {
		violations = append(violations, violation{historyComplete, "reading programs failed: " + err.Error()})
	}
	return append(violations, check(c, a.history)...)
}
