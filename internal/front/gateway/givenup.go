package gateway

import (
	"context"
	"time"

	"github.com/rookpass/rookpass/internal/base/wait"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

const (
	// maxGivenUp bounds the given-up copies that are watched at once. Of others only the list of servers tells.
	maxGivenUp = 512
	// freshSign is how long ago a sign of life of a server stands for a look at it.
	freshSign = 100 * time.Millisecond
	// breakPause is the pause between two looks at a held connection, probePause that between two looks at an address.
	breakPause = 50 * time.Millisecond
	probePause = 250 * time.Millisecond
	// maxListWait bounds how long the list of servers is waited for to show whether a server has started again.
	maxListWait = quarantine.StartNotice + 2*time.Second
	// maxRelookTime is for how long a server that has shown no sign of life is looked at; then the list of servers has shown its end.
	maxRelookTime = 5 * time.Second
)

// giveUp watches the copy at a server of which no more is read, although its response is not complete.
func (x *exchange) giveUp(choice *balance.Choice, reason string) {
	if c := x.copies.take(choice.Server.ID); c != nil {
		go c.watchGivenUp(context.WithoutCancel(x.ctx), reason, !x.answered.Load(), func() {})
	}
}

// watchGivenUp finds out whether the server outlives a copy that was given up: it may work on it for a while, and end by it unseen, as the
// connection is closed. Unless the request was answered elsewhere, other daemons are told of the copy meanwhile, so that they send no more
// copies than may end servers. reported is called once they are.
func (c *sentCopy) watchGivenUp(ctx context.Context, reason string, unanswered bool, reported func()) {
	permit, now := c.finish(), time.Now()
	silent := now.Sub(later(c.SentAt, c.g.quarantine.LastHeard(c.Server))) >= silenceTime
	counts := silent && unanswered
	end := c.end(now, quarantine.Silent)
	end.RunsUntil = now.Add(quarantine.RunEndTime)
	if unanswered { // else its caller does not repeat it
		end.RunsUntil = now.Add(quarantine.LateEndTime)
	}
	atRisk := c.g.quarantine.GivenUp(&c.Copy, permit, unanswered)
	defer c.g.quarantine.Decided(atRisk)
	c.reportOpen(ctx, reason, end, counts)
	reported()
	defer c.g.givenUp.Add(-1)
	if c.g.givenUp.Add(1) > maxGivenUp {
		return
	}
	l := &look{sentCopy: c, atRisk: atRisk, held: c.g.sender.Hold(ctx, c.to, c.limit)}
	defer l.stop()
	fate := l.findFate(ctx, now.Add(quarantine.RunEndTime), end.RunsUntil)
	l.decide(ctx, reason, fate, counts)
	c.g.quarantine.Decided(atRisk)
	if fate.Evidence != quarantine.Silent {
		return
	}
	// What takes the end back is looked for until the list of servers tells of it.
	if fate = l.await(ctx, maxRelookTime); fate.Evidence != quarantine.Silent && !l.broke() {
		l.decide(ctx, reason, fate, true)
	}
}

// look finds out what became of the server of a copy that was given up.
type look struct {
	*sentCopy
	atRisk *quarantine.AtRisk
	// held is a connection from when the copy was given up; nil if there was none.
	held *upstream.Held
	// answer tells of the response to a request on it; nil before that is sent, and once it has been told.
	answer <-chan error
	// brokeAt is when the held connection was found broken; zero if it was not.
	brokeAt time.Time
}

// findFate returns what becomes of the server, which should work on the copy until runEnd, and may until lateEnd.
func (l *look) findFate(ctx context.Context, runEnd, lateEnd time.Time) quarantine.Fate {
	l.awaitBreak(ctx, runEnd)
	fate := l.await(ctx, quarantine.AnswerTime)
	if !fate.Outlived || l.held == nil || l.broke() || !lateEnd.After(runEnd) {
		return fate
	}
	l.g.quarantine.ServerAnswered(l.atRisk)
	l.awaitBreak(ctx, lateEnd)
	return l.await(ctx, quarantine.AnswerTime)
}

func (l *look) stop() {
	if l.held != nil {
		l.held.Release()
	}
}

func (l *look) broke() bool { return !l.brokeAt.IsZero() }

// awaitBreak waits until a time, or until the held connection breaks.
func (l *look) awaitBreak(ctx context.Context, until time.Time) {
	for time.Now().Before(until) {
		if l.held != nil && l.held.Expired() {
			l.renew(ctx)
		}
		if l.held != nil && !l.held.Open() {
			l.brokeAt = time.Now()
			return
		}
		_ = wait.For(ctx, min(breakPause, time.Until(until)))
	}
}

// await returns the fate of the server, or that it has been silent for a time.
func (l *look) await(ctx context.Context, limit time.Duration) quarantine.Fate {
	if l.held != nil && l.answer == nil && !l.broke() {
		if l.held.Open() && time.Since(l.g.quarantine.LastHeard(l.Server)) < freshSign {
			return quarantine.Look{Answered: true}.Fate()
		}
		l.answer = l.held.Ask(l.healthPath)
	}
	until := time.Now().Add(limit)
	for {
		if l.held == nil || l.broke() {
			if fate, conclusive := l.probe(ctx); conclusive {
				return l.confirm(ctx, fate)
			}
		}
		left := time.Until(until)
		if left <= 0 {
			return quarantine.Look{Broke: l.broke(), Silent: true}.Fate()
		}
		select {
		case err := <-l.answer:
			l.answer = nil
			if err == nil {
				l.renew(ctx)
				return quarantine.Look{Answered: true}.Fate()
			}
			l.brokeAt = time.Now()
		case <-time.After(min(left, probePause)):
		}
	}
}

// renew replaces the held connection if the server may close it, or is not done with its answer.
func (l *look) renew(ctx context.Context) {
	if l.held.Usable(ctx, freshSign) {
		return
	}
	l.held.Release()
	l.held = l.g.sender.Hold(ctx, l.to, l.limit)
}

// probe looks for a process at the server's address, and reports whether that is conclusive.
func (l *look) probe(ctx context.Context) (quarantine.Fate, bool) {
	found := quarantine.Look{Broke: l.broke()}
	switch l.g.sender.Probe(ctx, l.to, l.limit) {
	case upstream.Alive, upstream.Closing:
		found.Accepts = true
	case upstream.Ended:
		found.Refused = true
	case upstream.Unknown:
		return quarantine.Fate{}, false // it may be cut off for a moment
	}
	return found.Fate(), true
}

// confirm returns the fate of a server whose connections broke while somebody accepts new ones at its address: the list of servers shows,
// or will soon, whether it has ended. While the list is not known the server may have. Other fates stay as they are.
func (l *look) confirm(ctx context.Context, fate quarantine.Fate) quarantine.Fate {
	if fate.Evidence != quarantine.Broken {
		return fate
	}
	accepted := time.Now()
	for time.Since(accepted) < maxListWait && l.g.quarantine.ListAge() < maxListWait {
		if l.g.catalog.Servers().Server(l.Server) == nil {
			return fate
		}
		if time.Since(accepted)-l.g.quarantine.ListAge() >= quarantine.StartNotice {
			return quarantine.Fate{Outlived: true} // it is still listed, and news of another start has been told by then
		}
		_ = wait.For(ctx, probePause)
	}
	return fate
}

// decide reports what became of the server. reported is set if an end was reported before.
func (l *look) decide(ctx context.Context, reason string, fate quarantine.Fate, reported bool) {
	endedAt := time.Now()
	if l.broke() {
		endedAt = l.brokeAt
	}
	switch {
	case fate.Outlived && reported:
		l.g.quarantine.TakeBack(&l.Copy)
	case fate.Outlived:
		l.g.quarantine.Outlived(l.Server, l.Attempt)
	case fate.Evidence.Open():
		l.reportOpen(ctx, reason, l.end(endedAt, fate.Evidence), true)
	case fate.Evidence != "":
		l.reportRecognised(ctx, reason, l.end(endedAt, fate.Evidence))
	}
}
