// Command draw prints a day of the users' bench with troubles drawn by a seed, for hunts of our own: the bench's
// own hunts mix only the troubles that a site names, while any kind may come.
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
	Seed    uint64  `long:"seed" default:"1" description:"seed of the draw"`
	Seconds float64 `long:"seconds" default:"30" description:"time within which troubles begin"`
	Faults  int     `long:"faults" default:"6" description:"how many faults"`
	Grown   bool    `long:"grown" description:"also the troubles that only the grown sites know"`
	Plans   int     `long:"plans" default:"3" description:"how many pieces of planned work"`
	Outages bool    `long:"outages" description:"a day of outages of the platform's store instead: changes queue up and are acknowledged at its return, daemons are killed meanwhile, servers leave right after"`
}

// trouble is one kind with the ranges of its figures; a zero range leaves a figure out.
type trouble struct {
	kind, on              string
	hows                  []string
	count                 int
	share, x, length, gap [2]float64
}

var (
	seconds = [2]float64{2, 6}
	some    = [2]float64{0.1, 0.4}
)

// faults and plans are what the bench can do to a deployment of these sites.
var faults = []trouble{
	{kind: "burst", x: [2]float64{1.4, 2.2}, length: seconds},
	{kind: "give_up", share: some, length: seconds},
	{kind: "srv_slow", share: some, x: [2]float64{2, 6}, length: seconds},
	{kind: "srv_crash", share: [2]float64{0.05, 0.25}, hows: []string{"", "dark", "gone", "domain"}, length: seconds},
	{kind: "srv_grey", share: [2]float64{0.05, 0.2}, x: [2]float64{0.2, 0.6}, hows: []string{"errors", "shed", "busy", "hang", "reset", "mute"}, length: seconds},
	{kind: "srv_cut", share: some, hows: []string{"", "fronts", "some", "some lossy", "one_way", "reset", "reborn"}, length: seconds},
	{kind: "replace_with_reuse", share: [2]float64{0.05, 0.2}, hows: []string{"", "drain", "dark"}},
	{kind: "answer_lost", share: some, x: [2]float64{0.02, 0.06}, hows: []string{"", "reset"}, length: seconds},
	{kind: "garble", share: some, x: [2]float64{0.01, 0.04}, hows: []string{"", "extra", "unframed", "early", "extra late"}, length: seconds},
	{kind: "node_kill", share: some, hows: []string{"", "power", "turn"}, length: seconds},
	{kind: "node_freeze", share: some, hows: []string{"", "meet"}, length: seconds},
	{kind: "node_slow", share: some, x: [2]float64{3, 6}, length: seconds},
	{kind: "node_cut", share: some, hows: []string{"", "all", "servers", "meet", "reset"}, length: seconds},
	{kind: "herd_kill", share: [2]float64{0.3, 0.7}, hows: []string{"", "power"}},
	{kind: "herd_kill", on: "core", hows: []string{"", "off"}, length: seconds},
	{kind: "clock_step", share: some, x: [2]float64{500, 4000}, hows: []string{"back", "ahead"}, length: seconds},
	{kind: "reset_conns", share: some, x: [2]float64{0.3, 0.9}},
	{kind: "platform_down", hows: []string{"silent", "busy", "reset", "silent lapse", "reset lapse"}, length: seconds},
	{kind: "platform_down", share: some, hows: []string{"nodes busy", "nodes many", "nodes reset", "nodes silent meet", "nodes silent drain"}, length: seconds},
	{kind: "platform_slow", x: [2]float64{20, 80}, length: seconds},
	{kind: "platform_lost", x: [2]float64{0.2, 0.5}, hows: []string{"", "late"}, length: seconds},
	{kind: "platform_compact", x: [2]float64{2, 6}, hows: []string{"", "drain"}, length: seconds},
	{kind: "core_cut", on: "store", count: 1, hows: []string{"", "reset", "behind", "split", "all", "near", "one_way", "relieve", "lure", "both"}, length: seconds},
	{kind: "node_kill", on: "store", count: 1, hows: []string{"", "power"}, length: seconds},
	{kind: "node_freeze", on: "store", count: 1, length: seconds},
	{kind: "node_slow", on: "store", count: 1, x: [2]float64{3, 6}, length: seconds},
	{kind: "disk_stall", on: "store", count: 1, length: seconds},
	{kind: "after_ack_kill", on: "store", count: 1, hows: []string{"", "kill", "timed", "taken"}, length: seconds},
	{kind: "after_ack_wipe", on: "store", count: 1, hows: []string{"", "oldest"}, length: seconds},
}

