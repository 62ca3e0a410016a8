// Package program implements the state of one program as a deterministic state machine driven by records.
//
// A daemon checks a request with CheckCall, makes the records durable and applies them. A new owner applies
// the same records and reaches the same state.
package program

import (
	"bytes"
	"slices"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// Program is one program's durable state. It is not safe for concurrent use.
type Program struct {
	snap *peerv1.ProgramSnapshot
	// byRequest holds the finished calls by request id.
	byRequest map[string]*peerv1.Finished
	// historyBytes is the total size of all inputs and outputs.
	historyBytes int
	// promptTokens is the engine's token count of the history up to and including the last model call, and
	// promptBytes is the size of that history.
	promptTokens int64
	promptBytes  int
}

// New returns the state of a program without records.
func New(id string) *Program {
	return FromSnapshot(&peerv1.ProgramSnapshot{Id: id})
}

// FromSnapshot returns the program with the state of a snapshot. It takes ownership of the snapshot.
func FromSnapshot(snap *peerv1.ProgramSnapshot) *Program {
	p := &Program{snap: snap, byRequest: map[string]*peerv1.Finished{}}
	for _, finished := range snap.History {
		p.index(finished)
	}
	return p
}

// Snapshot returns the program's state. It shares memory with the program.
func (p *Program) Snapshot() *peerv1.ProgramSnapshot { return p.snap }

func (p *Program) ID() string { return p.snap.Id }

// Exists reports whether the program has been started.
func (p *Program) Exists() bool { return p.snap.Started != nil }

// Ended reports whether the program has ended.
func (p *Program) Ended() bool { return p.snap.Ended }

// Organisation returns the organisation that owns the program.
func (p *Program) Organisation() string { return p.snap.Started.GetOrganisation() }

// Definition returns the name of the program's definition.
func (p *Program) Definition() string { return p.snap.Started.GetDefinition() }

// Priority returns the program's priority, 0 to 9.
func (p *Program) Priority() int32 { return p.snap.Started.GetPriority() }

// NextSequence returns the sequence number required of the next call.
func (p *Program) NextSequence() uint64 { return uint64(len(p.snap.History)) + 1 }

// Spent returns the tokens spent.
func (p *Program) Spent() int64 { return p.snap.SpentTokens }

// RemainingBudget returns the budget minus the tokens spent.
func (p *Program) RemainingBudget() int64 {
	return p.snap.Started.GetBudgetTokens() - p.snap.SpentTokens
}

// Reserved returns the durable upper bound on the tokens spent, which includes reserved tokens.
func (p *Program) Reserved() int64 { return p.snap.ReservedTokens }

// Intended returns the call whose intent is durable and that has not finished, or nil.
func (p *Program) Intended() *rookpassv1.CallRequest { return p.snap.Intended.GetCall() }

// Finished returns the finished call with a request id, or nil.
func (p *Program) Finished(requestID string) *peerv1.Finished { return p.byRequest[requestID] }

// CachedOn returns the names of the backend servers that may hold cache for the program.
func (p *Program) CachedOn() []string { return p.snap.Holds }

// HistoryBytes returns the total size of all inputs and outputs.
func (p *Program) HistoryBytes() int { return p.historyBytes }

// Apply applies a durable record. Records that were applied before are ignored. nowMillis is the current Unix
// time in milliseconds; it is used only for retention.
func (p *Program) Apply(record *peerv1.Record, nowMillis int64) {
	if record.Index <= p.snap.Index {
		return
	}
	p.snap.Index = record.Index
	switch change := record.Change.(type) {
	case *peerv1.Record_Started:
		p.snap.Started = change.Started
		p.snap.ReservedTokens = change.Started.ReservedTokens
	case *peerv1.Record_Intended:
		p.snap.Intended = change.Intended
		p.raiseReserved(change.Intended.ReservedTokens)
	case *peerv1.Record_Finished:
		p.finish(change.Finished)
		if p.snap.Started.GetSingleRequest() {
			p.end("single request", nowMillis)
		}
	case *peerv1.Record_TakenOver:
		p.snap.SpentTokens = change.TakenOver.SpentTokens
		p.snap.Running = nil
		p.snap.Executor = ""
		p.raiseReserved(change.TakenOver.SpentTokens)
	case *peerv1.Record_Ended:
		p.end(change.Ended.Reason, nowMillis)
	case *peerv1.Record_Released:
		p.snap.Holds = slices.DeleteFunc(p.snap.Holds, func(name string) bool {
			return name == change.Released.BackendServer
		})
	case *peerv1.Record_Abandoned:
		p.snap.Intended, p.snap.Running, p.snap.Executor = nil, nil, ""
		p.snap.SpentTokens += change.Abandoned.CostTokens
		p.raiseReserved(change.Abandoned.ReservedTokens)
		p.raiseReserved(p.snap.SpentTokens)
	case *peerv1.Record_ChildSpent:
		p.refund(change.ChildSpent)
	}
}

func (p *Program) end(reason string, nowMillis int64) {
	p.snap.Ended = true
	p.snap.EndReason = reason
	p.snap.EndedAtUnixMs = nowMillis
}

// finish adds a call to the history. A second record of the same call is ignored.
func (p *Program) finish(finished *peerv1.Finished) {
	if p.byRequest[finished.Call.RequestId] != nil {
		return
	}
	p.snap.Intended, p.snap.Running, p.snap.Executor = nil, nil, ""
	p.snap.SpentTokens += finished.CostTokens
	p.raiseReserved(finished.ReservedTokens)
	p.raiseReserved(p.snap.SpentTokens)
	if finished.HeldBy != "" && !slices.Contains(p.snap.Holds, finished.HeldBy) {
		p.snap.Holds = append(p.snap.Holds, finished.HeldBy)
	}
	p.snap.History = append(p.snap.History, finished)
	p.index(finished)
}

func (p *Program) index(finished *peerv1.Finished) {
	p.byRequest[finished.Call.RequestId] = finished
	p.historyBytes += len(finished.Call.Input) + len(finished.Output)
	if finished.PromptTokens > 0 {
		p.promptTokens = finished.PromptTokens + finished.CompletionTokens
		p.promptBytes = p.historyBytes
	}
}

func (p *Program) raiseReserved(reserved int64) {
	p.snap.ReservedTokens = max(p.snap.ReservedTokens, reserved)
}

func (p *Program) refund(child *peerv1.ChildSpent) {
	if slices.Contains(p.snap.RefundedChildren, child.ChildId) {
		return
	}
	p.snap.RefundedChildren = append(p.snap.RefundedChildren, child.ChildId)
	p.snap.SpentTokens -= child.RefundTokens
}

// Prompt returns the prompt of a model call: the complete history followed by input.
func (p *Program) Prompt(input []byte) []byte {
	prompt := make([]byte, 0, p.historyBytes+len(input))
	for _, turn := range p.snap.History {
		prompt = append(prompt, turn.Call.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}

// MaxCost returns the maximum cost of a model call in tokens: the prompt plus maxTokens. Text that no engine has
// counted yet is assumed to have one token per byte.
func (p *Program) MaxCost(input []byte, maxTokens int64) int64 {
	unseen := p.historyBytes - p.promptBytes + len(input)
	return p.promptTokens + int64(unseen) + maxTokens
}

// Repeats returns the number of consecutive latest calls with the same kind, target and input as call.
func (p *Program) Repeats(call *rookpassv1.CallRequest) int64 {
	var repeats int64
	for _, turn := range slices.Backward(p.snap.History) {
		same := turn.Call.Kind == call.Kind && turn.Call.Target == call.Target &&
			bytes.Equal(turn.Call.Input, call.Input)
		if !same {
			break
		}
		repeats++
	}
	return repeats
}

// CheckCall checks whether call is the program's next one. It returns the finished call if the request is a
// retry, nil if the call may run, or an error.
func (p *Program) CheckCall(call *rookpassv1.CallRequest) (*peerv1.Finished, error) {
	if finished := p.byRequest[call.RequestId]; finished != nil {
		if finished.Call.Sequence != call.Sequence {
			return nil, verdict.Refuse(verdict.OutOfOrder, "request id %q belongs to sequence %d, not %d",
				call.RequestId, finished.Call.Sequence, call.Sequence)
		}
		return finished, nil
	}
	if p.snap.Ended {
		return nil, verdict.Refuse(verdict.Ended, "program has ended: %s", p.snap.EndReason)
	}
	if next := p.NextSequence(); call.Sequence != next && guard.Enabled(guard.SequenceCheck) {
		return nil, verdict.Refuse(verdict.OutOfOrder, "next sequence is %d, not %d", next, call.Sequence)
	}
	return nil, nil
}

// View returns the caller-visible view of the program.
func (p *Program) View(withHistory bool) *rookpassv1.Program {
	view := &rookpassv1.Program{
		Id:           p.snap.Id,
		Definition:   p.Definition(),
		State:        rookpassv1.ProgramState_PROGRAM_STATE_RUNNING,
		BudgetTokens: p.snap.Started.GetBudgetTokens(),
		SpentTokens:  p.snap.SpentTokens,
		Priority:     p.Priority(),
		NextSequence: p.NextSequence(),
		EndReason:    p.snap.EndReason,
		ParentId:     p.snap.Started.GetParentId(),
	}
	if p.snap.Ended {
		view.State = rookpassv1.ProgramState_PROGRAM_STATE_ENDED
	}
	if !withHistory {
		return view
	}
	for _, finished := range p.snap.History {
		view.History = append(view.History, turn(finished))
	}
	return view
}

func turn(finished *peerv1.Finished) *rookpassv1.Turn {
	return &rookpassv1.Turn{
		Sequence:   finished.Call.Sequence,
		RequestId:  finished.Call.RequestId,
		Kind:       finished.Call.Kind,
		Target:     finished.Call.Target,
		Input:      finished.Call.Input,
		Output:     finished.Output,
		Verdict:    finished.Verdict,
		CostTokens: finished.CostTokens,
		Failure:    finished.Failure,
	}
}
