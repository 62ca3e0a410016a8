package quarantine

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// TestFateOfGivenUpCopy guards against a process that hangs or a successor that is taken for the server that got the copy, and against
// servers that are taken for ended since they have no room.
func TestFateOfGivenUpCopy(t *testing.T) {
	for name, c := range map[string]struct {
		look Look
		fate Fate
	}{
		"answers on the old connection":        {Look{Answered: true}, Fate{Outlived: true}},
		"old connection broke, nobody there":   {Look{Broke: true, Refused: true}, Fate{Evidence: Refused}},
		"old connection broke, somebody is":    {Look{Broke: true, Accepts: true}, Fate{Evidence: Broken}},
		"accepts connections, does not answer": {Look{Silent: true}, Fate{Evidence: Silent}},
		"no old connection, refuses":           {Look{Refused: true}, Fate{Evidence: Silent}},
		"no old connection, accepts":           {Look{Accepts: true}, Fate{}},
		"no look possible":                     {Look{}, Fate{}},
	} {
		assert.Equal(t, c.look.Fate(), c.fate, name)
	}
}

// TestResponseWhileServerMayWorkOnGivenUpCopy guards against an end that is taken back by a response of a server that had not ended yet.
func TestResponseWhileServerMayWorkOnGivenUpCopy(t *testing.T) {
	e := end("a", "1", 0, 0.1)
	e.RunsUntil = at(0.7)
	early, late := Response{e.Server, at(0.4), at(-1)}, Response{e.Server, at(0.8), at(-1)}
	assert.Assert(t, !early.contradicts(e, 0))
	assert.Assert(t, late.contradicts(e, 0))
	told := fromWire(at(0.2), toWire(at(0.2), []End{e}))[0]
	assert.Assert(t, !early.contradicts(told, 0), "another daemon does not know")

	log := NewSuspectLog()
	log.Add(at(0.1), Suspect{Keys: []Key{keyOf("x")}, End: e})
	log.Responded(early, 0)
	assert.Equal(t, len(log.Ended(at(0.5), e.Server, Lapsed)), 1, "the attempt was dropped")

	log.Add(at(0.1), Suspect{Keys: []Key{keyOf("x")}, End: end("b", "1", 0, 0.1)})
	log.Outlived(incarnation.ID{Server: "b"}, "1")
	assert.Equal(t, len(log.Ended(at(0.5), incarnation.ID{Server: "b"}, Lapsed)), 0, "an attempt that its server has outlived counts")
}

func givenUpCopy(id uint64, server string, sent float64) permit {
	return permit{id: id, daemon: id, grantedAt: at(sent), until: at(sent).Add(givenUpTime), server: incarnation.ID{Server: server}, attempt: server, givenUp: true}
}

// TestNoMoreCopiesThanMayEndServersAreGivenUp guards against a fourth copy of a request of which three were given up, and against requests
// that stay held back once their servers are known to have outlived the copies.
func TestNoMoreCopiesThanMayEndServersAreGivenUp(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Sent(at(0.1), key, 0, givenUpCopy(1, "a", 0))
	assert.Assert(t, !tracker.State(at(0.1), key).Suspect, "one copy is held against a request")
	version := tracker.Version()
	tracker.Sent(at(0.3), key, 0, givenUpCopy(2, "b", 0.2))
	changes := tracker.Changes(at(0.3), version, 10)
	assert.Equal(t, len(changes), 1, "front daemons are not told that they need a permit")
	assert.Assert(t, changes[0].State.Crowded && changes[0].State.Suspect)
	assert.Equal(t, tracker.Admit(at(0.4), key, 3, at(4)), Admitted)
	tracker.Sent(at(0.4), key, 0, givenUpCopy(3, "c", 0.4))
	assert.Equal(t, tracker.Admit(at(0.5), key, 4, at(4)), Awaited)

	version = tracker.Version()
	for id := range uint64(2) {
		tracker.Release(key, id+1)
		tracker.NoteRoom(at(0.9), key)
	}
	assert.Equal(t, tracker.Admit(at(0.9), key, 5, at(4)), Admitted)
	changes = tracker.Changes(at(0.9), version, 10)
	assert.Equal(t, len(changes), 1, "front daemons are not told that they need no permit any more")
}

