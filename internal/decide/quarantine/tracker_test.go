package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// end is the end of a server under one of a caller's attempts.
func end(server, attempt string, sent, ended float64) End {
	return End{Server: incarnation.ID{Server: server}, Attempt: attempt, SentAt: at(sent), EndedAt: at(ended)}
}

func keyOf(text string) Key {
	b := NewKeyBuilder()
	b.Add(text)
	return b.Key()
}

// TestQuarantineAtTheThirdEnd guards against a fourth server that gets a request under which three have ended.
func TestQuarantineAtTheThirdEnd(t *testing.T) {
	for name, ends := range map[string][]End{
		"one after the other":       {end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5), end("c", "3", 0.8, 0.9)},
		"all under one attempt":     {end("a", "1", 0, 0.1), end("b", "1", 0, 0.1), end("c", "1", 0.1, 0.2)},
		"reported in another order": {end("c", "3", 0.8, 0.9), end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5)},
	} {
		tracker := NewTracker()
		for i, e := range ends {
			state := tracker.Add(at(1), keyOf("x"), 0, e, e) // a repeated report must not count twice
			assert.Equal(t, len(state.Ends), i+1, name)
			assert.Equal(t, state.Quarantined, i == 2, name)
		}
		assert.Equal(t, tracker.State(at(1), keyOf("x")).Until.Sub(at(1)).Round(time.Minute), quarantineTime, name)
		assert.Assert(t, !tracker.State(at(1), keyOf("y")).Quarantined, "another request is quarantined")
	}
}

// TestEndsBesideOneAnotherWaitForObjections guards against refusals of a request of which copies were in flight at servers that
// ended by a common cause, and against a request that ends servers in many copies at once and is never quarantined.
func TestEndsBesideOneAnotherWaitForObjections(t *testing.T) {
	ends := []End{end("a", "1", 0, 0.1), end("b", "2", 0, 0.1), end("c", "3", 0, 0.1)}
	tracker, key := NewTracker(), keyOf("x")
	state := tracker.Add(at(1), key, 0, ends...)
	assert.Assert(t, !state.Quarantined && !state.Until.IsZero())
	assert.Equal(t, len(tracker.Changes(at(1), 0, 10)), 1, "nobody is told who could object")
	assert.Assert(t, tracker.State(at(1).Add(objectionTime), key).Quarantined)

	objected, now := NewTracker(), at(1)
	objected.Add(now, key, 0, ends...)
	objected.Answered(now, key, answers(1, 0))
	assert.Assert(t, !objected.State(now.Add(objectionTime), key).Quarantined)
}

// answers is what one daemon has counted.
func answers(n int, seconds float64) Tally { return Tally{Source: 1, Count: n, At: at(seconds)} }

// TestGoodAnswersAreWeighedAgainstEnds guards against a request that ends two servers of three and is sent on since each good answer
// clears it, and against refusals of a request that hundreds of servers survive.
func TestGoodAnswersAreWeighedAgainstEnds(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5))
	tracker.Answered(at(2), key, answers(1, 2))
	assert.Equal(t, len(tracker.Add(at(3), key, 0, end("a", "1", 0, 0.1)).Ends), 2, "a known end counts again, or a good answer cleared it")
	assert.Assert(t, tracker.Add(at(3), key, 0, end("c", "3", 2.8, 2.9)).Quarantined, "one good answer outweighs an end")

	tracker.Answered(at(4), key, answers(answersPerEnd/2-1, 4))
	assert.Assert(t, tracker.State(at(4), key).Quarantined)
	tracker.Answered(at(5), key, answers(answersPerEnd/2, 5))
	assert.Assert(t, !tracker.State(at(5), key).Quarantined, "half as many good answers as outweigh an end do not end the quarantine")
	tracker.Answered(at(5), key, Tally{Source: 2, Count: 3 * answersPerEnd, At: at(5)})
	assert.Assert(t, !tracker.State(at(5), key).Suspect, "answers that outweigh all ends leave a suspicion")

	popular := keyOf("popular")
	tracker.Add(at(1), popular, 0)
	for i := range 20 {
		seconds := 1 + float64(i)/10
		tracker.Answered(at(seconds), popular, answers(30*(i+1), seconds))
		assert.Assert(t, !tracker.Add(at(seconds), popular, 0, end(fmt.Sprint("p", i), fmt.Sprint(i), seconds-0.05, seconds)).Quarantined)
	}
}

