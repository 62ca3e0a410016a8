package balance

import (
	"container/list"
	"slices"

	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// partLimit bounds the prompt parts remembered of one server. Engines so far hold 70,000 to 340,000 tokens, and
// parts have some 300.
const partLimit = 1024

// partSet remembers what a server has of prompts, forgetting those parts first that were used longest ago, as
// engines do. Forgetting those first that were read first would lose the shared parts.
type partSet struct {
	byID  map[string]*list.Element
	order *list.List // of *heldPart, the one used last in front
}

// heldPart is a part with the tokens of it that the server holds: the part of a session grows with each turn.
type heldPart struct {
	id     string
	tokens int64
}

func newPartSet() *partSet { return &partSet{byID: map[string]*list.Element{}, order: list.New()} }

// hold notes that the server holds tokens of a part.
func (p *partSet) hold(id string, tokens int64) {
	e := p.byID[id]
	if e == nil {
		e = p.order.PushFront(&heldPart{id: id})
		p.byID[id] = e
	}
	p.order.MoveToFront(e)
	held := e.Value.(*heldPart)
	held.tokens = max(held.tokens, tokens)
	for p.order.Len() > partLimit {
		last := p.order.Remove(p.order.Back()).(*heldPart)
		delete(p.byID, last.id)
	}
}

// read notes that the server reads a prompt.
func (p *partSet) read(parts []call.PromptPart) {
	for _, part := range parts {
		p.hold(part.ID, part.Tokens)
	}
}

// cached returns how many tokens at the start of a prompt the server holds. A part is of use only behind all
// before it, so a server that is known to hold one holds those too.
func (p *partSet) cached(parts []call.PromptPart) int64 {
	for i, part := range slices.Backward(parts) {
		e := p.byID[part.ID]
		if e == nil {
			continue
		}
		tokens := min(part.Tokens, e.Value.(*heldPart).tokens)
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
		b.state(p.Server).parts.hold(p.Part, p.Held)
	}
}
