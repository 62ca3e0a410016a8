package balance_test

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/call"
)

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// mostMemory is what a daemon may remember of servers after ten turns, however many servers there are.
const mostMemory = 64 << 10

// TestMemoryFollowsTheServersMet, and not those that there are.
func TestMemoryFollowsTheServersMet(t *testing.T) {
	list := servers(10_000)
	b := balance.New("front", place.Topology{DataCentre: "here"})
	before := liveBytes()
	for range 10 {
		ask := balance.Request{Route: "r", Servers: list, PromptTokens: 3000, Parts: []call.PromptPart{{ID: "shared", Tokens: 2560}}}
		b.UnloadedDuration(&ask, 40)
		choice := pick(t, b, ask)
		choice.HeadReceived()
		choice.Done(balance.Answered)
	}
	held := liveBytes() - before
	t.Logf("%d bytes", held)
	assert.Assert(t, held <= mostMemory, "%d bytes", held)
	runtime.KeepAlive(b)
	runtime.KeepAlive(list)
}

// BenchmarkTurn is the choice of a server for a turn among 5,000, of which a daemon has met few.
func BenchmarkTurn(b *testing.B) {
	list := servers(5000)
	balancer := balance.New("front", place.Topology{DataCentre: "here"})
	balancer.SetPeerDemand(map[string]int{"svc": 60})
	for b.Loop() {
		ask := balance.Request{Route: "r", Servers: list, PromptTokens: 3000, Parts: []call.PromptPart{{ID: "shared", Tokens: 2560}}}
		balancer.UnloadedDuration(&ask, 40)
		choice, _ := balancer.Pick(&ask)
		choice.HeadReceived()
		choice.Done(balance.Answered)
	}
}
