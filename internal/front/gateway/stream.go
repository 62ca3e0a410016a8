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
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// serveStream answers a request by the events of a server as they come: a turn of a program, kept or not, or a
// stream outside any program.
func (x *exchange) serveStream() *refusal {
	if x.route.RetainTurns && x.info.LastEvent != "" {
		return &refusal{status: http.StatusBadRequest, reason: "kept-turn-resumed",
			err: Error.New("a kept turn needs its whole answer, so its caller can't go on in the middle")}
	}
	p, refused := x.prepare()
	if refused != nil {
		return refused
	}
	s := x.newStream(p)
	c := s.call(p)
	if refused := x.enter(c); refused != nil {
		x.void(p.reservation)
		return refused
	}
	defer x.g.gate.Release(c)
	if refused := x.stillProved(); refused != nil {
		x.void(p.reservation)
		return refused
	}
	if refused := s.run(); refused != nil {
		if !s.mayHaveRun && !x.begun {
			x.void(p.reservation)
		}
		return refused
	}
	if !s.whole {
		return nil // a server's own failure was passed on; it may have generated tokens
	}
	x.g.gate.ObserveCompletion(c)
	return x.end(p, s.try.choice.Server, s.events)
}

// relayed is what a stream carried to the caller.
type relayed struct {
	count  int
	output []byte
	// last is the id of the last event.
	last string
}

// stream sends a request to servers until one answers it with events, and passes those on. Where the route
// allows it, another server goes on behind the last event when a server breaks off.
type stream struct {
	x    *exchange
	ask  balance.Request
	body [][]byte
	// sent counts the tries that may have reached a server.
	sent       int
	mayHaveRun bool
	last       *upstream.Failure
	try        *streamTry
	events     relayed
	// whole is set when the answer's last event has been passed on.
	whole bool
}

// streamTry is one try at one server.
type streamTry struct {
	choice *balance.Choice
	began  time.Time
	answer *upstream.Response
	ctx    context.Context
	cancel context.CancelFunc
}

func (x *exchange) newStream(p prepared) *stream {
	s := &stream{x: x, body: x.prompt(p.chain), events: relayed{last: x.info.LastEvent}}
	s.ask = balance.Request{Route: x.route.Name, Tried: map[incarnation.ID]bool{}, PromptTokens: max(1, x.info.PromptTokens), Parts: x.info.Parts,
		Connected: x.connected, Lookup: x.known}
	s.last = upstream.NewFailure(verdict.NotRun, "no-server", Error.New("no server of the route's service is known"))
	return s
}

// run returns nil once an answer has been passed on to its end.
func (s *stream) run() *refusal {
	for s.open() {
		done, refused := s.relay()
		if done || refused != nil {
			return refused
		}
		s.x.g.log.WithFields(logrus.Fields{"event": "resume", "id": s.x.info.ID, "server": s.try.choice.Server.ID,
			"events": s.events.count, "after": s.events.last, "error": s.last}).Info("stream broke off; asking another server")
	}
	return s.x.broken(s.mayHaveRun, s.last)
}

// open sends the request until a server begins to answer, or returns false where no more may be tried.
func (s *stream) open() bool {
	for s.sent < s.x.route.MaxAttempts && s.x.ctx.Err() == nil {
		s.x.look(&s.ask)
		choice, found := s.x.g.balancer.Pick(&s.ask)
		if !found {
			return false
		}
		s.ask.Tried[choice.Server.ID] = true
		s.sent++
		ctx, cancel := context.WithCancelCause(s.x.ctx)
		choice.CancelOnRestart(cancel)
		t := &streamTry{choice: choice, began: time.Now(), ctx: ctx, cancel: func() { cancel(nil) }}
		var failure *upstream.Failure
		t.answer, failure = s.x.try(ctx, choice, s.body, s.events.last)
		if failure == nil {
			s.try = t
			return true
		}
		t.cancel()
		if !s.failed(t, failure) {
			return false
		}
	}
	return false
}

// failed records a try that brought no whole answer, and reports whether another server may be asked.
func (s *stream) failed(t *streamTry, failure *upstream.Failure) bool {
	s.x.noteFailure(t.choice, t.began, failure)
	s.last = failure
	switch failure.Reason {
	case upstream.ReasonDial, upstream.ReasonNoConns, reasonGone:
		s.sent-- // no server got it
	}
	if failure.Verdict == verdict.NotRun {
		return true
	}
	s.mayHaveRun = true
	return s.x.route.Repeatable()
}

