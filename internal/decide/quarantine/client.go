package quarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/rookpass/rookpass/internal/base/incarnation"
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
	// synced is closed once enough registrars have replied.
	synced   chan struct{}
	syncOnce sync.Once

	// source identifies this start of the daemon, and name the daemon. stalled bounds the stalled copies that are told.
	source   uint64
	name     string
	stalled  *rate.Limiter
	observer Observer

	mu       sync.Mutex
	tracker  *Tracker
	answers  answerLog
	suspects *SuspectLog
	atRisk   []*AtRisk
	// responses has the last response of each server, heard when the last part of one was read; ended has the servers that are
	// taken for ended, open ends included.
	responses map[incarnation.ID]Response
	heard     map[incarnation.ID]time.Time
	ended     map[incarnation.ID]bool
}

// Observer counts events; the metrics registry implements it.
type Observer interface{ Count(name, label string) }

// NewClient returns a client that sends reports and polls over separate links, since a poll that hangs must not break
// reports.
func NewClient(reports, polls *peerlink.Pool, registrars func() []string, log logrus.FieldLogger) *Client {
	return &Client{reports: reports, polls: polls, registrars: registrars, log: log, startedAt: time.Now(), synced: make(chan struct{}), source: rand.Uint64(), stalled: rate.NewLimiter(maxStalledRate, stalledBurst), tracker: NewTracker(),
		answers: newAnswerLog(), suspects: NewSuspectLog(), responses: map[incarnation.ID]Response{},
		heard: map[incarnation.ID]time.Time{}}
}

// WithObserver sets what counts recognised and unknown ends, and returns the client. Call it before the first request.
func (c *Client) WithObserver(o Observer) *Client {
	c.observer = o
	return c
}

// FollowList tells that the list of servers counts as unknown until ServersListed, and returns the client. Call it before the first
// request.
func (c *Client) FollowList() *Client {
	c.tracker.FollowList()
	return c
}

// WithName sets the daemon's name, and returns the client. Call it before Run.
func (c *Client) WithName(name string) *Client {
	c.name = name
	return c
}

func (c *Client) count(name string, label Evidence) {
	if c.observer != nil {
		c.observer.Count(name, string(label))
	}
}

// OwnerOf returns the owner for an organisation.
func OwnerOf(organisation string) Owner { return Owner(xxhash.Sum64String(organisation)) }

// Synced reports whether the daemon has learnt from a registrar what is quarantined, or has waited long enough for it.
func (c *Client) Synced() bool {
	select {
	case <-c.synced:
		return true
	default:
		return time.Since(c.startedAt) > syncWait
	}
}

// AwaitSync returns once Synced reports true, or ctx ends. It does not wait while no registrar is known.
func (c *Client) AwaitSync(ctx context.Context) {
	if c.Synced() || len(c.registrars()) == 0 {
		return
	}
	timer := time.NewTimer(syncWait - time.Since(c.startedAt))
	defer timer.Stop()
	select {
	case <-c.synced:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// State returns the state of a request by its keys: that of the first key under which it is quarantined, else that with
// the most ends, suspect if it is by any of them.
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
		suspect := most.Suspect || state.Suspect
		if len(state.Ends) > len(most.Ends) {
			most = state
		}
		most.Suspect = suspect
	}
	return most
}

// Counts returns how many requests have ends, and how many are quarantined, as far as this daemon knows.
func (c *Client) Counts() (suspected, quarantined int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.Counts(time.Now())
}

// View is a quarantined request, for operators.
type View struct {
	Content string           `json:"content"`
	Ends    int              `json:"ends"`
	Servers []incarnation.ID `json:"servers"`
	Until   time.Time        `json:"until"`
}

// Quarantined returns the quarantined requests, those that were quarantined last first, at most limit.
func (c *Client) Quarantined(limit int) []View {
	c.mu.Lock()
	defer c.mu.Unlock()
	views := []View{}
	changes := c.tracker.Changes(time.Now(), 0, maxEntries)
	for _, change := range slices.Backward(changes) {
		if state := change.State; state.Quarantined && len(views) < limit {
			views = append(views, View{Content: change.Key.String(), Ends: len(state.Ends), Servers: state.Servers(), Until: state.Until})
		}
	}
	return views
}

// Answered records that a request was answered well.
func (c *Client) Answered(keys []Key, owner Owner) {
	var args ReportArgs
	c.mu.Lock()
	now := time.Now()
	for _, key := range keys {
		c.answers.record(now, key)
		if !c.tracker.HasEnds(key) {
			continue
		}
		suspect := c.tracker.State(now, key).Suspect
		c.applyAnswers(now, key)
		if suspect {
			args.Requests = append(args.Requests, newStatus(now, key, owner, c.tracker.State(now, key)))
		}
	}
	c.mu.Unlock()
	if len(args.Requests) > 0 {
		c.reportLater(&args)
	}
}

// ServerEnded records that a server ended while it ran a request, and tells the registrars. It returns once enough of them
// have told what they know of the request, or after shareWait.
func (c *Client) ServerEnded(ctx context.Context, keys []Key, owner Owner, end End) State {
	return c.share(ctx, keys, c.recordEnd(keys, owner, end))
}

// share sends a report and returns the state of a request once enough registrars have told what they know of it, or after
// shareWait.
func (c *Client) share(ctx context.Context, keys []Key, args *ReportArgs) State {
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
	c.suspects.Ended(now, end.Server, end.Evidence)
	end.Common = c.suspects.OthersEnded(now, c.touched(keys))
	for _, key := range keys {
		c.tracker.Add(now, key, owner, end)
	}
	c.refreshEnded()
	c.count(metricEnds, end.Evidence)
	return c.describe(now, keys, owner)
}

// touched returns a function that reports whether a server ended under a request, or may have. The caller holds c.mu while
// it is used.
func (c *Client) touched(keys []Key) func(incarnation.ID) bool {
	return func(server incarnation.ID) bool {
		return slices.ContainsFunc(keys, func(key Key) bool { return c.tracker.HasEnd(key, server) })
	}
}

// describe returns a report with all that is known of a request. The caller holds c.mu.
func (c *Client) describe(now time.Time, keys []Key, owner Owner) *ReportArgs {
	args := &ReportArgs{}
	for _, key := range keys {
		c.applyAnswers(now, key)
		args.Requests = append(args.Requests, newStatus(now, key, owner, c.tracker.State(now, key)))
	}
	return args
}

// applyAnswers applies the good answers that this daemon has counted of a request, and reports whether there are any.
func (c *Client) applyAnswers(now time.Time, key Key) bool {
	n := c.answers.count(now, key)
	if n > 0 {
		c.tracker.Answered(now, key, Tally{Source: c.source, Count: n, At: now})
	}
	return n > 0
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
