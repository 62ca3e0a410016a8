package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// coldPerSecond is how many requests a second a cold server can take, coldMost how many it may get in any second.
const (
	coldPerSecond = 24.0
	coldMost      = coldPerSecond*1.5 + 5
)

// arrivals holds when each server got requests.
type arrivals map[incarnation.ID][]time.Time

// worst returns the largest number of requests that a server got within a second.
func (a arrivals) worst() int {
	most := 0
	for _, times := range a {
		for i := range times {
			n := 0
			for j := i; j < len(times) && times[j].Sub(times[i]) < time.Second; j++ {
				n++
			}
			most = max(most, n)
		}
	}
	return most
}

// simulateColdStart lets daemons send perSecond requests a second to warm servers and to cold ones that all start at
// once, and returns what the cold ones got. bounded tells whether the service bounds what cold servers get.
func simulateColdStart(t *testing.T, seed uint64, daemons, warm, cold, perSecond int, bounded bool) (got arrivals, refused int) {
	random := rand.New(rand.NewPCG(seed, 9))
	var balancers []*balance.Balancer
	for i := range daemons {
		b := balance.New(fmt.Sprint("front-", seed, "-", i), place.Topology{DataCentre: "here"})
		b.SetPeerCount(daemons - 1)
		b.SetPeerDemand(map[string]int{"svc": perSecond / 10})
		balancers = append(balancers, b)
	}
	coldUntil := map[incarnation.ID]time.Time{}
	list := servers(warm + cold)
	for _, server := range list[warm:] {
		coldUntil[server.ID] = time.Now().Add(3 * time.Second)
	}
	if !bounded {
		coldUntil = nil
	}
	got = arrivals{}
	for tick := range 60 {
		n := perSecond / 20
		if tick == 0 {
			n = 3 * daemons // every daemon has turns that wait
		}
		for range n {
			req := balance.Request{Route: "r", Servers: list, DataCentres: 1, PromptTokens: 100, ColdPerSecond: coldPerSecond,
				Constraints: catalog.Constraints{ColdUntil: coldUntil, Now: time.Now()}}
			choice, found := balancers[random.IntN(daemons)].Pick(&req)
			if !found {
				refused++
				continue
			}
			if server := choice.Server.ID; time.Now().Before(coldUntil[server]) || !bounded {
				got[server] = append(got[server], time.Now())
			}
			choice.HeadReceived()
			choice.Done(balance.Answered)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return got, refused
}

// TestColdServersAreNotOverloaded checks that all daemons together stay within the rate of a cold server in any
// second, with warm servers and without.
func TestColdServersAreNotOverloaded(t *testing.T) {
	for _, daemons := range []int{8, 62, 259} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				got, refused := simulateColdStart(t, seed, daemons, 30, 15, 600, true)
				assert.Equal(t, len(got), 0, "warm servers must get all requests")
				assert.Equal(t, refused, 0)
			})
			synctest.Test(t, func(t *testing.T) {
				got, _ := simulateColdStart(t, seed, daemons, 0, 15, 600, true)
				worst := got.worst()
				assert.Assert(t, float64(worst) <= coldMost, "%d daemons, seed %d: %d requests in a second", daemons, seed, worst)
				assert.Assert(t, worst > 0, "cold servers must get some requests")
			})
		}
	}
}

// TestColdOverloadIsDetected checks that without a bound the check of cold servers fails.
func TestColdOverloadIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, _ := simulateColdStart(t, 1, 62, 0, 3, 600, false)
		assert.Assert(t, float64(got.worst()) > coldMost)
	})
}

// TestColdServersUnusedBeforePeersAreKnown checks that a daemon that does not know how many daemons there are sends
// nothing to cold servers.
func TestColdServersUnusedBeforePeersAreKnown(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	list := servers(3)
	coldUntil := map[incarnation.ID]time.Time{}
	for _, server := range list {
		coldUntil[server.ID] = time.Now().Add(time.Hour)
	}
	_, found := b.Pick(&balance.Request{Servers: list, ColdPerSecond: coldPerSecond, Constraints: catalog.Constraints{ColdUntil: coldUntil, Now: time.Now()}})
	assert.Assert(t, !found)
}
