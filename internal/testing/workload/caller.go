package workload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	// requestHost is the Host header of all requests.
	requestHost = "agents.example"
	// maxTurnTokens is the maximum number of tokens that a turn generates.
	maxTurnTokens = tokensPerEvent * eventsPerTurn
	// turnsPerProgram is the number of turns of a program. Every fourth program has a token budget for smallBudgetTurns
	// only.
	turnsPerProgram  = 6
	smallBudgetTurns = 3
	callDeadline     = 4 * time.Second
	// retryTimeout bounds the retries of a turn while faults are injected. After it, the program is abandoned.
	retryTimeout = 6 * time.Second
	// retryPause is the delay between two attempts of a turn.
	retryPause = 150 * time.Millisecond
	// recoveryTimeout is the time after the last fault within which all requests must be served again.
	recoveryTimeout = 12 * time.Second
)

// notRunStatuses are the statuses which guarantee that a request has not run and will not run.
var notRunStatuses = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired}

// lastID is the number in the last ID given to a request or program. IDs are unique in the process.
var lastID atomic.Int64

// Caller sends the requests of one caller and reports to a Checker what it sees.
type Caller struct {
	fronts  []string
	checker *Checker
	client  *http.Client
	dial    network.DialContext
	// organisation is the organisation whose key is sent with each request.
	organisation string
	mu           sync.Mutex
	random       *rand.Rand
	// lastBranch is the newest branch whose turns all succeeded; they must still exist after the faults.
	lastBranch branch
}

// branch is a sequence of turns of a program, each continuing the one before. previous is the ID of the last turn,
// history the text of all turns.
type branch struct {
	program, previous, history string
	turns                      int
	smallBudget                bool
}

// NewCaller returns a caller that sends to random front daemons of the given addresses. A nil dial uses the host's
// network.
func NewCaller(fronts []string, checker *Checker, seed uint64, dial network.DialContext) *Caller {
	organisations := Organisations()
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return &Caller{dial: dial, fronts: fronts, checker: checker, organisation: organisations[seed%uint64(len(organisations))].Name, random: rand.New(rand.NewPCG(seed, 2)),
		client: &http.Client{Transport: &http.Transport{DialContext: dial}}}
}

// ForOrganisation sets the caller's organisation and returns the caller.
func (c *Caller) ForOrganisation(organisation string) *Caller {
	c.organisation = organisation
	return c
}

// Work is a kind of requests that a caller sends.
type Work string

// The kinds of work.
const (
	// Programs are programs of turns with tool calls between them. Every fourth program has a small token budget.
	Programs Work = "programs"
	// ResumablePrograms are programs whose turns are not retained and have resumable streams. Every fourth program has a
	// small token budget.
	ResumablePrograms Work = "questions"
	// ForkedTurns are programs that fork after their first turn into two concurrent branches.
	ForkedTurns Work = "turns"
	// ForkedBudgets are ForkedTurns with a small token budget.
	ForkedBudgets Work = "budgets"
	// AtMostOnceCalls are tool calls that must not run twice.
	AtMostOnceCalls Work = "calls"
	// IdempotentCalls are tool calls that may run more than once.
	IdempotentCalls Work = "lookups"
)

// Run sends requests of a kind until stop is closed.
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

// Close closes the caller's idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

func (c *Caller) runPrograms() {
	n := lastID.Add(1)
	b := branch{program: fmt.Sprintf("p%d", n), smallBudget: n%4 == 0}
	for b.turns < turnsPerProgram {
		if !c.retryTurn(&b, retryTimeout) {
			return
		}
		c.lastBranch = b
		c.sendToolCall("/tool/", false)
		c.sendToolCall("/lookup/", true)
	}
}

// runFork runs one turn and then two concurrent branches that continue from it.
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

// CheckRecovery checks that a new program can be started and that the caller's last branch can be continued.
func (c *Caller) CheckRecovery() {
	newBranch := branch{program: fmt.Sprintf("p%d", lastID.Add(1))}
	if !c.retryTurn(&newBranch, recoveryTimeout) {
		c.checker.AddViolation("after the faults no new program could be started within %v", recoveryTimeout)
	}
	if c.lastBranch.previous == "" || c.lastBranch.smallBudget {
		return
	}
	if !c.retryTurn(&c.lastBranch, recoveryTimeout) {
		c.checker.AddViolation("after the faults program %s could not be continued from turn %s", c.lastBranch.program, c.lastBranch.previous)
	}
}

