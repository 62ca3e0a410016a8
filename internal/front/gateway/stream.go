package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// serveStream responds with the events of a server as they arrive. The request is a turn of a program or a stream
// outside of any program.
func (x *exchange) serveStream() *refusal {
	if x.route.RetainTurns && x.requestInfo.LastEvent != "" {
		return &refusal{status: http.StatusBadRequest, reason: "kept-turn-resumed",
			err: Error.New("a turn that is retained needs its whole response and can't be resumed by the caller")}
	}
	p, refused := x.prepareTurn()
	if refused != nil {
		return refused
	}
	x.received.streamed = true
	s := x.newStream(p)
	admission := s.schedulerCall(p)
	if refused := x.waitForSlot(admission); refused != nil {
		x.releaseReservation(p.reservation)
		return refused
	}
	defer x.g.scheduler.Release(admission)
	if refused := x.recheckKey(); refused != nil {
		x.releaseReservation(p.reservation)
		return refused
	}
	x.memory.SetRunning()
	s.memory = x.takeAllocation()
	s.initialBytes = s.memory.bytes
	defer s.memory.release()
	if refused := s.run(); refused != nil {
		if !s.mayHaveRun {
			x.releaseReservation(p.reservation)
		}
		return refused
	}
	if !s.complete {
		return nil // a server's error was forwarded; it may have generated tokens
	}
	x.g.scheduler.ObserveCompletion(admission)
	if refused := x.recordTurn(p, s.attempt.choice.Server, s.events); refused != nil {
		return refused
	}
	s.sendHead() // not yet sent if the stream had no events
	return nil
}

// sentEvents are the events of a stream that were sent to the caller.
type sentEvents struct {
	count  int
	output []byte
	// lastID is the id of the last event that had one.
	lastID string
	// begun is set once an event with a field was sent: comments do not count.
	begun bool
	// continuable is set unless the last event has no id: a server that is asked to continue would send it again.
	continuable bool
}

// stream sends a request to servers until one responds, and forwards its events. On routes that allow it, another
// server continues after the last event if a server fails.
type stream struct {
	x               *exchange
	balancerRequest balance.Request
	body            [][]byte
	// attempts counts the attempts that may have reached a server.
	attempts    int
	mayHaveRun  bool
	lastFailure *upstream.Failure
	attempt     *streamAttempt
	events      sentEvents
	// complete is set when the response's last event has been forwarded.
	complete bool
	// memory is that of the event under way and of the output of a turn that will be recorded.
	memory *allocation
	// initialBytes is the memory that was reserved before the request was sent to a server.
	initialBytes int64
	// spilled is set once a part of an event was forwarded since the event did not fit into the memory limit.
	spilled bool
}

// streamAttempt is one attempt at one server.
type streamAttempt struct {
	choice   *balance.Choice
	began    time.Time
	response *upstream.Response
	ctx      context.Context
	cancel   context.CancelFunc
	pace     callerPace
	// heardAt is when a sign of life of the server was recorded last.
	heardAt time.Time
}

func (x *exchange) newStream(p turnContext) *stream {
	s := &stream{x: x, body: x.promptBody(p.history), events: sentEvents{lastID: x.requestInfo.LastEvent, continuable: true}}
	s.balancerRequest = balance.Request{Route: x.route.Name, Tried: map[incarnation.ID]bool{}, PromptTokens: max(1, x.requestInfo.PromptTokens), Parts: x.requestInfo.Parts,
		LikelyTokens: x.requestInfo.LikelyOutputTokens, Connected: x.hasIdleConnection, Lookup: x.lookupServer}
	s.lastFailure = upstream.NewFailure(verdict.NotRun, "no-server", Error.New("no usable server for the route's service"))
	return s
}

// run returns nil once a response has been forwarded completely.
func (s *stream) run() *refusal {
	for s.connect() {
		done, refused := s.forwardEvents()
		if done || refused != nil {
			return refused
		}
		s.x.g.log.WithFields(logrus.Fields{"event": "resume", "id": s.x.requestInfo.ID, "server": s.attempt.choice.Server.ID,
			"events": s.events.count, "after": s.events.lastID, "framing": s.x.received.framing, "unfinished_bytes": s.x.received.unfinished,
			"error": s.lastFailure}).Info("stream interrupted; resuming on another server")
	}
	return s.x.failureResponse(s.mayHaveRun, s.lastFailure)
}

