// Package holder runs the programs of the partitions that this daemon owns: it checks a call's order and
// budget, makes it durable, sends it to a backend server and streams the answer.
//
// All of a partition's state stands in one shard under one lock; no input or output happens under it.
// State changes only when the journal says that the records are durable.
package holder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Journal makes records durable; journal.Writer is the one in use.
type Journal interface {
	// Append queues an entry; its order is the order of calls.
	Append(*journal.Entry) error
	// Full tells whether new work should be refused.
	Full() bool
	// Position returns the last segment whose entries are all applied.
	Position() uint64
}

// ModelCall is one generation on a model engine.
type ModelCall struct {
	Organisation string
	ProgramID    string
	RequestID    string
	// Epoch is the fencing token sent with the call.
	Epoch uint64
	// Attempt counts the attempts of the call under this epoch, from 1.
	Attempt   int
	Model     string
	Prompt    []byte
	MaxTokens int64
	Priority  int32
	// AttainedTokens is the service that the whole program has had.
	AttainedTokens int64
	// CachedOn are the engines that may have the program's cache.
	CachedOn []string
	// Exclude are engines on which this call broke off before.
	Exclude []string
}

// ModelResult is what a generation used.
type ModelResult struct {
	// Backend is the engine that ran it and may hold cache for the program.
	Backend          string
	PromptTokens     int64
	CachedTokens     int64
	CompletionTokens int64
}

// ServiceCall is one request to a tool service or plain service.
type ServiceCall struct {
	Organisation string
	ProgramID    string
	RequestID    string
	Kind         string
	Service      string
	Path         string
	Body         []byte
	Idempotent   bool
	Timeout      time.Duration
}

// ServiceResult is a service's answer.
type ServiceResult struct {
	Backend string
	// Status is the HTTP status code.
	Status int
	Body   []byte
	// CostTokens is what the answering backend server charges.
	CostTokens int64
}

// Runner reaches backend servers. Its errors carry a verdict: NotRun only if nothing left the daemon or the
// backend server refused the request.
type Runner interface {
	// Model generates and passes the text on as it comes. On an error the result tells the engine and the
	// tokens counted so far.
	Model(ctx context.Context, call ModelCall, text func([]byte)) (ModelResult, error)
	// Service sends one request.
	Service(ctx context.Context, call ServiceCall) (ServiceResult, error)
	// ServiceCost bounds what one call to a service charges.
	ServiceCost(service string) int64
}

// Reporter brings the outcome of a call that still ran at the old owner to the new one.
type Reporter interface {
	// Report returns once the present owner of the program's partition has made the outcome durable, with the
	// call's final event (nil for an abandoned call).
	Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error)
}

// Spending sets tokens of an organisation's budget aside; *spending.Ledger implements it.
type Spending interface {
	// Reserve refuses, or returns a function that must be called once with what the call cost.
	Reserve(ctx context.Context, organisation string, tokens int64) (settle func(cost int64), err error)
}

// Dependencies are what a Holder works with.
type Dependencies struct {
	Journal Journal
	Config  *config.Store
	Runner  Runner
	// Spending keeps organisations within their budgets.
	Spending Spending
	Tracer   trace.Tracer
	// Reporter reaches the new owner of a partition that was handed over.
	Reporter Reporter
	// Partitions is the cluster's number of partitions.
	Partitions uint32
	// Incarnation is this daemon's life.
	Incarnation string
}

// Holder owns shards. Use New.
type Holder struct {
	Dependencies
	shards []atomic.Pointer[shard]
	// lifetime ends when the incarnation is over: running calls are then cut off.
	lifetime context.Context
	running  sync.WaitGroup
	stats    Stats
}

// Stats counts what a holder has done.
type Stats struct {
	Calls    atomic.Int64
	Replays  atomic.Int64
	Refusals atomic.Int64
	InFlight atomic.Int64
	// Unsettled counts refusals that could not be recorded; a new owner closes such a call as "may have run".
	Unsettled atomic.Int64
}

// New returns a holder without shards. lifetime ends with the incarnation.
func New(lifetime context.Context, deps Dependencies) *Holder {
	return &Holder{Dependencies: deps, lifetime: lifetime, shards: make([]atomic.Pointer[shard], deps.Partitions)}
}

