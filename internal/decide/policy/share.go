package policy

import "time"

// overcommit is how many more calls than slots all daemons together may have under way at a service's engines.
// Daemons know of one another late, and calls fall unevenly on the engines, so slots would stay empty.
const overcommit = 1.25

// SlotShare returns how many calls a daemon may have under way at engines with so many slots in all, where it wants to
// have own of them and the other daemons others: as many as it wants while the slots suffice, and its part of them
// when they do not.
func SlotShare(slots, own, others int) int {
	most := overcommit * float64(slots)
	if float64(own+others) <= most {
		return own
	}
	return max(1, int(most*float64(own)/float64(own+others)+0.5))
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
	learnt float64
}

const (
	// firstAimShare stands until programs were seen.
	firstAimShare = 0.6
	// aimQuantile of the calls end within the share: the last calls of programs count, which are few.
	aimQuantile = 0.95
	// aimStep is how far one call moves the share: some hundred calls settle it.
	aimStep = 0.01
	// mostAimShare leaves a program some time to wait, whatever was seen.
	mostAimShare = 0.95
)

// Observe takes a call into account that ended when its program had used so much of its time. Calls that had to
// wait must not be told.
func (s *TimeBudgetShare) Observe(used float64) {
	if s.learnt == 0 {
		s.learnt = firstAimShare
	}
	if used > s.learnt {
		s.learnt = min(mostAimShare, s.learnt+aimQuantile*aimStep)
	} else {
		s.learnt = max(aimStep, s.learnt-(1-aimQuantile)*aimStep)
	}
}

// Need returns the time that a program needs of what it was given.
func (s *TimeBudgetShare) Need(aim time.Duration) time.Duration {
	share := s.learnt
	if share == 0 {
		share = firstAimShare
	}
	return time.Duration(share * float64(aim))
}
