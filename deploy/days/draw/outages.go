package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// Times of a day with outages, in seconds.
const (
	// changeInterval is the time between two configuration changes. Changes during an outage are acknowledged together
	// at its end.
	changeInterval = 2.0
	// outageGap is the minimum time between the end of an outage and the start of the next.
	outageGap = 5.0
)

// outageVariants are the variants of an outage of the platform's store.
var outageVariants = []string{"silent", "busy", "reset", "silent lapse", "busy lapse", "reset lapse"}

// killEvents are the events that kill daemons during an outage.
var killEvents = []string{
	`kind = "node_kill", share = 0.4, for_s = 1.0`,
	`kind = "node_kill", share = 0.6, for_s = 1.0`,
	`kind = "herd_kill", share = 0.6`,
	`kind = "node_kill", on = "store", count = 1, for_s = 1.0`,
	`kind = "herd_kill", on = "core"`,
}

// generateOutageDay returns a day with repeated outages of the platform's store.
func generateOutageDay(opts options) string {
	random := rand.New(rand.NewPCG(opts.Seed, 1))
	var plans, faults []string
	for at := changeInterval; at < opts.Seconds+outageGap; at += changeInterval {
		how := []string{"timeout", "idle", "route"}[random.IntN(3)]
		plans = append(plans, fmt.Sprintf(`at = %.1f, kind = "config_change", how = %q`, at, how))
	}
	for at := 3 + 3*random.Float64(); at < opts.Seconds-outageGap; at += outageGap {
		length := 3 + 6*random.Float64()
		how := outageVariants[random.IntN(len(outageVariants))]
		faults = append(faults, fmt.Sprintf(`at = %.1f, kind = "platform_down", for_s = %.1f, how = %q`, at, length, how))
		for range 1 + random.IntN(2) {
			kill := killEvents[random.IntN(len(killEvents))]
			faults = append(faults, fmt.Sprintf("at = %.1f, %s", at+length*random.Float64(), kill))
		}
		at += length
		plans = append(plans, fmt.Sprintf(`at = %.1f, kind = "scale_in", share = 0.06`, at+0.1+3*random.Float64()))
	}
	day := fmt.Sprintf("[[day]]\nname = \"outages-%d\"\nseed = %d\nplan = [\n%s]\nfaults = [\n%s]\n",
		opts.Seed, opts.Seed, joinEvents(plans), joinEvents(faults))
	// A separate generator, so that the outages of a seed do not depend on the list of closings.
	closingRandom := rand.New(rand.NewPCG(opts.Seed, 2))
	return day + randomClosing(closingRandom)
}

func joinEvents(bodies []string) string {
	var b strings.Builder
	for _, body := range bodies {
		b.WriteString("  { " + body + " },\n")
	}
	return b.String()
}
