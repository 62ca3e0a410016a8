package policy

import "time"

// InTime reports whether a call with ahead calls before it can expect to start within the time left, where rate calls
// start per second. The next call always can.
func InTime(ahead int, rate float64, left time.Duration) bool {
	return ahead == 0 || float64(ahead) <= rate*left.Seconds()
}

// QueueDelay returns how long it takes until so many calls have started at rate calls per second, at most longest.
func QueueDelay(calls int, rate float64, longest time.Duration) time.Duration {
	if rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(float64(calls)/rate*float64(time.Second)))
}

// TimeBudgetShare learns which share of their time budget programs of one kind need when nothing delays them: a high
// quantile, over their calls, of the share used by the end of the call. The zero value is ready for use.
type TimeBudgetShare struct {
	estimate float64
}

const (
	// defaultBudgetShare applies until a program was observed.
	defaultBudgetShare = 0.6
	// budgetQuantile is the quantile to learn. It is high since the last calls of programs count, which are few.
	budgetQuantile = 0.95
	// budgetStep scales the change by one call: the estimate settles within some hundred calls.
	budgetStep = 0.01
	// maxBudgetShare leaves every program some time to wait.
	maxBudgetShare = 0.95
)

// Observe records a call that ended when its program had used the given share of its time budget. Calls that had to
// wait must not be recorded.
func (s *TimeBudgetShare) Observe(used float64) {
	if s.estimate == 0 {
		s.estimate = defaultBudgetShare
	}
	if used > s.estimate {
		s.estimate = min(maxBudgetShare, s.estimate+budgetQuantile*budgetStep)
	} else {
		s.estimate = max(budgetStep, s.estimate-(1-budgetQuantile)*budgetStep)
	}
}

// Need returns how much of its time budget a program needs.
func (s *TimeBudgetShare) Need(budget time.Duration) time.Duration {
	share := s.estimate
	if share == 0 {
		share = defaultBudgetShare
	}
	return time.Duration(share * float64(budget))
}
