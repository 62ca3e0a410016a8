package holder

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// Limits that apply when a definition sets none.
const (
	defaultMaxTurns   = 256
	defaultMaxRepeats = 16
	defaultMaxTokens  = 512
)

// call runs the next call of a program, follows it if it is already running, or replays its stored output.
func (h *Holder) call(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, call *rookpassv1.CallRequest, send func(*peerv1.ExecuteEvent) error) error {
	ctx, span := h.Tracer.Start(ctx, "hold", trace.WithAttributes(
		attribute.String("rookpass.program_id", req.ProgramId),
		attribute.String("rookpass.request_id", call.RequestId)))
	defer span.End()
	finished, r, err := h.admit(ctx, s, req, call)
	switch {
	case err != nil:
		h.stats.Refusals.Add(1)
		return err
	case finished != nil:
		h.stats.Replays.Add(1)
		return replay(finished, s.finalOf(req.ProgramId, finished), 0, send)
	default:
		return r.follow(ctx, 0, send)
	}
}

// admit classifies a call under the shard's lock: a retry of a finished call returns its record, a retry of the
// running call returns its run, and a new call is started. Any other call is refused.
func (h *Holder) admit(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, call *rookpassv1.CallRequest) (*peerv1.Finished, *run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil, errHandingOver
	}
	l, err := s.find(req.Organisation, req.ProgramId)
	if err != nil {
		return nil, nil, err
	}
	finished, err := l.CheckCall(call)
	if finished != nil || err != nil {
		return finished, nil, err
	}
	if l.running != nil {
		if l.running.call.RequestId == call.RequestId {
			return nil, l.running, nil
		}
		return nil, nil, verdict.RetryLater(verdict.OutOfOrder, ownerRetry, "call %q is still running", l.running.call.RequestId)
	}
	if l.ending {
		return nil, nil, verdict.Refuse(verdict.Ended, "program is ending")
	}
	if h.Journal.Full() {
		return nil, nil, journalError(journal.ErrFull)
	}
	if err := h.checkDefinition(l, call); err != nil {
		return nil, nil, err
	}
	worst := h.worstCase(l, call)
	if err := checkBudget(l, worst); err != nil {
		return nil, nil, err
	}
	return nil, h.launch(ctx, s, l, call, worst), nil
}

// checkDefinition checks a call against the program's definition and fills in its defaults.
func (h *Holder) checkDefinition(l *programState, call *rookpassv1.CallRequest) error {
	definition := h.Config.View().Definitions[l.Definition()]
	if definition == nil {
		return verdict.Refuse(verdict.NotFound, "definition %q no longer exists", l.Definition())
	}
	allowed := definition.Services
	switch call.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL:
		allowed = definition.Models
		if call.MaxTokens == 0 {
			call.MaxTokens = orDefault(definition.DefaultMaxTokens, defaultMaxTokens)
		}
	case rookpassv1.CallKind_CALL_KIND_SUB_AGENT:
		allowed = definition.SubAgents
	}
	if !slices.Contains(allowed, call.Target) {
		return verdict.Refuse(verdict.Forbidden, "definition %q does not allow target %q", l.Definition(), call.Target)
	}
	if limit := orDefault(definition.MaxTurns, defaultMaxTurns); int64(call.Sequence) > limit {
		return verdict.Refuse(verdict.LimitReached, "program has reached its limit of %d turns", limit)
	}
	if limit := orDefault(definition.MaxRepeats, defaultMaxRepeats); l.Repeats(call) >= limit {
		return verdict.Refuse(verdict.LimitReached, "same call repeated %d times in a row", limit)
	}
	return nil
}

func orDefault(value, byDefault int64) int64 {
	if value == 0 {
		return byDefault
	}
	return value
}

// maxCallTime limits a call whose caller set no deadline.
const maxCallTime = 10 * time.Minute

// runContext returns the context of a running call. It ends at the caller's deadline or with the incarnation,
// but not when the caller disconnects.
func (h *Holder) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, set := ctx.Deadline()
	if !set {
		deadline = time.Now().Add(maxCallTime)
	}
	return context.WithDeadline(trace.ContextWithSpan(h.lifetime, trace.SpanFromContext(ctx)), deadline)
}

// launch starts a call in a new goroutine. The caller must hold the shard's lock.
func (h *Holder) launch(ctx context.Context, s *shard, l *programState, call *rookpassv1.CallRequest, worst int64) *run {
	runCtx, cancel := h.runContext(ctx)
	r := newRun(call, cancel)
	l.running = r
	h.stats.Calls.Add(1)
	h.stats.InFlight.Add(1)
	h.running.Go(func() {
		defer cancel()
		defer h.stats.InFlight.Add(-1)
		h.execute(runCtx, s, l, r, worst)
	})
	return r
}

