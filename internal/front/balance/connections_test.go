package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
)

// callKinds are plain calls as agent programs make them, with their mean duration and their share.
var callKinds = []struct {
	route string
	mean  time.Duration
	share float64
}{
	{"lookup", 78 * time.Millisecond, 0.7},
	{"fetch", 312 * time.Millisecond, 0.2},
	{"sync", 208 * time.Millisecond, 0.1},
}

// idleConnections tracks the servers to which a daemon has an idle connection.
type idleConnections struct {
	mu     sync.Mutex
	since  map[incarnation.ID]time.Time
	opened int
}

// idleTimeout is how long a server keeps an idle connection.
const idleTimeout = 4 * time.Second

func (r *idleConnections) has(server *catalog.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, there := r.since[server.ID]
	return there && time.Since(at) < idleTimeout
}

// take uses the idle connection, or opens one.
func (r *idleConnections) take(server *catalog.Server) {
	if !r.has(server) {
		r.opened++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.since, server.ID)
}

func (r *idleConnections) put(server *catalog.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.since[server.ID] = time.Now()
}

// TestFewConnectionsAreOpened simulates a minute of a daemon with 8 calls a second on 145 servers in five data
// centres, 29 in its own; durations vary by as much as their mean (log-normal). It guards against opening connections
// because servers that got long calls count as slow.
func TestFewConnectionsAreOpened(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(5, 6))
		sigma := math.Sqrt(math.Ln2)
		var list []*catalog.Server
		for i := range 145 { // those of its own data centre first
			list = append(list, &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: fmt.Sprint("dc", i/29), Slots: 6})
		}
		b := balance.New("front", place.Topology{DataCentre: "dc0"})
		connections := &idleConnections{since: map[incarnation.ID]time.Time{}}
		calls := 0
		for began := time.Now(); time.Since(began) < time.Minute; {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / 8))
			kind, draw := callKinds[0], random.Float64()
			for _, k := range callKinds {
				if kind = k; draw < k.share {
					break
				}
				draw -= k.share
			}
			takes := time.Duration(float64(kind.mean) * math.Exp(sigma*random.NormFloat64()-sigma*sigma/2))
			choice := pick(t, b, balance.Request{Route: kind.route, Servers: list, Connected: connections.has})
			connections.take(&choice.Server)
			calls++
			go func() {
				time.Sleep(takes)
				choice.HeadReceived()
				choice.Done(balance.Answered)
				connections.put(&choice.Server)
			}()
		}
		synctest.Wait()
		t.Logf("%d connections for %d calls", connections.opened, calls)
		assert.Assert(t, connections.opened <= 28, "%d connections for %d calls", connections.opened, calls)
		time.Sleep(time.Minute)
	})
}