// connect sends the request until a server responds, or returns false if no further attempt may be made.
func (s *stream) connect() bool {
	for s.attempts < s.x.route.MaxAttempts && s.x.ctx.Err() == nil && s.x.admit() {
		s.x.refreshServers(&s.balancerRequest)
		choice, found := s.x.g.balancer.Pick(&s.balancerRequest)
		if !found {
			return false
		}
		s.balancerRequest.Tried[choice.Server.ID] = true
		s.attempts++
		ctx, cancel := context.WithCancelCause(s.x.ctx)
		choice.CancelOnRestart(cancel)
		t := &streamAttempt{choice: choice, began: time.Now(), ctx: ctx, cancel: func() { cancel(nil) }}
		var failure *upstream.Failure
		t.response, failure = s.x.sendTo(ctx, choice, s.body, s.events.lastID)
		if failure == nil {
			s.attempt = t
			return true
		}
		t.cancel()
		if !s.recordFailure(t, failure) {
			return false
		}
	}
	return false
}

// recordFailure records an attempt without a complete response, and reports whether another one may be made.
func (s *stream) recordFailure(t *streamAttempt, failure *upstream.Failure) bool {
	s.x.recordFailure(t.choice, t.began, failure)
	s.x.reportFailure(t.choice, failure, s.x.route.Repeatable() && s.attempts < s.x.route.MaxAttempts)
	s.lastFailure = failure
	switch failure.Reason {
	case upstream.ReasonDial, upstream.ReasonNoConns, reasonMisdirected:
		s.attempts-- // no server received the request
	}
	if failure.Verdict == verdict.NotRun {
		return true
	}
	s.mayHaveRun = true
	return s.x.route.Repeatable()
}

// forwardEvents forwards a response. It reports whether the response is complete; if not and there is no refusal,
// another server may continue.
func (s *stream) forwardEvents() (done bool, refused *refusal) {
	defer s.attempt.cancel()
	defer s.attempt.response.Close()
	s.x.received.begin(s.attempt.response.Framing)
	s.mayHaveRun = true
	if !isSuccess(s.attempt.response.Status) {
		return s.forwardFailure()
	}
	err := s.copyEvents()
	if err == nil {
		s.complete = true
		s.attempt.choice.Generated = s.x.countTokens(s.attempt.choice.Server, s.events)
		s.x.recordWhole(s.attempt.choice, s.attempt.began, strconv.Itoa(s.attempt.response.Status), s.attempt.pace.outcome(balance.Answered))
		return true, nil
	}
	var exceeded *membudget.ExceededError
	switch {
	case errors.Is(err, errCallerLeft):
		s.x.recordGivenUp(s.attempt.choice, s.attempt.began, reasonCallerLeft)
		return false, s.x.unwritten(err)
	case errors.As(err, &exceeded):
		s.x.logMemoryExceeded(err, memoryAborted)
		s.x.recordGivenUp(s.attempt.choice, s.attempt.began, reasonNoMemory)
		return false, &refusal{status: http.StatusBadGateway, reason: "no-memory-for-answer", err: err}
	}
	failure := upstream.NewFailure(verdict.MayHaveRun, failureReason(s.attempt.ctx, s.attempt.pace.failureReason(upstream.ReasonRead)), err)
	if !s.recordFailure(s.attempt, failure) || s.x.ctx.Err() != nil || !s.events.continuable {
		return false, s.x.failureResponse(true, failure)
	}
	return false, nil
}

// sendHead sends the head of the response, with its first event or once it is complete. Until then another status can be
// sent.
func (s *stream) sendHead() {
	if !s.x.headSent {
		s.x.writeResponseHead(s.attempt.response, 0, true)
	}
}

// forwardFailure forwards a server's error response, unless another server may be asked instead.
func (s *stream) forwardFailure() (done bool, refused *refusal) {
	response := s.attempt.response
	replaceable := s.x.route.Repeatable() && response.Status >= 500 && s.attempts < s.x.route.MaxAttempts
	if s.x.headSent || replaceable {
		failure := upstream.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(response.Status), Error.New("server responded with status %d", response.Status))
		s.recordFailure(s.attempt, failure)
		return false, nil
	}
	t := &attemptResult{choice: s.attempt.choice, began: s.attempt.began, memory: s.memory}
	if err := s.x.buffer(t, response); err != nil {
		failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonMalformed, err)
		s.recordFailure(s.attempt, failure)
		return false, s.x.failureResponse(true, failure)
	}
	return true, s.x.forwardResponse(t)
}

// errCallerLeft means that a write to the caller failed.
var errCallerLeft = Error.New("caller disconnected")

// errOutOfOrder means that a server did not continue after the last event of the previous server.
var errOutOfOrder = Error.New("event id out of order")

// errNoEvents means that a response without a length or chunks ended before its first event.
var errNoEvents = Error.New("response without length or chunks ended before its first event")

