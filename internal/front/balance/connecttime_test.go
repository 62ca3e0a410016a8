package balance_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// TestTurnsStayInTheirRegion checks that turns stay in their region, also where a server of another region has cached
// part of the prompt, and leave it when its servers are busy.
func TestTurnsStayInTheirRegion(t *testing.T) {
	regions := map[string]string{"a1": "a", "a2": "a", "b1": "b"}
	list := []*catalog.Server{{ID: id("home"), Service: "svc", DataCentre: "a2", Slots: 8}, {ID: id("away"), Service: "svc", DataCentre: "b1", Slots: 8}}
	req := func() balance.Request {
		return balance.Request{Route: "r", Servers: list, PromptTokens: 900, Parts: []call.PromptPart{{ID: "shared", Tokens: 800}}}
	}
	b := balance.New("front", place.Topology{DataCentre: "a1", Regions: regions})
	for range 50 {
		b.RecordConnectTime("b1", 30*time.Millisecond)
	}
	b.RecordCached(turn.CachedPrompt{Server: id("away"), Part: "shared", Held: 800})
	assert.Equal(t, pick(t, b, req()).Server.ID, id("home"), "processing 800 tokens takes 16 ms")
	went := 0
	for range 20 {
		if pick(t, b, req()).Server.ID == id("away") {
			went++
		}
	}
	assert.Assert(t, went > 0, "no turn left a region whose server has 20 calls")
}

// TestPlainCallsStayInTheirRegion checks the same for requests that are not turns.
func TestPlainCallsStayInTheirRegion(t *testing.T) {
	regions := map[string]string{"a1": "a", "b1": "b"}
	var list []*catalog.Server
	for i := range 8 {
		list = append(list, &catalog.Server{ID: id(fmt.Sprint(i)), Service: "svc", DataCentre: []string{"a1", "b1"}[i/4], Slots: 6})
	}
	b := balance.New("front", place.Topology{DataCentre: "a1", Regions: regions})
	for range 4 {
		assert.Equal(t, pick(t, b, balance.Request{Route: "r", Servers: list}).Server.DataCentre, "a1")
	}
}