// TestCopiesInFlightHoldBackFurtherOnes guards against copies that are only waited for as if their callers had left, and against a copy
// that counts twice, in flight and by the end of its server.
func TestCopiesInFlightHoldBackFurtherOnes(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	for id, server := range []string{"a", "b", "c"} {
		c := givenUpCopy(uint64(id+1), server, 0)
		c.givenUp, c.until = false, at(4)
		tracker.Sent(at(0.5), key, 0, c)
	}
	assert.Equal(t, tracker.Admit(at(0.6), key, 9, at(4)), Busy)

	ended, other := NewTracker(), keyOf("y")
	ended.Sent(at(0.1), other, 0, givenUpCopy(1, "a", 0))
	ended.Recognise(at(0.3), incarnation.ID{Server: "a"}, Refused)
	state := ended.State(at(0.4), other)
	assert.Equal(t, len(state.Ends), 1)
	assert.Assert(t, !state.Crowded, "its copy counts beside the end of its server")
	assert.Assert(t, state.Ends[0].EndedAt.Before(at(0.2)), "a copy that the next start of the server got would count as the same")
}

// TestGivenUpCopiesOfPopularRequestsHoldNothingBack guards against requests that wait since some of their many callers have left.
func TestGivenUpCopiesOfPopularRequestsHoldNothingBack(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(0), key, 0)
	tracker.Answered(at(0), key, Tally{Source: 1, Count: 3 * answersPerEnd, At: at(0)})
	for id := range uint64(4) {
		tracker.Sent(at(0.1), key, 0, givenUpCopy(id+1, string(rune('a'+id)), 0))
	}
	assert.Assert(t, !tracker.State(at(0.2), key).Suspect)
	assert.Equal(t, tracker.Admit(at(0.2), key, 9, at(4)), Admitted)
}

// TestCrowdedIsToldByRegistrars guards against front daemons that ask for permits for good.
func TestCrowdedIsToldByRegistrars(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(0), key, 0)
	tracker.SetCrowded(at(0), &Status{Key: key, Registrar: 1, Version: 1, Crowded: true})
	assert.Assert(t, tracker.State(at(1), key).Suspect)
	assert.Assert(t, !tracker.State(at(0).Add(maxCrowdedTime), key).Suspect, "without further news")
	tracker.SetCrowded(at(1), &Status{Key: key, Registrar: 1, Version: 2, Crowded: true})
	tracker.SetCrowded(at(2), &Status{Key: key, Registrar: 1, Version: 3})
	assert.Assert(t, !tracker.State(at(2), key).Suspect)
}

// TestLateNewsDoesNotEndCrowded guards against copies without a permit because a reply overtakes news, or one registrar missed a report.
func TestLateNewsDoesNotEndCrowded(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(0), key, 0)
	tracker.SetCrowded(at(0), &Status{Key: key, Registrar: 1, Version: 8, Crowded: true})
	tracker.SetCrowded(at(0), &Status{Key: key, Registrar: 1, Version: 7})
	tracker.SetCrowded(at(0), &Status{Key: key, Registrar: 2, Version: 9})
	assert.Assert(t, tracker.State(at(0.1), key).Suspect)
	tracker.SetCrowded(at(0.1), &Status{Key: key, Registrar: 1, Version: 9})
	assert.Assert(t, !tracker.State(at(0.1), key).Suspect)
	for start := range uint64(20) {
		tracker.SetCrowded(at(0.1), &Status{Key: key, Registrar: 10 + start, Version: 1})
	}
	assert.Assert(t, len(tracker.entries[key].news) <= RegistrarCount, "starts of registrars that have ended")
}
