package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/balance"
	"github.com/rookpass/rookpass/internal/catalog"
	"github.com/rookpass/rookpass/internal/ledger"
	"github.com/rookpass/rookpass/internal/turn"
	"github.com/rookpass/rookpass/internal/upstream"
	"github.com/rookpass/rookpass/internal/verdict"
)

// ledgerShare of the time left is the most that reaching the disks may take before a turn is refused.
const ledgerShare = 3

// maxLedgerWait bounds it where much time is left: the caller's next try may reach a daemon that can.
const maxLedgerWait = 1200 * time.Millisecond

// finishWait bounds how long the end of a whole answer waits for its record, beyond the request's own time.
const finishWait = 2 * time.Second

// serveTurn runs one turn of a program: reserves its tokens, puts its history before its input, streams the
// answer and keeps it.
func (x *exchange) serveTurn() *refusal {
	reserved := &turn.Record{State: turn.Reserved, ID: x.info.ID, Program: x.program(),
		Tokens: x.info.MaxOutputTokens, Retention: x.route.Retention}
	chain, refused := x.prepare(reserved)
	if refused != nil {
		return refused
	}
	answer, choice, began, failure := x.sendTurn(chain)
	if failure != nil {
		mayHaveRun := failure.Verdict != verdict.NotRun
		if !mayHaveRun {
			x.g.ledger.Void(reserved)
		}
		return x.broken(mayHaveRun, failure)
	}
	return x.relayTurn(choice, began, answer, chain)
}

// program returns the key under which the turn is kept: a turn outside any program stands for itself.
func (x *exchange) program() string {
	if x.info.Program != "" {
		return x.info.Program
	}
	return x.info.ID
}

// prepare reserves the turn's tokens and reads its history, both at once.
func (x *exchange) prepare(reserved *turn.Record) ([]*turn.Record, *refusal) {
	limit := maxLedgerWait
	if left := x.left(); left > 0 {
		limit = min(limit, left/ledgerShare)
	}
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	defer cancel()
	var chain []*turn.Record
	var chainErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		chain, chainErr = x.g.ledger.Chain(ctx, x.program(), x.info.PreviousTurn)
	}()
	var spent int64
	var reserveErr error
	if x.info.HasBudget {
		spent, reserveErr = x.g.ledger.Reserve(ctx, reserved, x.info.TokenBudget)
	}
	<-read
	x.g.log.WithFields(logrus.Fields{"event": "turn", "id": x.info.ID, "program": x.info.Program, "previous": x.info.PreviousTurn,
		"before": len(chain), "spent": spent, "reserve": reserved.Tokens, "budget": x.info.TokenBudget,
		"ms": time.Since(x.arrived).Milliseconds()}).Info("turn prepared")
	var refused *refusal
	switch {
	case errors.Is(chainErr, ledger.ErrNoTurn):
		refused = &refusal{status: http.StatusNotFound, reason: "no-such-turn", err: chainErr}
	case chainErr != nil:
		refused = &refusal{status: http.StatusServiceUnavailable, reason: "history-unsure", retryAfter: jitter(retryLedger), err: chainErr}
	case errors.Is(reserveErr, ledger.ErrBudget):
		refused = &refusal{status: http.StatusPaymentRequired, reason: "budget-spent", err: reserveErr}
	case reserveErr != nil:
		refused = &refusal{status: http.StatusServiceUnavailable, reason: "budget-unsure", retryAfter: jitter(retryLedger), err: reserveErr}
	}
	if refused != nil && x.info.HasBudget {
		x.g.ledger.Void(reserved)
	}
	return chain, refused
}

// prompt returns the body for a server: the history's inputs and outputs, then the new input.
func (x *exchange) prompt(chain []*turn.Record) [][]byte {
	body := make([][]byte, 0, 2*len(chain)+1)
	for _, before := range chain {
		body = append(body, before.Input, before.Output)
	}
	return append(body, x.body)
}

