package balance_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// start returns the ID of a server's start.
func start(server string, born int64) incarnation.ID {
	return incarnation.ID{Server: server, Born: born}
}

func startsOf(server string, born ...int64) []*catalog.Server {
	var list []*catalog.Server
	for _, b := range born {
		list = append(list, &catalog.Server{ID: start(server, b), Service: "svc", DataCentre: "here", Slots: 6})
	}
	return list
}

// TestNewStartHasNoHistory checks that neither cached prompts, latency, failures and load nor the reports of others
// carry over to a server's next start.
func TestNewStartHasNoHistory(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	old, new := startsOf("a", 1), startsOf("a", 2)
	b.RecordCached(turn.CachedPrompt{Server: old[0].ID, Part: "own", Held: 900})
	for range 3 {
		pick(t, b, balance.Request{Servers: old}).Done(balance.Failed)
	}
	pick(t, b, balance.Request{Servers: old})
	b.SetPeerReports(map[incarnation.ID]int{old[0].ID: 5}, nil)
	b.SetPeerLoads(map[incarnation.ID]int{old[0].ID: 300})
	assert.Assert(t, b.View(old[0].ID).Ejected)
	assert.DeepEqual(t, b.View(new[0].ID), balance.View{})
	list := append(new, startsOf("b", 1)...)
	list[1].DataCentre = "there"
	choice := pick(t, b, balance.Request{Servers: list, PromptTokens: 1000, Parts: []call.PromptPart{{ID: "own", Tokens: 1000}}})
	assert.Equal(t, choice.Server.ID, new[0].ID, "the new start must be neither ejected nor suspected nor loaded")
	assert.Equal(t, choice.InFlight, 0)
	assert.Equal(t, choice.Uncached, int64(1000), "its prompt cache must be empty")
}

// TestCallsAtEarlierStartsEnd checks that calls to an earlier start are cancelled once the later start is known, also
// those registered after that.
func TestCallsAtEarlierStartsEnd(t *testing.T) {
	b := balance.New("front", place.Topology{DataCentre: "here"})
	causes := map[string]context.Context{}
	bind := func(name string, server []*catalog.Server) *balance.Choice {
		choice := pick(t, b, balance.Request{Servers: server})
		ctx, cancel := context.WithCancelCause(context.Background())
		choice.CancelOnRestart(cancel)
		causes[name] = ctx
		return choice
	}
	bind("earlier", startsOf("a", 1))
	bind("ended", startsOf("a", 1)).Done(balance.Answered)
	bind("other server", startsOf("b", 1))
	bind("same start", startsOf("a", 2))
	bind("no start known", startsOf("a", 0))
	late := pick(t, b, balance.Request{Servers: startsOf("a", 1)})
	assert.Equal(t, b.ServerStarted(start("a", 2)), 1)
	ctx, cancel := context.WithCancelCause(context.Background())
	late.CancelOnRestart(cancel)
	causes["bound too late"] = ctx
	assert.Equal(t, b.ServerStarted(start("a", 1)), 0, "a late report must not end calls at the later start")
	for name, ctx := range causes {
		ended := name == "earlier" || name == "bound too late"
		assert.Equal(t, context.Cause(ctx) == balance.ErrRestarted, ended, "call %q: %v", name, context.Cause(ctx))
	}
}
