package quarantine

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Counters of ends, by evidence.
const (
	// metricEnds counts recognised ends, each under one attempt.
	metricEnds = "rookpass_server_ends_total"
	// metricOpen counts failed attempts whose servers' fates were open, metricUnknown those of which nothing more was learnt.
	metricOpen    = "rookpass_server_ends_open_total"
	metricUnknown = "rookpass_server_ends_unknown_total"
)

// Responded records that a server has responded to a request that was sent at a time, on a connection that was opened at a time
// (zero if that is not known), so that it had not ended before. A response to an earlier request may have been on its way when
// the server ended.
func (c *Client) Responded(server incarnation.ID, sentAt, connectedAt time.Time) {
	r := Response{server, sentAt, connectedAt}
	c.mu.Lock()
	now := time.Now()
	c.heard[server] = now
	if sentAt.After(c.responses[server].SentAt) {
		c.responses[server] = r
	}
	c.suspects.Responded(r, c.tracker.listAge(now))
	var withdrawn []WithdrawnEnd
	if c.ended[server] {
		withdrawn = c.tracker.Responded(now, r)
		c.refreshEnded()
	}
	c.mu.Unlock()
	if len(withdrawn) > 0 {
		c.logWithdrawn(r, len(withdrawn))
		c.reportLater(&ReportArgs{Withdrawn: withdrawn})
	}
}

// logWithdrawn logs that a response shows that a server had not ended under some requests.
func (c *Client) logWithdrawn(r Response, requests int) {
	c.log.WithFields(logrus.Fields{"event": "server-end-withdrawn", "server": r.Server, "requests": requests, "sent_ago_ms": time.Since(r.SentAt).Milliseconds(),
		"connected_ago_ms": time.Since(r.ConnectedAt).Milliseconds()}).Info("server that was taken for ended has responded")
}

// ServersListed tells that the list of servers is known as of a time: ServerNews has told the ends that it shows by then.
func (c *Client) ServersListed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tracker.ServersListed(at)
}

// ListAge returns the time since the list of servers was last known.
func (c *Client) ListAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tracker.listAge(time.Now())
}

// Heard records a sign of life of a server: a part of a response.
func (c *Client) Heard(server incarnation.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard[server] = time.Now()
}

// LastHeard returns the time of the last sign of life of a server that this daemon has got; zero if there was none.
func (c *Client) LastHeard(server incarnation.ID) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heard[server]
}

// AttemptFailed records an attempt that failed while its server may have ended, and tells the registrars if the end counts while
// that is open. Where other requests fail too it doesn't count, unless servers have ended under this one before. Without a registrar
// it doesn't: a daemon that is cut off sees all servers fail. It returns once enough registrars have told what they know of the
// request, or after shareWait.
func (c *Client) AttemptFailed(ctx context.Context, s Suspect) State {
	c.mu.Lock()
	now := time.Now()
	evidence, ended := c.suspects.Add(now, s)
	if ended {
		c.mu.Unlock()
		s.End.Evidence = evidence
		return c.ServerEnded(ctx, s.Keys, s.Owner, s.End)
	}
	if s.Counts {
		c.count(metricOpen, s.End.Evidence)
	}
	if !s.Counts || c.suspects.OthersFailed(now, s.content(), c.touched(s.Keys)) && !c.hasEnded(now, s.Keys) {
		c.mu.Unlock()
		return c.State(s.Keys)
	}
	args := c.describe(now, s.Keys, s.Owner)
	for i := range args.Requests {
		args.Requests[i].Ends = append(args.Requests[i].Ends, toWire(now, []End{s.End})...)
	}
	c.mu.Unlock()
	return c.share(ctx, s.Keys, args)
}

// hasEnded reports whether servers are known to have ended under a request. The caller holds c.mu.
func (c *Client) hasEnded(now time.Time, keys []Key) bool {
	return slices.ContainsFunc(keys, func(key Key) bool { return len(recognised(c.tracker.State(now, key).Ends)) > 0 })
}

// ServerNews records that a server has ended by what the list of servers shows, or by a response at its address. Attempts that
// failed there before count from now on.
func (c *Client) ServerNews(server incarnation.ID, evidence Evidence) {
	c.mu.Lock()
	now := time.Now()
	suspects := c.suspects.Ended(now, server, evidence)
	if c.ended[server] {
		c.tracker.Recognise(now, server, evidence)
	}
	c.mu.Unlock()
	for _, s := range suspects {
		c.log.WithFields(logrus.Fields{"event": "server-ended", "id": s.End.Attempt, "server": server, "content": s.content(), "evidence": evidence,
			"late_ms": now.Sub(s.End.EndedAt).Milliseconds()}).Warn("server had ended while it ran a request")
		c.reportLater(c.recordEnd(s.Keys, s.Owner, s.End))
	}
}

// ServerStarted records a server's start, which shows that its earlier starts have ended. Starts that seem later stay: the clock of
// the server's VM may have been set back, or the news is old.
func (c *Client) ServerStarted(id incarnation.ID) {
	c.mu.Lock()
	earlier := c.suspects.EarlierStarts(id)
	for other := range c.ended {
		if other.StartedBefore(id) {
			earlier[other] = true
		}
	}
	c.mu.Unlock()
	for other := range earlier {
		c.ServerNews(other, Restarted)
	}
}

// Open returns how many failed attempts are kept whose servers' fates are open.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspects.Open()
}
