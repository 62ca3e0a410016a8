package faultmatrix

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// invariant is one of the ten things that must always hold.
type invariant string

const (
	inOrder           invariant = "calls run in order"
	historyComplete   invariant = "history is neither lost nor mixed"
	withinBudget      invariant = "no program spends beyond its budget"
	memoryFreed       invariant = "no engine memory stays held by ended programs"
	answerComplete    invariant = "each caller gets the whole answer to its own request"
	refusalTrue       invariant = "a refusal that says not run is true"
	atMostOnce        invariant = "what must not be repeated runs at most once"
	drainingRespected invariant = "a leaving backend server gets no new work"
	stopGraceful      invariant = "a planned stop cuts no request"
	configMonotonic   invariant = "configuration is in force in seconds and never reverts"
)

// violation is a promise that did not hold.
type violation struct {
	invariant invariant
	detail    string
}

func (v violation) String() string { return fmt.Sprintf("%s: %s", v.invariant, v.detail) }

// checker compares what callers saw with what backend servers did and what rookpass says.
type checker struct {
	c          *cluster
	h          *history
	violations []violation
}

func (k *checker) addViolation(p invariant, format string, args ...any) {
	k.violations = append(k.violations, violation{p, fmt.Sprintf(format, args...)})
}

// check looks at everything that a history alone can show. Programs must have been read.
func check(c *cluster, h *history) []violation {
	k := &checker{c: c, h: h}
	k.order()
	k.histories()
	k.budgets()
	k.memory()
	k.answers()
	k.refusals()
	k.repeats()
	return k.violations
}

// answerBytes is the length of every model answer: the engines give all the tokens that the definition asks
// for.
const answerBytes = 8 * 4

// order: the stored calls are 1, 2, 3 …, and their effects came in that order.
func (k *checker) order() {
	for id, program := range k.h.programs {
		for i, turn := range program.History {
			if turn.Sequence != uint64(i+1) {
				k.addViolation(inOrder, "program %s has sequence %d at place %d", id, turn.Sequence, i+1)
			}
		}
	}
	last := map[string]uint64{}
	for _, effect := range k.c.tool.Effects() {
		var sequence uint64
		var program string
		if _, err := fmt.Sscanf(effect.Body, "booking %d of %s", &sequence, &program); err != nil {
			continue
		}
		if sequence < last[program] {
			k.addViolation(inOrder, "effect %d of %s came after %d", sequence, program, last[program])
		}
		last[program] = sequence
	}
}

// histories: every answered call stands in its program's history with the answer that the caller got, and
// nothing else does.
func (k *checker) histories() {
	for _, o := range k.h.outcomes {
		program := k.h.programs[o.program]
		if program == nil || !o.answered {
			continue
		}
		i := slices.IndexFunc(program.History, func(t *rookpassv1.Turn) bool { return t.RequestId == o.call.RequestId })
		if i < 0 {
			k.addViolation(historyComplete, "answered call %s is not in the history", o.call.RequestId)
			continue
		}
		if !bytes.Equal(program.History[i].Output, o.output) {
			k.addViolation(historyComplete, "call %s was answered %q, the history says %q", o.call.RequestId, o.output, program.History[i].Output)
		}
	}
	for id, program := range k.h.programs {
		seen := map[string]bool{}
		for _, turn := range program.History {
			if !strings.HasSuffix(turn.RequestId, "@"+id) || seen[turn.RequestId] {
				k.addViolation(historyComplete, "program %s holds call %s", id, turn.RequestId)
			}
			seen[turn.RequestId] = true
		}
	}
}

