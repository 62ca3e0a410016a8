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

// maxBufferedBytes of a response are buffered before any of it is forwarded, so that a truncated response can be
// replaced by another server's.
const maxBufferedBytes = 256 << 10

func randomFraction() float64 { return rand.Float64() }

// servePlain sends the request to servers until one responds, up to the route's number of attempts. Idempotent
// requests are hedged: if a server is slow to respond, another one is asked in parallel.
func (x *exchange) servePlain() *refusal {
	c := &hedgedRequest{x: x, balancerRequest: balance.Request{Route: x.route.Name, Tried: map[incarnation.ID]bool{}, Connected: x.hasIdleConnection},
		results: make(chan *attemptResult, x.route.MaxAttempts)}
	defer c.cancelRemaining()
	hedge := time.NewTimer(x.g.balancer.HedgeAfter(x.route.Name))
	defer hedge.Stop()
	for {
		if c.running == 0 && !c.startAttempt() {
			return x.failureResponse(c.mayHaveRun, c.lastErr)
		}
		select {
		case t := <-c.results:
			c.running--
			if t.failure == nil {
				return x.forwardResponse(t)
			}
			if final := c.handleFailure(t); final != nil {
				return final
			}
		case <-hedge.C:
			if x.route.Kind == catalog.Idempotent {
				c.startAttempt()
			}
		}
	}
}

// hedgedRequest is a request's attempts at servers, of which the first complete response wins.
type hedgedRequest struct {
	x               *exchange
	balancerRequest balance.Request
	results         chan *attemptResult
	running         int
	// attempts counts the attempts that may have reached a server.
	attempts   int
	mayHaveRun bool
	lastErr    error
	cancels    []context.CancelFunc
}

// attemptResult is the result of one attempt: a failure, or a response whose first maxBufferedBytes are buffered.
type attemptResult struct {
	choice    *balance.Choice
	began     time.Time
	response  *upstream.Response
	buffered  []byte
	truncated bool
	failure   *upstream.Failure
}

// startAttempt starts an attempt at another server, or returns false if none is left.
func (c *hedgedRequest) startAttempt() bool {
	if c.attempts >= c.x.route.MaxAttempts {
		return false
	}
	c.x.refreshServers(&c.balancerRequest)
	choice, found := c.x.g.balancer.Pick(&c.balancerRequest)
	if !found {
		return false
	}
	c.balancerRequest.Tried[choice.Server.ID] = true
	c.attempts++
	c.running++
	ctx, cancel := context.WithCancelCause(c.x.ctx)
	choice.CancelOnRestart(cancel)
	c.cancels = append(c.cancels, func() { cancel(nil) })
	replace := c.attempts < c.x.route.MaxAttempts
	go func() { c.results <- c.x.fetch(ctx, choice, replace) }()
	return true
}

// handleFailure records a failed attempt. It returns a refusal if no further attempt may be made.
func (c *hedgedRequest) handleFailure(t *attemptResult) *refusal {
	c.x.recordFailure(t.choice, t.began, t.failure)
	c.lastErr = t.failure
	switch t.failure.Reason {
	case upstream.ReasonDial, upstream.ReasonNoConns, reasonMisdirected:
		c.attempts-- // no server received the request
	}
	if t.failure.Verdict != verdict.NotRun {
		c.mayHaveRun = true
	}
	if c.x.ctx.Err() != nil || c.mayHaveRun && c.x.route.Kind != catalog.Idempotent {
		return c.x.failureResponse(c.mayHaveRun, c.lastErr)
	}
	return nil
}

// cancelRemaining cancels the attempts that are still running.
func (c *hedgedRequest) cancelRemaining() {
	for _, cancel := range c.cancels {
		cancel()
	}
	result := balance.HedgeLost
	if c.x.r.Context().Err() != nil {
		result = balance.Abandoned
	}
	running, ended := c.running, c.results
	if running == 0 {
		return
	}
	go func() {
		for range running {
			t := <-ended
			if t.response != nil {
				t.response.Close()
			}
			t.choice.Done(result)
		}
	}()
}

// fetch sends the request to one server and buffers up to maxBufferedBytes of its response. If replace is set, another
// server may still be asked, and an error status for an idempotent request is a failure.
func (x *exchange) fetch(ctx context.Context, choice *balance.Choice, replace bool) *attemptResult {
	t := &attemptResult{choice: choice, began: time.Now()}
	response, failure := x.sendTo(ctx, choice, [][]byte{x.body}, x.requestInfo.LastEvent)
	if failure != nil {
		t.failure = failure
		return t
	}
	if response.Status >= 500 && replace && x.route.Kind == catalog.Idempotent {
		response.Close()
		t.failure = upstream.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(response.Status), Error.New("server responded with status %d", response.Status))
		return t
	}
	head, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		response.Close()
		t.failure = upstream.NewFailure(verdict.MayHaveRun, failureReason(ctx, upstream.ReasonMalformed), err)
		return t
	}
	t.response, t.buffered, t.truncated = response, head, len(head) == maxBufferedBytes
	return t
}

// forwardResponse sends a server's response to the caller.
func (x *exchange) forwardResponse(t *attemptResult) *refusal {
	defer t.response.Close()
	x.writeResponseHead(t.response, len(t.buffered), t.truncated)
	_, err := x.w.Write(t.buffered)
	if err == nil && t.truncated {
		_, err = io.Copy(x.w, t.response.Body)
	}
	if err != nil {
		failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonRead, err)
		x.recordFailure(t.choice, t.began, failure)
		return x.failureResponse(true, failure)
	}
	result := balance.Answered
	if t.response.Status >= 500 {
		result = balance.Failed
	}
	x.recordAttempt(t.choice, t.began, strconv.Itoa(t.response.Status), result)
	return nil
}

// failureResponse returns the refusal for a request without a response. Its status says that the request did not run
// only if that is certain.
func (x *exchange) failureResponse(mayHaveRun bool, err error) *refusal {
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

// jitter varies a duration by up to a third, so that callers do not retry in sync.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.67 + 0.66*rand.Float64()))
}

// writeResponseHead forwards a response's status and headers. length is that of the buffered body; more is set if the
// body continues after it.
func (x *exchange) writeResponseHead(response *upstream.Response, length int, more bool) {
	h := x.w.Header()
	for name, values := range response.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Te", "Upgrade", "Content-Length":
		default:
			h[name] = values
		}
	}
	if _, named := h["Content-Type"]; !named {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	switch {
	case !more:
		h["Content-Length"] = []string{strconv.Itoa(length)}
	case response.Length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(response.Length, 10)}
	}
	x.headSent = true
	x.writeStatus(response.Status)
}
