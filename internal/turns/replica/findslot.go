package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const (
	// goneAfter is how long a disk's daemon must not have answered before a spare disk takes its slot: longer
	// than a restart, shorter than the time in which a lost disk has to be replaced.
	goneAfter = 2 * time.Second
	// pingTimeout bounds a ping; a slowed VM still answers within it.
	pingTimeout = 600 * time.Millisecond
)

// vacant returns a slot that this disk may take over, or -1: the one that this VM's lost disk held, one whose
// daemon has not answered for long, or one that is to be emptied. A disk that is gone comes before one that is to
// be emptied: that one may find another way, and still serves.
func (c *Controller) vacant(ctx context.Context, l *layout.Layout) int {
	node := c.store.Self().Node
	for i, slot := range l.Slots {
		if slot.Disk.Node == node || slot.Joining != nil && slot.Joining.Node == node {
			return i
		}
	}
	silent, suspected := c.ping(ctx, l)
	if len(silent) > l.Tolerance {
		return -1 // more are silent than may be lost: more likely it is this VM that is cut off
	}
	for _, i := range silent {
		if joining := l.Slots[i].Joining; joining == nil || c.silent(*joining) {
			return i
		}
	}
	if suspected {
		return -1
	}
	for i, slot := range l.Slots {
		if slot.Joining == nil && !slot.Leaving && c.retirements.Retiring(slot.Disk.Node) {
			return i
		}
	}
	return -1
}

// ping asks every disk that holds or joins a slot. It returns the slots whose holder has been silent for long,
// and whether another holder has not answered just now.
func (c *Controller) ping(ctx context.Context, l *layout.Layout) (silent []int, suspected bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	now := time.Now()
	ask := func(disk layout.Disk) {
		defer wg.Done()
		ctx, cancel := context.WithTimeout(ctx, pingTimeout)
		defer cancel()
		reply, err := peerlink.Call[PingReply](ctx, c.links.LinkTo(disk.Address), ServiceName+".Ping", &PingArgs{Disk: disk.ID})
		mu.Lock()
		defer mu.Unlock()
		if err == nil && reply.Header.Status == OK {
			delete(c.silentSince, disk.ID)
		} else if _, known := c.silentSince[disk.ID]; !known {
			c.silentSince[disk.ID] = now
		}
	}
	for _, slot := range l.Slots {
		if slot.Vacant {
			continue
		}
		wg.Add(1)
		go ask(slot.Disk)
		if slot.Joining != nil {
			wg.Add(1)
			go ask(*slot.Joining)
		}
	}
	wg.Wait()
	for i, slot := range l.Slots {
		_, missed := c.silentSince[slot.Disk.ID]
		switch {
		case slot.Vacant || !missed:
		case c.silent(slot.Disk):
			silent = append(silent, i)
		default:
			suspected = true
		}
	}
	return silent, suspected
}

func (c *Controller) silent(disk layout.Disk) bool {
	since, known := c.silentSince[disk.ID]
	return known && time.Since(since) >= goneAfter
}
