package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

const (
	// registrarCheckInterval is the time between two looks at which daemons are registrars.
	registrarCheckInterval = 200 * time.Millisecond
	// registrarFindInterval is that time while none is known: requests wait for the first replies.
	registrarFindInterval = 10 * time.Millisecond
	// pollWait is how long a poll waits for changes, pollMargin how much later its reply may come.
	pollWait   = 3 * time.Second
	pollMargin = time.Second
	// retryPause is the pause after a failed poll, doubled with each further one up to maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
	// changePause is the pause after a poll for each change that it brought: it bounds changes to some 10 KB a second.
	changePause = 10 * time.Millisecond
)

// Run learns from the registrars which requests are quarantined until ctx ends. All are polled: one that is silent or has
// lost its memory must not keep news from this daemon.
func (c *Client) Run(ctx context.Context) error {
	stops := map[string]context.CancelFunc{}
	var polling sync.WaitGroup
	defer polling.Wait()
	for ctx.Err() == nil {
		addresses := c.registrars()
		for _, address := range addresses {
			if stops[address] == nil {
				followed, stop := context.WithCancel(ctx)
				stops[address] = stop
				polling.Go(func() { c.follow(followed, address, len(addresses)/2+1) })
			}
		}
		for address, stop := range stops {
			if !slices.Contains(addresses, address) {
				stop()
				delete(stops, address)
			}
		}
		c.forget(time.Now())
		interval := registrarCheckInterval
		if len(addresses) == 0 {
			interval = registrarFindInterval
		}
		_ = wait.For(ctx, interval)
	}
	for _, stop := range stops {
		stop()
	}
	return ctx.Err()
}

// follow polls a registrar until ctx ends. The daemon is synchronised once as many registrars as quorum have replied.
func (c *Client) follow(ctx context.Context, address string, quorum int) {
	args, failures := PollArgs{Name: c.name, Daemon: c.source}, 0
	for ctx.Err() == nil {
		reply, err := c.poll(ctx, address, &args)
		if err != nil {
			_ = wait.For(ctx, min(retryPause<<min(failures, 8), maxRetryPause))
			failures++
			continue
		}
		failures = 0
		c.applyChanges(reply.Changes)
		caughtUp := len(reply.Changes) < maxChangesPerPoll
		if args.Wait == 0 && caughtUp && c.replied.Add(1) >= int32(quorum) {
			c.syncOnce.Do(func() { close(c.synced) })
		}
		if args.Start != reply.Start {
			c.reportKnown(ctx, address)
		}
		first := args.Wait == 0 && !caughtUp
		args.Start, args.Version, args.Wait = reply.Start, reply.Version, 0
		if !first {
			args.Wait = pollWait
		}
		_ = wait.For(ctx, changePause*time.Duration(len(reply.Changes)))
	}
}

func (c *Client) poll(ctx context.Context, address string, args *PollArgs) (*PollReply, error) {
	ctx, cancel := context.WithTimeout(ctx, args.Wait+pollMargin)
	defer cancel()
	return peerlink.Call[PollReply](ctx, c.polls.LinkTo(address), ServiceName+".Poll", args)
}

// reportKnown tells a registrar that has started, or that was not polled before, which requests are quarantined.
func (c *Client) reportKnown(ctx context.Context, address string) {
	c.mu.Lock()
	now, args := time.Now(), &ReportArgs{}
	for _, known := range c.tracker.Known(now, maxChangesPerPoll) {
		args.Requests = append(args.Requests, newStatus(now, known.Key, known.Owner, known.State))
	}
	c.mu.Unlock()
	if len(args.Requests) > 0 {
		c.send(ctx, []string{address}, args)
	}
}

// applyChanges applies what a registrar has learnt of requests, and objects to what this daemon knows better: requests that were
// answered well here, and servers that responded here after they were taken for ended. It tells of the copies of suspected requests
// whose servers' fates this daemon waits for.
func (c *Client) applyChanges(changes []Status) {
	objections := ReportArgs{}
	c.mu.Lock()
	now := time.Now()
	for _, status := range changes {
		before := c.tracker.State(now, status.Key)
		status.applyTo(c.tracker, now)
		suspect := c.tracker.State(now, status.Key).Suspect // else enough daemons have objected
		if suspect && !status.counts(c.source) && c.applyAnswers(now, status.Key) {
			objections.Requests = append(objections.Requests, newStatus(now, status.Key, status.Owner, c.tracker.State(now, status.Key)))
		}
		for _, end := range fromWire(now, status.Ends) {
			if r := c.responses[end.Server]; r.contradicts(end, c.tracker.listAge(now)) {
				w := WithdrawnEnd{status.Key, Withdrawal{end.Server, end.Attempt}}
				c.tracker.Withdraw(now, w.Key, w.Withdrawal)
				c.logWithdrawn(r, 1)
				objections.Withdrawn = append(objections.Withdrawn, w)
			}
		}
		if suspect {
			objections.Sent = append(objections.Sent, c.discloseCopies(status.Key, len(status.Ends) > 0)...)
		}
		if status.Quarantined && before.Until.IsZero() {
			c.logQuarantine(now, status.Key)
		}
	}
	c.refreshEnded()
	c.mu.Unlock()
	if len(objections.Requests)+len(objections.Withdrawn)+len(objections.Sent) > 0 {
		c.reportLater(&objections)
	}
}

// logQuarantine logs that other daemons have found that a request ends servers. "until" is missing if this daemon knows
// better. The caller holds c.mu.
func (c *Client) logQuarantine(now time.Time, key Key) {
	state := c.tracker.State(now, key)
	fields := logrus.Fields{"event": "quarantine", "content": key, "ends": len(state.Ends), "open": state.Open(), "servers": state.Servers(),
		"evidence": state.Evidence(), "answers": countAnswers(now, state.Answers), "age_ms": state.Age(now).Milliseconds()}
	if !state.Until.IsZero() {
		fields["until"] = state.Until
	}
	c.log.WithFields(fields).Warn("servers ended under a request")
}

// forget drops what is too old to count: ends, failed attempts, and responses that could contradict one.
func (c *Client) forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.Expire(now)
	for server, at := range c.heard {
		if now.Sub(at) > endLifetime {
			delete(c.heard, server)
			delete(c.responses, server)
		}
	}
	for _, end := range c.suspects.Expire(now, c.tracker.listed(now)) {
		c.count(metricUnknown, end.Evidence)
	}
}
