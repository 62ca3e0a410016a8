package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	// unframed is the garble variant whose answers end with their connection.
	unframed = "unframed"
	// garbleInterval: every garbleInterval-th fault of a day of broken-off answers garbles answers.
	garbleInterval = 3
	// minGarbles is the minimum number of garble faults: one with unframed answers and one with framed ones.
	minGarbles = 2
)

// selection selects the templates of a kind. A nil list of variants keeps all of a template's variants.
type selection struct {
	kind     string
	variants []string
}

// garbleVariants are alternately drawn, so that every day has unframed and framed garbled answers.
var garbleVariants = [][]string{{unframed}, {"", "extra", "early", "extra late"}}

// answerFaults are the faults that break off answers, or the connections that carry them.
var answerFaults = []selection{
	{kind: "srv_crash"},
	{kind: "srv_grey", variants: []string{"hang", "reset"}},
	{kind: "reset_conns"},
	{kind: "srv_cut", variants: []string{"reset"}},
	{kind: "answer_lost"},
	{kind: "node_kill"},
	{kind: "herd_kill"},
}

// answerPlans are the planned operations that end daemons or backend servers while they answer.
var answerPlans = []selection{{kind: "release"}, {kind: "scale_in"}}

// selectTemplates returns the selected templates, reduced to the selected variants.
func selectTemplates(from []template, selections []selection) []template {
	var selected []template
	for _, s := range selections {
		for _, t := range from {
			if t.kind != s.kind {
				continue
			}
			if s.variants != nil {
				t.variants = slices.DeleteFunc(slices.Clone(t.variants), func(v string) bool { return !slices.Contains(s.variants, v) })
			}
			selected = append(selected, t)
		}
	}
	return selected
}

// generateAnswerDay returns a day on which answers of backend servers are broken off in every way.
func generateAnswerDay(opts options) string {
	random := rand.New(rand.NewPCG(opts.Seed, 3))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"answers-%d\"\nseed = %d\nplan = [\n", opts.Seed, opts.Seed)
	for range opts.Plans {
		b.WriteString(randomEvent(random, selectTemplates(plans, answerPlans), opts.Seconds))
	}
	b.WriteString("]\nfaults = [\n")
	garbles := max(minGarbles, opts.Faults/garbleInterval)
	for i := range garbles {
		garble := selection{kind: "garble", variants: garbleVariants[i%len(garbleVariants)]}
		b.WriteString(randomEvent(random, selectTemplates(faults, []selection{garble}), opts.Seconds))
	}
	for range opts.Faults - garbles {
		b.WriteString(randomEvent(random, selectTemplates(faults, answerFaults), opts.Seconds))
	}
	b.WriteString("]\n")
	return b.String() + randomClosing(random)
}
