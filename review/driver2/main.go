// Command driver2 runs the scripts of the second review: real front and store daemons on loopback addresses, with stand-ins of
// the platform's store, of servers and of clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// script plays one case. It reports whether the rule was broken, or why the case could not run.
type script func(s *system, trouble bool) (broken bool, err error)

// setup is the deployment of a case.
type setup struct {
	zones, fronts, stores, tolerance int
	play                             script
}

var setups = map[string]setup{
	"first-start-killed": {zones: 3, fronts: 3, stores: 3, tolerance: 1, play: firstStartKilled},
	"first-start":        {zones: 3, fronts: 3, stores: 3, tolerance: 1, play: firstStart},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: driver2 CASE FOLDER BINARY")
		return notRun
	}
	setup, known := setups[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", os.Args[1])
		return notRun
	}
	record, err := newRecorder(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newSystem(os.Args[3], record, setup)
	if s != nil {
		defer s.close(os.Getenv("KEEP"))
	}
	if err != nil {
		record.say("could not run: %v", err)
		return notRun
	}
	isBroken, err := setup.play(s, trouble)
	switch {
	case err != nil:
		record.say("could not run: %v", err)
		return notRun
	case isBroken:
		record.say("the rule was broken")
		return broken
	default:
		record.say("the rule held")
		return held
	}
}