// TestServersThatEndTogetherDoNotCondemnWhatIsAnswered guards against a refusal of popular requests, of which copies are in
// flight at many servers, because several servers end by a common cause.
func TestServersThatEndTogetherDoNotCondemnWhatIsAnswered(t *testing.T) {
	tracker, key := NewTracker(), keyOf("popular")
	tracker.Add(at(1), key, 0, end("z", "0", 0, 0.1))
	tracker.Answered(at(1), key, answers(1, 1))
	for i := range 5 {
		state := tracker.Add(at(2), key, 0, end(fmt.Sprint("a", i), fmt.Sprint(i), 1.5, 2))
		assert.Assert(t, !state.Quarantined)
	}
	// Sent again after these, it ends a further server: the third one after the other.
	assert.Assert(t, tracker.Add(at(3), key, 0, end("b", "8", 2.2, 2.3)).Quarantined)
}

// TestResponseTakesEndBack guards against a refusal because servers that live were taken for ended.
func TestResponseTakesEndBack(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5), end("c", "3", 0.8, 0.9))
	tracker.Responded(at(2), Response{Server: incarnation.ID{Server: "b"}, SentAt: at(0.4)})
	assert.Assert(t, tracker.State(at(2), key).Quarantined, "a response before the end counts")
	tracker.Responded(at(2), Response{Server: incarnation.ID{Server: "b", Born: 7}, SentAt: at(1.5)})
	assert.Assert(t, tracker.State(at(2), key).Quarantined, "a response of the next start counts")
	tracker.Responded(at(2), Response{Server: incarnation.ID{Server: "b"}, SentAt: at(1.5)})
	assert.Assert(t, !tracker.State(at(2), key).Quarantined)
	assert.DeepEqual(t, tracker.EndedServers(), map[incarnation.ID]bool{{Server: "a"}: true, {Server: "c"}: true})
}

// TestEndsFarApartDoNotAddUp guards against a refusal of a request that is sent for days because servers end now and then.
func TestEndsFarApartDoNotAddUp(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	for i := range 10 {
		seconds := float64(i) * (endLifetime.Seconds()/2 + 1)
		state := tracker.Add(at(seconds), key, 0, end(fmt.Sprint(i), fmt.Sprint(i), seconds-0.1, seconds))
		assert.Assert(t, !state.Quarantined, "quarantined at the end %d", i)
	}
}

// TestQuarantineReturnsWithOneEnd guards against three further ends after each quarantine.
func TestQuarantineReturnsWithOneEnd(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5), end("c", "3", 0.8, 0.9))
	over := 1 + quarantineTime.Seconds()
	assert.Assert(t, !tracker.State(at(over), key).Quarantined)
	tracker.Expire(at(over))
	assert.Assert(t, tracker.Add(at(over), key, 0, end("d", "4", over-0.1, over)).Quarantined)
	tracker.Expire(at(3 * over))
	assert.Assert(t, !tracker.HasEnds(key), "an entry stays for good")
}

// TestMemoryIsBoundedAndShared guards against an organisation that displaces what is known of another's requests.
func TestMemoryIsBoundedAndShared(t *testing.T) {
	tracker := NewTracker()
	small, large := OwnerOf("small"), OwnerOf("large")
	tracker.Add(at(0), keyOf("small's"), small, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5))
	tracker.Add(at(0), keyOf("large's"), large, end("a", "1", 0, 0.1), end("b", "2", 0.4, 0.5), end("c", "3", 0.8, 0.9))
	for i := range 3 * maxEntries {
		tracker.Add(at(1+float64(i)/1000), keyOf(fmt.Sprint("flood", i)), large, end("a", "1", 0, 0.1))
	}
	assert.Assert(t, len(tracker.entries) <= maxEntries)
	assert.Assert(t, tracker.HasEnds(keyOf("small's")), "the small organisation's entry was displaced")
	assert.Assert(t, tracker.State(at(2), keyOf("large's")).Quarantined, "a quarantined request was displaced before suspects")
	for i := range 3 * maxEndsKept {
		tracker.Add(at(2), keyOf("small's"), small, end(fmt.Sprint("s", i), "1", 1, 1+float64(i)/100))
	}
	assert.Equal(t, len(tracker.State(at(2), keyOf("small's")).Ends), maxEndsKept)
}

