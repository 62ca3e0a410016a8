package balance

import (
	"container/list"
	"slices"

	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// maxParts bounds the prompt parts remembered for one server. Engines hold 70,000 to 340,000 tokens, and parts have
// some 300.
const maxParts = 1024

// partCache tracks which prompt parts a server has cached. It evicts the least recently used parts, as engines do;
// evicting the oldest ones would lose the shared parts.
type partCache struct {
	byID  map[string]*list.Element
	order *list.List // of *cachedPart, the most recently used in front
}

// cachedPart is a part and how many of its tokens are cached: the part of a session grows with each turn.
type cachedPart struct {
	id     string
	tokens int64
}

func newPartCache() *partCache {
	return &partCache{byID: map[string]*list.Element{}, order: list.New()}
}

// add records that the server has cached tokens of a part.
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

// addPrompt records that the server reads a prompt.
func (c *partCache) addPrompt(parts []call.PromptPart) {
	for _, part := range parts {
		c.add(part.ID, part.Tokens)
	}
}

// cachedTokens returns how many tokens at the start of a prompt are cached. A part is only of use behind all parts
// before it, so a server that has cached one has cached those too.
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

// RecordCached records what servers have cached, as reported by this daemon or others.
func (b *Balancer) RecordCached(places ...turn.CachedPrompt) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range places {
		b.stateOf(p.Server).parts.add(p.Part, p.Held)
	}
}
