package balance

import (
	"container/list"
	"slices"

	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// maxParts bounds the prompt parts remembered of one server. Engines so far hold 70,000 to 340,000 tokens, and
// parts have some 300.
const maxParts = 1024

// partCache remembers what a server has of prompts, forgetting those parts first that were used longest ago, as
// engines do. Forgetting those first that were read first would lose the shared parts.
type partCache struct {
	byID  map[string]*list.Element
	order *list.List // of *heldPart, the one used last in front
}

// cachedPart is a part with the tokens of it that the server holds: the part of a session grows with each turn.
type cachedPart struct {
	id     string
	tokens int64
}

func newPartCache() *partCache {
	return &partCache{byID: map[string]*list.Element{}, order: list.New()}
}

// add notes that the server holds tokens of a part.
func (c *partCache) add(id string, tokens int64) {
	e := c.byID[id]
	if e == nil {
		e = c.order.PushFront(&cachedPart{id: id})
		c.byID[id] = e
	}
	c.order.MoveToFront(e)
	held := e.Value.(*cachedPart)
	held.tokens = max(held.tokens, tokens)
	for c.order.Len() > maxParts {
		last := c.order.Remove(c.order.Back()).(*cachedPart)
		delete(c.byID, last.id)
	}
}

// addPrompt notes that the server reads a prompt.
func (c *partCache) addPrompt(parts []call.PromptPart) {
	for _, part := range parts {
		c.add(part.ID, part.Tokens)
	}
}

// cachedTokens returns how many tokens at the start of a prompt the server holds. A part is of use only behind all
// before it, so a server that is known to hold one holds those too.
func (c *partCache) cachedTokens(parts []call.PromptPart) int64 {
	for i, part := range slices.Backward(parts) {
		e := c.byID[part.ID]
		if e == nil {
			continue
		}
		tokens := min(part.Tokens, e.Value.(*cachedPart).tokens)
		for _, before := range parts[:i] {
			tokens += before.Tokens
		}
		return tokens
	}
	return 0
}

// RecordCached notes what servers are known to hold, from this daemon or from others.
func (b *Balancer) RecordCached(places ...turn.CachedPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range places {
		b.stateOf(p.Server).parts.add(p.Part, p.Held)
	}
}