// HasConfigVersion requests the route that a configuration version added and reports whether a front daemon serves it.
// It returns false if the front does not answer. instance identifies the current process of the front.
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

// SendLookup sends an idempotent call to a front daemon and returns the status, or 0 if there was no complete answer.
func (c *Caller) SendLookup(front string) int {
	id := fmt.Sprintf("a%d", lastID.Add(1))
	c.checker.RecordSent(id, "", true)
	status, _, _, err := c.sendTo(front, "/lookup/", platformtest.Call{ID: id, Deadline: callDeadline}, "")
	if err != nil {
		return 0
	}
	return c.recordStatus(id, status, nil)
}

// retryTurn sends a turn until it succeeds, and reports whether it did within the timeout.
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

func tokenBudget(smallBudget bool) int64 {
	if smallBudget {
		return smallBudgetTurns * maxTurnTokens
	}
	return 100 * maxTurnTokens
}

// sendTurn sends the branch's next turn once and returns the status, or 0 if there was no complete answer.
func (c *Caller) sendTurn(b *branch) int {
	budget := tokenBudget(b.smallBudget)
	id := fmt.Sprintf("t%d", lastID.Add(1))
	input := fmt.Sprintf("[%s turn %d]", b.program, b.turns)
	c.checker.RecordSent(id, b.history+input, false)
	call := platformtest.Call{ID: id, Program: b.program, Previous: b.previous, Deadline: callDeadline, Budget: budget, MaxOutputTokens: maxTurnTokens}
	status, header, body, err := c.send("/turn/", call, input)
	c.checker.RecordTokens(b.program, tokensPerEvent*int64(strings.Count(string(body), "data: ")), budget+maxTurnTokens)
	if status == http.StatusNotFound {
		c.checker.AddViolation("turn %s was answered with 404 although turn %q is retained", id, b.previous)
	}
	if status != http.StatusOK || err != nil {
		return c.recordStatus(id, status, err)
	}
	var output string
	for n := 1; n <= eventsPerTurn; n++ {
		output += eventData(id, n) + "\n"
	}
	if string(body) != eventText(id, 1, eventsPerTurn) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("turn %s has a complete but wrong answer %.120q", id, body)
	}
	c.checker.RecordOutcome("turn whole")
	b.previous, b.history = id, b.history+input+output
	b.turns++
	return http.StatusOK
}

// callTool sends a tool call, and waits for retryPause if it failed.
func (c *Caller) callTool(path string, idempotent bool) {
	if !c.sendToolCall(path, idempotent) {
		time.Sleep(retryPause)
	}
}

// sendToolCall sends a tool call and reports whether it succeeded.
func (c *Caller) sendToolCall(path string, idempotent bool) bool {
	id := fmt.Sprintf("c%d", lastID.Add(1))
	c.checker.RecordSent(id, "args of "+id, idempotent)
	status, header, body, err := c.send(path, platformtest.Call{ID: id, Deadline: callDeadline}, "args of "+id)
	if status != http.StatusOK || err != nil {
		c.recordStatus(id, status, err)
		return false
	}
	if string(body) != toolAnswer(id) || !platformtest.Signed(header, id) {
		c.checker.AddViolation("call %s has a complete but wrong answer %.120q", id, body)
	}
	c.checker.RecordOutcome("call whole")
	return true
}

// recordStatus records the outcome of a request and returns its status, or 0 if err is not nil.
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
	return c.sendPath(front, path+call.ID, call, body)
}

// sendPath sends a request to a path that does not contain its ID.
func (c *Caller) sendPath(front, path string, call platformtest.Call, body string) (int, http.Header, []byte, error) {
	return c.sendVaried(front, path, call, body, call.Deadline, func(*http.Request) {})
}

// sendVaried does the same after vary has changed the request, and gives it up after patience.
func (c *Caller) sendVaried(front, path string, call platformtest.Call, body string, patience time.Duration, vary func(*http.Request)) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = requestHost
	call.Key = keyOf(c.organisation)
	c.checker.RecordSender(call.ID, c.organisation)
	r.Header = call.Header()
	r.GetBody = nil // prevents automatic retries by the HTTP client
	vary(r)
	resp, err := c.client.Do(r)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		c.checker.RecordComplete(call.ID)
	}
	return resp.StatusCode, resp.Header, data, err
}
