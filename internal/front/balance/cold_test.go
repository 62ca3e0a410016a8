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

// What a cold server bears a second, and what it may get in the worst second.
const (
	coldPerSecond = 24.0
	coldMost      = coldPerSecond*1.5 + 5
)

// arrivals are when each server got requests.
type arrivals map[incarnation.ID][]time.Time

// worst returns the most requests that any server got within any second.
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

// simulateColdStart lets daemons send perSecond requests a second to warm servers and to cold ones that have just come, all at once
// at the start, and returns what the cold ones got. bounded tells whether the cold ones' service names a bound.
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

// TestColdServersAreNotOverloaded: over all daemons, in any second, with warm servers beside them and without.
func TestColdServersAreNotOverloaded(t *testing.T) {
	for _, daemons := range []int{8, 62, 259} {
		for seed := range uint64(5) {
			synctest.Test(t, func(t *testing.T) {
				got, refused := simulateColdStart(t, seed, daemons, 30, 15, 600, true)
				assert.Equal(t, len(got), 0, "warm servers take all")
				assert.Equal(t, refused, 0)
			})
			synctest.Test(t, func(t *testing.T) {
				got, _ := simulateColdStart(t, seed, daemons, 0, 15, 600, true)
				worst := got.worst()
				assert.Assert(t, float64(worst) <= coldMost, "%d daemons, seed %d: %d in a second", daemons, seed, worst)
				assert.Assert(t, worst > 0, "they are used")
			})
		}
	}
}

// TestColdOverloadIsDetected what goes wrong where nothing bounds them.
func TestColdOverloadIsDetected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		got, _ := simulateColdStart(t, 1, 62, 0, 3, 600, false)
		assert.Assert(t, float64(got.worst()) > coldMost)
	})
}

// TestColdServersUnusedBeforePeersAreKnown: a daemon that does not know how many there are sends them nothing.
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
