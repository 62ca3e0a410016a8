package ledger

import (
	"container/list"
	"sync"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// recordOverheadBytes approximates the memory of a cached record beside its input and output.
const recordOverheadBytes = 300

// turnCache is an LRU cache of turns, bounded in bytes.
type turnCache struct {
	limitBytes int
	// memory bounds the cache together with what else the daemon holds; nil for no such bound. It must be set before the
	// first use.
	memory *membudget.Budget

	mu        sync.Mutex
	sizeBytes int
	order     *list.List // of *turn.Record, most recently used first
	byID      map[string]*list.Element
}

func newTurnCache(limit int) *turnCache {
	return &turnCache{limitBytes: limit, order: list.New(), byID: map[string]*list.Element{}}
}

func cachedBytes(r *turn.Record) int { return len(r.Input) + len(r.Output) + recordOverheadBytes }

func (c *turnCache) add(r *turn.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[r.ID] != nil || !c.reserve(cachedBytes(r)) {
		return
	}
	c.byID[r.ID] = c.order.PushFront(r)
	c.sizeBytes += cachedBytes(r)
	for c.sizeBytes > c.limitBytes && c.order.Len() > 0 {
		last := c.order.Back()
		old := c.order.Remove(last).(*turn.Record)
		delete(c.byID, old.ID)
		c.sizeBytes -= cachedBytes(old)
		c.release(cachedBytes(old))
	}
}

// reserve reserves memory for a turn, and reports whether it fits. Turns that do not fit are not cached: requests need
// the memory more.
func (c *turnCache) reserve(n int) bool {
	return c.memory == nil || c.memory.Reserve(membudget.CachedTurns, int64(n), membudget.Large) == nil
}

func (c *turnCache) release(n int) {
	if c.memory != nil {
		c.memory.Release(membudget.CachedTurns, int64(n))
	}
}

func (c *turnCache) get(id string) *turn.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*turn.Record)
}