// TestChangesAreToldInOrder guards against changes that a daemon misses because it polls in the middle of them.
func TestChangesAreToldInOrder(t *testing.T) {
	tracker := NewTracker()
	quarantined := func(name string) Key {
		key := keyOf(name)
		tracker.Add(at(1), key, 0, end("a"+name, "1", 0, 0.1), end("b"+name, "2", 0.4, 0.5), end("c"+name, "3", 0.8, 0.9))
		return key
	}
	first, second := quarantined("first"), quarantined("second")
	changes := tracker.Changes(at(1), 0, 1)
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Key, first)
	tracker.Answered(at(2), first, answers(3*answersPerEnd, 2))
	changes = tracker.Changes(at(2), changes[0].Version, 10)
	assert.Equal(t, len(changes), 2)
	assert.Equal(t, changes[0].Key, second)
	assert.Equal(t, changes[1].Key, first)
	assert.Assert(t, changes[0].State.Quarantined && !changes[1].State.Quarantined)
	assert.Equal(t, len(tracker.Changes(at(2), tracker.Version(), 10)), 0)
}

// TestResponseOfNextStartIsNoObjection guards against an end that is taken back by the next start of the server, which responds under
// the same name before it is listed.
func TestResponseOfNextStartIsNoObjection(t *testing.T) {
	server := incarnation.ID{Server: "a", Born: 7}
	broken := End{Server: server, Attempt: "1", SentAt: at(1), EndedAt: at(1.2), Evidence: Broken}
	for name, c := range map[string]struct {
		r    Response
		want int
	}{
		"on a connection from before the request":       {Response{server, at(1.3), at(0.5)}, 0},
		"on one that was opened while the server ended": {Response{server, at(1.3), at(1.1)}, 1},
		"on a later one":             {Response{server, at(1.3), at(1.25)}, 1},
		"on a later one, long after": {Response{server, at(3.5), at(1.25)}, 0},
		"to an earlier request":      {Response{server, at(1.1), at(0.5)}, 1},
	} {
		for _, first := range []bool{true, false} {
			tracker, key := NewTracker(), keyOf("x")
			tell := []func(){func() { tracker.Add(at(2), key, 0, broken) }, func() { tracker.Responded(at(2), c.r) }}
			if first {
				tell[0], tell[1] = tell[1], tell[0]
			}
			tell[0]()
			tell[1]()
			assert.Equal(t, len(tracker.State(at(4), key).Ends), c.want, "%s, response first: %v", name, first)
		}
	}
}

// TestOpenEndsCountWhileNothingCanDecideThem guards against a request that is sent on since open ends lapse while the list of
// servers can't be read.
func TestOpenEndsCountWhileNothingCanDecideThem(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.FollowList()
	for i, seconds := range []float64{1, 21, 41} {
		e := end(fmt.Sprint(i), fmt.Sprint(i), seconds-0.1, seconds)
		e.Evidence = Silent
		tracker.Add(at(seconds), key, 0, e)
	}
	for _, listed := range []float64{0, 1, 5.9} {
		tracker.ServersListed(at(listed))
		state := tracker.State(at(60), key)
		assert.Assert(t, state.Quarantined && state.Unsure, "list known as of %v s", listed)
		assert.Assert(t, state.Until.After(at(60)) && !state.Until.After(at(60).Add(openTime)), "%v", state.Until)
	}
	tracker.ServersListed(at(6))
	assert.Equal(t, len(tracker.State(at(60), key).Ends), 2, "the list shows that the first server has not ended")
	assert.Assert(t, !tracker.State(at(60), key).Quarantined)
	tracker.ServersListed(at(46))
	assert.Equal(t, len(tracker.State(at(60), key).Ends), 0)
	tracker.Recognise(at(60), incarnation.ID{Server: "2"}, Lapsed)
	assert.Equal(t, len(tracker.State(at(60), key).Ends), 1, "late news counts")
}

