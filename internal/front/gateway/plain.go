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

// copyBytes is the most that is read at once of a response that is not buffered whole.
const copyBytes = 32 << 10

// maxUnsizedBytes bounds a response that does not say how long it is, outside of streams.
const maxUnsizedBytes = 64 << 20

var errEndless = Error.New("response without a length has more than %d bytes", maxUnsizedBytes)

// reasonCallerLeft means that the caller disconnected, or did not read its response in time.
const reasonCallerLeft = "caller-left"

func randomFraction() float64 { return rand.Float64() }

// servePlain sends the request to servers until one responds, up to the route's number of attempts. Idempotent
// requests are hedged: if a server is slow to respond, another one is asked in parallel.
func (x *exchange) servePlain() *refusal {
	x.memory.SetRunning()
	c := &hedgedRequest{x: x, spare: x.takeAllocation(), balancerRequest: balance.Request{Route: x.route.Name, Tried: map[incarnation.ID]bool{}, Connected: x.hasIdleConnection},
		results: make(chan *attemptResult, x.route.MaxAttempts)}
	defer c.cancelRemaining()
	defer func() { c.spare.release() }()
	c.hedge = time.NewTimer(x.g.balancer.HedgeAfter(x.route.Name))
	defer c.hedge.Stop()
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
		case <-c.hedge.C:
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
	// hedge fires when another server is to be asked too.
	hedge   *time.Timer
	running int
	// attempts counts the attempts that may have reached a server.
	attempts   int
	mayHaveRun bool
	lastErr    error
	cancels    []context.CancelFunc
	// spare is memory for the response of the next attempt: that of an attempt that failed. It is nil while the only
	// attempt so far runs.
	spare *allocation
}

// attemptResult is the result of one attempt: a failure, or a response whose first maxBufferedBytes are buffered.
type attemptResult struct {
	choice    *balance.Choice
	began     time.Time
	response  *upstream.Response
	buffered  []byte
	truncated bool
	// end checks where the response ends.
	end     *streamEnd
	failure *upstream.Failure
	// memory is that of the response.
	memory *allocation
}

// startAttempt starts an attempt at another server, or returns false if none is left.
func (c *hedgedRequest) startAttempt() bool {
	if c.attempts >= c.x.route.MaxAttempts || !c.admit() {
		return false
	}
	memory := c.takeMemory()
	if memory == nil {
		return false
	}
	c.x.refreshServers(&c.balancerRequest)
	choice, found := c.x.g.balancer.Pick(&c.balancerRequest)
	if !found {
		c.returnMemory(memory)
		return false
	}
	c.balancerRequest.Tried[choice.Server.ID] = true
	if c.attempts == 0 {
		c.hedge.Reset(choice.HedgeAfter())
	}
	c.attempts++
	c.running++
	ctx, cancel := context.WithCancelCause(c.x.ctx)
	choice.CancelOnRestart(cancel)
	c.cancels = append(c.cancels, func() { cancel(nil) })
	replace := c.attempts < c.x.route.MaxAttempts
	go func() {
		t := c.x.fetch(ctx, choice, replace, memory)
		if t.failure != nil {
			c.x.reportFailure(choice, t.failure, replace && c.x.route.Kind == catalog.Idempotent)
		}
		c.results <- t
	}()
	return true
}

// admit reports whether another copy may be sent. Copies of a suspected request are not sent beside one another.
func (c *hedgedRequest) admit() bool {
	if c.running > 0 {
		return c.x.mayHedge()
	}
	return c.x.admit()
}

// takeMemory returns memory for the response of another attempt, or nil if an attempt runs and no memory is left for a
// second one.
func (c *hedgedRequest) takeMemory() *allocation {
	if memory := c.spare; memory != nil {
		c.spare = nil
		return memory
	}
	expected, _ := c.x.g.sizes.expect(c.x.route.Name, responseSize, maxBufferedBytes)
	memory, err := c.x.newAllocation(expected)
	if err != nil {
		c.x.logMemoryExceeded(err, memoryNoHedge)
		return nil
	}
	return memory
}

// returnMemory keeps the memory of an attempt without a response for the next attempt.
func (c *hedgedRequest) returnMemory(memory *allocation) {
	c.spare.release()
	c.spare = memory
}

// handleFailure records a failed attempt. It returns a refusal if no further attempt may be made.
func (c *hedgedRequest) handleFailure(t *attemptResult) *refusal {
	c.returnMemory(t.memory)
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
				c.x.endCopy(t)
			}
			t.memory.release()
			t.choice.Done(result)
		}
	}()
}

// endCopy ends the copy of an attempt whose response is not used.
func (x *exchange) endCopy(t *attemptResult) {
	if t.truncated {
		x.giveUp(t.choice, upstream.ReasonCanceled)
		return
	}
	x.copies.take(t.choice.Server.ID).outlived()
}

// fetch sends the request to one server and buffers up to maxBufferedBytes of its response. If replace is set, another
// server may still be asked, and an error status for an idempotent request is a failure.
func (x *exchange) fetch(ctx context.Context, choice *balance.Choice, replace bool, memory *allocation) *attemptResult {
	t := &attemptResult{choice: choice, began: time.Now(), memory: memory}
	response, failure := x.sendTo(ctx, choice, [][]byte{x.body}, x.requestInfo.LastEvent)
	if failure != nil {
		t.failure = failure
		return t
	}
	if response.Status >= 500 && replace && x.route.Kind == catalog.Idempotent {
		response.Close()
		t.failure = response.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(response.Status), Error.New("server responded with status %d", response.Status))
		return t
	}
	if err := x.buffer(t, response); err != nil {
		response.Close()
		t.failure = response.NewFailure(verdict.MayHaveRun, failureReason(ctx, upstream.ReasonMalformed), err)
	}
	return t
}