// budgets: what backend servers really spent for a program and its sub-agents is within the program's budget.
func (k *checker) budgets() {
	spent := map[string]int64{}
	for _, engine := range k.c.engines {
		for _, served := range engine.Served() {
			spent[rootProgram(served.HoldTag)] += served.Usage.PromptTokens + served.Usage.CompletionTokens
		}
	}
	for _, effect := range k.c.tool.Effects() {
		_, program, _ := strings.Cut(effect.RequestID, "@")
		spent[rootProgram(program)] += 10
	}
	for id, program := range k.h.programs {
		if spent[id] > program.BudgetTokens || program.SpentTokens > program.BudgetTokens {
			k.addViolation(withinBudget, "program %s: budget %d, spent %d, says %d", id, program.BudgetTokens, spent[id], program.SpentTokens)
		}
	}
}

// memory: no engine holds anything for an ended program.
func (k *checker) memory() {
	for i, engine := range k.c.engines {
		for _, tag := range engine.HeldTags() {
			if k.h.ended[rootProgram(tag)] {
				k.addViolation(memoryFreed, "engine %d holds cache of ended program %s", i+1, tag)
			}
		}
	}
}

// answers: an answer that ran is not empty and is for its own request (the client has compared lengths).
func (k *checker) answers() {
	for _, o := range k.h.outcomes {
		if !o.answered || o.verdict != verdict.Ran {
			continue
		}
		if len(o.output) == 0 {
			k.addViolation(answerComplete, "call %s was answered with nothing", o.call.RequestId)
		}
		if o.call.Kind == rookpassv1.CallKind_CALL_KIND_MODEL && len(o.output) != answerBytes {
			k.addViolation(answerComplete, "call %s got %d of %d bytes", o.call.RequestId, len(o.output), answerBytes)
		}
		if o.call.Kind == rookpassv1.CallKind_CALL_KIND_TOOL && !bytes.Contains(o.output, o.call.Input) {
			k.addViolation(answerComplete, "call %s got another call's answer %q", o.call.RequestId, o.output)
		}
	}
}

// refusals: a call that was only ever told "not run" has left no effect.
func (k *checker) refusals() {
	for _, o := range k.h.outcomes {
		refused := !o.answered && len(o.attemptErrors) > 0 && !slices.ContainsFunc(o.attemptErrors, func(err error) bool { return !isNotRun(err) })
		if refused && k.ran(o.call.RequestId) > 0 {
			k.addViolation(refusalTrue, "call %s was refused as not run, but ran", o.call.RequestId)
		}
	}
}

// repeats: a call that must not be repeated has at most one effect; one answered "ran" has one.
func (k *checker) repeats() {
	for _, o := range k.h.outcomes {
		if o.call.Kind != rookpassv1.CallKind_CALL_KIND_TOOL {
			continue
		}
		ran := k.ran(o.call.RequestId)
		if ran > 1 {
			k.addViolation(atMostOnce, "call %s ran %d times", o.call.RequestId, ran)
		}
		if o.answered && o.verdict == verdict.Ran && ran == 0 {
			k.addViolation(answerComplete, "call %s was answered but never ran", o.call.RequestId)
		}
	}
}

// ran counts the effects of a tool call.
func (k *checker) ran(requestID string) int {
	count := 0
	for _, effect := range k.c.tool.Effects() {
		if effect.RequestID == requestID {
			count++
		}
	}
	return count
}

// configTimeout is how soon a change must be in force on every daemon that is not cut off altogether.
const configTimeout = 10 * time.Second

// watchConfig samples every live daemon's configuration until stopped, and reports a revision that fell.
func watchConfig(c *cluster) (stop func() []violation) {
	done := make(chan struct{})
	result := make(chan []violation)
	go func() {
		k := &checker{c: c}
		highest := map[*instance]uint64{}
		for {
			for _, n := range c.nodes {
				l := n.instance
				if !n.alive() {
					continue
				}
				revision := l.daemon.Config().View().Revision
				if revision < highest[l] {
					k.addViolation(configMonotonic, "%s went from revision %d back to %d", n.name, highest[l], revision)
				}
				highest[l] = max(highest[l], revision)
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-done:
				result <- k.violations
				return
			}
		}
	}()
	return func() []violation {
		close(done)
		return <-result
	}
}