// copyEvents copies events until the end of the response. Events are sent only whole, so that another server can
// continue after the last one. No event is read while the caller has not taken the one before, so that a caller that
// does not read holds back the server.
func (s *stream) copyEvents() (err error) {
	pace := &s.attempt.pace
	reader := newEventReader(&pacedReader{s.attempt.response.Body, pace})
	reader.keepData = s.x.route.RetainTurns
	reader.reserve = s.reserveEvent
	defer func() { s.recordEnd(reader, err) }()
	if !s.x.route.RetainTurns && !s.x.route.Repeatable() {
		reader.spill = s.spillEvent
	}
	control := http.NewResponseController(s.x.w)
	for {
		event, readErr := reader.readEvent()
		if errors.Is(readErr, io.EOF) {
			return s.checkEnd()
		}
		if readErr != nil {
			return readErr
		}
		if !s.inOrder(&event) {
			return errOutOfOrder
		}
		if memoryErr := s.reserveRecorded(len(event.raw)); memoryErr != nil {
			return memoryErr
		}
		s.heard()
		s.sendHead()
		if writeErr := s.x.write(event.raw, pace); writeErr != nil {
			return errCallerLeft
		}
		s.recordEvent(&event)
		s.releaseEvent()
		if flushErr := s.x.flush(control, pace); flushErr != nil {
			return errCallerLeft
		}
	}
}

// heardInterval is the time between two records of a server's signs of life in one stream.
const heardInterval = silenceTime / 3

// heard records that an event of the server has arrived.
func (s *stream) heard() {
	if now := time.Now(); now.Sub(s.attempt.heardAt) >= heardInterval {
		s.attempt.heardAt = now
		s.x.g.quarantine.Heard(s.attempt.choice.Server.ID)
	}
}

// checkEnd returns an error if a response that ended between two events can't be complete: the end of a connection
// before any event says nothing about the response.
func (s *stream) checkEnd() error {
	if s.attempt.response.Framing == upstream.FramingConnection && !s.events.begun && s.events.lastID == "" {
		return errNoEvents
	}
	return nil
}

// recordEnd records for the log where a response ended, and counts it unless it was given up before its end.
func (s *stream) recordEnd(reader *eventReader, err error) {
	s.x.received.events, s.x.received.unfinished = s.events.count, reader.unfinished
	if reader.ended {
		s.x.countResponse(s.attempt.response, err)
	}
}

// outputMemory returns the memory of an output of n bytes: its bytes, the spare capacity of their buffer, and the copies
// made when the turn is recorded.
func outputMemory(n int) int64 { return int64(n) + int64(n)/2 + recordCopies*int64(n) }

// reserveEvent reserves memory for an event under way of n bytes, and for its part of the output if that is recorded.
func (s *stream) reserveEvent(n int) error {
	needed := eventCopies * int64(n)
	if s.x.route.RetainTurns {
		needed += int64(n) + outputMemory(len(s.events.output)+n)
	}
	return s.memory.growTo(needed)
}

// reserveRecorded reserves memory for an event before it is added to an output that is recorded.
func (s *stream) reserveRecorded(n int) error {
	if !s.x.route.RetainTurns {
		return nil
	}
	return s.reserveEvent(n)
}

// releaseEvent releases the memory of an event that was sent.
func (s *stream) releaseEvent() {
	s.memory.shrinkTo(max(s.initialBytes, outputMemory(len(s.events.output))))
}

// spillEvent forwards the beginning of an event that does not fit into the memory limit.
func (s *stream) spillEvent(raw []byte, memoryErr error) error {
	if !s.spilled {
		s.spilled = true
		s.x.logMemoryExceeded(memoryErr, memoryUnbuffered)
	}
	s.sendHead()
	if err := s.x.write(raw, &s.attempt.pace); err != nil {
		return errCallerLeft
	}
	return nil
}

// inOrder reports whether an event may follow those already sent. A server that was asked to continue must not start
// over.
func (s *stream) inOrder(e *event) bool {
	if s.events.lastID == "" || e.id == "" {
		return true
	}
	last, lastErr := strconv.ParseInt(s.events.lastID, 10, 64)
	next, nextErr := strconv.ParseInt(e.id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return e.id != s.events.lastID
	}
	return next > last
}

// recordEvent counts an event that was sent, and stores its data if the route retains turns.
func (s *stream) recordEvent(e *event) {
	s.events.begun = s.events.begun || e.hasField
	if e.id != "" {
		s.events.lastID = e.id
	}
	if !e.hasData {
		return
	}
	s.events.count++
	s.events.continuable = e.id != ""
	if s.x.route.RetainTurns {
		s.events.output = append(s.events.output, e.data...)
		s.events.output = append(s.events.output, '\n')
	}
}

// forwardInfo returns the headers that a server gets in addition to the caller's.
func (x *exchange) forwardInfo(server, lastEvent string) call.ForwardInfo {
	return call.ForwardInfo{Timeout: x.timeLeft(), Server: server, LastEvent: lastEvent, Organisation: x.organisationName()}
}