// buffer reads up to maxBufferedBytes of a response, or less if memory for more can't be reserved: the rest is then
// forwarded as the caller reads it.
func (x *exchange) buffer(t *attemptResult, response *upstream.Response) error {
	var memoryErr error
	if response.Length >= 0 {
		// One byte more than the response has, so that its end is read too.
		wanted := min(response.Length+1, maxBufferedBytes)
		t.memory.shrinkTo(max(wanted, minResponseBytes))
		memoryErr = t.memory.growTo(wanted)
	}
	buffered := make([]byte, 0, min(t.memory.bytes, maxBufferedBytes))
	t.end = newStreamEnd(response, x.requestInfo.LastEvent != "")
	for {
		if len(buffered) == cap(buffered) {
			wanted := min(2*cap(buffered), maxBufferedBytes)
			if memoryErr == nil {
				memoryErr = t.memory.growTo(int64(wanted))
			}
			if memoryErr != nil || len(buffered) == maxBufferedBytes {
				t.truncated = true
				break
			}
			buffered = append(make([]byte, 0, wanted), buffered...)
		}
		n, err := response.Body.Read(buffered[len(buffered):cap(buffered)])
		t.end.add(buffered[len(buffered) : len(buffered)+n])
		buffered = buffered[:len(buffered)+n]
		if errors.Is(err, io.EOF) {
			err = t.end.check()
		}
		if err != nil {
			x.countResponse(response, err)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
	}
	if memoryErr != nil {
		x.logMemoryExceeded(memoryErr, memoryUnbuffered)
	}
	x.g.sizes.observe(x.route.Name, responseSize, max(len(buffered), int(min(response.Length, maxBufferedBytes))))
	t.response, t.buffered = response, buffered
	return nil
}

// forwardResponse sends a server's response to the caller.
func (x *exchange) forwardResponse(t *attemptResult) *refusal {
	defer t.memory.release()
	defer t.response.Close()
	x.received.begin(t.response.Framing)
	result := balance.Answered
	if t.response.Status >= 500 {
		result = balance.Failed
	}
	status := strconv.Itoa(t.response.Status)
	var pace callerPace
	x.writeResponseHead(t.response, len(t.buffered), t.truncated)
	if !t.truncated {
		// The server is done. Its connection and its measured duration must not depend on how fast the caller reads.
		x.recordWhole(t.choice, t.began, status, result)
		t.response.Close()
		if err := x.write(t.buffered, &pace); err != nil {
			return x.unwritten(err)
		}
		return nil
	}
	if err := x.write(t.buffered, &pace); err != nil {
		x.recordGivenUp(t.choice, t.began, reasonCallerLeft)
		return x.unwritten(err)
	}
	body := &pacedReader{t.response.Body, &pace}
	forwarded := int64(len(t.buffered))
	for piece := t.buffered[:min(cap(t.buffered), copyBytes)]; ; {
		n, err := body.Read(piece)
		t.end.add(piece[:n])
		forwarded += int64(n)
		switch {
		case errors.Is(err, io.EOF):
			err = t.end.check()
		case err == nil && t.response.Length < 0 && forwarded > maxUnsizedBytes:
			err = errEndless
		}
		if err != nil {
			x.countResponse(t.response, err)
		}
		if writeErr := x.write(piece[:n], &pace); writeErr != nil {
			x.recordGivenUp(t.choice, t.began, reasonCallerLeft)
			return x.unwritten(writeErr)
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			failure := upstream.NewFailure(verdict.MayHaveRun, pace.failureReason(upstream.ReasonRead), err)
			x.recordFailure(t.choice, t.began, failure)
			x.reportFailure(t.choice, failure, false)
			return x.failureResponse(true, failure)
		}
	}
	x.recordWhole(t.choice, t.began, status, pace.outcome(result))
	return nil
}

// unwritten returns the refusal for a response of which a part could not be written to the caller.
func (x *exchange) unwritten(err error) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: reasonCallerLeft, err: err}
}

// failureResponse returns the refusal for a request without a response. Its status says that the request did not run
// only if that is certain.
func (x *exchange) failureResponse(mayHaveRun bool, err error) *refusal {
	switch {
	case x.r.Context().Err() != nil:
		return &refusal{status: http.StatusBadGateway, reason: reasonCallerLeft, err: err}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded) && mayHaveRun:
		return &refusal{status: http.StatusGatewayTimeout, reason: "timeout", err: err}
	case mayHaveRun:
		return &refusal{status: http.StatusBadGateway, reason: "no-whole-answer", err: err}
	case x.quarantine.Quarantined:
		return x.quarantineRefusal(err)
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-server", retryAfter: jitter(retryBusy), err: err}
	}
}

// jitter varies a duration by up to a third, so that callers do not retry in sync.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.67 + 0.66*rand.Float64()))
}

// writeResponseHead forwards a response's status and headers. length is that of the buffered body; more is set if the
// body continues after it. The length of a stream is not forwarded: the last event is not its end, since the turn must be
// recorded first, and another server may continue it. A response to HEAD has the length of the body that it lacks.
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
	head := x.r.Method == http.MethodHead
	switch {
	case !more && !head:
		h["Content-Length"] = []string{strconv.Itoa(length)}
	case response.Length >= 0 && (head || !x.streams() && !isEventStream(response)):
		h["Content-Length"] = []string{strconv.FormatInt(response.Length, 10)}
	}
	x.headSent = true
	x.writeStatus(response.Status)
}
