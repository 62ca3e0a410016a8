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
	// ledgerShare of the time left is the most that reaching the disks may take before a turn is refused.
	ledgerShare = 3
	// maxLedgerWait bounds it where much time is left: the caller's next try may reach a daemon that can.
	maxLedgerWait = 1200 * time.Millisecond
	// finishWait bounds how long the end of a whole answer waits for its record, beyond the request's own time.
	finishWait = 2 * time.Second
	// leastRetention is how long a program's tokens count after its last turn where its route names no time: a
	// stopped program may come back, and the longest pauses of programs so far are of seconds.
	leastRetention = time.Minute
)

// prepared is what the disks said of a turn before it runs.
type prepared struct {
	// reservation is the turn's claim on its program's budget; nil where no budget bounds it.
	reservation *turn.Record
	// chain is the history that goes before the turn's input, the oldest first.
	chain []*turn.Record
	// begun is set where the disks know of other turns of the program.
	begun bool
	// aim is the time that the whole program was given; 0 where that was not said.
	aim time.Duration
}

// program returns the key under which the turn's program is kept: a turn outside any program stands for itself.
func (x *exchange) program() string {
	if x.info.Program != "" {
		return x.key(x.info.Program)
	}
	return x.key(x.info.ID)
}

// key returns the name under which a turn or program of the caller's organisation is kept.
func (x *exchange) key(id string) string { return turn.Key(x.organisationName(), id) }

// prepare reserves the turn's tokens where a budget bounds them, and reads its history where the route keeps
// it, both at once. A stream with neither asks no disk.
func (x *exchange) prepare() (prepared, *refusal) {
	if !x.info.HasBudget && !x.route.RetainTurns {
		return prepared{}, nil
	}
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
		if x.route.RetainTurns {
			chain, chainErr = x.g.ledger.Chain(ctx, x.program(), x.key(x.info.PreviousTurn))
		}
	}()
	p := prepared{}
	var account ledger.ProgramUsage
	var reserveErr error
	if x.info.HasBudget {
		p.reservation = x.record(turn.Reserved, x.info.MaxOutputTokens)
		p.reservation.Aim = x.info.TimeBudget
		account, reserveErr = x.g.ledger.Reserve(ctx, p.reservation, x.info.TokenBudget)
	}
	<-read
	p.chain = chain
	p.begun = len(chain) > 0 || account.Turns > 0
	p.aim = max(account.TimeBudget, x.info.TimeBudget)
	x.g.log.WithFields(logrus.Fields{"event": "turn", "id": x.info.ID, "program": x.info.Program, "previous": x.info.PreviousTurn,
		"before": len(chain), "spent": account.Spent, "places": len(account.CachedPrompts), "reserve": x.info.MaxOutputTokens, "budget": x.info.TokenBudget,
		"ms": time.Since(x.arrived).Milliseconds()}).Info("turn prepared")
	x.g.balancer.RecordCached(account.CachedPrompts...)
	if n := len(chain); n > 0 {
		if place, known := chain[n-1].CachedPrompt(); known {
			x.g.balancer.RecordCached(place)
		}
	}
	refused := refusalOf(chainErr, reserveErr)
	if refused != nil {
		x.void(p.reservation)
	}
	return p, refused
}

// refusalOf returns what a turn is told whose history could not be read or whose tokens could not be reserved.
func refusalOf(chainErr, reserveErr error) *refusal {
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

// record returns the turn's record in a state.
func (x *exchange) record(state turn.State, tokens int64) *turn.Record {
	return &turn.Record{State: state, ID: x.key(x.info.ID), Program: x.program(), Tokens: tokens,
		Retention: max(x.route.Retention, leastRetention)}
}

// void takes back the reservation of a turn that has not run and never will.
func (x *exchange) void(reservation *turn.Record) {
	if reservation != nil {
		x.g.ledger.Settle(x.record(turn.Void, 0))
	}
}

// end records a turn that was answered whole. The caller may go on from a kept one as soon as it has the
// answer's end, so that waits until the record is durable; a mere count of tokens does not keep it.
func (x *exchange) end(p prepared, server catalog.Server, events relayed) *refusal {
	tokens := x.tokens(server, events)
	state := turn.Settled
	if x.route.RetainTurns {
		state = turn.Finished
	}
	record := x.record(state, tokens)
	record.Server = server.ID
	if n := len(x.info.Parts); n > 0 {
		last := x.info.Parts[n-1]
		record.Part, record.Held = last.ID, last.Tokens+tokens
		x.g.balancer.RecordCached(turn.CachedPrompt{Server: server.ID, Part: record.Part, Held: record.Held})
	}
	if !x.route.RetainTurns {
		if p.reservation != nil {
			x.g.ledger.Settle(record)
		}
		return nil
	}
	record.Input, record.Output = x.body, events.output
	x.link(record, p.chain)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(x.ctx), finishWait)
	defer cancel()
	if err := x.g.ledger.Finish(ctx, record); err != nil {
		return &refusal{status: http.StatusBadGateway, reason: "turn-not-kept", err: err}
	}
	return nil
}

// tokens returns how many tokens the events of a server's answer stand for.
func (x *exchange) tokens(server catalog.Server, events relayed) int64 {
	tokens := int64(events.count)
	if service := x.table.Service(server.Service); service != nil {
		tokens *= int64(max(1, service.TokensPerEvent))
	}
	return tokens
}

// link puts a record behind the history that its turn went on from. Where that is another program's, the record
// takes it in, so that a program's records never depend on another's.
func (x *exchange) link(record *turn.Record, chain []*turn.Record) {
	if len(chain) == 0 {
		return
	}
	if last := chain[len(chain)-1]; last.Program == record.Program {
		record.Previous = last.ID
		return
	}
	var input []byte
	for _, part := range x.prompt(chain) {
		input = append(input, part...)
	}
	record.Input = input
}

// prompt returns the body for a server: the history's inputs and outputs, then the new input.
func (x *exchange) prompt(chain []*turn.Record) [][]byte {
	body := make([][]byte, 0, 2*len(chain)+1)
	for _, before := range chain {
		body = append(body, before.Input, before.Output)
	}
	return append(body, x.body)
}
