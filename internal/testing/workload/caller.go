package workload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	// host is the name that callers ask for.
	host = "agents.example"
	// mostTokens is the most that a turn generates.
	mostTokens = tokensPerEvent * eventsPerTurn
	// turnsPerProgram bounds a program; every fourth has a budget for fewer.
	turnsPerProgram = 6
	scarceTurns     = 3
	callDeadline    = 4 * time.Second
	// retryTime is how long a turn is tried again before its program is given up, in a run under faults.
	retryTime = 6 * time.Second
	// retryPause is the time between two tries of a turn.
	retryPause = 150 * time.Millisecond
	// recoveryTime is how soon after the last fault everything must be served again.
	recoveryTime = 12 * time.Second
)

// notRun are the statuses that promise that a request has not run and never will.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired}

// ids gives requests and programs names of their own.
var ids atomic.Int64

// Caller runs programs, one after the other.
type Caller struct {
	fronts  []string
	checker *Checker
	client  *http.Client
	// organisation is the caller's; its key goes with each request.
	organisation string
	mu           sync.Mutex
	random       *rand.Rand
	// last is the newest line of turns that is whole so far: its turns must be there after the faults.
	last line
}

// line is a program's line of turns.
type line struct {
	program, previous, history string
	turns                      int
	scarce                     bool
}

