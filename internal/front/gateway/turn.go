package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/turns/ledger"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

const (
	// ledgerTimeDivisor bounds the time to reach the ledger to the remaining time divided by it.
	ledgerTimeDivisor = 3
	// maxLedgerWait bounds the time to reach the ledger, as the caller's next request may reach a daemon that can.
	maxLedgerWait = 1200 * time.Millisecond
	// maxRecordWait bounds how long the end of a complete response waits for its record, beyond the deadline.
	maxRecordWait = 2 * time.Second
	// minRetention is how long a program's tokens count after its last turn if its route has a shorter retention: a
	// stopped program may continue.
	minRetention = time.Minute
)

// turnContext is what the ledger knows about a turn before it runs.
type turnContext struct {
	// reservation is the turn's reservation of its program's budget; nil if there is no budget.
	reservation *turn.Record
	// history has the turns before this one, the oldest first.
	history []*turn.Record
	// programStarted is set if the ledger has other turns of the program.
	programStarted bool
	// timeBudget is the time allowed for the whole program; 0 if none was given.
	timeBudget time.Duration
}

// programKey returns the ledger key of the turn's program. A turn outside of any program has its own.
func (x *exchange) programKey() string {
	if x.requestInfo.Program != "" {
		return x.scopedKey(x.requestInfo.Program)
	}
	return x.scopedKey(x.requestInfo.ID)
}

// scopedKey returns the ledger key of a turn or program of the caller's organisation.
func (x *exchange) scopedKey(id string) string { return turn.Key(x.organisationName(), id) }

// prepareTurn reserves the turn's tokens if it has a budget, and concurrently reads its history if the route retains
// turns. A stream with neither does not use the ledger.
func (x *exchange) prepareTurn() (turnContext, *refusal) {
	if !x.requestInfo.HasBudget && !x.route.RetainTurns {
		return turnContext{}, nil
	}
	expectedHistory, refused := x.reserveHistory()
	if refused != nil {
		return turnContext{}, refused
	}
	limit := maxLedgerWait
	if left := x.timeLeft(); left > 0 {
		limit = min(limit, left/ledgerTimeDivisor)
	}
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	defer cancel()
	var chain []*turn.Record
	var chainErr error
	read := make(chan struct{})
	go func() {
		defer close(read)
		if x.route.RetainTurns {
			chain, chainErr = x.g.ledger.Chain(ctx, x.programKey(), x.scopedKey(x.requestInfo.PreviousTurn))
		}
	}()
	p := turnContext{}
	var usage ledger.ProgramUsage
	var reserveErr error
	if x.requestInfo.HasBudget {
		p.reservation = x.newRecord(turn.Reserved, x.requestInfo.MaxOutputTokens)
		p.reservation.Aim = x.requestInfo.TimeBudget
		usage, reserveErr = x.g.ledger.Reserve(ctx, p.reservation, x.requestInfo.TokenBudget)
	}
	<-read
	p.history = chain
	p.programStarted = len(chain) > 0 || usage.Turns > 0
	p.timeBudget = max(usage.TimeBudget, x.requestInfo.TimeBudget)
	x.g.log.WithFields(logrus.Fields{"event": "turn", "id": x.requestInfo.ID, "program": x.requestInfo.Program, "previous": x.requestInfo.PreviousTurn,
		"before": len(chain), "spent": usage.Spent, "places": len(usage.CachedPrompts), "reserve": x.requestInfo.MaxOutputTokens, "budget": x.requestInfo.TokenBudget,
		"ms": time.Since(x.arrived).Milliseconds()}).Info("turn prepared")
	x.g.balancer.RecordCached(usage.CachedPrompts...)
	if n := len(chain); n > 0 {
		if cached, known := chain[n-1].CachedPrompt(); known {
			x.g.balancer.RecordCached(cached)
		}
	}
	refused = refusalForLedger(chainErr, reserveErr)
	if refused == nil {
		refused = x.adjustHistory(expectedHistory, chain)
	}
	if refused != nil {
		x.releaseReservation(p.reservation)
	}
	return p, refused
}

