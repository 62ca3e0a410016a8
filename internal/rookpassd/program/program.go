// Package program is the state of one program: a pure state machine that changes only by records.
//
// A daemon decides on a request with the Check functions, makes the records durable and applies them.
// A new owner applies the same records again, so both reach the same state.
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
	// byRequest finds finished calls by request id.
	byRequest map[string]*peerv1.Finished
	// historyBytes is the size of all inputs and outputs.
	historyBytes int
	// promptTokens is what the engine counted for the history at the last model call, and promptBytes the
	// size of the prompt and answer it counted.
	promptTokens int64
	promptBytes  int
}

// New returns the state of a program without records.
func New(id string) *Program {
	return FromSnapshot(&peerv1.ProgramSnapshot{Id: id})
}

// FromSnapshot returns the state that a snapshot holds. The program owns the snapshot afterwards.
func FromSnapshot(snap *peerv1.ProgramSnapshot) *Program {
	p := &Program{snap: snap, byRequest: map[string]*peerv1.Finished{}}
	for _, finished := range snap.History {
		p.index(finished)
	}
	return p
}

// Snapshot returns the program's state. It shares memory with the program.
func (p *Program) Snapshot() *peerv1.ProgramSnapshot { return p.snap }

// ID returns the program's id.
func (p *Program) ID() string { return p.snap.Id }

// Exists tells whether the program has been started.
func (p *Program) Exists() bool { return p.snap.Started != nil }

// Ended tells whether the program has ended.
func (p *Program) Ended() bool { return p.snap.Ended }

// Organisation returns the organisation whose program it is.
func (p *Program) Organisation() string { return p.snap.Started.GetOrganisation() }

// Definition returns the name of the program's definition.
func (p *Program) Definition() string { return p.snap.Started.GetDefinition() }

// Priority returns the program's priority, 0 to 9.
func (p *Program) Priority() int32 { return p.snap.Started.GetPriority() }

// NextSequence returns the sequence that the next call must carry.
func (p *Program) NextSequence() uint64 { return uint64(len(p.snap.History)) + 1 }

// Spent returns the tokens spent.
func (p *Program) Spent() int64 { return p.snap.SpentTokens }

// RemainingBudget returns the budget's rest.
func (p *Program) RemainingBudget() int64 {
	return p.snap.Started.GetBudgetTokens() - p.snap.SpentTokens
}

// Reserved returns the durable bound on spending.
func (p *Program) Reserved() int64 { return p.snap.ReservedTokens }

// Intended returns the call that was made durable before it left, and has not finished; nil when none.
func (p *Program) Intended() *rookpassv1.CallRequest { return p.snap.Intended.GetCall() }

// Finished returns the finished call with a request id, or nil.
func (p *Program) Finished(requestID string) *peerv1.Finished { return p.byRequest[requestID] }

// CachedOn returns the backend servers that may hold cache for the program.
func (p *Program) CachedOn() []string { return p.snap.Holds }

// HistoryBytes returns the size of all inputs and outputs.
func (p *Program) HistoryBytes() int { return p.historyBytes }

// Apply changes the state by a durable record. A record that is already applied changes nothing.
// nowMillis is when the record is applied, in Unix milliseconds; it only serves retention.
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
		p.raise(change.Intended.ReservedTokens)
	case *peerv1.Record_Finished:
		p.finish(change.Finished)
		if p.snap.Started.GetSingleRequest() {
			p.end("single request", nowMillis)
		}
	case *peerv1.Record_TakenOver:
		p.snap.SpentTokens = change.TakenOver.SpentTokens
		p.snap.Running = nil
		p.snap.Executor = ""
		p.raise(change.TakenOver.SpentTokens)
	case *peerv1.Record_Ended:
		p.end(change.Ended.Reason, nowMillis)
	case *peerv1.Record_Released:
		p.snap.Holds = slices.DeleteFunc(p.snap.Holds, func(name string) bool {
			return name == change.Released.BackendServer
		})
	case *peerv1.Record_Abandoned:
		p.snap.Intended, p.snap.Running, p.snap.Executor = nil, nil, ""
		p.snap.SpentTokens += change.Abandoned.CostTokens
		p.raise(change.Abandoned.ReservedTokens)
		p.raise(p.snap.SpentTokens)
	case *peerv1.Record_ChildSpent:
		p.refund(change.ChildSpent)
	}
}

func (p *Program) end(reason string, nowMillis int64) {
	p.snap.Ended = true
	p.snap.EndReason = reason
	p.snap.EndedAtUnixMs = nowMillis
}

// finish adds a call to the history. A call has one end: a second record of it changes nothing.
func (p *Program) finish(finished *peerv1.Finished) {
	if p.byRequest[finished.Call.RequestId] != nil {
		return
	}
	p.snap.Intended, p.snap.Running, p.snap.Executor = nil, nil, ""
	p.snap.SpentTokens += finished.CostTokens
	p.raise(finished.ReservedTokens)
	p.raise(p.snap.SpentTokens)
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

func (p *Program) raise(reserved int64) {
	p.snap.ReservedTokens = max(p.snap.ReservedTokens, reserved)
}

func (p *Program) refund(child *peerv1.ChildSpent) {
	if slices.Contains(p.snap.RefundedChildren, child.ChildId) {
		return
	}
	p.snap.RefundedChildren = append(p.snap.RefundedChildren, child.ChildId)
	p.snap.SpentTokens -= child.RefundTokens
}

// Prompt returns the text that a model call sends: the whole history, then input.
func (p *Program) Prompt(input []byte) []byte {
	prompt := make([]byte, 0, p.historyBytes+len(input))
	for _, turn := range p.snap.History {
		prompt = append(prompt, turn.Call.Input...)
		prompt = append(prompt, turn.Output...)
	}
	return append(prompt, input...)
}

// MaxCost bounds the tokens that a model call may cost: the prompt, counted by the engine as far as it
// has seen it and otherwise at one token a byte, and the bound on generated tokens.
func (p *Program) MaxCost(input []byte, maxTokens int64) int64 {
	unseen := p.historyBytes - p.promptBytes + len(input)
	return p.promptTokens + int64(unseen) + maxTokens
}

// Repeats returns how often the latest calls in a row were the same as call.
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

// CheckCall tells whether call is the program's next one. It returns the finished call when the request is
// a repeat, nil when it may run, or a refusal.
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

// View returns the program as callers see it.
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
