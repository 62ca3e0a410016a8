package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	host         = "ficu95.example"
	turnPath     = "/pufi791/4b"
	turnDeadline = 4 * time.Second
	tokenBudget  = 1080
	mostTokens   = 100
)

// client sends turns, each over a new connection to one of the fronts.
type client struct {
	fronts []*machine
	record *record
	next   atomic.Int64
}

// turn is one client attempt.
type turn struct {
	id, program, previous string
}

// answer is what a client attempt got; status 0 means none.
type answer struct {
	status     int
	whole      bool
	retryAfter time.Duration
}

// newTurn returns an attempt with an id of its own.
func (c *client) newTurn(program, previous string) turn {
	return turn{id: fmt.Sprintf("%016x", 0x5eed000000000000+c.next.Add(1)), program: program, previous: previous}
}

// send sends an attempt and reads its answer.
func (c *client) send(t turn, front int) answer {
	m := c.fronts[front%len(c.fronts)]
	transport := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", m.ip, callerPort, turnPath), strings.NewReader("input of "+t.id))
	if err != nil {
		return answer{}
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Rookpass-Request-Id": t.id, "X-Rookpass-Program-Id": t.program, "X-Rookpass-Session-Id": t.program,
		"X-Rookpass-Finish-Ms": "30000", "X-Rookpass-Token-Budget": strconv.Itoa(tokenBudget), "X-Rookpass-Token-Usage": fmt.Sprintf("1460,%d", mostTokens),
		"X-Rookpass-Model": "m", "X-Rookpass-Prompt-Prefix": "5c1e07a2:800," + t.program + ":660", "X-Rookpass-Deadline-Ms": strconv.FormatInt(turnDeadline.Milliseconds(), 10),
	} {
		req.Header.Set(name, value)
	}
	if t.previous != "" {
		req.Header.Set("X-Rookpass-Previous-Turn", t.previous)
	}
	c.record.event("client sends turn %s of program %s after %q to %s", t.id, t.program, t.previous, m.name)
	httpClient := &http.Client{Transport: transport, Timeout: turnDeadline}
	resp, err := httpClient.Do(req)
	if err != nil {
		c.record.event("client gets no answer to %s: %v", t.id, err)
		return answer{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode}
	if seconds, parseErr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); parseErr == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.whole = err == nil && a.status == http.StatusOK && resp.Header.Get("X-Rookpass-Response-Seal") == "seal."+t.id && strings.Count(string(body), "\n\n") == eventsPerTurn
	c.record.event("client gets %d for %s, whole=%t: %s", a.status, t.id, a.whole, firstLine(body))
	return a
}

func firstLine(body []byte) string {
	line, _, _ := strings.Cut(string(body), "\n")
	return line
}