// relay passes an answer on. It reports whether that was all; if not and nothing is refused, another server may
// go on.
func (s *stream) relay() (done bool, refused *refusal) {
	defer s.try.cancel()
	defer s.try.answer.Close()
	if !isSuccess(s.try.answer.Status) {
		return s.passFailure()
	}
	if !s.x.begun {
		s.x.begin(s.try.answer, 0, true)
		s.x.w.Header().Del("Content-Length")
	}
	err := s.copyEvents()
	if err == nil {
		s.whole = true
		s.try.choice.Generated = s.x.tokens(s.try.choice.Server, s.events)
		s.x.note(s.try.choice, s.try.began, strconv.Itoa(s.try.answer.Status), balance.Answered)
		return true, nil
	}
	failure := upstream.NewFailure(verdict.MayHaveRun, reasonOf(s.try.ctx, upstream.ReasonRead), err)
	if errors.Is(err, errCallerLeft) {
		s.x.note(s.try.choice, s.try.began, "caller-left", balance.Abandoned)
		return false, s.x.broken(true, err)
	}
	if !s.failed(s.try, failure) || s.x.ctx.Err() != nil {
		return false, s.x.broken(true, failure)
	}
	return false, nil
}

// passFailure passes a server's own failure on, unless another server may be asked in its place.
func (s *stream) passFailure() (done bool, refused *refusal) {
	answer := s.try.answer
	replaceable := s.x.route.Repeatable() && answer.Status >= 500 && s.sent < s.x.route.MaxAttempts
	if s.x.begun || replaceable {
		failure := upstream.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(answer.Status), Error.New("status %d", answer.Status))
		s.failed(s.try, failure)
		return false, nil
	}
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
	if err != nil {
		failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonMalformed, err)
		s.x.noteFailure(s.try.choice, s.try.began, failure)
		return false, s.x.broken(true, failure)
	}
	return true, s.x.pass(&try{choice: s.try.choice, began: s.try.began, answer: answer, head: head, more: len(head) == bufferBytes})
}

// errCallerLeft means that the caller took no more of the answer.
var errCallerLeft = Error.New("the caller takes no more")

// errOutOfOrder means that a server did not go on where the one before it broke off.
var errOutOfOrder = Error.New("an event whose id does not follow")

// copyEvents copies events until the answer's end. Only whole events go out: another server can go on behind
// the last of them.
func (s *stream) copyEvents() error {
	reader := newEventReader(s.try.answer.Body)
	control := http.NewResponseController(s.x.w)
	for {
		event, err := reader.next()
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		if len(event.raw) > 0 {
			if !s.follows(&event) {
				return errOutOfOrder
			}
			if _, writeErr := s.x.w.Write(event.raw); writeErr != nil {
				return errCallerLeft
			}
			s.took(&event)
		}
		if err != nil {
			return nil
		}
		if flushErr := control.Flush(); flushErr != nil {
			return errCallerLeft
		}
	}
}

// follows tells whether an event may stand behind those that went out. A server that is asked to go on in the
// middle must not begin anew.
func (s *stream) follows(e *event) bool {
	if s.events.last == "" || e.id == "" {
		return true
	}
	last, lastErr := strconv.ParseInt(s.events.last, 10, 64)
	next, nextErr := strconv.ParseInt(e.id, 10, 64)
	if lastErr != nil || nextErr != nil {
		return e.id != s.events.last
	}
	return next > last
}

// took counts an event that has gone out, and keeps its data where the route keeps history.
func (s *stream) took(e *event) {
	if e.id != "" {
		s.events.last = e.id
	}
	if !e.hasData {
		return
	}
	s.events.count++
	if s.x.route.RetainTurns {
		s.events.output = append(s.events.output, e.data...)
		s.events.output = append(s.events.output, '\n')
	}
}

// address returns what a server is told of the request.
func (x *exchange) address(server, lastEvent string) call.ForwardInfo {
	return call.ForwardInfo{Timeout: x.left(), Server: server, LastEvent: lastEvent, Organisation: x.organisationName()}
}
