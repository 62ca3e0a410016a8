package quarantine

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

const (
	// RegistrarCount is how many daemons count ends. Three tolerate the loss of one.
	RegistrarCount = 3
	// shareWait bounds how long a request waits until registrars know of an end and have told what they know. It is
	// shorter than the shortest pause of callers.
	shareWait = 80 * time.Millisecond
	// reportTimeout bounds a report.
	reportTimeout = time.Second
	// pollWait is how long a poll waits for changes, pollMargin how much later its reply may come.
	pollWait   = 3 * time.Second
	pollMargin = time.Second
	// retryPause is the pause after a failed poll, doubled with each further one up to maxRetryPause.
	retryPause    = 50 * time.Millisecond
	maxRetryPause = time.Second
	// changePause is the pause after a poll for each change that it brought: it bounds changes to some 10 KB a second.
	changePause = 10 * time.Millisecond
	// registrarCheckInterval is the time between two looks at which daemons are registrars.
	registrarCheckInterval = 200 * time.Millisecond
	// syncWait is how long a daemon waits for registrars when it starts, before it goes by what it knows.
	syncWait = time.Second
)

// Client is a front daemon's side: it reports what the daemon sees to the registrars, and learns from them which requests
// are quarantined. While no registrar answers it goes by what the daemon has seen itself. Use NewClient.
type Client struct {
	reports, polls *peerlink.Pool
	// registrars returns the addresses of the registrars; none while they are not known.
	registrars func() []string
	log        logrus.FieldLogger
	startedAt  time.Time
	// replied counts the registrars that have replied to a poll.
	replied atomic.Int32
	synced  atomic.Bool

	mu      sync.Mutex
	tracker *Tracker
	answers answerLog
	// responses has, for each server, when the last request was sent to which it responded; ended has the servers that are
	// taken for ended.
	responses map[incarnation.ID]time.Time
	ended     map[incarnation.ID]bool
}

// NewClient returns a client that sends reports and polls over separate links, since a poll that hangs must not break
// reports.
func NewClient(reports, polls *peerlink.Pool, registrars func() []string, log logrus.FieldLogger) *Client {
	return &Client{reports: reports, polls: polls, registrars: registrars, log: log, startedAt: time.Now(), tracker: NewTracker(),
		answers: newAnswerLog(), responses: map[incarnation.ID]time.Time{}}
}

// OwnerOf returns the owner for an organisation.
func OwnerOf(organisation string) Owner { return Owner(xxhash.Sum64String(organisation)) }

// Synced reports whether the daemon has learnt from a registrar what is quarantined, or has waited long enough for it.
func (c *Client) Synced() bool { return c.synced.Load() || time.Since(c.startedAt) > syncWait }

// State returns the state of a request by its keys: that of the first key under which it is quarantined, else that with
// the most ends.
func (c *Client) State(keys []Key) State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state(time.Now(), keys)
}

func (c *Client) state(now time.Time, keys []Key) State {
	var most State
	for _, key := range keys {
		state := c.tracker.State(now, key)
		if state.Quarantined {
			return state
		}
		if len(state.Ends) > len(most.Ends) {
			most = state
		}
	}
	return most
}

// Counts returns how many requests have ends, and how many are quarantined, as far as this daemon knows.
func (c *Client) Counts() (suspected, quarantined int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Counts(time.Now())
}

// Responded records that a server has responded to a request that was sent at a time, so that it had not ended before. A
// response to an earlier request may have been on its way when the server ended.
func (c *Client) Responded(server incarnation.ID, sentAt time.Time) {
	c.mu.Lock()
	now := time.Now()
	if sentAt.After(c.responses[server]) {
		c.responses[server] = sentAt
	}
	takenBack := c.ended[server] && c.tracker.Responded(now, server, sentAt)
	if takenBack {
		c.refreshEnded()
	}
	c.mu.Unlock()
	if takenBack {
		c.reportLater(&ReportArgs{Responded: map[incarnation.ID]time.Duration{server: now.Sub(sentAt)}})
	}
}

// Answered records that a request was answered well.
func (c *Client) Answered(keys []Key, owner Owner) {
	var args ReportArgs
	c.mu.Lock()
	now := time.Now()
	for _, key := range keys {
		c.answers.record(key, now)
		if c.tracker.HasEnds(key) {
			c.tracker.Answered(now, key, now)
			args.Requests = append(args.Requests, newStatus(now, key, owner, c.tracker.State(now, key)))
		}
	}
	if len(args.Requests) > 0 {
		c.refreshEnded()
	}
	c.mu.Unlock()
	if len(args.Requests) > 0 {
		c.reportLater(&args)
	}
}

// ServerEnded records that a server ended while it ran a request, and tells the registrars. It returns once enough of them
// have told what they know of the request, or after shareWait.
func (c *Client) ServerEnded(ctx context.Context, keys []Key, owner Owner, end End) State {
	args := c.recordEnd(keys, owner, end)
	ctx, cancel := context.WithTimeout(ctx, shareWait)
	defer cancel()
	addresses := c.registrars()
	replies := c.send(ctx, addresses, args)
	for enough := len(addresses)/2 + 1; enough > 0 && len(addresses) > 0; enough-- {
		select {
		case <-replies:
		case <-ctx.Done():
			return c.State(keys)
		}
		if state := c.State(keys); state.Quarantined {
			return state
		}
	}
	return c.State(keys)
}

// recordEnd records an end and returns the report with all that is known of the request, for registrars that have missed
// earlier reports.
func (c *Client) recordEnd(keys []Key, owner Owner, end End) *ReportArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	args := &ReportArgs{}
	for _, key := range keys {
		c.tracker.Add(now, key, owner, end)
		c.applyAnswer(now, key)
		args.Requests = append(args.Requests, newStatus(now, key, owner, c.tracker.State(now, key)))
	}
	c.refreshEnded()
	return args
}

