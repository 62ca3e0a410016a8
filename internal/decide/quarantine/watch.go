package quarantine

import (
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

const (
	// RunEndTime is how long after a copy was given up its server may still work on it: it drops requests within half a second of the
	// end of their connection.
	RunEndTime = 600 * time.Millisecond
	// LateEndTime is how long after a copy was given up an end of its server is put down to it: some servers don't drop requests.
	LateEndTime = 2 * time.Second
	// AnswerTime is how long after RunEndTime a server has to show a sign of life, else it may have ended. Servers stand still for
	// less.
	AnswerTime = 1200 * time.Millisecond
	// givenUpHold is how long a copy waits at most for the fates of those that were given up: both times, and the news of it.
	givenUpHold = RunEndTime + AnswerTime + 200*time.Millisecond
	// givenUpTime is how long a given-up copy counts if its daemon does not tell what became of it.
	givenUpTime = RunEndTime + AnswerTime + time.Second
	// maxCrowdedTime is how long what registrars tell of copies in flight counts without further news.
	maxCrowdedTime = maxPermitTime
)

// Look is what a daemon finds at the server of a copy that was given up, after RunEndTime.
type Look struct {
	// Answered is set if the server sent something on a connection that was open when the copy was given up, or had done so right before
	// while that connection stays open.
	Answered bool
	// Broke is set if that connection has broken.
	Broke bool
	// Accepts is set if somebody accepts connections at the server's address, Refused if nobody listens there.
	Accepts, Refused bool
	// Silent is set if neither was found, nor any other sign of life, within AnswerTime.
	Silent bool
}

// Fate is what became of the server of a copy.
type Fate struct {
	// Outlived is set if the server has outlived the copy.
	Outlived bool
	// Evidence shows that it has ended, or may have; empty if nothing does.
	Evidence Evidence
}

// Fate returns what a look tells. A process may have started in the server's place that accepts connections; it did not accept
// those from before. A server that has no room may refuse connections; it does not close those that it has.
func (l Look) Fate() Fate {
	switch {
	case l.Answered:
		return Fate{Outlived: true}
	case l.Broke && l.Refused:
		return Fate{Evidence: Refused}
	case l.Broke && l.Accepts:
		return Fate{Evidence: Broken}
	case l.Silent, l.Refused:
		return Fate{Evidence: Silent}
	default:
		return Fate{}
	}
}

// AtRisk is a copy of a request that this daemon has given up, and that may have ended its server unseen. Registrars count it like a copy
// in flight once they are told.
type AtRisk struct {
	copied *Copy
	permit *Permit
	// answered is set once the server has shown a sign of life: the copy counts again if servers end under the request.
	answered bool
}

// GivenUp records a copy that was given up. The registrars are told, unless tell is not set, they know by its permit, or too many copies
// are told; then they are once servers have ended under the request. Decided has to follow.
func (c *Client) GivenUp(copied *Copy, permit *Permit, tell bool) *AtRisk {
	told := *copied
	told.Left, told.GivenUp = givenUpTime, true
	a := &AtRisk{copied: &told, permit: permit}
	if permit == nil && tell {
		a.permit = c.Stalled(&told)
	} else if permit != nil {
		c.reportLater(c.describeCopy(permit, &told))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.atRisk = append(c.atRisk, a)
	return a
}

// ServerAnswered records that the server of a copy has shown a sign of life after RunEndTime. The copy no longer counts like one in flight,
// unless servers end under the request before Decided.
func (c *Client) ServerAnswered(a *AtRisk) {
	c.mu.Lock()
	permit := a.permit
	a.permit, a.answered = nil, true
	c.mu.Unlock()
	c.Release(permit)
}

// Decided records that it is known what became of the server of a copy, or that no more is to be learnt of it. It may be called again.
func (c *Client) Decided(a *AtRisk) {
	c.mu.Lock()
	c.atRisk = slices.DeleteFunc(c.atRisk, func(other *AtRisk) bool { return other == a })
	permit := a.permit
	a.permit = nil
	c.mu.Unlock()
	c.Release(permit)
}

// Outlived records that a server has outlived an attempt.
func (c *Client) Outlived(server incarnation.ID, attempt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspects.Outlived(server, attempt)
}

// TakeBack takes back an end that was reported of a copy: its server lives.
func (c *Client) TakeBack(copied *Copy) {
	w := Withdrawal{copied.Server, copied.Attempt}
	args := &ReportArgs{}
	c.mu.Lock()
	now := time.Now()
	c.suspects.Outlived(copied.Server, copied.Attempt)
	for _, key := range copied.Keys {
		c.tracker.Withdraw(now, key, w)
		args.Withdrawn = append(args.Withdrawn, WithdrawnEnd{key, w})
	}
	c.refreshEnded()
	c.mu.Unlock()
	c.reportLater(args)
}

// discloseCopies returns the given-up copies of a request that registrars don't count; ended tells that servers have ended under it. The
// caller holds c.mu.
func (c *Client) discloseCopies(key Key, ended bool) (sent []SentCopy) {
	for _, a := range c.atRisk {
		if a.permit == nil && (ended || !a.answered) && slices.Contains(a.copied.Keys, key) {
			a.permit = newPermit(a.copied.Keys)
			sent = append(sent, c.describeCopy(a.permit, a.copied).Sent...)
		}
	}
	return sent
}
