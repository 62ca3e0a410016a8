// Package holder runs the programs of the partitions that this daemon owns: it checks each call's sequence and
// budget, journals the call where required, sends it to a backend server and streams the response.
//
// All state of a partition is in one shard, guarded by one lock that is not held during I/O. Program state
// changes only after the journal has made the records durable.
package holder

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Journal makes records durable. *journal.Writer implements it.
type Journal interface {
	// Append queues an entry. Entries are written in the order of the Append calls.
	Append(*journal.Entry) error
	// Full reports whether new work should be refused.
	Full() bool
	// Position returns the number of the last segment whose entries have all been applied.
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
	// AttainedTokens is the number of tokens the program has spent so far.
	AttainedTokens int64
	// CachedOn lists the engines that may hold a cached prefix of the program.
	CachedOn []string
	// Exclude lists the engines on which earlier attempts of this call failed.
	Exclude []string
}

// ModelResult reports the engine and the token usage of a generation.
type ModelResult struct {
	// Backend is the engine that ran the generation and may hold cache for the program.
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

// ServiceResult is the response of a service.
type ServiceResult struct {
	Backend string
	// Status is the HTTP status code.
	Status int
	Body   []byte
	// CostTokens is the charge of the backend server that responded, in tokens.
	CostTokens int64
}

// Runner sends calls to backend servers. Its errors carry a verdict, which is NotRun only if nothing was sent
// or the backend server refused the request.
type Runner interface {
	// Model runs a generation and passes each piece of text to the text function as it arrives. On error the
	// result holds the engine, if one was assigned, and the tokens counted so far.
	Model(ctx context.Context, call ModelCall, text func([]byte)) (ModelResult, error)
	// Service sends one request.
	Service(ctx context.Context, call ServiceCall) (ServiceResult, error)
	// ServiceCost returns the highest charge of one call to a service, in tokens.
	ServiceCost(service string) int64
}

// Reporter sends the outcome of a call to the new owner of its partition if the partition was handed over
// while the call was running.
type Reporter interface {
	// Report returns the call's final event, nil for an abandoned call, after the current owner of the program's
	// partition has made the outcome durable.
	Report(ctx context.Context, programID, executor string, outcome *peerv1.Record) (*rookpassv1.CallFinal, error)
}

// Spending reserves tokens of an organisation's budget. *spending.Ledger implements it.
type Spending interface {
	// Reserve returns an error if the tokens can't be reserved. Otherwise the caller must call settle exactly once
	// with the actual cost.
	Reserve(ctx context.Context, organisation string, tokens int64) (settle func(cost int64), err error)
}

// Dependencies holds the collaborators of a Holder.
type Dependencies struct {
	Journal Journal
	Config  *config.Store
	Runner  Runner
	// Spending enforces the budgets of organisations.
	Spending Spending
	Tracer   trace.Tracer
	// Log is optional; without it nothing is logged.
	Log logrus.FieldLogger
	// Reporter sends outcomes to the new owner of a partition that was handed over.
	Reporter Reporter
	// Partitions is the cluster's number of partitions.
	Partitions uint32
	// Incarnation identifies the current incarnation of this daemon.
	Incarnation string
}

// Holder serves the partitions that this daemon owns. Use New.
type Holder struct {
	Dependencies
	shards []atomic.Pointer[shard]
	// lifetime is cancelled when the incarnation ends, which cancels running calls.
	lifetime context.Context
	running  sync.WaitGroup
	stats    Stats
}

// Stats holds the counters of a Holder.
type Stats struct {
	Calls    atomic.Int64
	Replays  atomic.Int64
	Refusals atomic.Int64
	InFlight atomic.Int64
	// Unsettled counts refusals that could not be recorded; a new owner closes such a call as "may have run".
	Unsettled atomic.Int64
}

// New returns a holder without shards. lifetime must be cancelled when the incarnation ends.
func New(lifetime context.Context, deps Dependencies) *Holder {
	if deps.Log == nil {
		silent := logrus.New()
		silent.SetOutput(io.Discard)
		deps.Log = silent
	}
	return &Holder{Dependencies: deps, lifetime: lifetime, shards: make([]atomic.Pointer[shard], deps.Partitions)}
}

func (h *Holder) Stats() *Stats { return &h.stats }

// shardOf returns the shard of a program, or a NotOwner error if this daemon does not own its partition.
func (h *Holder) shardOf(programID string) (*shard, error) {
	number := program.PartitionOf(programID, h.Partitions)
	if s := h.shards[number].Load(); s != nil {
		return s, nil
	}
	return nil, verdict.RetryLater(verdict.NotOwner, ownerRetry, "partition %d is not owned by this daemon", number)
}

// errHandingOver is returned for a partition that is being handed over.
var errHandingOver = verdict.RetryLater(verdict.NotOwner, ownerRetry, "partition is moving to another daemon")

// ownerRetry is the retry delay given to callers while a partition changes owner.
const ownerRetry = 100 * time.Millisecond

// Execute runs a request that has passed the entry filters. send is called with each event in order; an error
// from it ends the stream but not the call.
func (h *Holder) Execute(ctx context.Context, req *peerv1.ExecuteRequest, send func(*peerv1.ExecuteEvent) error) error {
	s, err := h.shardOf(req.ProgramId)
	if err != nil {
		return err
	}
	switch body := req.Request.(type) {
	case *peerv1.ExecuteRequest_Start:
		view, err := h.start(ctx, s, req, body.Start)
		return sendProgram(view, err, send)
	case *peerv1.ExecuteRequest_Call:
		return h.call(ctx, s, req, body.Call, send)
	case *peerv1.ExecuteRequest_Resume:
		return h.resume(ctx, s, req, body.Resume, send)
	case *peerv1.ExecuteRequest_End:
		view, err := h.end(ctx, s, req, body.End.Reason)
		return sendProgram(view, err, send)
	case *peerv1.ExecuteRequest_Get:
		view, err := s.get(req, !body.Get.Summary)
		return sendProgram(view, err, send)
	case *peerv1.ExecuteRequest_Send:
		return h.sendOnce(ctx, s, req, body.Send, send)
	default:
		return verdict.Refuse(verdict.Invalid, "request has no body")
	}
}

// journalError converts a journal error to a retryable error with the verdict NotRun. It is used for records
// that must be durable before the request takes effect.
func journalError(err error) error {
	switch {
	case errors.Is(err, journal.ErrFull):
		return verdict.RetryLater(verdict.Unavailable, outageRetry, "object API is unavailable and the journal is full")
	case errors.Is(err, journal.ErrSealed):
		return verdict.RetryLater(verdict.NotOwner, ownerRetry, "another daemon took over")
	default:
		return verdict.RetryLater(verdict.Unavailable, outageRetry, "journal: %v", err)
	}
}

// outageRetry is the retry delay given to callers while the object API does not accept writes.
const outageRetry = 2 * time.Second

// commit appends records and waits until they are durable. The caller must not hold the shard's lock. records
// is called with the lock held; its error is returned.
func (h *Holder) commit(ctx context.Context, s *shard, records func() ([]*peerv1.Record, error)) error {
	entry, err := h.append(s, records)
	if err != nil {
		return err
	}
	if entry != nil && !guard.Enabled(guard.DurableAnswers) {
		entry.Apply()
		return nil
	}
	return awaitDurable(ctx, entry)
}

// append queues records, which are applied to the shard once durable. If there are no records, it returns the
// latest entry, which may be nil.
func (h *Holder) append(s *shard, records func() ([]*peerv1.Record, error)) (*journal.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, errHandingOver
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

// awaitDurable waits until the outcome of an entry is known or ctx ends. After ctx has ended, the entry may still
// become durable.
func awaitDurable(ctx context.Context, entry *journal.Entry) error {
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
		return verdict.Unknown(verdict.Timeout, outageRetry, "deadline exceeded before the outcome was durable")
	}
}
