package quarantine

import "time"

// answerGeneration is how many good answers are remembered at least, each by the key of its request.
const answerGeneration = 1024

// answerLog remembers when requests were last answered well: at least the last answerGeneration ones, at most twice as
// many. Use newAnswerLog.
type answerLog struct{ current, previous map[Key]time.Time }

func newAnswerLog() answerLog { return answerLog{current: map[Key]time.Time{}} }

func (a *answerLog) record(key Key, at time.Time) {
	if len(a.current) >= answerGeneration {
		a.previous, a.current = a.current, make(map[Key]time.Time, answerGeneration)
	}
	a.current[key] = at
}

// last returns the time of the last good answer; zero if none is remembered.
func (a *answerLog) last(key Key) time.Time {
	if at, known := a.current[key]; known {
		return at
	}
	return a.previous[key]
}
