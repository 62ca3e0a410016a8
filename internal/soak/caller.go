package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

const (
	host = "agents.example"
	// mostTokens is the most that a turn generates.
	mostTokens = tokensPerEvent * eventsPerTurn
	// turnsPerProgram bounds a program; every fourth has a budget for fewer.
	turnsPerProgram = 6
	scarceTurns     = 3
	callDeadline    = 4 * time.Second
	// retryTime is how long a turn is tried again before its program is given up, in a run under faults.
	retryTime = 6 * time.Second
	// recoveryTime is how soon after the last fault everything must be served again.
	recoveryTime = 12 * time.Second
)

// notRun are the statuses that promise that a request has not run and never will.
var notRun = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusPaymentRequired}

// ids gives requests and programs names of their own.
var ids atomic.Int64

// caller runs programs, one after the other.
type caller struct {
	fronts  []string
	checker *Checker
	random  *rand.Rand
	client  *http.Client
	// last is the newest whole program: its turns must be there after the faults.
	last line
}

// line is a program's line of turns.
type line struct {
	program, previous, history string
	turns                      int
	scarce                     bool
}

func newCaller(fronts []string, checker *Checker, seed uint64) *caller {
	return &caller{fronts: fronts, checker: checker, random: rand.New(rand.NewPCG(seed, 2)), client: &http.Client{Transport: &http.Transport{}}}
}

// run runs programs until stop is closed.
func (c *caller) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		default:
		}
		c.program()
	}
}

func (c *caller) program() {
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

// turnWithin tries a turn until it is whole, and reports whether it was in time.
func (c *caller) turnWithin(l *line, limit time.Duration) bool {
	for began := time.Now(); time.Since(began) < limit; {
		switch c.turn(l) {
		case http.StatusOK:
			return true
		case http.StatusPaymentRequired, http.StatusNotFound:
			return false
		}
		time.Sleep(time.Duration(100+c.random.IntN(200)) * time.Millisecond)
	}
	return false
}

// turn sends the line's next turn once, and returns how it was answered; 0 where it broke off.
func (c *caller) turn(l *line) int {
	budget := int64(100 * mostTokens)
	if l.scarce {
		budget = scarceTurns * mostTokens
	}
	id := fmt.Sprintf("t%d", ids.Add(1))
	input := fmt.Sprintf("[%s turn %d]", l.program, l.turns)
	c.checker.Sent(id, l.history+input, false)
	call := platformtest.Call{ID: id, Program: l.program, Previous: l.previous, Deadline: callDeadline, Budget: budget, MostTokens: mostTokens}
	status, header, body, err := c.send("/turn/", call, input)
	c.checker.Handed(l.program, tokensPerEvent*int64(strings.Count(string(body), "data: ")), budget+mostTokens)
	if status == http.StatusNotFound {
		c.checker.Fail("turn %s was answered 404 though %q is kept", id, l.previous)
	}
	if status != http.StatusOK || err != nil {
		return c.failed(id, status, err)
	}
	var want, output string
	for n := 1; n <= eventsPerTurn; n++ {
		want += fmt.Sprintf("id: %d\ndata: %s\n\n", n, eventData(id, n))
		output += eventData(id, n) + "\n"
	}
	if string(body) != want || !platformtest.Signed(header, id) {
		c.checker.Fail("turn %s was answered whole with %.120q", id, body)
	}
	c.checker.Ended("turn whole")
	l.previous, l.history = id, l.history+input+output
	l.turns++
	return http.StatusOK
}

// tool sends one call of a tool.
func (c *caller) tool(path string, repeatable bool) {
	id := fmt.Sprintf("c%d", ids.Add(1))
	c.checker.Sent(id, "args of "+id, repeatable)
	status, header, body, err := c.send(path, platformtest.Call{ID: id, Deadline: callDeadline}, "args of "+id)
	if status != http.StatusOK || err != nil {
		c.failed(id, status, err)
		return
	}
	if string(body) != toolAnswer(id) || !platformtest.Signed(header, id) {
		c.checker.Fail("call %s was answered whole with %.120q", id, body)
	}
	c.checker.Ended("call whole")
}

func (c *caller) failed(id string, status int, err error) int {
	if err != nil {
		c.checker.Ended("broken off")
		return 0
	}
	c.checker.Ended(fmt.Sprint("status ", status))
	if slices.Contains(notRun, status) {
		c.checker.Refused(id, status)
	}
	return status
}

func (c *caller) send(path string, call platformtest.Call, body string) (int, http.Header, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Deadline)
	defer cancel()
	front := c.fronts[c.random.IntN(len(c.fronts))]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front+path+call.ID, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, nil, nil, err
	}
	r.Host = host
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
