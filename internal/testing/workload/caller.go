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
	// requestHost is the name that callers ask for.
	requestHost = "agents.example"
	// maxTurnTokens is the most that a turn generates.
	maxTurnTokens = tokensPerEvent * eventsPerTurn
	// turnsPerProgram bounds a program; every fourth has a budget for fewer.
	turnsPerProgram  = 6
	smallBudgetTurns = 3
	callDeadline     = 4 * time.Second
	// retryTimeout is how long a turn is tried again before its program is given up, in a run under faults.
	retryTimeout = 6 * time.Second
	// retryPause is the time between two tries of a turn.
	retryPause = 150 * time.Millisecond
	// recoveryTimeout is how soon after the last fault everything must be served again.
	recoveryTimeout = 12 * time.Second
)

// notRunStatuses are the statuses that promise that a request has not run and never will.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired}

// lastID gives requests and programs names of their own.
var lastID atomic.Int64

// Caller runs programs, one after the other.
type Caller struct {
	fronts  []string
	checker *Checker
	client  *http.Client
	// organisation is the caller's; its key goes with each request.
	organisation string
	mu           sync.Mutex
	random       *rand.Rand
	// lastBranch is the newest line of turns that is whole so far: its turns must be there after the faults.
	lastBranch branch
}

// branch is a program's branch of turns.
type branch struct {
	program, previous, history string
	turns                      int
	smallBudget                bool
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
			c.runPrograms()
		case ResumablePrograms:
			c.runResumable()
		case ForkedTurns, ForkedBudgets:
			c.runFork(work == ForkedBudgets)
		case AtMostOnceCalls:
			c.callTool("/tool/", false)
		case IdempotentCalls:
			c.callTool("/lookup/", true)
		}
	}
}

// Close ends the caller's connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

func (c *Caller) runPrograms() {
	n := lastID.Add(1)
	l := branch{program: fmt.Sprintf("p%d", n), smallBudget: n%4 == 0}
	for l.turns < turnsPerProgram {
		if !c.retryTurn(&l, retryTimeout) {
			return
		}
		c.lastBranch = l
		c.sendToolCall("/tool/", false)
		c.sendToolCall("/lookup/", true)
	}
}

// runFork runs one turn and then two lines that go on from it, side by side.
func (c *Caller) runFork(smallBudget bool) {
	first := branch{program: fmt.Sprintf("p%d", lastID.Add(1)), smallBudget: smallBudget}
	if !c.retryTurn(&first, retryTimeout) {
		return
	}
	branches := [2]branch{first, first}
	var wg sync.WaitGroup
	for i := range branches {
		wg.Go(func() {
			for branches[i].turns < turnsPerProgram && c.retryTurn(&branches[i], retryTimeout) {
			}
		})
	}
	wg.Wait()
	c.lastBranch = branches[0]
}

// CheckRecovery asks that the caller's last line goes on, and a new program begins.
func (c *Caller) CheckRecovery() {
	newBranch := branch{program: fmt.Sprintf("p%d", lastID.Add(1))}
	if !c.retryTurn(&newBranch, recoveryTimeout) {
		c.checker.AddViolation("after the faults no new program was served within %v", recoveryTimeout)
	}
	if c.lastBranch.previous == "" || c.lastBranch.smallBudget {
		return
	}
	if !c.retryTurn(&c.lastBranch, recoveryTimeout) {
		c.checker.AddViolation("after the faults program %s could not go on from %s", c.lastBranch.program, c.lastBranch.previous)
	}
}

// HasConfigVersion asks a front for the route that came with a version, and reports whether it is in force there; false
// too where the front does not answer. life names the front's present life.
func (c *Caller) HasConfigVersion(front, instance string, version int64) bool {
	id := fmt.Sprintf("v%d", lastID.Add(1))
	c.checker.RecordSent(id, "", true)
	status, _, _, err := c.sendTo(front, fmt.Sprintf("/new%d/", version), platformtest.Call{ID: id, Deadline: callDeadline}, "")
	if err != nil || status != http.StatusOK && status != http.StatusNotFound {
		return false
	}
	c.checker.RecordConfigVersion(instance, version, status == http.StatusOK)
	return status == http.StatusOK
}

