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

// invariant is a property that must always hold. It is part of the names of subtests.
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

// violation is a violation of an invariant.
type violation struct {
	invariant invariant
	detail    string
}

func (v violation) String() string { return fmt.Sprintf("%s: %s", v.invariant, v.detail) }

// checker compares what callers observed with what backend servers executed and what rookpass reports.
type checker struct {
	c          *cluster
	h          *history
	violations []violation
}

func (k *checker) addViolation(p invariant, format string, args ...any) {
	k.violations = append(k.violations, violation{p, fmt.Sprintf(format, args...)})
}

// check checks the invariants that can be checked from a history. The programs must have been read into it.
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

// answerBytes is the length of every model answer: the engines generate the maximum number of tokens of the definition.
const answerBytes = 8 * 4

// order checks that the sequence numbers of stored calls are 1, 2, 3 …, and that their effects are in that order.
func (k *checker) order() {
	for id, program := range k.h.programs {
		for i, turn := range program.History {
			if turn.Sequence != uint64(i+1) {
				k.addViolation(inOrder, "program %s has sequence %d at position %d", id, turn.Sequence, i+1)
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
			k.addViolation(inOrder, "effect of call %d of %s came after that of call %d", sequence, program, last[program])
		}
		last[program] = sequence
	}
}

// histories checks that each answered call is in its program's history with the answer that the caller got, and that the
// history has no calls of other programs and no duplicates.
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
			k.addViolation(historyComplete, "call %s was answered with %q, the history has %q", o.call.RequestId, o.output, program.History[i].Output)
		}
	}
	for id, program := range k.h.programs {
		seen := map[string]bool{}
		for _, turn := range program.History {
			if !strings.HasSuffix(turn.RequestId, "@"+id) || seen[turn.RequestId] {
				k.addViolation(historyComplete, "history of program %s has foreign or duplicate call %s", id, turn.RequestId)
			}
			seen[turn.RequestId] = true
		}
	}
}

// budgets checks that the tokens which backend servers spent for a program and its sub-agents are within its budget.
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
			k.addViolation(withinBudget, "program %s: budget %d, spent %d, reported %d", id, program.BudgetTokens, spent[id], program.SpentTokens)
		}
	}
}

// memory checks that no engine has cache of an ended program.
func (k *checker) memory() {
	for i, engine := range k.c.engines {
		for _, tag := range engine.HeldTags() {
			if k.h.ended[rootProgram(tag)] {
				k.addViolation(memoryFreed, "engine %d has cache of ended program %s", i+1, tag)
			}
		}
	}
}

// answers checks that each answer is complete and belongs to its request. The client has already compared lengths.
func (k *checker) answers() {
	for _, o := range k.h.outcomes {
		if !o.answered || o.verdict != verdict.Ran {
			continue
		}
		if len(o.output) == 0 {
			k.addViolation(answerComplete, "call %s has an empty answer", o.call.RequestId)
		}
		if o.call.Kind == rookpassv1.CallKind_CALL_KIND_MODEL && len(o.output) != answerBytes {
			k.addViolation(answerComplete, "call %s got %d of %d bytes", o.call.RequestId, len(o.output), answerBytes)
		}
		if o.call.Kind == rookpassv1.CallKind_CALL_KIND_TOOL && !bytes.Contains(o.output, o.call.Input) {
			k.addViolation(answerComplete, "call %s got the answer of another call: %q", o.call.RequestId, o.output)
		}
	}
}

// refusals checks that a call of which all attempts were rejected as not run has no effect.
func (k *checker) refusals() {
	for _, o := range k.h.outcomes {
		refused := !o.answered && len(o.attemptErrors) > 0 && !slices.ContainsFunc(o.attemptErrors, func(err error) bool { return !isNotRun(err) })
		if refused && k.ran(o.call.RequestId) > 0 {
			k.addViolation(refusalTrue, "call %s was rejected as not run but ran", o.call.RequestId)
		}
	}
}

// repeats checks that each tool call has at most one effect, and exactly one if it was answered with the verdict Ran.
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
			k.addViolation(answerComplete, "call %s was answered but did not run", o.call.RequestId)
		}
	}
}

// ran returns the number of effects of a tool call.
func (k *checker) ran(requestID string) int {
	count := 0
	for _, effect := range k.c.tool.Effects() {
		if effect.RequestID == requestID {
			count++
		}
	}
	return count
}

// configTimeout is the time within which a change must be in force on every daemon that is not isolated.
const configTimeout = 10 * time.Second

// watchConfig samples the configuration revision of every running daemon until stopped, and returns a violation for each
// decrease.
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
					k.addViolation(configMonotonic, "%s reverted from revision %d to %d", n.name, highest[l], revision)
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
