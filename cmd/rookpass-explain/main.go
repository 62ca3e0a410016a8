// Command rookpass-explain explains from the logs of front daemons why programs failed or were late.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/testing/programreport"
)

type options struct {
	Top      int `long:"top" default:"20" description:"largest number of programs, and of rows of each summary table, to print"`
	Programs int `long:"programs" default:"100000" description:"largest number of programs to keep in memory"`
	Files    struct {
		Logs []string `positional-arg-name:"LOG" description:"logs of front daemons; - or none is standard input"`
	} `positional-args:"yes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if err := run(&opts, os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "rookpass-explain:", err)
		os.Exit(1)
	}
}

func run(opts *options, stdin io.Reader, stdout io.Writer) error {
	if opts.Top < 0 {
		return fmt.Errorf("--top must not be negative")
	}
	if opts.Programs < 1 {
		return fmt.Errorf("--programs must be greater than 0")
	}
	logs := opts.Files.Logs
	if len(logs) == 0 {
		logs = []string{"-"}
	}
	analysis := programreport.New(opts.Programs)
	for _, name := range logs {
		if err := read(analysis, name, stdin); err != nil {
			return err
		}
	}
	return analysis.Report().Write(stdout, opts.Top)
}

func read(analysis *programreport.Analysis, name string, stdin io.Reader) error {
	if name == "-" {
		return analysis.Read("stdin", stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened read-only
	return analysis.Read(name, file)
}
