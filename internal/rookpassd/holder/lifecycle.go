package holder

import (
	"context"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
)

// start makes a new program durable, or returns the one started earlier under the same id.
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
		if err := untilDurable(ctx, entry); err != nil {
			return nil, err
		}
	}
	view, err := s.get(req, true)
	if err != nil {
		return nil, err
	}
	if view.Definition != start.Definition {
		return nil, verdict.Refuse(verdict.Conflict, "idempotency key was used for definition %q", view.Definition)
	}
	return view, nil
}

// startEntry appends the start, or returns the entry of a start that is under way. It returns nil when the
// program has been started.
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

// newProgram checks a start against the program's definition.
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

// end ends a program and its sub-agents, and cuts off their running calls. Repeated ends change nothing.
func (h *Holder) end(ctx context.Context, s *shard, req *peerv1.ExecuteRequest, reason string) (*rookpassv1.Program, error) {
	var ending []*live
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
	if err := untilDurable(ctx, entry); err != nil {
		return nil, err
	}
	return s.get(req, true)
}

// markEnding lets no further call of the programs in, and cuts off those that run.
func (s *shard) markEnding(programs []*live) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range programs {
		l.ending = true
		if l.running != nil {
			l.running.cancel()
		}
	}
}

// endRecords returns the records that end a program and give back to its parent what it did not spend.
// What a call still under way may cost is not given back.
func (s *shard) endRecords(l *live, reason string) []*peerv1.Record {
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
