package holder

import (
	"context"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// start starts a program durably, or returns the program that was started earlier with the same id.
func (h *Holder) start(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, start *rookpassv1.StartProgramRequest) (*rookpassv1.Program, error) {
	started, err := h.newProgram(req.Organisation, start)
	if err != nil {
		return nil, err
	}
	if h.Journal.Full() {
		return nil, journalError(journal.ErrFull)
	}
	entry, err := h.startEntry(s, req.ProgramId, started)
	if err != nil {
		return nil, err
	}
	if entry != nil {
		if err := awaitDurable(ctx, entry); err != nil {
			return nil, err
		}
	}
	view, err := s.get(req, true)
	if err != nil {
		return nil, err
	}
	if view.Definition != start.Definition {
		return nil, verdict.Refuse(verdict.Conflict, "idempotency key was already used for definition %q", view.Definition)
	}
	return view, nil
}

// startEntry appends the start of a program, or returns the entry of an earlier start of the same program. The
// entry is nil if the program was recovered or adopted.
func (h *Holder) startEntry(s *shard, id string, started *peerv1.Started) (*journal.Entry, error) {
	s.mu.Lock()
	l := s.programs[id]
	if l != nil && (l.Exists() || l.starting != nil) {
		defer s.mu.Unlock()
		return l.starting, nil
	}
	s.mu.Unlock()
	entry, err := h.append(s, func() ([]*peerv1.Record, error) {
		if l := s.programs[id]; l != nil {
			return nil, verdict.RetryLater(verdict.Unavailable, ownerRetry, "program is being started")
		}
		return []*peerv1.Record{startedRecord(id, started)}, nil
	})
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.programs[id].starting = entry
	return entry, nil
}

// newProgram validates a start request against its definition and returns the start record.
func (h *Holder) newProgram(organisation string, start *rookpassv1.StartProgramRequest) (*peerv1.Started, error) {
	definition := h.Config.View().Definitions[start.Definition]
	if definition == nil {
		return nil, verdict.Refuse(verdict.NotFound, "no definition %q", start.Definition)
	}
	if start.BudgetTokens > definition.BudgetTokens {
		return nil, verdict.Refuse(verdict.Invalid, "budget %d is above the definition's %d",
			start.BudgetTokens, definition.BudgetTokens)
	}
	if start.Priority > definition.MaxPriority {
		return nil, verdict.Refuse(verdict.Invalid, "priority %d is above the definition's %d",
			start.Priority, definition.MaxPriority)
	}
	budget := start.BudgetTokens
	if budget == 0 {
		budget = definition.BudgetTokens
	}
	return &peerv1.Started{
		Organisation:   organisation,
		Definition:     start.Definition,
		BudgetTokens:   budget,
		Priority:       start.Priority,
		ReservedTokens: min(budget, reserveAhead),
	}, nil
}

// end ends a program and its sub-agents and cancels their running calls. It is idempotent.
func (h *Holder) end(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, reason string) (*rookpassv1.Program, error) {
	var ending []*programState
	entry, err := h.append(s, func() ([]*peerv1.Record, error) {
		l, err := s.find(req.Organisation, req.ProgramId)
		if err != nil || l.ending {
			return nil, err
		}
		var records []*peerv1.Record
		for _, id := range append(s.descendants(req.ProgramId), req.ProgramId) {
			ending = append(ending, s.programs[id])
			records = append(records, s.endRecords(s.programs[id], reason)...)
		}
		return records, nil
	})
	if err != nil {
		return nil, err
	}
	s.markEnding(ending)
	if err := awaitDurable(ctx, entry); err != nil {
		return nil, err
	}
	return s.get(req, true)
}

// markEnding blocks new calls of the programs and cancels their running calls.
func (s *shard) markEnding(programs []*programState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range programs {
		l.ending = true
		if l.running != nil {
			l.running.cancel()
		}
	}
}

// endRecords returns the records that end a program and refund its remaining budget to its parent. There is no
// refund while a call is running, because its cost is not known yet.
func (s *shard) endRecords(l *programState, reason string) []*peerv1.Record {
	records := []*peerv1.Record{{
		ProgramId: l.ID(),
		Change:    &peerv1.Record_Ended{Ended: &peerv1.Ended{Reason: reason}},
	}}
	parent := l.Snapshot().Started.ParentId
	if parent == "" || l.running != nil {
		return records
	}
	return append(records, &peerv1.Record{
		ProgramId: parent,
		Change: &peerv1.Record_ChildSpent{ChildSpent: &peerv1.ChildSpent{
			ChildId: l.ID(), RefundTokens: l.RemainingBudget(),
		}},
	})
}

func startedRecord(id string, started *peerv1.Started) *peerv1.Record {
	return &peerv1.Record{ProgramId: id, Change: &peerv1.Record_Started{Started: started}}
}
