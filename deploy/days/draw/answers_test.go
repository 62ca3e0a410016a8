package main

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSelectedEventsExist: a selected kind or variant that the tables lack would silently never be drawn.
func TestSelectedEventsExist(t *testing.T) {
	selections := append([]selection{{kind: "garble", variants: garbleVariants[0]}, {kind: "garble", variants: garbleVariants[1]}}, answerFaults...)
	for _, s := range selections {
		checkSelection(t, faults, s)
	}
	for _, s := range answerPlans {
		checkSelection(t, plans, s)
	}
}

func checkSelection(t *testing.T, from []template, s selection) {
	t.Helper()
	selected := selectTemplates(from, []selection{s})
	assert.Assert(t, len(selected) > 0, "no template of kind %s", s.kind)
	if s.variants == nil {
		return
	}
	for _, template := range selected {
		assert.DeepEqual(t, template.variants, s.variants)
	}
}

// TestAnswerDaysHaveBothFramings: a day without either framing does not show how answers of that framing end.
func TestAnswerDaysHaveBothFramings(t *testing.T) {
	for seed := range uint64(50) {
		day := generateAnswerDay(options{Seed: seed, Seconds: 30, Faults: 6, Plans: 3})
		garbles := strings.Count(day, `kind = "garble"`)
		unframedGarbles := strings.Count(day, `how = "unframed"`)
		assert.Assert(t, unframedGarbles > 0 && garbles > unframedGarbles, "seed %d:\n%s", seed, day)
		assert.Equal(t, strings.Count(day, "{ at = "), 9, "seed %d:\n%s", seed, day)
	}
}