// NewCaller returns a caller of some fronts, by their addresses. dial is nil for the network of this machine.
func NewCaller(fronts []string, checker *Checker, seed uint64, dial network.DialContext) *Caller {
	organisations := Organisations()
	return &Caller{fronts: fronts, checker: checker, organisation: organisations[seed%uint64(len(organisations))].Name, random: rand.New(rand.NewPCG(seed, 2)),
		client: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

// ForOrganisation makes the caller one of an organisation, and returns it.
func (c *Caller) ForOrganisation(organisation string) *Caller {
	c.organisation = organisation
	return c
}

// Work is what a caller asks for.
type Work string

// The kinds of work.
const (
	// Programs are turns with calls of tools between them; every fourth program has a scarce budget.
	Programs Work = "programs"
	// ResumablePrograms are programs whose turns are not kept and may be resumed; every fourth has a scarce budget.
	ResumablePrograms Work = "questions"
	// ForkedTurns are two lines of turns that fork from one, side by side.
	ForkedTurns Work = "turns"
	// ForkedBudgets are two lines side by side, with a budget for fewer turns.
	ForkedBudgets Work = "budgets"
	// AtMostOnceCalls are calls of tools that must not run twice.
	AtMostOnceCalls Work = "calls"
	// IdempotentCalls are calls that may.
	IdempotentCalls Work = "lookups"
)

// Run asks for work until stop is closed.
func (c *Caller) Run(work Work, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		switch work {
		case Programs:
			c.program()
		case ResumablePrograms:
			c.questions()
		case ForkedTurns, ForkedBudgets:
			c.fork(work == ForkedBudgets)
		case AtMostOnceCalls:
			c.toolOrPause("/tool/", false)
		case IdempotentCalls:
			c.toolOrPause("/lookup/", true)
		}
	}
}

// Close ends the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

func (c *Caller) program() {
	n := ids.Add(1)
	l := line{program: fmt.Sprintf("p%d", n), scarce: n%4 == 0}
	for l.turns < turnsPerProgram {
		if !c.turnWithin(&l, retryTime) {
			return
		}
		c.last = l
		c.tool("/tool/", false)
		c.tool("/lookup/", true)
	}
}

// fork runs one turn and then two lines that go on from it, side by side.
func (c *Caller) fork(scarce bool) {
	first := line{program: fmt.Sprintf("p%d", ids.Add(1)), scarce: scarce}
	if !c.turnWithin(&first, retryTime) {
		return
	}
	lines := [2]line{first, first}
	var wg sync.WaitGroup
	for i := range lines {
		wg.Go(func() {
			for lines[i].turns < turnsPerProgram && c.turnWithin(&lines[i], retryTime) {
			}
		})
	}
	wg.Wait()
	c.last = lines[0]
}

// CheckRecovery asks that the caller's last line goes on, and a new program begins.
func (c *Caller) CheckRecovery() {
	fresh := line{program: fmt.Sprintf("p%d", ids.Add(1))}
	if !c.turnWithin(&fresh, recoveryTime) {
		c.checker.AddViolation("after the faults no new program was served within %v", recoveryTime)
	}
	if c.last.previous == "" || c.last.scarce {
		return
	}
	if !c.turnWithin(&c.last, recoveryTime) {
		c.checker.AddViolation("after the faults program %s could not go on from %s", c.last.program, c.last.previous)
	}
}

// HasConfigVersion asks a front for the route that came with a version, and reports whether it is in force there; false
// too where the front does not answer. life names the front's present life.
func (c *Caller) HasConfigVersion(front, life string, version int64) bool {
	id := fmt.Sprintf("v%d", ids.Add(1))
	c.checker.RecordSent(id, "", true)
	status, _, _, err := c.sendTo(front, fmt.Sprintf("/new%d/", version), platformtest.Call{ID: id, Deadline: callDeadline}, "")
	if err != nil || status != http.StatusOK && status != http.StatusNotFound {
		return false
	}
	c.checker.RecordConfigVersion(life, version, status == http.StatusOK)
	return status == http.StatusOK
}

// SendLookup sends one lookup to a front and returns how it was answered; 0 where it broke off.
func (c *Caller) SendLookup(front string) int {
	id := fmt.Sprintf("a%d", ids.Add(1))
	c.checker.RecordSent(id, "", true)
	status, _, _, err := c.sendTo(front, "/lookup/", platformtest.Call{ID: id, Deadline: callDeadline}, "")
	if err != nil {
		return 0
	}
	return c.failed(id, status, nil)
}

// turnWithin tries a turn until it is whole, and reports whether it was in time.
func (c *Caller) turnWithin(l *line, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; {
		switch c.turn(l) {
		case http.StatusOK:
			return true
		case http.StatusPaymentRequired, http.StatusNotFound:
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// budgetOf returns a program's token budget.
func budgetOf(scarce bool) int64 {
	if scarce {
		return scarceTurns * mostTokens
	}
	return 100 * mostTokens
}

// turn sends the line's next turn once, and returns how it was answered; 0 where it broke off.
func (c *Caller) turn(l *line) int {
	budget := budgetOf(l.scarce)
	id := fmt.Sprintf("t%d", ids.Add(1))
	input := fmt.Sprintf("[%s turn %d]", l.program, l.turns)
	c.checker.RecordSent(id, l.history+input, false)
	call := platformtest.Call{ID: id, Program: l.program, Previous: l.previous, Deadline: callDeadline, Budget: budget, MaxOutputTokens: mostTokens}
	status, header, body, err := c.send("/turn/", call, input)
	c.checker.RecordTokens(l.program, tokensPerEvent*int64(strings.Count(string(body), "data: ")), budget+mostTokens)
	if status == http.StatusNotFound {
		c.checker.AddViolation("turn %s was answered 404 though %q is kept", id, l.previous)
	}
	if status != http.StatusOK || err != nil {
		return c.failed(id, status, err)
	}
	var output string
	for n := 1; n <= eventsPerTurn; n++ {
		output += eventData(id, n) + "\n"
	}
	if string(body) != eventText(id, 1, eventsPerTurn) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("turn %s was answered whole with %.120q", id, body)
	}
	c.checker.RecordOutcome("turn whole")
	l.previous, l.history = id, l.history+input+output
	l.turns++
	return http.StatusOK
}

// toolOrPause sends one call of a tool, and waits before the next where it failed.
func (c *Caller) toolOrPause(path string, repeatable bool) {
	if !c.tool(path, repeatable) {
		time.Sleep(retryPause)
	}
}

// tool sends one call of a tool, and reports whether it was whole.
func (c *Caller) tool(path string, repeatable bool) bool {
	id := fmt.Sprintf("c%d", ids.Add(1))
	c.checker.RecordSent(id, "args of "+id, repeatable)
	status, header, body, err := c.send(path, platformtest.Call{ID: id, Deadline: callDeadline}, "args of "+id)
	if status != http.StatusOK || err != nil {
		c.failed(id, status, err)
		return false
	}
	if string(body) != toolAnswer(id) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("call %s was answered whole with %.120q", id, body)
	}
	c.checker.RecordOutcome("call whole")
	return true
}

func (c *Caller) failed(id string, status int, err error) int {
	if err != nil {
		c.checker.RecordOutcome("broken off")
		return 0
	}
	c.checker.RecordOutcome(fmt.Sprint("status ", status))
	if slices.Contains(notRun, status) {
		c.checker.RecordRefusal(id, status)
	}
	return status
}

func (c *Caller) send(path string, call platformtest.Call, body string) (int, http.Header, []byte, error) {
	c.mu.Lock()
	front := c.fronts[c.random.IntN(len(c.fronts))]
	c.mu.Unlock()
	return c.sendTo(front, path, call, body)
}

func (c *Caller) sendTo(front, path string, call platformtest.Call, body string) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path+call.ID, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = host
	call.Key = keyOf(c.organisation)
	c.checker.RecordSender(call.ID, c.organisation)
	r.Header = call.Header()
	r.GetBody = nil // or the client sends a request again by itself
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header, data, err
}
