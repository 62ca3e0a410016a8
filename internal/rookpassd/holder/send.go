package holder

import (
	"context"
	"net/http"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// sendOnce runs a non-idempotent plain request. The request is stored as a program with a single call, so that a
// retry with the same request id gets the same response from any daemon.
func (h *Holder) sendOnce(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, body *rookpassv1.SendRequest, send func(*peerv1.ExecuteEvent) error) error {
	call := &rookpassv1.CallRequest{
		ProgramId: req.ProgramId,
		Sequence:  1,
		RequestId: body.RequestId,
		Kind:      rookpassv1.CallKind_CALL_KIND_PLAIN,
		Target:    body.Target,
		Input:     body.Body,
	}
	finished, r, err := h.admitSend(ctx, s, req, call, body)
	if err != nil {
		return err
	}
	if r != nil {
		if finished, err = r.await(ctx); err != nil {
			return err
		}
	}
	if finished.Verdict != rookpassv1.Verdict_VERDICT_RAN {
		return verdict.Unknown(verdict.Lost, 0, "the request may have run: %s", finished.Failure)
	}
	sent := &rookpassv1.SendResponse{Status: statusOf(finished), Body: finished.Output, Verdict: finished.Verdict}
	return send(&peerv1.ExecuteEvent{Event: &peerv1.ExecuteEvent_Sent{Sent: sent}})
}

// admitSend is the counterpart of admit for plain requests.
func (h *Holder) admitSend(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, call *rookpassv1.CallRequest, body *rookpassv1.SendRequest) (*peerv1.Finished, *run, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, nil, errHandingOver
	}
	if l := s.programs[req.ProgramId]; l != nil {
		if finished := l.Finished(call.RequestId); finished != nil {
			return finished, nil, nil
		}
		if l.running != nil {
			return nil, l.running, nil
		}
	}
	if h.Journal.Full() {
		return nil, nil, journalError(journal.ErrFull)
	}
	l := s.ensure(req.ProgramId)
	return nil, h.launchSend(ctx, s, l, req.Organisation, call, body), nil
}

func (h *Holder) launchSend(ctx context.Context, s *shard, l *programState, organisation string, call *rookpassv1.CallRequest, body *rookpassv1.SendRequest) *run {
	runCtx, cancel := h.runContext(ctx)
	r := newRun(call, cancel)
	l.running = r
	h.running.Go(func() {
		defer cancel()
		finished, err := h.sendRecorded(runCtx, s, l, organisation, r, body)
		s.mu.Lock()
		l.running = nil
		s.mu.Unlock()
		r.complete(finished, nil, err)
	})
	return r
}

// sendRecorded makes the intent to send a request durable, sends it and makes its outcome durable.
func (h *Holder) sendRecorded(ctx context.Context, s *shard, l *programState, organisation string, r *run, body *rookpassv1.SendRequest) (*peerv1.Finished, error) {
	if err := h.recordSendIntent(ctx, s, l, organisation, r.call); err != nil {
		return nil, err
	}
	result, err := h.Runner.Service(ctx, ServiceCall{
		Organisation: organisation,
		RequestID:    r.call.RequestId,
		Kind:         KindPlain,
		Service:      body.Target,
		Path:         body.Path,
		Body:         body.Body,
		Timeout:      defaultServiceTimeout,
	})
	if err != nil && verdict.Of(err).Verdict == verdict.NotRun {
		if _, settleErr := h.settle(ctx, s, l, abandonedRecord(l.ID(), r.call, 0)); settleErr != nil {
			h.stats.Unsettled.Add(1)
		}
		return nil, err
	}
	r.write(result.Body)
	finished := serviceFinished(r, result)
	finished.CostTokens = 0
	if err != nil {
		finished.Verdict = rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN
		finished.Failure = err.Error()
	}
	_, err = h.settle(ctx, s, l, finishedRecord(l.ID(), finished))
	return finished, err
}

// recordSendIntent makes the intent to send a plain request durable.
func (h *Holder) recordSendIntent(ctx context.Context, s *shard, l *programState, organisation string, call *rookpassv1.CallRequest) error {
	return h.commit(ctx, s, func() ([]*peerv1.Record, error) {
		intended := &peerv1.Record{ProgramId: l.ID(), Change: &peerv1.Record_Intended{
			Intended: &peerv1.Intended{Call: call},
		}}
		if l.Exists() {
			return []*peerv1.Record{intended}, nil
		}
		started := &peerv1.Started{Organisation: organisation, SingleRequest: true}
		return []*peerv1.Record{startedRecord(l.ID(), started), intended}, nil
	})
}

// statusOf returns the HTTP status of a plain service's response, 200 if none was stored.
func statusOf(finished *peerv1.Finished) int32 {
	if finished.Status == 0 {
		return http.StatusOK
	}
	return finished.Status
}
