package workload

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// resumablePath is the route of turns that are not retained and have resumable streams.
const resumablePath = "/question/"

// resumableTurn is a turn that is not retained, with the state of its answer.
type resumableTurn struct {
	program, input string
	budget         int64
	// received is the number of events that the caller has received.
	received int
}

// runResumable runs a program with resumable turns.
func (c *Caller) runResumable() {
	n := lastID.Add(1)
	program := fmt.Sprintf("q%d", n)
	for i := range turnsPerProgram {
		t := resumableTurn{program: program, input: fmt.Sprintf("[%s question %d]", program, i), budget: tokenBudget(n%4 == 0)}
		if !c.retryResumable(&t, retryTimeout) {
			return
		}
	}
}

// retryResumable sends a turn until its answer is complete, each time resuming after the last event received. It reports
// whether the answer was complete within the timeout.
func (c *Caller) retryResumable(t *resumableTurn, timeout time.Duration) bool {
	for start := time.Now(); time.Since(start) < timeout; time.Sleep(retryPause) {
		switch c.sendResumable(t) {
		case http.StatusOK:
			return true
		case http.StatusPaymentRequired:
			return false
		}
	}
	return false
}

// sendResumable sends a turn once and returns the status, or 0 if the answer was not complete.
func (c *Caller) sendResumable(t *resumableTurn) int {
	id := fmt.Sprintf("t%d", lastID.Add(1))
	c.checker.RecordSent(id, t.input, true)
	call := platformtest.Call{ID: id, Program: t.program, Deadline: callDeadline, Budget: t.budget, MaxOutputTokens: maxTurnTokens, LastEvent: t.received}
	status, header, body, err := c.send(resumablePath, call, t.input)
	if status != http.StatusOK {
		return c.recordStatus(id, status, err)
	}
	events := strings.Count(string(body), "\n\n")
	c.checker.RecordTokens(t.program, int64(tokensPerEvent*events), t.budget+maxTurnTokens)
	want := eventText(t.input, t.received+1, t.received+events)
	if !strings.HasPrefix(string(body), want) || t.received+events > eventsPerTurn || !platformtest.Signed(header, id) {
		c.checker.AddViolation("resumable turn %s, resumed after event %d, has the wrong answer %.120q", id, t.received, body)
	}
	t.received += events
	if err != nil {
		return c.recordStatus(id, status, err)
	}
	if t.received != eventsPerTurn || string(body) != want {
		c.checker.AddViolation("answer of resumable turn %s ended after event %d as if complete", id, t.received)
	}
	c.checker.RecordOutcome("question whole")
	return http.StatusOK
}