// refusalForLedger returns the refusal for a turn whose history could not be read or whose tokens could not be
// reserved, or nil.
func refusalForLedger(chainErr, reserveErr error) *refusal {
	switch {
	case errors.Is(chainErr, ledger.ErrTurnNotFound):
		return &refusal{status: http.StatusNotFound, reason: "no-such-turn", err: chainErr}
	case chainErr != nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: "history-unsure", retryAfter: jitter(retryLedger), err: chainErr}
	case errors.Is(reserveErr, ledger.ErrBudgetExceeded):
		return &refusal{status: http.StatusPaymentRequired, reason: "budget-spent", err: reserveErr}
	case reserveErr != nil:
		return &refusal{status: http.StatusServiceUnavailable, reason: "budget-unsure", retryAfter: jitter(retryLedger), err: reserveErr}
	}
	return nil
}

// newRecord returns the turn's record in a state.
func (x *exchange) newRecord(state turn.State, tokens int64) *turn.Record {
	return &turn.Record{State: state, ID: x.scopedKey(x.requestInfo.ID), Program: x.programKey(), Tokens: tokens,
		Retention: max(x.route.Retention, minRetention)}
}

// releaseReservation cancels the reservation of a turn that has not run and never will.
func (x *exchange) releaseReservation(reservation *turn.Record) {
	if reservation != nil {
		x.g.ledger.Settle(x.newRecord(turn.Void, 0))
	}
}

// recordTurn records a completed turn. With retention it waits until the record is durable, because the caller may
// continue from the turn as soon as it has the end of the response. Otherwise only tokens are counted, without
// waiting.
func (x *exchange) recordTurn(p turnContext, server catalog.Server, events sentEvents) *refusal {
	tokens := x.countTokens(server, events)
	state := turn.Settled
	if x.route.RetainTurns {
		state = turn.Finished
	}
	record := x.newRecord(state, tokens)
	record.Server = server.ID
	if n := len(x.requestInfo.Parts); n > 0 {
		last := x.requestInfo.Parts[n-1]
		record.Part, record.Held = last.ID, last.Tokens+tokens
		x.g.balancer.RecordCached(turn.CachedPrompt{Server: server.ID, Part: record.Part, Held: record.Held})
	}
	if !x.route.RetainTurns {
		if p.reservation != nil {
			x.g.ledger.Settle(record)
		}
		return nil
	}
	x.g.sizes.observe(x.route.Name, outputSize, len(events.output))
	record.Input, record.Output = x.body, events.output
	x.linkRecord(record, p.history)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), maxRecordWait)
	defer cancel()
	if err := x.g.ledger.Finish(ctx, record); err != nil {
		return &refusal{status: http.StatusBadGateway, reason: "turn-not-kept", err: err}
	}
	return nil
}

// countTokens returns the number of tokens in the events of a server's response.
func (x *exchange) countTokens(server catalog.Server, events sentEvents) int64 {
	tokens := int64(events.count)
	if service := x.table.Service(server.Service); service != nil {
		tokens *= int64(max(1, service.TokensPerEvent))
	}
	return tokens
}

// linkRecord links a record to the turn it continues from. If that belongs to another program, its history is copied
// into the record, so that records of a program never depend on those of another.
func (x *exchange) linkRecord(record *turn.Record, chain []*turn.Record) {
	if len(chain) == 0 {
		return
	}
	if last := chain[len(chain)-1]; last.Program == record.Program {
		record.Previous = last.ID
		return
	}
	var input []byte
	for _, part := range x.promptBody(chain) {
		input = append(input, part...)
	}
	record.Input = input
}

// promptBody returns the request body for a server: the inputs and outputs of the history, then the new input.
func (x *exchange) promptBody(chain []*turn.Record) [][]byte {
	body := make([][]byte, 0, 2*len(chain)+1)
	for _, before := range chain {
		body = append(body, before.Input, before.Output)
	}
	return append(body, x.body)
}
