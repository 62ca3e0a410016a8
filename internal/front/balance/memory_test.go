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

// maxBytes is what a balancer may use after ten turns, however many servers there are.
const maxBytes = 64 << 10

// TestMemoryFollowsUsedServers checks that memory grows with the servers used, not with those that exist.
func TestMemoryFollowsUsedServers(t *testing.T) {
	list := servers(10_000)
	b := balance.New("front", place.Topology{DataCentre: "here"})
	before := liveBytes()
	for range 10 {
		req := balance.Request{Route: "r", Servers: list, PromptTokens: 3000, Parts: []call.PromptPart{{ID: "shared", Tokens: 2560}}}
		b.UnloadedDuration(&req, 40)
		choice := pick(t, b, req)
		choice.HeadReceived()
		choice.Done(balance.Answered)
	}
	held := liveBytes() - before
	t.Logf("%d bytes", held)
	assert.Assert(t, held <= maxBytes, "%d bytes", held)
	runtime.KeepAlive(b)
	runtime.KeepAlive(list)
}

// BenchmarkTurn chooses a server for a turn among 5,000, of which the daemon has used few.
func BenchmarkTurn(b *testing.B) {
	list := servers(5000)
	balancer := balance.New("front", place.Topology{DataCentre: "here"})
	balancer.SetPeerDemand(map[string]int{"svc": 60})
	for b.Loop() {
		req := balance.Request{Route: "r", Servers: list, PromptTokens: 3000, Parts: []call.PromptPart{{ID: "shared", Tokens: 2560}}}
		balancer.UnloadedDuration(&req, 40)
		choice, _ := balancer.Pick(&req)
		choice.HeadReceived()
		choice.Done(balance.Answered)
	}
}
