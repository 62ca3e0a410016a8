package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelCount   = 3
	programCount = 40
	// downTime is how long a machine that lost power is away.
	downTime = 2 * time.Second
	// checkTime is how long requests are sent and counted after the recovery, requestPause the time between two.
	checkTime    = 6 * time.Second
	requestPause = 100 * time.Millisecond
	// servedShare is the share of the requests that rule RECOVER names.
	servedShare = 0.25
)

// setting is a running deployment with its servers and clients.
type setting struct {
	record *record
	system *system
	models []*modelServer
	client *client
	// servedBefore is the share of the programs whose turns were answered whole before the final fault.
	servedBefore float64
}

// program is an agent program whose first turns were answered whole before the final fault.
type program struct {
	name string
	last string
}

func (c *setting) close() {
	if c.system != nil {
		c.system.close()
	}
	for _, m := range c.models {
		_ = m.http.Close()
	}
}

func (c *setting) notRun(format string, args ...any) int {
	c.record.event("not run: "+format, args...)
	fmt.Fprintf(os.Stderr, "driver: "+format+"\n", args...)
	return statusNotRun
}

// start starts the deployment and waits until traffic may start.
func (c *setting) start(d deployment, binary, dir string) error {
	var err error
	if c.system, err = newSystem(d, binary, dir, c.record); err != nil {
		return err
	}
	for i := range modelCount {
		m, err := startModel(fmt.Sprintf("i-7f3a91c%d", i), c.record)
		if err != nil {
			return err
		}
		c.models = append(c.models, m)
		c.system.store.Set("servers", m.id, map[string]any{"service": "huvo11a", "address": m.address, "zone": d.zones[i%len(d.zones)], "version": "v1",
			"slots": serverSlots, "state": "ready", "cold_left_ms": 0, "stage": "both", "call_seq": 1,
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}})
	}
	c.system.store.Set("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{"name": "r-2b9wu3f", "host": host, "path_prefix": "/pufi791/", "kind": "stream", "timeout_ms": turnDeadline.Milliseconds(), "slo_ms": 200,
			"priority": 0, "service": "huvo11a", "max_attempts": 2, "retain": true, "retain_s": 60.0, "sticky": true, "can_resume": false, "gap_target_ms": 300}},
		"services": []any{map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": serverSlots, "kv_capacity": 342837, "event_tokens": tokensPerEvent, "most": 12, "models": []any{map[string]any{"name": "m"}}}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err := c.system.startAll(); err != nil {
		return err
	}
	c.client = &client{record: c.record}
	for _, m := range c.system.machines {
		if m.class == "front" {
			c.client.fronts = append(c.client.fronts, m)
		}
	}
	return nil
}

// runPrograms runs two turns of each of some programs and returns those whose turns were answered whole.
func (c *setting) runPrograms(prefix string) []program {
	var done []program
	for i := range programCount {
		p := program{name: fmt.Sprintf("%s%06x", prefix, 0xfa8100+i)}
		for range 2 {
			last, whole := c.completeTurn(p, i)
			if !whole {
				p.last = ""
				break
			}
			p.last = last
		}
		if p.last != "" {
			done = append(done, p)
		}
	}
	c.record.event("%d of %d programs have turns that were answered whole", len(done), programCount)
	return done
}

// completeTurn sends a turn until it is answered whole, three times at most, and returns its id.
func (c *setting) completeTurn(p program, front int) (id string, whole bool) {
	for try := range 3 {
		t := c.client.newTurn(p.name, p.last)
		if a := c.client.send(t, front+try); a.whole {
			return t.id, true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "", false
}

// loseDisks makes machines lose power and their disks at the same moment, and starts them again after downTime.
func (c *setting) loseDisks(names ...string) error {
	for _, name := range names {
		if err := c.system.loseDisk(c.system.machine(name)); err != nil {
			return err
		}
	}
	time.Sleep(downTime)
	for _, name := range names {
		if err := c.system.start(c.system.machine(name)); err != nil {
			return err
		}
	}
	return nil
}

// checkService checks the rule RECOVER right after the final fault: of the requests that are sent once the recovery is
// over, a quarter must be served.
func (c *setting) checkService(programs []program) int {
	recovered := time.Now().Add(c.system.recoveryTime)
	var sent, served atomic.Int64
	var wg sync.WaitGroup
	for i := 0; time.Now().Before(recovered.Add(checkTime)); i++ {
		t := c.client.newTurn(fmt.Sprintf("%08x", 0x77d20b00+i), "")
		if i%2 == 0 {
			t = c.client.newTurn(fmt.Sprintf("%08x", 0x99d20b00+i), programs[i/2%len(programs)].last)
		}
		counted := time.Now().After(recovered)
		wg.Go(func() {
			a := c.client.send(t, i)
			if counted {
				sent.Add(1)
			}
			if counted && a.whole {
				served.Add(1)
			}
		})
		time.Sleep(requestPause)
	}
	wg.Wait()
	c.record.event("before the final fault %.0f%% of the programs were served; of the requests sent over %.0f s after the machines were back, %d of %d were served",
		100*c.servedBefore, c.system.recoveryTime.Seconds(), served.Load(), sent.Load())
	if c.servedBefore >= servedShare && float64(served.Load()) < servedShare*float64(sent.Load()) {
		c.record.event("RECOVER is broken")
		return statusBroken
	}
	c.record.event("RECOVER holds")
	return statusHeld
}
