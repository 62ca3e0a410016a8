package faultmatrix

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// skipUnlessMeasuring skips a measurement unless ROOKPASS_MEASURE is set. Measurements are in virtual time: they include
// timers, messages and the delay of the object API, but no CPU time.
func skipUnlessMeasuring(t *testing.T) {
	t.Helper()
	if os.Getenv("ROOKPASS_MEASURE") == "" {
		t.Skip("set ROOKPASS_MEASURE=1 to run measurements")
	}
}

// repeats is the number of runs per measurement, each with another seed.
const repeats = 40

// quantiles formats the median, the 99th percentile (nearest rank) and the maximum of values, which it sorts.
func quantiles(values []time.Duration) string {
	slices.Sort(values)
	at := func(q float64) time.Duration { return values[min(len(values)-1, int(q*float64(len(values))))] }
	return fmt.Sprintf("p50 %v, p99 %v, max %v (n=%d)", at(0.5).Round(time.Millisecond), at(0.99).Round(time.Millisecond),
		values[len(values)-1].Round(time.Millisecond), len(values))
}

// TestMeasureTakeover prints the time from the kill, freeze or planned stop of an owner to the first served call.
func TestMeasureTakeover(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, f := range faults {
		if f.name != "owner killed" && f.name != "planned stop of the owner" && f.name != "owner frozen past its lease" {
			continue
		}
		var times []time.Duration
		for seed := range uint64(repeats) {
			testbubble.Run(t, func(t *testing.T) {
				c := newCluster(t, 8, seed)
				setAPIDelay(c, normalDelay)
				a := newAgent(c, c.nodes[0])
				id, err := a.start("key", 0)
				assert.NilError(t, err)
				owner := c.ownerOf(id)
				if a.entry == owner {
					a.switchNode()
				}
				began := time.Now()
				undo := f.inject(c, owner, a.entry)
				_, err = a.call(modelCall(id, 1))
				assert.NilError(t, err)
				times = append(times, time.Since(began))
				undo()
			})
		}
		fmt.Printf("| 8 daemons, first call after: %s | %s |\n", f.name, quantiles(times))
	}
}

// TestMeasureConfiguration prints the time until a change is in force on all daemons.
func TestMeasureConfiguration(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, cut := range []bool{false, true} {
		var times []time.Duration
		for seed := range uint64(repeats) {
			testbubble.Run(t, func(t *testing.T) {
				c := newCluster(t, 8, seed)
				setAPIDelay(c, normalDelay)
				if cut {
					c.nodes[3].fault.SetFault(apitest.Down)
				}
				<-time.After(3*time.Second + time.Duration(seed)*97*time.Millisecond)
				began := time.Now()
				version := c.put(definitionWith(77))
				for _, n := range c.nodes {
					for n.instance.daemon.Config().AsOf() < version {
						<-time.After(time.Millisecond)
					}
				}
				times = append(times, time.Since(began))
			})
		}
		fmt.Printf("| change in force on 8 daemons, one cut off from the object API: %t | %s |\n", cut, quantiles(times))
	}
}

// apiCalls returns the total requests of all daemons to the object API.
func (c *cluster) apiCalls() (reads, writes int) {
	for _, n := range c.nodes {
		r, w := n.fault.Counts()
		reads, writes = reads+r, writes+w
	}
	return reads, writes
}

// TestMeasureObjectAPI prints the object API requests per daemon and second when idle, under load and in a takeover.
func TestMeasureObjectAPI(t *testing.T) {
	skipUnlessMeasuring(t)
	const span, loadSpan = 60 * time.Second, 20 * time.Second
	for _, daemons := range []int{4, 8, 16, 32} {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, daemons, 1)
			setAPIDelay(c, normalDelay)
			<-time.After(20 * time.Second)
			reads, writes := c.apiCalls()
			<-time.After(span)
			r, w := c.apiCalls()
			per := func(n int) float64 { return float64(n) / span.Seconds() / float64(daemons) }
			fmt.Printf("| %d daemons, idle: reads and watches, writes per daemon-second | %.2f, %.2f |\n", daemons, per(r-reads), per(w-writes))
			reads, writes = c.apiCalls()
			c.kill(c.nodes[0])
			<-time.After(10 * time.Second)
			r, w = c.apiCalls()
			fmt.Printf("| %d daemons, takeover of one in 10 s: reads and watches, writes in all | %d, %d |\n", daemons, r-reads, w-writes)
		})
	}
	for _, rate := range []int{1, 5, 10} {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, 8, 1)
			setAPIDelay(c, normalDelay)
			<-time.After(20 * time.Second)
			reads, writes := c.apiCalls()
			calls := loadFor(c, rate*len(c.nodes), loadSpan)
			r, w := c.apiCalls()
			per := func(n int) float64 { return float64(n) / loadSpan.Seconds() / 8 }
			fmt.Printf("| 8 daemons, %d calls/s each (%d model calls): reads and watches, writes per daemon-second | %.2f, %.2f |\n",
				rate, calls, per(r-reads), per(w-writes))
		})
	}
}

// loadFor makes model calls at a rate per second, spread over all daemons, and returns the number of calls.
func loadFor(c *cluster, rate int, span time.Duration) int {
	answered := make(chan int)
	for i := range rate {
		go func() {
			// Each agent makes one call per second; the agents start spread over one second.
			<-time.After(time.Second * time.Duration(i) / time.Duration(rate))
			a := newAgent(c, c.nodes[i%len(c.nodes)])
			count := 0
			id, err := a.start(fmt.Sprintf("load-%d", i), 0)
			for began := time.Now(); err == nil && time.Since(began) < span-time.Second; count++ {
				next := time.After(time.Second)
				_, err = a.call(modelCall(id, uint64(count+1)))
				<-next
			}
			answered <- count
		}()
	}
	total := 0
	for range rate {
		total += <-answered
	}
	return total
}

// TestMeasureDurability prints the latency that the journal adds to a call if the object API has a delay of 50 ms.
func TestMeasureDurability(t *testing.T) {
	skipUnlessMeasuring(t)
	for _, rate := range []int{1, 50, 500} {
		testbubble.Run(t, func(t *testing.T) {
			c := newCluster(t, 1, 1)
			setAPIDelay(c, 50*time.Millisecond)
			var times []time.Duration
			results := make(chan time.Duration)
			caller := c.client(c.nodes[0])
			ids := make([]string, rate)
			for i := range ids {
				a := newAgent(c, c.nodes[0])
				id, err := a.start(fmt.Sprint(i), 0)
				assert.NilError(t, err)
				ids[i] = id
			}
			for i, id := range ids {
				go func() {
					<-time.After(time.Second * time.Duration(i) / time.Duration(rate))
					for sequence := range uint64(4) {
						next := time.After(time.Second)
						began := time.Now()
						_, err := caller.Call(context.Background(), modelCall(id, sequence+1), nil)
						took := time.Since(began)
						if err == nil && sequence > 0 {
							results <- took - engineTime
						} else {
							results <- -1
						}
						<-next
					}
				}()
			}
			for range rate * 4 {
				if took := <-results; took >= 0 {
					times = append(times, took)
				}
			}
			fmt.Printf("| object API at 50 ms, %d calls/s: added by the journal | %s |\n", rate, quantiles(times))
		})
	}
}

// engineTime is the engine's time for an answer of 8 tokens.
const engineTime = 20*time.Millisecond + 7*10*time.Millisecond