// TestOpenEndsAreForgottenInLongOutages guards against refusals without end of a request that met silent servers.
func TestOpenEndsAreForgottenInLongOutages(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.FollowList()
	for i := range 3 {
		e := end(fmt.Sprint(i), fmt.Sprint(i), float64(i), float64(i)+0.1)
		e.Evidence = Silent
		tracker.Add(at(3), key, 0, e)
	}
	assert.Assert(t, tracker.State(at(3), key).Quarantined)
	assert.Assert(t, !tracker.State(at(3).Add(endLifetime), key).Quarantined)
}

// TestResponseIsNoObjectionWhileNoStartIsListed guards against ends that are taken back by the next start of the server, which
// responds under the same name and is not listed, since the list of servers can't be read.
func TestResponseIsNoObjectionWhileNoStartIsListed(t *testing.T) {
	server := incarnation.ID{Server: "a", Born: 7}
	broken := End{Server: server, Attempt: "1", SentAt: at(1), EndedAt: at(1.2), Evidence: Broken}
	later := Response{server, at(20), at(19)}
	for listed, want := range map[float64]int{0: 1, 1.2: 1, 3.1: 1, 3.3: 0} {
		tracker, key := NewTracker(), keyOf("x")
		tracker.FollowList()
		tracker.ServersListed(at(listed))
		tracker.Add(at(2), key, 0, broken)
		assert.Equal(t, len(tracker.Responded(at(20), later)), 1-want, "list known as of %v s", listed)
		assert.Equal(t, len(tracker.State(at(20), key).Ends), want, "list known as of %v s", listed)
	}
}

// TestWithdrawalIsOfOneEnd guards against ends that are taken back by the response that took back another one: by the time that a
// daemon hears of it, the response may seem to have been sent after them.
func TestWithdrawalIsOfOneEnd(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	ends := []End{end("a", "1", 0, 0.1), end("a", "2", 0.5, 0.6), end("b", "1", 0.5, 0.6)}
	withdrawn := Withdrawal{Server: incarnation.ID{Server: "a"}, Attempt: "1"}
	for _, first := range []bool{true, false} {
		tracker.Add(at(1), key, 0)
		if first {
			tracker.Withdraw(at(1), key, withdrawn)
		}
		tracker.Add(at(1), key, 0, ends...)
		tracker.Withdraw(at(1), key, withdrawn)
		assert.Equal(t, len(tracker.State(at(1), key).Ends), 2, "withdrawn first: %v", first)
		tracker = NewTracker()
	}
	certain := ends[0]
	certain.Evidence = Restarted
	tracker.Add(at(1), key, 0, certain)
	tracker.Withdraw(at(1), key, withdrawn)
	assert.Equal(t, len(tracker.State(at(1), key).Ends), 1, "the server has started anew")
}

// TestWithdrawalOfUnknownEndIsNoChange guards against daemons that tell one another without end of ends that were taken back, since
// each keeps only the last.
func TestWithdrawalOfUnknownEndIsNoChange(t *testing.T) {
	tracker, key := NewTracker(), keyOf("x")
	tracker.Add(at(1), key, 0, end("a", "1", 0.1, 0.2))
	before := tracker.Version()
	for i := range 2 * maxEndsKept {
		tracker.Withdraw(at(1), key, Withdrawal{Server: incarnation.ID{Server: "b"}, Attempt: fmt.Sprint(i)})
	}
	assert.Equal(t, tracker.Version(), before)
	tracker.Withdraw(at(1), key, Withdrawal{Server: incarnation.ID{Server: "a"}, Attempt: "1"})
	assert.Assert(t, tracker.Version() > before)
}

// TestAgeOnTheWayMakesNoConnectionOlder guards against an end that is taken back by the next start of the server: a report took longer
// than usual, so that the failed request seems to have been sent after the connection was opened.
func TestAgeOnTheWayMakesNoConnectionOlder(t *testing.T) {
	key, server := keyOf("x"), incarnation.ID{Server: "a", Born: 7}
	reported := newStatus(at(1), key, 0, State{Ends: []End{{Server: server, Attempt: "1", SentAt: at(0.95), EndedAt: at(1), Evidence: Broken}}})
	for connected, want := range map[float64]int{1.05: 1, 0.9: 1, -1: 0} {
		tracker := NewTracker()
		reported.applyTo(tracker, at(1.14)) // over another path
		tracker.Responded(at(1.3), Response{server, at(1.25), at(connected)})
		assert.Equal(t, len(tracker.State(at(1.3), key).Ends), want, "connected at %v s", connected)
	}
}
