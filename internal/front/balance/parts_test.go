package balance

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// TestPartsInUseAreNotEvicted checks that a shared part that comes with every prompt outlives the private ones,
// however many of those there are.
func TestPartsInUseAreNotEvicted(t *testing.T) {
	p := newPartCache()
	private := func(i int) []call.PromptPart {
		return []call.PromptPart{{ID: "shared", Tokens: 500}, {ID: fmt.Sprint("private-", i), Tokens: 100}}
	}
	for i := range 3 * maxParts {
		p.addPrompt(private(i))
	}
	assert.Equal(t, p.cachedTokens(private(3*maxParts-1)), int64(600))
	assert.Equal(t, p.cachedTokens(private(0)), int64(500), "the least recently used part must be evicted")
	assert.Equal(t, p.order.Len(), maxParts)
}

// TestSessionsPartGrows checks that a server has cached of a session's part what it read last, not what the session
// has now.
func TestSessionsPartGrows(t *testing.T) {
	p := newPartCache()
	prompt := func(tokens int64) []call.PromptPart {
		return []call.PromptPart{{ID: "shared", Tokens: 500}, {ID: "session", Tokens: tokens}}
	}
	p.addPrompt(prompt(300))
	assert.Equal(t, p.cachedTokens(prompt(900)), int64(800))
	p.add("session", 380) // the response
	assert.Equal(t, p.cachedTokens(prompt(900)), int64(880))
	p.addPrompt(prompt(900))
	assert.Equal(t, p.cachedTokens(prompt(900)), int64(1400))
	assert.Equal(t, p.cachedTokens([]call.PromptPart{{ID: "other", Tokens: 400}, {ID: "new", Tokens: 100}}), int64(0))
}

// TestTurnsFollowPeerReports checks that a session's next turn goes to the server that another daemon reports to have
// cached its prompt, though this daemon never sent it any part of it.
func TestTurnsFollowPeerReports(t *testing.T) {
	a, b, c := incarnation.ID{Server: "a"}, incarnation.ID{Server: "b"}, incarnation.ID{Server: "c"}
	list := []*catalog.Server{{ID: a, Slots: 8}, {ID: b, Slots: 8}, {ID: c, Slots: 8}}
	prompt := []call.PromptPart{{ID: "shared", Tokens: 500}, {ID: "parent", Tokens: 2000}, {ID: "session", Tokens: 700}}
	for range 20 {
		balancer := New("front", place.Topology{})
		balancer.RecordCached(turn.CachedPrompt{Server: b, Part: "parent", Held: 2000})
		balancer.RecordCached(turn.CachedPrompt{Server: c, Part: "session", Held: 400})
		choice, found := balancer.Pick(&Request{Servers: list, PromptTokens: 3200, Parts: prompt})
		assert.Assert(t, found)
		assert.Equal(t, choice.Server.ID, c)
		first, found := balancer.Pick(&Request{Servers: list, PromptTokens: 2600, Parts: append(prompt[:2:2], call.PromptPart{ID: "helper", Tokens: 100})})
		assert.Assert(t, found)
		assert.Equal(t, first.Server.ID, b, "a helper's prompt begins with its parent's")
	}
}
