package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// callDeadline is how long a client waits for one attempt.
const callDeadline = 5 * time.Second

// turn is a turn that was answered whole.
type turn struct {
	program, id string
	// text is the whole chain up to the turn: inputs and outputs.
	text     string
	answered time.Time
}

// answer is what a client got for one attempt.
type answer struct {
	id     string
	status int // 0 if no whole answer came
	body   string
	err    error
}

func newID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // documented never to fail
	return hex.EncodeToString(id[:])
}

// caller sends turns of programs.
type caller struct {
	system *system
	client *http.Client
	record *recorder
	next   int
}

func newCaller(s *system) *caller {
	return &caller{system: s, record: s.record, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
}

// attempt sends a turn of a program once, to the next front daemon. previous is nil for the first turn.
func (c *caller) attempt(program, input string, previous *turn, budget int64) answer {
	front := c.system.fronts()[c.next%len(c.system.fronts())]
	c.next++
	id := newID()
	ctx, cancel := context.WithTimeout(context.Background(), callDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+front.callerAddress()+"/turn/x", bytes.NewReader([]byte(input)))
	if err != nil {
		return answer{id: id, err: err}
	}
	r.Host = "agents.example"
	r.GetBody = nil // no second attempt by the library
	for name, value := range map[string]string{
		"X-Rookpass-Request-Id": id, "X-Rookpass-Model": "m", "X-Rookpass-Program-Id": program, "X-Rookpass-Session-Id": program,
		"X-Rookpass-Finish-Ms": "30000", "X-Rookpass-Token-Budget": strconv.FormatInt(budget, 10),
		"X-Rookpass-Token-Usage": fmt.Sprintf("%d,%d", 200, tokensPerEvent*eventsPerTurn), "X-Rookpass-Prompt-Prefix": program + ":200",
		"X-Rookpass-Deadline-Ms": strconv.FormatInt(callDeadline.Milliseconds(), 10),
	} {
		r.Header.Set(name, value)
	}
	continues := "-"
	if previous != nil {
		r.Header.Set("X-Rookpass-Previous-Turn", previous.id)
		continues = previous.id
	}
	c.record.add("sent     %s to %s: program %s, previous turn %s", id, front.node, program, continues)
	a := c.do(r, id)
	c.record.add("answered %s: status %d, %d bytes, error %v", id, a.status, len(a.body), a.err)
	return a
}

func (c *caller) do(r *http.Request, id string) answer {
	resp, err := c.client.Do(r)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{id: id, body: string(body), err: err}
	}
	return answer{id: id, status: resp.StatusCode, body: string(body)}
}

// retry sends a turn again and again until it is answered with 200, 402, 404 or 410, or the time is over.
func (c *caller) retry(program, input string, previous *turn, budget int64, limit time.Duration) (answer, *turn) {
	var last answer
	for began := time.Now(); time.Since(began) < limit; time.Sleep(200 * time.Millisecond) {
		last = c.attempt(program, input, previous, budget)
		switch last.status {
		case http.StatusOK:
			return last, last.turn(program, input, previous)
		case http.StatusPaymentRequired, http.StatusNotFound, http.StatusGone:
			return last, nil
		}
	}
	return last, nil
}

// turn returns the turn of a whole answer.
func (a answer) turn(program, input string, previous *turn) *turn {
	t := &turn{program: program, id: a.id, answered: time.Now()}
	if previous != nil {
		t.text = previous.text
	}
	t.text += input
	for n := 1; n <= eventsPerTurn; n++ {
		t.text += eventData(a.id, n) + "\n"
	}
	return t
}
