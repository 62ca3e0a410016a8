package workload

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// questionPath is the route of turns that are not kept and may be resumed.
const questionPath = "/question/"

// question is a turn that is not kept, with what its caller has of the answer.
type question struct {
	program, text string
	budget        int64
	// got is how many events the caller has.
	got int
}

// questions runs a program whose turns are not kept.
func (c *Caller) questions() {
	n := ids.Add(1)
	program := fmt.Sprintf("q%d", n)
	for i := range turnsPerProgram {
		q := question{program: program, text: fmt.Sprintf("[%s question %d]", program, i), budget: budgetOf(n%4 == 0)}
		if !c.questionWithin(&q, retryTime) {
			return
		}
	}
}

// questionWithin asks until the answer is whole, each time for what is still missing, and reports whether it was
// in time.
func (c *Caller) questionWithin(q *question, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; time.Sleep(retryPause) {
		switch c.ask(q) {
		case http.StatusOK:
			return true
		case http.StatusPaymentRequired:
			return false
		}
	}
	return false
}

// ask sends a question once, and returns how it was answered; 0 where it broke off.
func (c *Caller) ask(q *question) int {
	id := fmt.Sprintf("t%d", ids.Add(1))
	c.checker.RecordSent(id, q.text, true)
	call := platformtest.Call{ID: id, Program: q.program, Deadline: callDeadline, Budget: q.budget, MaxOutputTokens: mostTokens, LastEvent: q.got}
	status, header, body, err := c.send(questionPath, call, q.text)
	if status != http.StatusOK {
		return c.failed(id, status, err)
	}
	events := strings.Count(string(body), "\n\n")
	c.checker.RecordTokens(q.program, int64(tokensPerEvent*events), q.budget+mostTokens)
	want := eventText(q.text, q.got+1, q.got+events)
	if !strings.HasPrefix(string(body), want) || q.got+events > eventsPerTurn || !platformtest.Signed(header, id) {
		c.checker.AddViolation("question %s, asked behind event %d, was answered with %.120q", id, q.got, body)
	}
	q.got += events
	if err != nil {
		return c.failed(id, status, err)
	}
	if q.got != eventsPerTurn || string(body) != want {
		c.checker.AddViolation("question %s ended as whole after event %d", id, q.got)
	}
	c.checker.RecordOutcome("question whole")
	return http.StatusOK
}