// Stats returns the counters.
func (h *Holder) Stats() *Stats { return &h.stats }

// shardOf returns the shard that holds a program, or a refusal when this daemon does not own it.
func (h *Holder) shardOf(programID string) (*shard, error) {
	number := program.PartitionOf(programID, h.Partitions)
	if s := h.shards[number].Load(); s != nil {
		return s, nil
	}
	return nil, verdict.RetryLater(verdict.NotOwner, ownerRetry, "partition %d is not here", number)
}

// errMoved answers for a partition that is being handed over.
var errMoved = verdict.RetryLater(verdict.NotOwner, ownerRetry, "partition is moving to another daemon")

// ownerRetry is when to come back for a partition that is moving.
const ownerRetry = 100 * time.Millisecond

// Execute runs a request that the entry filters have let through. send is called with each event in order;
// its error ends the stream but not the call.
func (h *Holder) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error {
	s, err := h.shardOf(req.ProgramId)
	if err != nil {
		return err
	}
	switch body := req.Request.(type) {
	case *peerv1.ExecuteRequest_Start:
		view, err := h.start(ctx, s, req, body.Start)
		return answer(view, err, send)
	case *peerv1.ExecuteRequest_Call:
		return h.call(ctx, s, req, body.Call, send)
	case *peerv1.ExecuteRequest_Resume:
		return h.resume(ctx, s, req, body.Resume, send)
	case *peerv1.ExecuteRequest_End:
		view, err := h.end(ctx, s, req, body.End.Reason)
		return answer(view, err, send)
	case *peerv1.ExecuteRequest_Get:
		view, err := s.get(req, !body.Get.Summary)
		return answer(view, err, send)
	case *peerv1.ExecuteRequest_Send:
		return h.sendOnce(ctx, s, req, body.Send, send)
	default:
		return verdict.Refuse(verdict.Invalid, "request has no body")
	}
}

// journalError turns the journal's refusal of records that were to precede an effect into an answer: the
// effect did not happen.
func journalError(err error) error {
	switch {
	case errors.Is(err, journal.ErrFull):
		return verdict.RetryLater(verdict.Unavailable, outageRetry, "object API is away and the journal is full")
	case errors.Is(err, journal.ErrSealed):
		return verdict.RetryLater(verdict.NotOwner, ownerRetry, "another daemon took over")
	default:
		return verdict.RetryLater(verdict.Unavailable, outageRetry, "journal: %v", err)
	}
}

// outageRetry is when to come back while the object API does not take writes.
const outageRetry = 2 * time.Second

// commit appends records under the shard's lock and waits until they are durable. The caller must not hold
// the lock. records is called under the lock and may refuse.
func (h *Holder) commit(ctx context.Context, s *shard, records func() ([]*peerv1.Record, error)) error {
	entry, err := h.append(s, records)
	if err != nil {
		return err
	}
	if entry != nil && !guard.Enabled(guard.DurableAnswers) {
		entry.Apply()
		return nil
	}
	return untilDurable(ctx, entry)
}

// append queues records and arranges that they are applied to the shard once durable. Without records it
// returns the latest entry, which may be nil.
func (h *Holder) append(s *shard, records func() ([]*peerv1.Record, error)) (*journal.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errMoved
	}
	list, err := records()
	if err != nil || len(list) == 0 {
		return s.last, err
	}
	entry := &journal.Entry{Records: list, Apply: func() { s.apply(list) }}
	s.assign(list)
	if err := h.Journal.Append(entry); err != nil {
		s.unassign(list)
		return nil, journalError(err)
	}
	s.last = entry
	return entry, nil
}

// untilDurable returns once an entry's fate is known or ctx ends; in the latter case the entry may yet become
// durable.
func untilDurable(ctx context.Context, entry *journal.Entry) error {
	if entry == nil {
		return nil
	}
	select {
	case <-entry.Done():
		if entry.Err() != nil {
			return journalError(entry.Err())
		}
		return nil
	case <-ctx.Done():
		return verdict.Unknown(verdict.Timeout, outageRetry, "deadline passed before the answer was durable")
	}
}
