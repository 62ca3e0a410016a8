package exchange_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/exchange"
)

// TestReplyIsSumOfLatestReports compares replies to random reports with a model that adds up the latest unexpired
// reports.
func TestReplyIsSumOfLatestReports(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) { checkSums(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func checkSums(t *testing.T, r *rand.Rand) {
	s := exchange.NewService()
	last, at := map[string]*exchange.Args{}, map[string]time.Time{}
	for range 60 {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		args := randomReport(r)
		last[args.From], at[args.From] = args, time.Now()
		var reply exchange.Reply
		assert.NilError(t, s.Swap(args, &reply))
		want := exchange.Reply{Peers: reply.Peers, Suspects: map[incarnation.ID]int{}, Failing: map[incarnation.ID]int{},
			Demand: map[string]int{}, Levels: map[exchange.ServiceLevel]int{}, Started: map[exchange.ServiceLevel]int{}, Loads: map[incarnation.ID]int{}}
		for from, said := range last {
			age := time.Since(at[from])
			if from == args.From || age > 6*time.Second {
				continue
			}
			want.Daemons++
			want.Here++
			countIDs(want.Suspects, said.Suspects)
			if age > 3*exchange.ReportInterval {
				continue
			}
			countIDs(want.Failing, said.Failing)
			want.Demand["m"] += said.Demand["m"]
			for _, key := range serviceLevels {
				want.Levels[key] += said.Levels[key]
				want.Started[key] += said.Started[key]
			}
			want.Loads[id("s1")] += said.Loads[id("s1")]
		}
		maps.DeleteFunc(want.Demand, func(_ string, n int) bool { return n == 0 })
		maps.DeleteFunc(want.Started, func(_ exchange.ServiceLevel, n int) bool { return n == 0 })
		maps.DeleteFunc(want.Levels, func(_ exchange.ServiceLevel, n int) bool { return n == 0 })
		maps.DeleteFunc(want.Loads, func(_ incarnation.ID, n int) bool { return n == 0 })
		assert.DeepEqual(t, reply, want)
		assert.Equal(t, len(reply.Peers), want.Daemons)
	}
}

// serviceLevels are those of random reports.
var serviceLevels = []exchange.ServiceLevel{{Service: "m"}, {Service: "m", Level: 2}}

func randomReport(r *rand.Rand) *exchange.Args {
	args := &exchange.Args{From: fmt.Sprint(r.IntN(6)), Demand: map[string]int{"m": r.IntN(4)}, Loads: map[incarnation.ID]int{id("s1"): r.IntN(10)},
		Levels: map[exchange.ServiceLevel]int{}, Started: map[exchange.ServiceLevel]int{}}
	for _, key := range serviceLevels {
		args.Levels[key], args.Started[key] = r.IntN(4), r.IntN(3)
	}
	for _, server := range []string{"s1", "s2"} {
		if r.IntN(2) == 0 {
			args.Suspects = append(args.Suspects, id(server))
		}
		if r.IntN(2) == 0 {
			args.Failing = append(args.Failing, id(server))
		}
	}
	return args
}

func countIDs(sums map[incarnation.ID]int, ids []incarnation.ID) {
	for _, id := range ids {
		sums[id]++
	}
}

// BenchmarkSwap measures one report among 259 daemons, each with two suspects and the loads of ten servers.
func BenchmarkSwap(b *testing.B) {
	s := exchange.NewService()
	reports := make([]*exchange.Args, 259)
	for i := range reports {
		args := &exchange.Args{From: fmt.Sprint("front-", i), Demand: map[string]int{"m": i % 7}, Loads: map[incarnation.ID]int{},
			Suspects: []incarnation.ID{id(fmt.Sprint(i % 3)), id(fmt.Sprint(i % 5))}}
		for j := range 10 {
			args.Loads[id(fmt.Sprint((i+13*j)%128))] = 1 + j
		}
		reports[i] = args
	}
	b.ResetTimer()
	for i := range b.N {
		var reply exchange.Reply
		if err := s.Swap(reports[i%len(reports)], &reply); err != nil {
			b.Fatal(err)
		}
	}
}
