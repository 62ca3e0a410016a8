package replica

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

const (
	// unresponsiveTimeout is how long a disk's daemon must not have answered before a spare disk takes its slot: longer
	// than a restart of the daemon, shorter than the time in which a lost disk must be replaced.
	unresponsiveTimeout = 2 * time.Second
	// pingTimeout bounds a ping. A slow VM still answers within it.
	pingTimeout = 600 * time.Millisecond
)

// findSlot returns a slot that this disk may take over, or -1: the one that this VM's lost disk held, else one whose
// daemon is unresponsive, else one that is to be emptied. The last comes behind the others because its disk still
// serves and may find another way out of its slot.
func (c *Controller) findSlot(ctx context.Context, l *layout.Layout) int {
	node := c.store.Self().Node
	for i, slot := range l.Slots {
		if slot.Disk.Node == node || slot.Joining != nil && slot.Joining.Node == node {
			return i
		}
	}
	unresponsive, suspected := c.pingAll(ctx, l)
	if len(unresponsive) > l.Tolerance {
		return -1 // more than may be lost: this VM is probably cut off itself
	}
	for _, i := range unresponsive {
		if joining := l.Slots[i].Joining; joining == nil || c.unresponsive(*joining) {
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

// pingAll pings every disk that holds or joins a slot. It returns the slots whose holder has been unresponsive for
// unresponsiveTimeout, and whether another holder did not answer this time.
func (c *Controller) pingAll(ctx context.Context, l *layout.Layout) (unresponsive []int, suspected bool) {
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
			delete(c.unresponsiveSince, disk.ID)
		} else if _, known := c.unresponsiveSince[disk.ID]; !known {
			c.unresponsiveSince[disk.ID] = now
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
		_, missed := c.unresponsiveSince[slot.Disk.ID]
		switch {
		case slot.Vacant || !missed:
		case c.unresponsive(slot.Disk):
			unresponsive = append(unresponsive, i)
		default:
			suspected = true
		}
	}
	return unresponsive, suspected
}

func (c *Controller) unresponsive(disk layout.Disk) bool {
	since, known := c.unresponsiveSince[disk.ID]
	return known && time.Since(since) >= unresponsiveTimeout
}
