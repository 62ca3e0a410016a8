package holder

import (
	"context"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sirupsen/logrus"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/base/wait"
)

// maxGenerateAttempts is the maximum number of attempts of one model call, including the first.
const maxGenerateAttempts = 3

// generate runs a model call. If an engine fails during the generation, the next attempt continues after the
// text already sent, so that the caller sees one continuous output. A failed attempt that may have run is
// charged its maximum cost. A call whose output exceeds maxOutputBytes ends as "may have run" and is not retried.
func (h *Holder) generate(ctx context.Context, s *shard, l *programState, r *run, worst int64) (*peerv1.Record, error) {
	var avoid []string
	var used int64
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = 50 * time.Millisecond
	for attempt := 1; ; attempt++ {
		if err := h.reserve(ctx, s, l, r.call, worst); err != nil {
			return abandonedRecord(l.ID(), r.call, 0), err
		}
		settleBudget, err := h.Spending.Reserve(ctx, l.Organisation(), worst)
		if err != nil {
			return abandonedRecord(l.ID(), r.call, 0), err
		}
		result, err := h.generateOnce(ctx, s, l, r, attempt, avoid, used)
		if r.droppedBytes() > 0 {
			finished := h.truncated(l, r, result, worst, err)
			settleBudget(finished.CostTokens)
			return finishedRecord(l.ID(), finished), nil
		}
		if err == nil {
			finished := h.generated(s, l, r, result, used)
			settleBudget(finished.CostTokens)
			return finishedRecord(l.ID(), finished), nil
		}
		typed := verdict.Of(err)
		var cost int64
		if typed.Verdict != verdict.NotRun {
			cost = worst
			used += result.CompletionTokens
		}
		settleBudget(cost)
		abandoned := abandonedRecord(l.ID(), r.call, cost)
		if attempt == maxGenerateAttempts || typed.RetryAfter == 0 || ctx.Err() != nil {
			return abandoned, err
		}
		if _, err := h.settle(ctx, s, l, abandoned); err != nil {
			return nil, err
		}
		if err := h.checkRetryBudget(s, l, worst); err != nil {
			return nil, err
		}
		if result.Backend != "" {
			avoid = append(avoid, result.Backend)
		}
		_ = wait.For(ctx, pauses.NextBackOff()) // If ctx has ended, the next attempt fails.
	}
}

// generateOnce makes one attempt, which continues after the output of earlier attempts. used is the number of
// tokens that they generated.
func (h *Holder) generateOnce(ctx context.Context, s *shard, l *programState, r *run, attempt int, avoid []string, used int64) (ModelResult, error) {
	s.mu.Lock()
	modelCall := ModelCall{
		Organisation:   l.Organisation(),
		ProgramID:      l.ID(),
		RequestID:      r.call.RequestId,
		Epoch:          s.epoch,
		Attempt:        attempt,
		Model:          r.call.Target,
		Prompt:         append(l.Prompt(r.call.Input), r.text()...),
		MaxTokens:      r.call.MaxTokens - used,
		Priority:       l.Priority(),
		AttainedTokens: l.Spent(),
		CachedOn:       l.CachedOn(),
		Exclude:        avoid,
	}
	s.mu.Unlock()
	return h.Runner.Model(ctx, modelCall, r.write)
}

// generated returns the record of a complete generation.
func (h *Holder) generated(s *shard, l *programState, r *run, result ModelResult, used int64) *peerv1.Finished {
	finished := &peerv1.Finished{
		Call:             r.call,
		Output:           r.text(),
		Verdict:          rookpassv1.Verdict_VERDICT_RAN,
		PromptTokens:     result.PromptTokens - used,
		CompletionTokens: result.CompletionTokens + used,
		CachedTokens:     result.CachedTokens,
		CostTokens:       result.PromptTokens + result.CompletionTokens,
		HeldBy:           result.Backend,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	finished.ReservedTokens = reserveNext(l, finished)
	return finished
}

// truncated returns the record of a generation whose output was cut at maxOutputBytes. The cut output is not stored, so
// that neither a replay nor the prompt of a later call contains it as a complete answer. err is the error of the
// generation, nil if it ended normally; its cost is then known.
func (h *Holder) truncated(l *programState, r *run, result ModelResult, worst int64, err error) *peerv1.Finished {
	dropped := r.droppedBytes()
	h.Log.WithFields(logrus.Fields{
		"event": "call.output_too_large", "program": l.ID(), "request": r.call.RequestId, "backend": result.Backend,
		"limit_bytes": maxOutputBytes, "dropped_bytes": dropped, "error": err,
	}).Warn()
	cost := worst
	if err == nil {
		cost = result.PromptTokens + result.CompletionTokens
	}
	return &peerv1.Finished{
		Call:       r.call,
		Verdict:    rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN,
		CostTokens: cost,
		Failure:    fmt.Sprintf("the output exceeds the limit of %d bytes by %d bytes", maxOutputBytes, dropped),
		HeldBy:     result.Backend,
	}
}

// reserve ensures that the durable reservation of the program covers a call before the call is sent.
func (h *Holder) reserve(ctx context.Context, s *shard, l *programState, call *rookpassv1.CallRequest, worst int64) error {
	s.mu.Lock()
	covered := l.Spent()+worst <= l.Reserved()
	s.mu.Unlock()
	if covered {
		return nil
	}
	return h.recordIntent(ctx, s, l, call, worst)
}

// recordIntent makes the intent to run a call durable before the call is sent. If it fails, the call must not be sent.
func (h *Holder) recordIntent(ctx context.Context, s *shard, l *programState, call *rookpassv1.CallRequest, worst int64) error {
	ctx, span := h.Tracer.Start(ctx, "journal")
	defer span.End()
	return h.commit(ctx, s, func() ([]*peerv1.Record, error) {
		intended := &peerv1.Intended{Call: call, ReservedTokens: reserveFor(l, worst)}
		return []*peerv1.Record{{ProgramId: l.ID(), Change: &peerv1.Record_Intended{Intended: intended}}}, nil
	})
}

// checkRetryBudget returns an error if the remaining budget does not cover another attempt.
func (h *Holder) checkRetryBudget(s *shard, l *programState, worst int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := checkBudget(l, worst); err != nil {
		return verdict.Unknown(verdict.BudgetExhausted, 0, "engine failed and the remaining budget does not cover a retry")
	}
	return nil
}

func abandonedRecord(id string, call *rookpassv1.CallRequest, cost int64) *peerv1.Record {
	abandoned := &peerv1.Abandoned{RequestId: call.RequestId, CostTokens: cost}
	return &peerv1.Record{ProgramId: id, Change: &peerv1.Record_Abandoned{Abandoned: abandoned}}
}
