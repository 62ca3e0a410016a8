package policy

import "time"

// overcommit is how many more calls than slots all daemons together may have under way at a service's engines.
// Daemons know of one another late, and calls fall unevenly on the engines, so slots would stay empty.
const overcommit = 1.25

// SlotShare returns how many calls a daemon may have under way at engines with so many slots in all, where it wants to
// have own of them and the other daemons others: as many as it wants while the slots suffice, and its part of them
// when they do not.
func SlotShare(slots, own, others int) int {
	limit := overcommit * float64(slots)
	if float64(own+others) <= limit {
		return own
	}
	return max(1, int(limit*float64(own)/float64(own+others)+0.5))
}

// InTime tells whether a call that has so many calls before it can expect its turn within the time left, where
// rate calls a second get theirs. The next one always can.
func InTime(ahead int, rate float64, left time.Duration) bool {
	return ahead == 0 || float64(ahead) <= rate*left.Seconds()
}

// QueueDelay returns how long so many calls take to get their turn, at most longest.
func QueueDelay(calls int, rate float64, longest time.Duration) time.Duration {
	if rate <= 0 {
		return longest
	}
	return min(longest, time.Duration(float64(calls)/rate*float64(time.Second)))
}

// TimeBudgetShare learns which share of the time that programs of one kind are given they need when nothing holds them up:
// a high quantile over their calls of the time used by the end of the call. The zero value is ready for use.
type TimeBudgetShare struct {
	estimate float64
}

const (
	// defaultBudgetShare stands until programs were seen.
	defaultBudgetShare = 0.6
	// budgetQuantile of the calls end within the share: the last calls of programs count, which are few.
	budgetQuantile = 0.95
	// budgetStep is how far one call moves the share: some hundred calls settle it.
	budgetStep = 0.01
	// maxBudgetShare leaves a program some time to wait, whatever was seen.
	maxBudgetShare = 0.95
)

// Observe takes a call into account that ended when its program had used so much of its time. Calls that had to
// wait must not be told.
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

// Need returns the time that a program needs of what it was given.
func (s *TimeBudgetShare) Need(budget time.Duration) time.Duration {
	share := s.estimate
	if share == 0 {
		share = defaultBudgetShare
	}
	return time.Duration(share * float64(budget))
}
