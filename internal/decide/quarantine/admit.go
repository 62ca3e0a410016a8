package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

const (
	// holdTime is how long a copy of a suspected request waits for a permit at most, permitPause the pause between two tries.
	holdTime    = 400 * time.Millisecond
	permitPause = 20 * time.Millisecond
	// busyRetry is when a caller whose copy got no permit may come back.
	busyRetry = 500 * time.Millisecond
	// maxStalledRate is how many stalled copies a second all front daemons together tell the registrars, stalledBurst how many one
	// may tell at once. Registrars take some 4 KB a second for them.
	maxStalledRate = 20
	stalledBurst   = 4
)

// Admit returns once a copy of a request may be sent, or with a state that refuses it. Of suspected requests the copies in flight are
// bounded over all daemons; the permit of one must be released. The permit of any other request is nil. left is the time
// until the request's deadline; 0 if it has none.
func (c *Client) Admit(ctx context.Context, keys []Key, owner Owner, left time.Duration) (*Permit, State) {
	began := time.Now()
	for {
		state := c.State(keys)
		if state.Quarantined || !state.Suspect {
			return nil, state
		}
		permit := newPermit(keys)
		hold := holdTime
		admission := c.askPermit(ctx, permit, owner, left)
		switch admission {
		case Admitted:
			return permit, state
		case Awaited:
			hold = givenUpHold
		case Forbidden:
			if state = c.State(keys); state.Quarantined {
				return nil, state
			}
		}
		pause := permitPause + rand.N(permitPause)
		timeUp := time.Since(began)+pause > hold
		if timeUp || wait.For(ctx, pause) != nil {
			state = c.State(keys)
			if timeUp && admission == Awaited && len(state.Ends) == 0 {
				return nil, state // copies that were given up are no reason to refuse a request
			}
			state.Quarantined, state.Unsure, state.Until = true, true, time.Now().Add(busyRetry)
			return nil, state
		}
	}
}

// askPermit asks the registrars for a permit, which a majority has to grant. While none of them answers, this daemon goes by what
// it knows.
func (c *Client) askPermit(ctx context.Context, permit *Permit, owner Owner, left time.Duration) Admission {
	c.mu.Lock()
	args := &AdmitArgs{ID: permit.ID, Requests: c.describe(time.Now(), permit.Keys, owner).Requests, For: maxPermitTime}
	c.mu.Unlock()
	if left > 0 {
		args.For = min(left, maxPermitTime)
	}
	ctx, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	addresses := c.registrars()
	replies := make(chan *AdmitReply, len(addresses))
	for _, address := range addresses {
		go func() {
			reply, err := peerlink.Call[AdmitReply](ctx, c.reports.LinkTo(address), ServiceName+".Admit", args)
			if err != nil {
				reply = nil // a registrar that does not answer has no vote
			}
			replies <- reply
		}()
	}
	granted, denied := 0, Admitted
	for range addresses {
		reply := <-replies
		if reply == nil {
			continue
		}
		c.applyReply(&ReportReply{Requests: reply.Requests})
		denied = max(denied, reply.Admission)
		if reply.Admission == Admitted {
			granted++
		}
		if granted > len(addresses)/2 {
			return Admitted
		}
	}
	if denied != Admitted {
		c.Release(permit)
	}
	return denied
}

// Copy is a copy of a request that is sent to a server.
type Copy struct {
	Keys   []Key
	Owner  Owner
	Server incarnation.ID
	// Attempt is the ID of the caller's attempt.
	Attempt string
	SentAt  time.Time
	// Left is the time until the request's deadline; 0 if it has none.
	Left time.Duration
	// GivenUp is set once nothing more is expected of the copy, but its server is not known to have outlived it.
	GivenUp bool
}

func newPermit(keys []Key) *Permit { return &Permit{ID: rand.Uint64(), Keys: keys} }

func (c *Client) describeCopy(permit *Permit, copied *Copy) *ReportArgs {
	left := copied.Left
	if left <= 0 {
		left = maxPermitTime
	}
	return &ReportArgs{Sent: []SentCopy{{Permit: *permit, Owner: copied.Owner, Server: copied.Server, Attempt: copied.Attempt, Daemon: c.source,
		SentAgo: time.Since(copied.SentAt), Left: left, GivenUp: copied.GivenUp}}}
}

// Sent tells the registrars where a copy with a permit is sent, and returns once enough of them know, or after shareWait: if this daemon
// ends, they still know of the copy.
func (c *Client) Sent(ctx context.Context, permit *Permit, copied *Copy) {
	c.share(ctx, nil, c.describeCopy(permit, copied))
}

// Stalled tells the registrars of a copy without a permit whose server has shown no sign of life, in case that this daemon ends with
// it. It returns a permit to release, or nil if the good answers that are known outweigh an end, or if too many copies are told.
func (c *Client) Stalled(copied *Copy) *Permit {
	if c.answeredWell(copied.Keys) || !c.stalled.Allow() {
		return nil
	}
	permit := newPermit(copied.Keys)
	args := c.describeCopy(permit, copied)
	c.mu.Lock()
	now := time.Now()
	for _, key := range copied.Keys {
		c.tracker.Add(now, key, copied.Owner) // good answers are kept of requests that were added
	}
	args.Requests = c.describe(now, copied.Keys, copied.Owner).Requests
	c.mu.Unlock()
	c.reportLater(args)
	return permit
}

// answeredWell reports whether the good answers that this daemon has counted of a request outweigh an end.
func (c *Client) answeredWell(keys []Key) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return slices.ContainsFunc(keys, func(key Key) bool { return outweighed(1, c.answers.count(now, key)) })
}

// SetDaemons tells how many front daemons there are, which share the rate of stalled copies that are told.
func (c *Client) SetDaemons(n int) {
	c.stalled.SetLimit(rate.Limit(maxStalledRate / float64(max(n, 1))))
}

// Release tells the registrars that a copy is no longer in flight. A nil permit needs none.
func (c *Client) Release(permit *Permit) {
	if permit != nil {
		c.reportLater(&ReportArgs{Released: []Permit{*permit}})
	}
}
