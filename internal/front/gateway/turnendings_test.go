package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func eventAnswer(f framing) rawAnswer {
	return rawAnswer{status: "200 OK", framing: f, body: events(1, 3)}
}

// Guards against a turn that is kept although its connection ended before its length.
func TestKeptTurnFramedByLengthIsBrokenOff(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byLength), "\n\n", anyEnding)
}

// Guards against a turn that is kept although its connection ended before its last chunk.
func TestKeptTurnFramedByChunksIsBrokenOff(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byChunks), "\n\n", anyEnding)
}

// Guards against a turn that is kept although its connection was reset.
func TestKeptTurnFramedByConnectionIsBrokenOffByReset(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byConnection), "\n\n", isReset)
}

// Guards against a turn that is kept although its connection was closed inside an event.
func TestKeptTurnFramedByConnectionIsBrokenOffInsideEvent(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byConnection), "\n\n", closedInside)
}

// Guards against a turn that is refused although its connection was closed between two events.
func TestKeptTurnFramedByConnectionIsWholeBetweenEvents(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byConnection), "\n\n", closedBetween)
}

// Guards against a turn that is kept although its connection was closed before the first event.
func TestKeptTurnFramedByConnectionIsBrokenOffBeforeFirstEvent(t *testing.T) {
	checkStreams(t, "/turn/x", eventAnswer(byConnection), "\n\n", closedBeforeAny)
}

// Guards against a turn that is kept although its framing ends inside an event.
func TestKeptTurnWithWholeFramingIsBrokenOffInsideEvent(t *testing.T) {
	f := newEndingFixture(t, nil)
	var found faults
	for _, by := range []framing{byLength, byChunks} {
		for n := range len(events(1, 2)) + 1 {
			a := rawAnswer{status: "200 OK", framing: by, body: events(1, 2)[:n]}
			if n > 0 && !strings.HasSuffix(a.body, "\n\n") {
				f.checkStream(&found, "/turn/x", a, ending{cut: len(a.rest())}, "\n\n")
			}
		}
	}
	found.report(t)
}

// checkResumed sends one request to a resumable route and checks that the caller gets one whole stream.
func (f *endingFixture) checkResumed(faults *faults, a rawAnswer, e ending, want string, attempts int) {
	f.t.Helper()
	faults.tried++
	id, got := f.get(http.MethodPost, "/resume/x", a, e)
	where := fmt.Sprintf("framed by %s, %s", a.framing, e)
	if got.status != http.StatusOK || got.broken || got.body != want {
		faults.add("%s: status %d, broken off %t, body %.60q", where, got.status, got.broken, got.body)
	}
	told := f.server.attempts(id)
	if len(told) != attempts && attempts != 0 {
		faults.add("%s: %d attempts, want %d", where, len(told), attempts)
	}
	if len(told) < 2 {
		return
	}
	// A reset may overtake events, but no event that was not sent may be skipped.
	last := strings.Count(a.delivered(e.cut), "\n\n")
	lastWhole := fmt.Sprint(last)
	if last == 0 {
		lastWhole = ""
	}
	if told[1] != lastWhole && (!e.reset || told[1] > lastWhole) {
		faults.add("%s: second server asked to go on after %q, want %q", where, told[1], lastWhole)
	}
}

// checkResumedStreams checks that each ending of interest gives one whole stream.
func checkResumedStreams(t *testing.T, a rawAnswer, interest func(rawAnswer, ending) bool) {
	t.Helper()
	f := newEndingFixture(t, func(w http.ResponseWriter, r *http.Request) { serveEventsUpTo(w, r, 3) })
	var found faults
	for _, reset := range []bool{false, true} {
		for _, e := range everyCut(a, reset) {
			if !interest(a, e) {
				continue
			}
			attempts, want := 2, a.body
			switch a.streamAllowed(e, "\n\n") {
			case mayBeEither:
				attempts = 0
			case mustBeWhole:
				attempts, want = 1, a.delivered(e.cut)
			}
			f.checkResumed(&found, a, e, want, attempts)
		}
	}
	found.report(t)
}

// Guards against a resumed stream that lacks or repeats events after an end before its length.
func TestResumedStreamFramedByLength(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byLength), anyEnding)
}

// Guards against a resumed stream that lacks or repeats events after an end before its last chunk.
func TestResumedStreamFramedByChunks(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byChunks), anyEnding)
}

// Guards against a resumed stream that lacks or repeats events after a reset.
func TestResumedStreamFramedByConnectionAndReset(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byConnection), isReset)
}

// Guards against a stream that isn't resumed after a close inside an event.
func TestStreamFramedByConnectionIsResumedInsideEvent(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byConnection), closedInside)
}

// Guards against a stream that isn't resumed after a close before its first event.
func TestStreamFramedByConnectionIsResumedBeforeFirstEvent(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byConnection), closedBeforeAny)
}

// Guards against a stream that is resumed although it was closed between two events.
func TestStreamFramedByConnectionIsWholeBetweenEvents(t *testing.T) {
	checkResumedStreams(t, eventAnswer(byConnection), closedBetween)
}

// Guards against a stream that isn't resumed although its framing ends inside an event.
func TestStreamWithWholeFramingIsResumedInsideEvent(t *testing.T) {
	f := newEndingFixture(t, func(w http.ResponseWriter, r *http.Request) { serveEventsUpTo(w, r, 3) })
	var found faults
	for _, by := range []framing{byLength, byChunks} {
		for n := 1; n < len(events(1, 3)); n++ {
			if a := (rawAnswer{status: "200 OK", framing: by, body: events(1, 3)[:n]}); !strings.HasSuffix(a.body, "\n\n") {
				f.checkResumed(&found, a, ending{cut: len(a.rest())}, events(1, 3), 2)
			}
		}
	}
	found.report(t)
}

// serveNothingMore answers a resumption with no event and ends with its connection.
func serveNothingMore(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	a := rawAnswer{status: "200 OK", framing: byConnection}
	_, _ = io.WriteString(conn, a.head(r.Header.Get("Id")))
	_ = conn.Close()
}

// Guards against a resumed stream that is broken off because its second server had no event left.
func TestResumedStreamCountsEarlierEvents(t *testing.T) {
	f := newEndingFixture(t, serveNothingMore)
	var found faults
	a := eventAnswer(byChunks)
	for cut := range len(a.rest()) {
		if want := wholeEvents(a.delivered(cut), "\n\n"); want != "" {
			f.checkResumed(&found, a, ending{cut: cut}, want, 2)
		}
	}
	found.report(t)
}

// Guards against an empty stream that is complete although neither server sent an event.
func TestResumedStreamWithoutAnyEventIsBrokenOff(t *testing.T) {
	f := newEndingFixture(t, serveNothingMore)
	for _, reset := range []bool{false, true} {
		_, got := f.get(http.MethodPost, "/resume/x", rawAnswer{status: "200 OK", framing: byChunks, body: events(1, 4)}, ending{reset: reset})
		assert.Assert(t, got.broken || got.status == http.StatusBadGateway, "status %d, body %q", got.status, got.body)
	}
}