// grownFaults come only on the grown sites.
var grownFaults = []trouble{
	{kind: "idle_race", share: some, x: [2]float64{100, 500}, length: seconds},
	{kind: "srv_flap", share: [2]float64{0.05, 0.2}, gap: [2]float64{0.5, 2}, length: seconds},
	{kind: "srv_lying_health", share: [2]float64{0.05, 0.2}, hows: []string{"errors", "hang", "reset", "bad"}, length: seconds},
}

var plans = []trouble{
	{kind: "release", share: [2]float64{0.2, 0.6}, x: [2]float64{1, 2}, gap: [2]float64{0.5, 1.5}},
	{kind: "scale_in", share: [2]float64{0.05, 0.2}, hows: []string{"", "spot", "reclaim"}, length: seconds},
	{kind: "scale_out", share: some, gap: [2]float64{0.5, 2}},
	{kind: "roll_term", share: [2]float64{0.3, 1}, x: [2]float64{1, 1}, gap: [2]float64{0.8, 2}, hows: []string{"", "busy"}},
	{kind: "hup", share: some, gap: [2]float64{0.5, 2}},
	{kind: "config_change", hows: []string{"route", "weights", "timeout", "idle"}},
	{kind: "big_config", count: 300},
	{kind: "replace_core", on: "store", x: [2]float64{1, 3}, hows: []string{"", "oldest", "planned"}},
	{kind: "replace_core", x: [2]float64{1, 3}, hows: []string{"", "planned"}},
	{kind: "add_nodes", count: 1},
	{kind: "add_nodes", on: "store", count: 1},
	{kind: "retire", length: [2]float64{6, 9}, hows: []string{"", "wipe"}},
}

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
		os.Exit(2) // the parser has said why
	}
	if opts.Outages {
		fmt.Print(drawOutages(opts))
		return
	}
	fmt.Print(draw(opts))
}

func draw(opts options) string {
	random := rand.New(rand.NewPCG(opts.Seed, 0))
	var b strings.Builder
	fmt.Fprintf(&b, "[[day]]\nname = \"drawn-%d\"\nseed = %d\nplan = [\n", opts.Seed, opts.Seed)
	for range opts.Plans {
		b.WriteString(entry(random, plans, opts.Seconds))
	}
	b.WriteString("]\nfaults = [\n")
	kinds := faults
	if opts.Grown {
		kinds = slices.Concat(faults, grownFaults)
	}
	for range opts.Faults {
		b.WriteString(entry(random, kinds, opts.Seconds))
	}
	b.WriteString("]\n")
	return b.String() + closing(random)
}

// closing draws a day's end.
func closing(random *rand.Rand) string {
	end := closings[random.IntN(len(closings))]
	if end == "" {
		return ""
	}
	return fmt.Sprintf("closing = %s\n", end)
}

// entry draws one trouble.
func entry(random *rand.Rand, from []trouble, seconds float64) string {
	t := from[random.IntN(len(from))]
	text := fmt.Sprintf("  { at = %.1f, kind = %q", 1+(seconds-1)*random.Float64(), t.kind)
	if t.on != "" {
		text += fmt.Sprintf(", on = %q", t.on)
	}
	if t.count != 0 {
		text += fmt.Sprintf(", count = %d", t.count)
	}
	for _, figure := range []struct {
		name  string
		bound [2]float64
	}{{"share", t.share}, {"x", t.x}, {"for_s", t.length}, {"gap_s", t.gap}} {
		if figure.bound[1] != 0 {
			text += fmt.Sprintf(", %s = %.2f", figure.name, figure.bound[0]+(figure.bound[1]-figure.bound[0])*random.Float64())
		}
	}
	if len(t.hows) > 0 {
		text += fmt.Sprintf(", how = %q", t.hows[random.IntN(len(t.hows))])
	}
	return text + " },\n"
}
