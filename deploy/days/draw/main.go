// Command draw prints a random day (a test scenario) for the users' benchmark, generated from a seed. The random
// scenarios of the benchmark itself only have the events that a site lists; these may have events of any kind.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Seed    uint64  `long:"seed" default:"1" description:"random seed"`
	Seconds float64 `long:"seconds" default:"30" description:"time within which events start, in seconds"`
	Faults  int     `long:"faults" default:"6" description:"number of faults"`
	Grown   bool    `long:"grown" description:"also generate the faults that only grown sites support"`
	Plans   int     `long:"plans" default:"3" description:"number of planned operations"`
	Outages bool    `long:"outages" description:"generate a day of outages of the platform's store instead: changes queue up until its return, daemons are killed meanwhile, and servers are removed right after"`
	Answers bool    `long:"answers" description:"generate a day on which backend servers' answers are broken off in every way: garbled with and without framing, reset, cut, lost, and ended by crashes, releases and removals"`
}

// template is a kind of event with the ranges of its random parameters. A parameter with a zero range is left out.
type template struct {
	kind, on              string
	variants              []string
	count                 int
	share, x, length, gap [2]float64
}

var (
	shortDuration = [2]float64{2, 6}
	smallShare    = [2]float64{0.1, 0.4}
)

// faults are the faults that the benchmark can inject on every site.
var faults = []template{
	{kind: "burst", x: [2]float64{1.4, 2.2}, length: shortDuration},
	{kind: "give_up", share: smallShare, length: shortDuration},
	{kind: "srv_slow", share: smallShare, x: [2]float64{2, 6}, length: shortDuration},
	{kind: "srv_crash", share: [2]float64{0.05, 0.25}, variants: []string{"", "dark", "gone", "domain"}, length: shortDuration},
	{kind: "srv_grey", share: [2]float64{0.05, 0.2}, x: [2]float64{0.2, 0.6}, variants: []string{"errors", "shed", "busy", "hang", "reset", "mute"}, length: shortDuration},
	{kind: "srv_cut", share: smallShare, variants: []string{"", "fronts", "some", "some lossy", "one_way", "reset", "reborn"}, length: shortDuration},
	{kind: "replace_with_reuse", share: [2]float64{0.05, 0.2}, variants: []string{"", "drain", "dark"}},
	{kind: "answer_lost", share: smallShare, x: [2]float64{0.02, 0.06}, variants: []string{"", "reset"}, length: shortDuration},
	{kind: "garble", share: smallShare, x: [2]float64{0.01, 0.04}, variants: []string{"", "extra", "unframed", "early", "extra late"}, length: shortDuration},
	{kind: "node_kill", share: smallShare, variants: []string{"", "power", "turn"}, length: shortDuration},
	{kind: "node_freeze", share: smallShare, variants: []string{"", "meet"}, length: shortDuration},
	{kind: "node_slow", share: smallShare, x: [2]float64{3, 6}, length: shortDuration},
	{kind: "node_cut", share: smallShare, variants: []string{"", "all", "servers", "meet", "reset"}, length: shortDuration},
	{kind: "herd_kill", share: [2]float64{0.3, 0.7}, variants: []string{"", "power"}},
	{kind: "herd_kill", on: "core", variants: []string{"", "off"}, length: shortDuration},
	{kind: "clock_step", share: smallShare, x: [2]float64{500, 4000}, variants: []string{"back", "ahead"}, length: shortDuration},
	{kind: "reset_conns", share: smallShare, x: [2]float64{0.3, 0.9}},
	{kind: "platform_down", variants: []string{"silent", "busy", "reset", "silent lapse", "reset lapse"}, length: shortDuration},
	{kind: "platform_down", share: smallShare, variants: []string{"nodes busy", "nodes many", "nodes reset", "nodes silent meet", "nodes silent drain"}, length: shortDuration},
	{kind: "platform_slow", x: [2]float64{20, 80}, length: shortDuration},
	{kind: "platform_lost", x: [2]float64{0.2, 0.5}, variants: []string{"", "late"}, length: shortDuration},
	{kind: "platform_compact", x: [2]float64{2, 6}, variants: []string{"", "drain"}, length: shortDuration},
	{kind: "core_cut", on: "store", count: 1, variants: []string{"", "reset", "behind", "split", "all", "near", "one_way", "relieve", "lure", "both"}, length: shortDuration},
	{kind: "node_kill", on: "store", count: 1, variants: []string{"", "power"}, length: shortDuration},
	{kind: "node_freeze", on: "store", count: 1, length: shortDuration},
	{kind: "node_slow", on: "store", count: 1, x: [2]float64{3, 6}, length: shortDuration},
	{kind: "disk_stall", on: "store", count: 1, length: shortDuration},
	{kind: "after_ack_kill", on: "store", count: 1, variants: []string{"", "kill", "timed", "taken"}, length: shortDuration},
	{kind: "after_ack_wipe", on: "store", count: 1, variants: []string{"", "oldest"}, length: shortDuration},
}

