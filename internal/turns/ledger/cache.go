package ledger

import (
	"container/list"
	"sync"

	"github.com/rookpass/rookpass/internal/turns/turn"
)

// recordOverhead is about what a cached record takes beside its texts.
const recordOverhead = 300

// cache keeps the turns used last, up to a number of bytes.
type cache struct {
	limit int

	mu    sync.Mutex
	size  int
	order *list.List // of *turn.Record, the one used last in front
	byID  map[string]*list.Element
}

func newCache(limit int) *cache {
	return &cache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

func cost(r *turn.Record) int { return len(r.Input) + len(r.Output) + recordOverhead }

func (c *cache) add(r *turn.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byID[r.ID] != nil {
		return
	}
	c.byID[r.ID] = c.order.PushFront(r)
	c.size += cost(r)
	for c.size > c.limit && c.order.Len() > 0 {
		last := c.order.Back()
		old := c.order.Remove(last).(*turn.Record)
		delete(c.byID, old.ID)
		c.size -= cost(old)
	}
}

func (c *cache) get(id string) *turn.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.byID[id]
	if e == nil {
		return nil
	}
	c.order.MoveToFront(e)
	return e.Value.(*turn.Record)
}
