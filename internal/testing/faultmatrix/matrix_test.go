package faultmatrix

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// fault is a row of the rendered matrix. inject injects it, given the program's owner and the node that the caller is
// connected to, and returns a function that undoes it, which is called after duration.
type fault struct {
	name     string
	duration time.Duration
	inject   func(c *cluster, owner, entry *node) (undo func())
	// harmless is set for planned stops, which must not make any request fail.
	harmless bool
}

func noUndo() {}

// setAPIFault sets a fault of the object API for some nodes and returns a function that clears it.
func setAPIFault(kind apitest.Fault, nodes ...*node) func() {
	for _, n := range nodes {
		n.fault.SetFault(kind)
	}
	return func() {
		for _, n := range nodes {
			n.fault.SetFault(apitest.None)
		}
	}
}

// setAPIDelay sets the delay of the object API for all nodes and returns a function that resets it.
func setAPIDelay(c *cluster, delay time.Duration) func() {
	for _, n := range c.nodes {
		n.fault.SetDelay(delay)
	}
	return func() {
		for _, n := range c.nodes {
			n.fault.SetDelay(normalDelay)
		}
	}
}

// normalDelay is the object API's default delay, so that faults can occur between a write and its response.
const normalDelay = 3 * time.Millisecond

var faults = []fault{
	{name: "owner killed", inject: func(c *cluster, owner, _ *node) func() { c.kill(owner); return noUndo }},
	{name: "entry killed", inject: func(c *cluster, _, entry *node) func() { c.kill(entry); return noUndo }},
	{name: "owner killed and restarted", duration: time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.kill(owner)
		return func() { c.start(owner) }
	}},
	{name: "owner killed, then its successor", duration: 3 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.kill(owner)
		<-time.After(1700 * time.Millisecond)
		next := c.nextAlive(owner)
		c.kill(next)
		return func() { c.start(next) }
	}},
	{name: "owner frozen past its lease", duration: 20 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.fabric.Freeze(owner.name)
		return func() { c.fabric.Thaw(owner.name) }
	}},
	{name: "owner cut from its peers", duration: 5 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		for _, n := range c.nodes {
			if n != owner {
				c.fabric.Partition(owner.name, n.name)
			}
		}
		return func() {
			for _, n := range c.nodes {
				c.fabric.Heal(owner.name, n.name)
			}
		}
	}},
	{name: "entry and owner cut for a moment", duration: 100 * time.Millisecond, inject: func(c *cluster, owner, entry *node) func() {
		c.fabric.Partition(owner.name, entry.name)
		return func() { c.fabric.Heal(owner.name, entry.name) }
	}},
	{name: "callers cut from the entry", duration: time.Second, inject: func(c *cluster, _, entry *node) func() {
		c.fabric.Partition(callerHost, entry.name)
		return func() { c.fabric.Heal(callerHost, entry.name) }
	}},
	{name: "owner cut from the object API", duration: 15 * time.Second, inject: func(_ *cluster, owner, _ *node) func() {
		return setAPIFault(apitest.Down, owner)
	}},
	{name: "object API down", duration: 15 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.Down, c.nodes...)
	}},
	{name: "object API hangs", duration: 15 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.Hang, c.nodes...)
	}},
	{name: "object API slow", duration: 15 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIDelay(c, 400*time.Millisecond)
	}},
	{name: "object API read-only", duration: 15 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.ReadOnly, c.nodes...)
	}},
	{name: "object API loses answers", duration: 2 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.LostResponses, c.nodes...)
	}},
	{name: "object API loses requests", duration: 2 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.LostRequests, c.nodes...)
	}},
	{name: "lists are stale and watches lose their place", duration: 5 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		return setAPIFault(apitest.Stale, c.nodes...)
	}},
	{name: "watches lose their place", inject: func(c *cluster, _, _ *node) func() { c.store.Compact(); return noUndo }},
	{name: "engines cut streams and forget them", duration: 2 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		c.engines[0].SetFaults(standin.EngineFaults{CutAfter: 3, ForgetStreams: true})
		return func() { c.engines[0].SetFaults(standin.EngineFaults{}) }
	}},
	{name: "engines cut streams", duration: 2 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		for _, engine := range c.engines {
			engine.SetFaults(standin.EngineFaults{CutAfter: 3})
		}
		return func() {
			for _, engine := range c.engines {
				engine.SetFaults(standin.EngineFaults{})
			}
		}
	}},
	{name: "tool hangs", duration: 10 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		c.tool.SetFaults(standin.ServiceFaults{HangMillis: 8000})
		return func() { c.tool.SetFaults(standin.ServiceFaults{}) }
	}},
	{name: "tool loses answers", duration: 2 * time.Second, inject: func(c *cluster, _, _ *node) func() {
		c.tool.SetFaults(standin.ServiceFaults{DropAnswer: true})
		return func() { c.tool.SetFaults(standin.ServiceFaults{}) }
	}},
	{name: "backends refuse", duration: time.Second, inject: func(c *cluster, _, _ *node) func() {
		c.tool.SetFaults(standin.ServiceFaults{Refuse: true})
		c.engines[0].SetFaults(standin.EngineFaults{Refuse: true})
		return func() {
			c.tool.SetFaults(standin.ServiceFaults{})
			c.engines[0].SetFaults(standin.EngineFaults{})
		}
	}},
	{name: "owner cut from the backends", duration: 2 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.fabric.Partition(owner.name, backendHost)
		return func() { c.fabric.Heal(owner.name, backendHost) }
	}},
	{name: "owner killed while the object API loses answers", duration: 2 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.kill(owner)
		return setAPIFault(apitest.LostResponses, c.nodes...)
	}},
	{name: "owner frozen while the object API is slow", duration: 20 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.fabric.Freeze(owner.name)
		fast := setAPIDelay(c, 300*time.Millisecond)
		return func() { c.fabric.Thaw(owner.name); fast() }
	}},
	{name: "owner killed in an outage of the object API", duration: 10 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.kill(owner)
		return setAPIFault(apitest.Down, c.nodes...)
	}},
	{name: "owner frozen and the tool loses answers", duration: 12 * time.Second, inject: func(c *cluster, owner, _ *node) func() {
		c.fabric.Freeze(owner.name)
		c.tool.SetFaults(standin.ServiceFaults{DropAnswer: true})
		return func() { c.fabric.Thaw(owner.name); c.tool.SetFaults(standin.ServiceFaults{}) }
	}},
	{name: "planned stop of the owner", harmless: true, inject: func(_ *cluster, owner, _ *node) func() {
		owner.instance.daemon.Drain()
		return noUndo
	}},
	{name: "planned stop of the entry", harmless: true, inject: func(_ *cluster, _, entry *node) func() {
		entry.instance.daemon.Drain()
		return noUndo
	}},
}