// sendTurn sends the turn to servers until one takes it on. A turn that a server may have begun on is not
// sent again.
func (x *exchange) sendTurn(chain []*turn.Record) (*upstream.Answer, *balance.Choice, time.Time, *upstream.Failure) {
	ask := &balance.Ask{Route: x.route.Name, Tried: map[string]bool{}, PromptTokens: max(1, x.info.PromptTokens)}
	for _, part := range x.info.Parts {
		ask.Parts = append(ask.Parts, part.ID)
		ask.Sizes = append(ask.Sizes, part.Tokens)
	}
	if len(chain) > 0 {
		ask.Holder = chain[len(chain)-1].Server
		ask.Cached = x.info.PromptTokens - int64(len(x.body))
	}
	body := x.prompt(chain)
	last := upstream.NewFailure(verdict.NotRun, "no-server", Error.New("no server of the route's service is known"))
	for sent := 0; sent < x.route.MaxAttempts; {
		ask.Servers = x.servers()
		choice, found := x.g.balancer.Pick(ask)
		if !found {
			break
		}
		ask.Tried[choice.Server.ID] = true
		began := time.Now()
		answer, failure := x.try(x.ctx, choice, body)
		if failure == nil {
			return answer, choice, began, nil
		}
		x.noteFailure(choice, began, failure)
		last = failure
		if x.ctx.Err() != nil || failure.Verdict != verdict.NotRun {
			break
		}
		if failure.Reason != upstream.ReasonDial && failure.Reason != reasonGone {
			sent++
		}
	}
	return nil, nil, time.Time{}, last
}

// relayTurn passes the events on as they come. The end of the answer follows once the turn is kept.
func (x *exchange) relayTurn(choice *balance.Choice, began time.Time, answer *upstream.Answer, chain []*turn.Record) *refusal {
	if !isSuccess(answer.Status) {
		head, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
		if err != nil {
			answer.Close()
			failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonGarbled, err)
			x.noteFailure(choice, began, failure)
			return x.broken(true, failure)
		}
		return x.pass(&try{choice: choice, began: began, answer: answer, head: head, more: len(head) == bufferBytes})
	}
	defer answer.Close()
	x.begin(answer, 0, true)
	delete(x.w.Header(), "Content-Length")
	events, err := x.relayEvents(answer)
	if err != nil {
		failure := upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonRead, err)
		x.noteFailure(choice, began, failure)
		return x.broken(true, failure)
	}
	x.note(choice, began, strconv.Itoa(answer.Status), balance.Answered)
	record := x.finished(choice.Server, chain, events)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finishWait)
	defer cancel()
	if err := x.g.ledger.Finish(ctx, record); err != nil {
		return &refusal{status: http.StatusBadGateway, reason: "turn-not-kept", err: err}
	}
	return nil
}

// relayed is what a stream carried.
type relayed struct {
	count  int
	output []byte
}

// relayEvents copies events until the answer's end.
func (x *exchange) relayEvents(answer *upstream.Answer) (relayed, error) {
	reader := newEventReader(answer.Body)
	control := http.NewResponseController(x.w)
	var events relayed
	for {
		event, err := reader.next()
		if len(event.raw) > 0 && (err == nil || errors.Is(err, io.EOF)) {
			if _, writeErr := x.w.Write(event.raw); writeErr != nil {
				return events, writeErr
			}
			if event.hasData {
				events.count++
				events.output = append(events.output, event.data...)
				events.output = append(events.output, '\n')
			}
			if err == nil {
				if flushErr := control.Flush(); flushErr != nil {
					return events, flushErr
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return events, nil
		}
		if err != nil {
			return events, err
		}
	}
}

// finished returns the record of a whole turn. One that goes on from another program's turn holds that
// history itself, so that a program's records never depend on another's.
func (x *exchange) finished(server catalog.Server, chain []*turn.Record, events relayed) *turn.Record {
	record := &turn.Record{State: turn.Finished, ID: x.info.ID, Program: x.program(), Retention: x.route.Retention,
		Tokens: int64(events.count), Input: x.body, Output: events.output, Server: server.ID}
	if service := x.table.Service(server.Service); service != nil {
		record.Tokens *= int64(max(1, service.TokensPerEvent))
	}
	if len(chain) == 0 {
		return record
	}
	if last := chain[len(chain)-1]; last.Program == record.Program {
		record.Previous = last.ID
		return record
	}
	var input []byte
	for _, part := range x.prompt(chain) {
		input = append(input, part...)
	}
	record.Input = input
	return record
}