// extendedFaults are the additional faults that grown sites support.
var extendedFaults = []template{
	{kind: "idle_race", share: smallShare, x: [2]float64{100, 500}, length: shortDuration},
	{kind: "srv_flap", share: [2]float64{0.05, 0.2}, gap: [2]float64{0.5, 2}, length: shortDuration},
	{kind: "srv_lying_health", share: [2]float64{0.05, 0.2}, variants: []string{"errors", "hang", "reset", "bad"}, length: shortDuration},
}

// plans are the planned operations that the benchmark can perform.
var plans = []template{
	{kind: "release", share: [2]float64{0.2, 0.6}, x: [2]float64{1, 2}, gap: [2]float64{0.5, 1.5}},
	{kind: "scale_in", share: [2]float64{0.05, 0.2}, variants: []string{"", "spot", "reclaim"}, length: shortDuration},
	{kind: "scale_out", share: smallShare, gap: [2]float64{0.5, 2}},
	{kind: "roll_term", share: [2]float64{0.3, 1}, x: [2]float64{1, 1}, gap: [2]float64{0.8, 2}, variants: []string{"", "busy"}},
	{kind: "hup", share: smallShare, gap: [2]float64{0.5, 2}},
	{kind: "config_change", variants: []string{"route", "weights", "timeout", "idle"}},
	{kind: "big_config", count: 300},
	{kind: "replace_core", on: "store", x: [2]float64{1, 3}, variants: []string{"", "oldest", "planned"}},
	{kind: "replace_core", x: [2]float64{1, 3}, variants: []string{"", "planned"}},
	{kind: "add_nodes", count: 1},
	{kind: "add_nodes", on: "store", count: 1},
	{kind: "retire", length: [2]float64{6, 9}, variants: []string{"", "wipe"}},
}

// closings are the events at the end of a day; empty means none.
var closings = []string{
	"",
	`{ kind = "power_off_all", down_s = 1.0, how = "all" }`,
	`{ kind = "power_off_all", down_s = 1.0, how = "all taken" }`,
	`{ kind = "kill_all", down_s = 1.0, how = "timed" }`,
	`{ kind = "wipe_after_ack", down_s = 1.0, how = "all oldest" }`,
	`{ kind = "wipe_after_ack", down_s = 1.0, how = "" }`,
	`{ kind = "wipe_after_ack", down_s = 1.0, how = "all" }`,
	`{ kind = "wipe_after_ack", down_s = 1.5, how = "all taken" }`,
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if opts.Outages {
		fmt.Print(generateOutageDay(opts))
		return
	}
	if opts.Answers {
		fmt.Print(generateAnswerDay(opts))
		return
	}
	fmt.Print(generateDay(opts))
}

func generateDay(opts options) string {
	random := rand.New(rand.NewPCG(opts.Seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"drawn-%d\"\nseed = %d\nplan = [\n", opts.Seed, opts.Seed)
	for range opts.Plans {
		b.WriteString(randomEvent(random, plans, opts.Seconds))
	}
	b.WriteString("]\nfaults = [\n")
	kinds := faults
	if opts.Grown {
		kinds = slices.Concat(faults, extendedFaults)
	}
	for range opts.Faults {
		b.WriteString(randomEvent(random, kinds, opts.Seconds))
	}
	b.WriteString("]\n")
	return b.String() + randomClosing(random)
}

// randomClosing returns the line with a random closing event, or an empty string.
func randomClosing(random *rand.Rand) string {
	event := closings[random.IntN(len(closings))]
	if event == "" {
		return ""
	}
	return fmt.Sprintf("closing = %s\n", event)
}

// randomEvent returns a random event from the given templates as an entry of a TOML list.
func randomEvent(random *rand.Rand, from []template, seconds float64) string {
	t := from[random.IntN(len(from))]
	text := fmt.Sprintf("  { at = %.1f, kind = %q", 1+(seconds-1)*random.Float64(), t.kind)
	if t.on != "" {
		text += fmt.Sprintf(", on = %q", t.on)
	}
	if t.count != 0 {
		text += fmt.Sprintf(", count = %d", t.count)
	}
	for _, field := range []struct {
		name  string
		bound [2]float64
	}{{"share", t.share}, {"x", t.x}, {"for_s", t.length}, {"gap_s", t.gap}} {
		if field.bound[1] != 0 {
			text += fmt.Sprintf(", %s = %.2f", field.name, field.bound[0]+(field.bound[1]-field.bound[0])*random.Float64())
		}
	}
	if len(t.variants) > 0 {
		text += fmt.Sprintf(", how = %q", t.variants[random.IntN(len(t.variants))])
	}
	return text + " },\n"
}