// SendLookup sends one lookup to a front and returns how it was answered; 0 where it broke off.
func (c *Caller) SendLookup(front string) int {
	id := fmt.Sprintf("a%d", lastID.Add(1))
	c.checker.RecordSent(id, "", true)
	status, _, _, err := c.sendTo(front, "/lookup/", platformtest.Call{ID: id, Deadline: callDeadline}, "")
	if err != nil {
		return 0
	}
	return c.recordStatus(id, status, nil)
}

// retryTurn tries a turn until it is whole, and reports whether it was in time.
func (c *Caller) retryTurn(b *branch, timeout time.Duration) bool {
	for start := time.Now(); time.Since(start) < timeout; {
		switch c.sendTurn(b) {
		case http.StatusOK:
			return true
		case http.StatusPaymentRequired, http.StatusNotFound:
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// tokenBudget returns a program's token budget.
func tokenBudget(smallBudget bool) int64 {
	if smallBudget {
		return smallBudgetTurns * maxTurnTokens
	}
	return 100 * maxTurnTokens
}

// sendTurn sends the line's next sendTurn once, and returns how it was answered; 0 where it broke off.
func (c *Caller) sendTurn(b *branch) int {
	budget := tokenBudget(b.smallBudget)
	id := fmt.Sprintf("t%d", lastID.Add(1))
	input := fmt.Sprintf("[%s turn %d]", b.program, b.turns)
	c.checker.RecordSent(id, b.history+input, false)
	call := platformtest.Call{ID: id, Program: b.program, Previous: b.previous, Deadline: callDeadline, Budget: budget, MaxOutputTokens: maxTurnTokens}
	status, header, body, err := c.send("/turn/", call, input)
	c.checker.RecordTokens(b.program, tokensPerEvent*int64(strings.Count(string(body), "data: ")), budget+maxTurnTokens)
	if status == http.StatusNotFound {
		c.checker.AddViolation("turn %s was answered 404 though %q is kept", id, b.previous)
	}
	if status != http.StatusOK || err != nil {
		return c.recordStatus(id, status, err)
	}
	var output string
	for n := 1; n <= eventsPerTurn; n++ {
		output += eventData(id, n) + "\n"
	}
	if string(body) != eventText(id, 1, eventsPerTurn) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("turn %s was answered whole with %.120q", id, body)
	}
	c.checker.RecordOutcome("turn whole")
	b.previous, b.history = id, b.history+input+output
	b.turns++
	return http.StatusOK
}

// callTool sends one call of a tool, and waits before the next where it failed.
func (c *Caller) callTool(path string, idempotent bool) {
	if !c.sendToolCall(path, idempotent) {
		time.Sleep(retryPause)
	}
}

// sendToolCall sends one call of a sendToolCall, and reports whether it was whole.
func (c *Caller) sendToolCall(path string, idempotent bool) bool {
	id := fmt.Sprintf("c%d", lastID.Add(1))
	c.checker.RecordSent(id, "args of "+id, idempotent)
	status, header, body, err := c.send(path, platformtest.Call{ID: id, Deadline: callDeadline}, "args of "+id)
	if status != http.StatusOK || err != nil {
		c.recordStatus(id, status, err)
		return false
	}
	if string(body) != toolAnswer(id) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("call %s was answered whole with %.120q", id, body)
	}
	c.checker.RecordOutcome("call whole")
	return true
}

func (c *Caller) recordStatus(id string, status int, err error) int {
	if err != nil {
		c.checker.RecordOutcome("broken off")
		return 0
	}
	c.checker.RecordOutcome(fmt.Sprint("status ", status))
	if slices.Contains(notRunStatuses, status) {
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
	r.Host = requestHost
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
