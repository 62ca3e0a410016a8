package holder

import (
	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/guard"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// reserveAhead is how many tokens beyond the known need a record reserves, so that the next call seldom
// needs a record of its own before it leaves. What is reserved but not settled counts as spent when the
// program's owner dies.
const reserveAhead = 8192

// worstCase bounds what a call may cost, whatever the backend server answers.
func (h *Holder) worstCase(l *live, call *rookpassv1.CallRequest) int64 {
	switch call.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL:
		return l.MaxCost(call.Input, call.MaxTokens)
	case rookpassv1.CallKind_CALL_KIND_SUB_AGENT:
		return call.ChildBudgetTokens
	default:
		return h.Runner.ServiceCost(call.Target)
	}
}

// checkBudget refuses a call whose worst case does not fit into what is left.
func checkBudget(l *live, worst int64) error {
	if worst > l.RemainingBudget() && guard.Enabled(guard.Budget) {
		return verdict.Refuse(verdict.BudgetExhausted, "the call may cost %d tokens, %d are left", worst, l.RemainingBudget())
	}
	return nil
}

// reserveFor returns the durable bound to write so that a call of the given worst case may leave.
func reserveFor(l *live, worst int64) int64 {
	need := l.Spent() + worst
	return min(need+reserveAhead, l.Spent()+l.RemainingBudget())
}

// reserveNext returns the bound to write with a finished model call, so that the next one, with the same
// bound on generated tokens, needs no record before it leaves.
func reserveNext(l *live, finished *peerv1.Finished) int64 {
	spent := l.Spent() + finished.CostTokens
	next := finished.PromptTokens + finished.CompletionTokens + finished.Call.MaxTokens + reserveAhead
	return min(spent+next, l.Spent()+l.RemainingBudget())
}
