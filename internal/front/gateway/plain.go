package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// bufferBytes of an answer are read before any of it is passed on, so that a broken answer can be replaced
// by another server's.
const bufferBytes = 256 << 10

func random() float64 { return rand.Float64() }

// servePlain sends a request to servers until one answers it, within the route's number of attempts. Where it
// may run twice, another server is asked beside one that is silent for long.
func (x *exchange) servePlain() *refusal {
	c := &contest{x: x, ask: balance.Request{Route: x.route.Name, Tried: map[incarnation.ID]bool{}, Connected: x.connected},
		ended: make(chan *try, x.route.MaxAttempts)}
	defer c.abandon()
	hedge := time.NewTimer(x.g.balancer.HedgeAfter(x.route.Name))
	defer hedge.Stop()
	for {
		if c.running == 0 && !c.launch() {
			return x.broken(c.mayHaveRun, c.last)
		}
		select {
		case t := <-c.ended:
			c.running--
			if t.failure == nil {
				return x.pass(t)
			}
			if final := c.lost(t); final != nil {
				return final
			}
		case <-hedge.C:
			if x.route.Kind == catalog.Idempotent {
				c.launch()
			}
		}
	}
}

// contest is a request's tries at servers, of which the first whole answer wins.
type contest struct {
	x       *exchange
	ask     balance.Request
	ended   chan *try
	running int
	// sent counts the tries that may have reached a server.
	sent       int
	mayHaveRun bool
	last       error
	cancels    []context.CancelFunc
}

// try is one try at one server. A whole answer's head is its first bufferBytes.
type try struct {
	choice  *balance.Choice
	began   time.Time
	answer  *upstream.Response
	head    []byte
	more    bool
	failure *upstream.Failure
}

// launch begins a try at another server, or returns false where no more are left.
func (c *contest) launch() bool {
	if c.sent >= c.x.route.MaxAttempts {
		return false
	}
	c.x.look(&c.ask)
	choice, found := c.x.g.balancer.Pick(&c.ask)
	if !found {
		return false
	}
	c.ask.Tried[choice.Server.ID] = true
	c.sent++
	c.running++
	ctx, cancel := context.WithCancelCause(c.x.ctx)
	choice.CancelOnRestart(cancel)
	c.cancels = append(c.cancels, func() { cancel(nil) })
	replace := c.sent < c.x.route.MaxAttempts
	go func() { c.ended <- c.x.fetch(ctx, choice, replace) }()
	return true
}

// lost records a failed try, and returns the refusal where nothing more may be tried.
func (c *contest) lost(t *try) *refusal {
	c.x.noteFailure(t.choice, t.began, t.failure)
	c.last = t.failure
	switch t.failure.Reason {
	case upstream.ReasonDial, upstream.ReasonNoConns, reasonGone:
		c.sent-- // no server got it
	}
	if t.failure.Verdict != verdict.NotRun {
		c.mayHaveRun = true
	}
	if c.x.ctx.Err() != nil || c.mayHaveRun && c.x.route.Kind != catalog.Idempotent {
		return c.x.broken(c.mayHaveRun, c.last)
	}
	return nil
}

// abandon ends the tries that still run.
func (c *contest) abandon() {
	for _, cancel := range c.cancels {
		cancel()
	}
	overtaken := balance.HedgeLost
	if c.x.r.Context().Err() != nil {
		overtaken = balance.Abandoned
	}
	running, ended := c.running, c.ended
	if running == 0 {
		return
	}
	go func() {
		for range running {
			t := <-ended
			if t.answer != nil {
				t.answer.Close()
			}
			t.choice.Done(overtaken)
		}
	}()
}

// fetch sends the request to one server and reads its answer, or the first bufferBytes of it. replace tells
// that another server could still be asked: then a failed answer to an idempotent request is a failure.
func (x *exchange) fetch(ctx context.Context, choice *balance.Choice, replace bool) *try {
	t := &try{choice: choice, began: time.Now()}
	answer, failure := x.try(ctx, choice, [][]byte{x.body}, x.info.LastEvent)
	if failure != nil {
		t.failure = failure
		return t
	}
	if answer.Status >= 500 && replace && x.route.Kind == catalog.Idempotent {
		answer.Close()
		t.failure = upstream.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(answer.Status), Error.New("status %d", answer.Status))
		return t
	}
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
	if err != nil {
		answer.Close()
		t.failure = upstream.NewFailure(verdict.MayHaveRun, reasonOf(ctx, upstream.ReasonMalformed), err)
		return t
	}
	t.answer, t.head, t.more = answer, head, len(head) == bufferBytes
	return t
}

// pass passes a server's answer on.
func (x *exchange) pass(t *try) *refusal {
	defer t.answer.Close()
	x.begin(t.answer, len(t.head), t.more)
	_, err := x.w.Write(t.head)
	if err == nil && t.more {
		_, err = io.Copy(x.w, t.answer.Body)
	}
	if err != nil {
		failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonRead, err)
		x.noteFailure(t.choice, t.began, failure)
		return x.broken(true, failure)
	}
	told := balance.Answered
	if t.answer.Status >= 500 {
		told = balance.Failed
	}
	x.note(t.choice, t.began, strconv.Itoa(t.answer.Status), told)
	return nil
}

// broken returns the refusal of a request that got no answer. Only a request that provably did not run gets
// one that says so.
func (x *exchange) broken(mayHaveRun bool, err error) *refusal {
	switch {
	case x.r.Context().Err() != nil:
		return &refusal{status: http.StatusBadGateway, reason: "caller-left", err: err}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded) && mayHaveRun:
		return &refusal{status: http.StatusGatewayTimeout, reason: "timeout", err: err}
	case mayHaveRun:
		return &refusal{status: http.StatusBadGateway, reason: "no-whole-answer", err: err}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-server", retryAfter: jitter(retryBusy), err: err}
	}
}

// jitter spreads a pause over plus or minus a third, so that callers do not come back together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.67 + 0.66*rand.Float64()))
}

// begin passes an answer's status and headers on. length is the body's, unless there is more than was read.
func (x *exchange) begin(answer *upstream.Response, length int, more bool) {
	h := x.w.Header()
	for name, values := range answer.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Te", "Upgrade", "Content-Length":
		default:
			h[name] = values
		}
	}
	if _, named := h["Content-Type"]; !named {
		h["Content-Type"] = nil // or net/http would guess one
	}
	switch {
	case !more:
		h["Content-Length"] = []string{strconv.Itoa(length)}
	case answer.Length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(answer.Length, 10)}
	}
	x.begun = true
	x.writeHead(answer.Status)
}
