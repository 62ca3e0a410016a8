package quarantine

import "time"

// Tally is how many good answers a daemon has seen of a request within endLifetime.
type Tally struct {
	// Source is the start of the daemon.
	Source uint64
	Count  int
	// At is when the daemon counted.
	At time.Time
}

// maxTallies bounds the daemons whose good answers are counted of one request.
const maxTallies = 16

// addTally adds or replaces the count of a daemon and reports whether anything changed.
func addTally(tallies []Tally, t Tally) ([]Tally, bool) {
	for i := range tallies {
		if tallies[i].Source == t.Source {
			before := tallies[i]
			if t.At.After(before.At) || t.At.Equal(before.At) && t.Count > before.Count {
				tallies[i] = t
			}
			return tallies, tallies[i].Count != before.Count
		}
	}
	if len(tallies) >= maxTallies {
		return tallies, false
	}
	return append(tallies, t), true
}

// countAnswers returns the number of good answers that still count.
func countAnswers(now time.Time, tallies []Tally) int {
	n := 0
	for _, t := range tallies {
		if now.Sub(t.At) < endLifetime {
			n += t.Count
		}
	}
	return n
}

// condemned reports whether ends, weighed against good answers, amount to maxEnds: half an end may be outweighed.
func condemned(ends, answers int) bool {
	return 2*(ends*answersPerEnd-answers) > (2*maxEnds-1)*answersPerEnd
}

// outweighed reports whether good answers leave nothing of the ends.
func outweighed(ends, answers int) bool { return ends*answersPerEnd <= answers }

// inSequence returns how many of the ends came one after the other: under one attempt, or under attempts of which each was
// sent after the end before. Of copies of one request that many callers send, several may be in flight at servers that end
// by a common cause; such ends count once, and so do those of one attempt where other servers ended too.
func inSequence(ends []End) int {
	n := 0
	var last End
	for _, end := range ends {
		if n == 0 || end.SentAt.After(last.EndedAt) || end.Attempt == last.Attempt && !end.Common {
			n, last = n+1, end
		}
	}
	return n
}

// weighable returns how many of the ends are weighed. As long as no good answer is known, ends beside one another count too.
func weighable(ends []End, answers int) int {
	if answers == 0 {
		return len(ends)
	}
	return inSequence(ends)
}
