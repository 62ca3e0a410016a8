package holder

import (
	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// reserveAhead is the number of tokens that a record reserves beyond the current need, so that most calls need
// no record before they are sent. Reserved tokens count as spent if the program's owner fails.
const reserveAhead = 8192

// worstCase returns the maximum cost of a call in tokens.
func (h *Holder) worstCase(l *programState, call *rookpassv1.CallRequest) int64 {
	switch call.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL:
		return l.MaxCost(call.Input, call.MaxTokens)
	case rookpassv1.CallKind_CALL_KIND_SUB_AGENT:
		return call.ChildBudgetTokens
	default:
		return h.Runner.ServiceCost(call.Target)
	}
}

// checkBudget returns an error if the maximum cost of a call exceeds the remaining budget.
func checkBudget(l *programState, worst int64) error {
	if worst > l.RemainingBudget() && guard.Enabled(guard.Budget) {
		return verdict.Refuse(verdict.BudgetExhausted, "the call may cost %d tokens, %d are left", worst, l.RemainingBudget())
	}
	return nil
}

// reserveFor returns the reservation to record before a call with the given maximum cost is sent.
func reserveFor(l *programState, worst int64) int64 {
	need := l.Spent() + worst
	return min(need+reserveAhead, l.Spent()+l.RemainingBudget())
}

// reserveNext returns the reservation to record with a finished model call, so that a next call with the same
// max_tokens usually needs no record before it is sent.
func reserveNext(l *programState, finished *peerv1.Finished) int64 {
	spent := l.Spent() + finished.CostTokens
	next := finished.PromptTokens + finished.CompletionTokens + finished.Call.MaxTokens + reserveAhead
	return min(spent+next, l.Spent()+l.RemainingBudget())
}