// injectionOffsets are the times after the start of a step at which faults are injected: before anything is sent, while
// records are being written, while the backend server is working, and later.
var injectionOffsets = []time.Duration{0, 2 * time.Millisecond, 7 * time.Millisecond, 30 * time.Millisecond}

// runCell runs a scenario with a fault at one offset and returns the violations.
func runCell(t *testing.T, seed uint64, r scenario, f fault, offset time.Duration) []violation {
	c := newCluster(t, 3, seed)
	setAPIDelay(c, normalDelay)
	a := newAgent(c, c.nodes[0])
	undone := make(chan struct{})
	a.beforeStep = func(step int) {
		if step == r.step {
			go c.injectAtOwner(f, a.entry, a.history, offset, undone)
		}
	}
	watched := watchConfig(c)
	violations := r.drive(c, a)
	<-undone
	violations = append(violations, watched()...)
	a.beforeStep = func(int) {}
	<-time.After(settleTime)
	if err := a.readAll(); err != nil {
		violations = append(violations, violation{historyComplete, "reading programs failed: " + err.Error()})
	}
	if f.harmless && !r.kills {
		violations = append(violations, failedRequests(a.history)...)
	}
	return append(violations, check(c, a.history)...)
}

// settleTime is the time that the cluster gets after the last fault to release engine memory.
const settleTime = 40 * time.Second

// injectAtOwner injects a fault after an offset, given the program's owner at that time, and undoes it after its
// duration.
func (c *cluster) injectAtOwner(f fault, entry *node, h *history, offset time.Duration, undone chan struct{}) {
	defer close(undone)
	<-time.After(offset)
	owner := c.ownerOf(h.started["key"])
	if owner == nil {
		owner = c.nodes[1]
	}
	undo := f.inject(c, owner, entry)
	<-time.After(f.duration)
	undo()
}

// failedRequests returns a violation for each request that failed in a way that the caller can't safely retry.
func failedRequests(h *history) []violation {
	k := &checker{}
	for _, o := range h.outcomes {
		if o.answered && o.verdict == verdict.MayHaveRun {
			k.addViolation(stopGraceful, "call %s may have run", o.call.RequestId)
		}
		for _, err := range o.attemptErrors {
			if !isNotRun(err) {
				k.addViolation(stopGraceful, "call %s: %v", o.call.RequestId, err)
			}
		}
	}
	return k.violations
}

// TestFaultMatrix injects each fault in each scenario at each offset. With ROOKPASS_MATRIX=FILE it writes the matrix to
// that file.
func TestFaultMatrix(t *testing.T) {
	var mu sync.Mutex
	failed := map[string]int{}
	run := map[string]int{}
	t.Run("cells", func(t *testing.T) {
		for _, r := range scenarios {
			for _, f := range faults {
				t.Run(r.name+"/"+f.name, func(t *testing.T) {
					t.Parallel()
					for i, offset := range injectionOffsets {
						var violations []violation
						testbubble.Run(t, func(t *testing.T) { violations = runCell(t, uint64(i), r, f, offset) })
						mu.Lock()
						run[r.name+"|"+f.name]++
						if len(violations) > 0 {
							failed[r.name+"|"+f.name]++
						}
						mu.Unlock()
						for _, v := range violations {
							t.Errorf("fault at %v: %v", offset, v)
						}
					}
				})
			}
		}
	})
	table := render(run, failed)
	t.Log("\n" + table)
	if file := os.Getenv("ROOKPASS_MATRIX"); file != "" {
		assert.NilError(t, os.WriteFile(file, []byte(table), 0o644))
	}
}

// render returns the matrix as a Markdown table, in which each cell has passed, failed or was not run.
func render(run, failed map[string]int) string {
	var out strings.Builder
	out.WriteString("| fault \\ step |")
	for _, r := range scenarios {
		out.WriteString(" " + r.name + " |")
	}
	out.WriteString("\n|" + strings.Repeat("---|", len(scenarios)+1) + "\n")
	held, broken, missed := 0, 0, 0
	for _, f := range faults {
		fmt.Fprintf(&out, "| %s |", f.name)
		for _, r := range scenarios {
			key := r.name + "|" + f.name
			switch {
			case run[key] < len(injectionOffsets):
				missed++
				out.WriteString(" not reached |")
			case failed[key] > 0:
				broken++
				fmt.Fprintf(&out, " FAILED %d of %d |", failed[key], run[key])
			default:
				held++
				fmt.Fprintf(&out, " held %d |", run[key])
			}
		}
		out.WriteString("\n")
	}
	fmt.Fprintf(&out, "\n%d cells held, %d failed, %d not reached; each cell ran at %d moments.\n", held, broken, missed, len(injectionOffsets))
	return out.String()
}
