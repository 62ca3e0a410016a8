package holder

import (
	"context"
	"fmt"
	"net/http"
	"time"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// defaultServiceTimeout applies if a definition sets no service timeout.
const defaultServiceTimeout = 30 * time.Second

// Kinds of services.
const (
	KindTool  = "tool"
	KindPlain = "plain"
)

// callService sends a call to a tool service or plain service. The intent to send a non-idempotent call is made
// durable first, so that a later owner of the program does not send it again.
func (h *Holder) callService(ctx context.Context, s *shard, l *programState, r *run, worst int64) (*peerv1.Record, error) {
	prepare := h.recordIntent
	if r.call.Idempotent || !guard.Enabled(guard.IntentRecord) {
		prepare = h.reserve
	}
	if err := prepare(ctx, s, l, r.call, worst); err != nil {
		return abandonedRecord(l.ID(), r.call, 0), err
	}
	settleBudget, err := h.Spending.Reserve(ctx, l.Organisation(), worst)
	if err != nil {
		return abandonedRecord(l.ID(), r.call, 0), err
	}
	result, err := h.Runner.Service(ctx, h.serviceCall(l, r.call))
	if err == nil {
		settleBudget(result.CostTokens)
		r.write(result.Body)
		return finishedRecord(l.ID(), serviceFinished(r, result)), nil
	}
	if verdict.Of(err).Verdict == verdict.NotRun {
		settleBudget(0)
		// If this record is lost, a new owner closes the call as "may have run".
		return abandonedRecord(l.ID(), r.call, 0), err
	}
	settleBudget(worst)
	return finishedRecord(l.ID(), &peerv1.Finished{
		Call:       r.call,
		Verdict:    rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN,
		CostTokens: worst,
		Failure:    err.Error(),
	}), nil
}

func (h *Holder) serviceCall(l *programState, call *rookpassv1.CallRequest) ServiceCall {
	timeout := defaultServiceTimeout
	if definition := h.Config.View().Definitions[l.Definition()]; definition.GetServiceTimeoutMs() > 0 {
		timeout = time.Duration(definition.ServiceTimeoutMs) * time.Millisecond
	}
	kind := KindTool
	if call.Kind == rookpassv1.CallKind_CALL_KIND_PLAIN {
		kind = KindPlain
	}
	return ServiceCall{
		Organisation: l.Organisation(),
		ProgramID:    l.ID(),
		RequestID:    call.RequestId,
		Kind:         kind,
		Service:      call.Target,
		Body:         call.Input,
		Idempotent:   call.Idempotent,
		Timeout:      timeout,
	}
}

// serviceFinished returns the record of a service's response. A call with an error status has run, too.
func serviceFinished(r *run, result ServiceResult) *peerv1.Finished {
	finished := &peerv1.Finished{
		Call:       r.call,
		Output:     r.text(),
		Verdict:    rookpassv1.Verdict_VERDICT_RAN,
		CostTokens: result.CostTokens,
		Status:     int32(result.Status),
	}
	if result.Status >= http.StatusBadRequest {
		finished.Failure = fmt.Sprintf("service answered %d", result.Status)
	}
	return finished
}