// applyAnswer applies the last good answer that this daemon remembers of a request, and reports whether there is one.
func (c *Client) applyAnswer(now time.Time, key Key) bool {
	at := c.answers.last(key)
	if at.IsZero() || now.Sub(at) > endLifetime {
		return false
	}
	c.tracker.Answered(now, key, at)
	return true
}

// refreshEnded updates ended. The caller holds c.mu.
func (c *Client) refreshEnded() { c.ended = c.tracker.EndedServers() }

// send sends a report to registrars, in the background. It returns a channel that gets a value for each reply, once it is
// applied. A registrar that knows too little to quarantine a request that is quarantined gets a second report.
func (c *Client) send(ctx context.Context, addresses []string, args *ReportArgs) <-chan struct{} {
	replies := make(chan struct{}, len(addresses))
	for _, address := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
			defer cancel()
			reply, err := c.report(ctx, address, args)
			if err != nil {
				c.log.WithFields(logrus.Fields{"event": "quarantine-report-failed", "registrar": address, "requests": len(args.Requests), "error": err}).Info("registrar did not answer a report")
				return
			}
			missing := c.applyReply(reply)
			replies <- struct{}{}
			if missing == nil {
				return
			}
			// If this fails, the next end is reported with all earlier ones again.
			if reply, err = c.report(ctx, address, missing); err == nil {
				c.applyReply(reply) // the registrar may know why the request is not quarantined
			}
		}()
	}
	return replies
}

func (c *Client) report(ctx context.Context, address string, args *ReportArgs) (*ReportReply, error) {
	return peerlink.Call[ReportReply](ctx, c.reports.LinkTo(address), ServiceName+".Report", args)
}

// reportLater sends a report to all registrars without waiting for them.
func (c *Client) reportLater(args *ReportArgs) { c.send(context.Background(), c.registrars(), args) }

// applyReply applies what a registrar knows. It returns a report of the requests that are quarantined here and not there,
// or nil.
func (c *Client) applyReply(reply *ReportReply) *ReportArgs {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var missing *ReportArgs
	for _, status := range reply.Requests {
		status.applyTo(c.tracker, now)
		if state := c.tracker.State(now, status.Key); now.Before(state.Until) && !status.Quarantined {
			if missing == nil {
				missing = &ReportArgs{}
			}
			missing.Requests = append(missing.Requests, newStatus(now, status.Key, status.Owner, state))
		}
	}
	c.refreshEnded()
	return missing
}

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
		_ = wait.For(ctx, registrarCheckInterval)
	}
	for _, stop := range stops {
		stop()
	}
	return ctx.Err()
}

// follow polls a registrar until ctx ends. The daemon is synchronised once as many registrars as quorum have replied.
func (c *Client) follow(ctx context.Context, address string, quorum int) {
	args, failures := PollArgs{}, 0
	for ctx.Err() == nil {
		reply, err := c.poll(ctx, address, &args)
		if err != nil {
			_ = wait.For(ctx, min(retryPause<<min(failures, 8), maxRetryPause))
			failures++
			continue
		}
		failures = 0
		c.applyChanges(reply.Changes)
		if args.Wait == 0 && c.replied.Add(1) >= int32(quorum) {
			c.synced.Store(true)
		}
		if args.Start != reply.Start {
			c.reportKnown(ctx, address)
		}
		args = PollArgs{Start: reply.Start, Version: reply.Version, Wait: pollWait}
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
	for _, change := range c.tracker.Changes(now, 0, maxEntries) {
		if now.Before(change.State.Until) && len(args.Requests) < maxChangesPerPoll {
			args.Requests = append(args.Requests, newStatus(now, change.Key, change.Owner, change.State))
		}
	}
	c.mu.Unlock()
	if len(args.Requests) > 0 {
		c.send(ctx, []string{address}, args)
	}
}

// applyChanges applies what a registrar has quarantined or cleared, and objects to what this daemon knows better: requests
// that were answered well here, and servers that responded here after they were taken for ended.
func (c *Client) applyChanges(changes []Status) {
	objections := ReportArgs{Responded: map[incarnation.ID]time.Duration{}}
	c.mu.Lock()
	now := time.Now()
	c.forget(now)
	for _, status := range changes {
		status.applyTo(c.tracker, now)
		if !status.Quarantined {
			continue
		}
		if c.applyAnswer(now, status.Key) {
			objections.Requests = append(objections.Requests, newStatus(now, status.Key, status.Owner, c.tracker.State(now, status.Key)))
		}
		for _, end := range fromWire(now, status.Ends) {
			if at := c.responses[end.Server]; at.After(end.EndedAt) {
				c.tracker.Responded(now, end.Server, at)
				objections.Responded[end.Server] = now.Sub(at)
			}
		}
		c.logChange(now, status.Key)
	}
	c.refreshEnded()
	c.mu.Unlock()
	if len(objections.Requests)+len(objections.Responded) > 0 {
		c.reportLater(&objections)
	}
}

// logChange logs a request that was quarantined. The caller holds c.mu.
func (c *Client) logChange(now time.Time, key Key) {
	state := c.tracker.State(now, key)
	c.log.WithFields(logrus.Fields{"event": "quarantine", "content": key, "until": state.Until, "ends": len(state.Ends), "servers": state.Servers(),
		"age_ms": state.Age(now).Milliseconds()}).Warn("servers ended under a request")
}

// forget drops what is too old to count: ends, and responses that could contradict one.
func (c *Client) forget(now time.Time) {
	c.tracker.Expire(now)
	for server, at := range c.responses {
		if now.Sub(at) > endLifetime {
			delete(c.responses, server)
		}
	}
}