// execute runs a launched call, stores its outcome and completes its run.
func (h *Holder) execute(ctx context.Context, s *shard, l *programState, r *run, worst int64) {
	outcome, err := h.perform(ctx, s, l, r, worst)
	var final *rookpassv1.CallFinal
	if outcome != nil {
		reported, settleErr := h.settle(ctx, s, l, outcome)
		final = reported
		if err == nil {
			err = settleErr
		}
	}
	s.mu.Lock()
	if l.running == r {
		l.running = nil
	}
	stored := l.Finished(r.call.RequestId)
	if err == nil && final == nil && stored != nil {
		final = finalOf(l.ID(), stored, l.Spent())
	}
	s.mu.Unlock()
	r.complete(stored, final, err)
}

// settle makes the outcome of a call durable, at the new owner if the partition has been handed over. The final
// event must not be sent before settle returns.
func (h *Holder) settle(ctx context.Context, s *shard, l *programState, outcome *peerv1.Record) (*rookpassv1.CallFinal, error) {
	ctx, span := h.Tracer.Start(ctx, "journal")
	defer span.End()
	// The outcome is recorded even if the call was cancelled because its program ended.
	ctx = context.WithoutCancel(ctx)
	for {
		err := h.commit(ctx, s, func() ([]*peerv1.Record, error) {
			return []*peerv1.Record{outcome}, nil
		})
		if !errors.Is(err, errHandingOver) {
			return nil, outcomeError(outcome, err)
		}
		final, err := h.Reporter.Report(h.lifetime, l.ID(), h.Incarnation, outcome)
		if err == nil || !s.reopened() {
			return final, outcomeError(outcome, err)
		}
	}
}

// outcomeError converts a failure to store the outcome of a finished call to an error that says that the call ran.
func outcomeError(outcome *peerv1.Record, err error) error {
	if err == nil || outcome.GetFinished() == nil {
		return err
	}
	return verdict.Unknown(verdict.Of(err).Code, ownerRetry, "the call ran but its output could not be stored: %v", err)
}

// perform runs a call according to its kind. It returns the record to settle, which may be non-nil also when
// there is an error.
func (h *Holder) perform(ctx context.Context, s *shard, l *programState, r *run, worst int64) (*peerv1.Record, error) {
	switch r.call.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL:
		return h.generate(ctx, s, l, r, worst)
	case rookpassv1.CallKind_CALL_KIND_SUB_AGENT:
		if err := h.startChild(ctx, s, l, r); err != nil {
			return abandonedRecord(l.ID(), r.call, 0), err
		}
		return nil, nil
	default:
		return h.callService(ctx, s, l, r, worst)
	}
}

// startChild starts a sub-agent. The sub-agent's start and the result of the parent's call become durable
// together.
func (h *Holder) startChild(ctx context.Context, s *shard, l *programState, r *run) error {
	id := program.ChildID(l.ID(), r.call.Sequence)
	started, err := h.newProgram(l.Organisation(), &rookpassv1.StartProgramRequest{
		Definition: r.call.Target, BudgetTokens: r.call.ChildBudgetTokens, Priority: 0,
	})
	if err != nil {
		return err
	}
	started.BudgetTokens = r.call.ChildBudgetTokens
	started.ReservedTokens = min(started.ReservedTokens, started.BudgetTokens)
	started.Priority = l.Priority()
	started.ParentId = l.ID()
	r.write([]byte(id))
	finished := &peerv1.Finished{
		Call: r.call, Output: []byte(id), Verdict: rookpassv1.Verdict_VERDICT_RAN, CostTokens: started.BudgetTokens,
	}
	return h.commit(ctx, s, func() ([]*peerv1.Record, error) {
		return []*peerv1.Record{startedRecord(id, started), finishedRecord(l.ID(), finished)}, nil
	})
}

// resume streams the output of a running or finished call from an offset. It never starts a call.
func (h *Holder) resume(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, resume *rookpassv1.ResumeRequest, send func(*peerv1.ExecuteEvent) error) error {
	s.mu.Lock()
	l, err := s.find(req.Organisation, req.ProgramId)
	if err != nil {
		s.mu.Unlock()
		return err
	}
	finished, r := l.Finished(resume.RequestId), l.running
	s.mu.Unlock()
	switch {
	case finished != nil:
		return replay(finished, s.finalOf(req.ProgramId, finished), int(resume.Offset), send)
	case r != nil && r.call.RequestId == resume.RequestId:
		return r.follow(ctx, int(resume.Offset), send)
	default:
		return verdict.Refuse(verdict.NotFound, "program has no call %q", resume.RequestId)
	}
}

func (s *shard) finalOf(programID string, finished *peerv1.Finished) *rookpassv1.CallFinal {
	s.mu.Lock()
	defer s.mu.Unlock()
	return finalOf(programID, finished, s.programs[programID].Spent())
}

func finishedRecord(id string, finished *peerv1.Finished) *peerv1.Record {
	return &peerv1.Record{ProgramId: id, Change: &peerv1.Record_Finished{Finished: finished}}
}
