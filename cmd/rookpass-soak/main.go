// Command rookpass-soak runs real daemons, injects random faults and checks the invariants.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/rookpass/rookpass/internal/testing/soak"
)

type options struct {
	Binary  string `long:"binary" default:"target/rookpass-node" description:"rookpass-node binary"`
	Seed    uint64 `long:"seed" description:"first seed; 0 derives one from the clock"`
	Runs    int    `long:"runs" default:"1" description:"number of runs, each with the next seed"`
	Plan    string `long:"plan" description:"file with a plan to replay"`
	Fronts  int    `long:"fronts" default:"3" description:"number of front daemons"`
	Stores  int    `long:"stores" default:"3" description:"number of store daemons"`
	Servers int    `long:"servers" default:"6" description:"number of backend servers"`
	Callers int    `long:"callers" default:"8" description:"number of concurrent callers"`
	Seconds int    `long:"seconds" default:"10" description:"time during which faults are injected, in seconds"`
	Network int    `long:"network" default:"11" description:"least second byte of the daemons' loopback addresses; a run that finds it in use takes the next"`
	Keep    string `long:"keep" description:"folder to move the logs of failed runs to"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2) // the parser has printed the error
	}
	failed, err := run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rookpass-soak:", err)
		os.Exit(1)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

func run(o options) (failed int, err error) {
	plans, err := loadPlans(o)
	if err != nil {
		return 0, err
	}
	for _, plan := range plans {
		dir, err := os.MkdirTemp("", "rookpass-soak")
		if err != nil {
			return failed, err
		}
		began := time.Now()
		result, err := soak.Run(context.Background(), plan, o.Binary, dir, o.Network)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w (logs in %s)", plan.Seed, err, dir)
		}
		fmt.Printf("seed %d: %d faults, %.0f s, %v\n", plan.Seed, len(plan.Faults), time.Since(began).Seconds(), result.Counts)
		if len(result.Violations) == 0 {
			_ = os.RemoveAll(dir) // a leftover folder only takes space
			continue
		}
		failed++
		for _, text := range result.Violations {
			fmt.Println("  violation:", text)
		}
		fmt.Println("  plan:", plan)
		if err := keepLogs(o.Keep, dir, plan); err != nil {
			return failed, err
		}
	}
	fmt.Printf("%d runs, %d with violations\n", len(plans), failed)
	return failed, nil
}

func loadPlans(o options) ([]soak.Plan, error) {
	if o.Plan != "" {
		data, err := os.ReadFile(o.Plan)
		if err != nil {
			return nil, err
		}
		plan, err := soak.ParsePlan(data)
		return []soak.Plan{plan}, err
	}
	seed := o.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	size := soak.Size{Fronts: o.Fronts, Stores: o.Stores, Servers: o.Servers, Callers: o.Callers, Length: time.Duration(o.Seconds) * time.Second}
	var list []soak.Plan
	for i := range o.Runs {
		list = append(list, soak.GeneratePlan(seed+uint64(i), size))
	}
	return list, nil
}

// keepLogs moves a failed run's folder into the folder to, if that is set, and prints where the logs are.
func keepLogs(to, dir string, plan soak.Plan) error {
	if to == "" {
		fmt.Println("  logs:", dir)
		return nil
	}
	target := filepath.Join(to, fmt.Sprint("seed-", plan.Seed))
	if err := os.MkdirAll(to, 0o755); err != nil {
		return err
	}
	fmt.Println("  logs:", target)
	return os.Rename(dir, target)
}
