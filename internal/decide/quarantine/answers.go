package quarantine

import "time"

const (
	// answerGeneration is how many keys are remembered at least whose good answers are counted, some three of each request.
	answerGeneration = 2048
	// answerPeriod is the time for which good answers are counted at least, and half of that for which they are at most.
	answerPeriod = endLifetime / 2
)

// answerLog counts the good answers of requests in the last one to two answerPeriods: of at least the last answerGeneration
// keys, of at most twice as many. Use newAnswerLog.
type answerLog struct {
	current, previous map[Key]int
	rotatedAt         time.Time
}

func newAnswerLog() answerLog { return answerLog{current: map[Key]int{}} }

func (a *answerLog) record(now time.Time, key Key) {
	a.rotate(now)
	if _, known := a.current[key]; !known && len(a.current) >= answerGeneration {
		a.startGeneration(now)
	}
	a.current[key]++
}

// count returns how often a request was answered well.
func (a *answerLog) count(now time.Time, key Key) int {
	a.rotate(now)
	return a.current[key] + a.previous[key]
}

func (a *answerLog) rotate(now time.Time) {
	if now.Sub(a.rotatedAt) < answerPeriod {
		return
	}
	if now.Sub(a.rotatedAt) >= 2*answerPeriod {
		a.current = map[Key]int{}
	}
	a.startGeneration(now)
}

func (a *answerLog) startGeneration(now time.Time) {
	a.previous, a.current, a.rotatedAt = a.current, make(map[Key]int, answerGeneration/4), now
}
