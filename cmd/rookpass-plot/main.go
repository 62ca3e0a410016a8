// Command rookpass-plot plots the benchmark runs in a journal folder, or prints the load of backend servers from the
// logs of front daemons.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/testing/loadlog"
	"github.com/rookpass/rookpass/internal/testing/plots"
	"github.com/rookpass/rookpass/platform/runlog"
)

type options struct {
	Journal string   `long:"journal" default:"journal" description:"folder with the runs"`
	Out     string   `long:"out" default:"target/plots" description:"folder to write the plots to"`
	Command []string `long:"command" default:"score" default:"hunt" description:"runs to plot, by the benchmark command that made them"`
	Log     string   `long:"log" description:"file with the logs of all front daemons of a run: print the active turns on each server instead"`
	StepMS  int      `long:"step-ms" default:"500" description:"time between two lines of the --log table, in milliseconds"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "rookpass-plot:", err)
		os.Exit(1)
	}
}

func run(opts options) error {
	if opts.Log != "" {
		return printLoad(opts.Log, time.Duration(opts.StepMS)*time.Millisecond)
	}
	runs, err := runlog.Read(opts.Journal)
	if err != nil {
		return err
	}
	wanted := map[string]bool{}
	for _, command := range opts.Command {
		wanted[command] = true
	}
	var days []plots.Day
	for _, r := range runs {
		if !wanted[r.Command] || r.Site == "" {
			continue
		}
		for _, d := range r.Days {
			days = append(days, toPlotDay(r, d))
		}
	}
	files, err := plots.Draw(opts.Out, days)
	for _, file := range files {
		fmt.Println(file)
	}
	return err
}

func printLoad(name string, step time.Duration) error {
	if step <= 0 {
		return fmt.Errorf("--step-ms must be greater than 0")
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }() // opened read-only
	turns, err := loadlog.Read(file)
	if err != nil {
		return err
	}
	return loadlog.Write(os.Stdout, turns, step)
}

func toPlotDay(r runlog.Run, d runlog.Day) plots.Day {
	deductions := make(map[string]float64, len(d.Deductions))
	for _, price := range d.Deductions {
		deductions[price.Name] += price.Amount
	}
	return plots.Day{At: r.At, Site: r.Site, Name: d.Name, Score: d.Score, VMs: d.VMs, Failed: d.Failed, Deductions: deductions}
}
