package workload

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// resumablePath is the route of turns that are not kept and may be resumed.
const resumablePath = "/question/"

// resumableTurn is a turn that is not kept, with what its caller has of the answer.
type resumableTurn struct {
	program, input string
	budget         int64
	// received is how many events the caller has.
	received int
}

// runResumable runs a program whose turns are not kept.
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

// retryResumable asks until the answer is whole, each time for what is still missing, and reports whether it was
// in time.
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

// sendResumable sends a question once, and returns how it was answered; 0 where it broke off.
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
		c.checker.AddViolation("question %s, asked behind event %d, was answered with %.120q", id, t.received, body)
	}
	t.received += events
	if err != nil {
		return c.recordStatus(id, status, err)
	}
	if t.received != eventsPerTurn || string(body) != want {
		c.checker.AddViolation("question %s ended as whole after event %d", id, t.received)
	}
	c.checker.RecordOutcome("question whole")
	return http.StatusOK
}
