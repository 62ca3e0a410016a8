// Command driver plays the scripted cases of the review: it starts the daemons of the deploy file on loopback addresses
// with stand-ins for the platform, the model servers and the clients, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

func main() {
	play := flag.String("case", "retirement", "retirement or retirements")
	binary := flag.String("binary", "target/rookpass-node", "program of the daemons")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0: without disruptions; final: only the final fault; retire: only the retirements; 1: all")
	keep := flag.String("keep", "", "directory for settings, data and logs; a temporary one that is removed if empty")
	flag.Parse()
	os.Exit(run(*play, *binary, *recordPath, *trouble, *keep))
}

func run(play, binary, recordPath, trouble, keep string) int {
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return statusNotRun
	}
	dir := keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "rookpass-review-"); err != nil {
			fmt.Fprintln(os.Stderr, "driver:", err)
			return statusNotRun
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	if binary, err = filepath.Abs(binary); err != nil {
		fmt.Fprintln(os.Stderr, "driver:", err)
		return statusNotRun
	}
	c := &setting{record: r}
	defer c.close()
	cases := map[string]func(trouble, binary, dir string) int{"retirement": c.playRetirement, "retirements": c.playRetirements}
	if cases[play] == nil {
		return c.notRun("no case %q", play)
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, os.Interrupt, syscall.SIGTERM)
	result := make(chan int, 1)
	go func() { result <- cases[play](trouble, binary, dir) }()
	select {
	case status := <-result:
		return status
	case <-ended:
		return statusNotRun
	}
}
