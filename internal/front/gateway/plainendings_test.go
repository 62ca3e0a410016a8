package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// text is a body in which each part of 8 bytes differs from all others.
func text(n int) string {
	var b strings.Builder
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%07d\n", i)
	}
	return b.String()[:n]
}

// largeBody exceeds what the gateway buffers of a response before it forwards it.
const (
	maxBuffered = 256 << 10
	largeBody   = maxBuffered + 64<<10
)

func smallAnswer(by framing) rawAnswer {
	return rawAnswer{status: "200 OK", framing: by, body: text(24), plain: true}
}

func largeAnswer(by framing) rawAnswer {
	a := rawAnswer{status: "200 OK", framing: by, body: text(largeBody), chunk: 5000, plain: true}
	a.framed = a.rest()
	return a
}

// someCuts returns endings of one kind at a few dozen places: around the start, the buffer's end and the end.
func someCuts(a rawAnswer, reset bool) []ending {
	var all []ending
	end := len(a.rest())
	for _, cut := range []int{0, 1, 7, 1000, 4095, 4096, 65536, 200000, maxBuffered - 1, maxBuffered, maxBuffered + 1, maxBuffered + 400,
		maxBuffered + 4096, end - 5000, end - 6, end - 5, end - 4, end - 3, end - 2, end - 1, end} {
		all = append(all, ending{cut, reset})
	}
	return all
}

// checkPlain sends one request to a route for plain answers and checks what the caller got. replaced is set if another
// server's answer replaces one that is broken off, which has the same body.
func (f *endingFixture) checkPlain(faults *faults, method, path string, a rawAnswer, e ending, replaced bool) {
	f.t.Helper()
	faults.tried++
	id, got := f.get(method, path, a, e)
	where := fmt.Sprintf("framed by %s, %s", a.framing, e)
	allowed, delivered := a.plainAllowed(e), a.delivered(e.cut)
	runs := len(f.server.attempts(id))
	// After more than the buffer has arrived, a part may have been sent, so that nothing can replace the answer.
	held := len(delivered) < maxBuffered
	if replaced && runs > 1 && got.body == a.body {
		delivered = a.body // a slow first server is hedged
	}
	whole := !got.broken && got.status < http.StatusBadGateway
	if !replaced && runs != 1 {
		faults.add("%s: run %d times", where, runs)
	}
	if got.broken && (held || allowed == mustBeWhole) {
		faults.add("%s: the caller's connection broke off, status %d", where, got.status)
	}
	switch {
	case allowed == mustBeWhole && (!whole || got.body != delivered || fmt.Sprint(got.status) != a.status[:3]):
		faults.add("%s: status %d with %d bytes, want the answer of %d bytes", where, got.status, len(got.body), len(delivered))
	case whole && got.body != a.body && allowed != mustBeWhole:
		faults.add("%s: taken for complete with %d of %d bytes", where, len(got.body), len(a.body))
	case allowed == mustBeBroken && whole && runs == 1:
		faults.add("%s: taken for complete with %d bytes", where, len(got.body))
	case allowed == mustBeBroken && replaced && held && (!whole || runs != 2):
		faults.add("%s: status %d after %d runs, want another server's answer", where, got.status, runs)
	case got.broken && !strings.HasPrefix(a.body, got.body):
		faults.add("%s: bytes that the server didn't send", where)
	}
}

// checkPlainAnswers checks all endings of a kind of answer in each framing.
func checkPlainAnswers(t *testing.T, path string, answer func(framing) rawAnswer, cuts func(rawAnswer, bool) []ending) {
	for _, by := range framings {
		t.Run(string(by), func(t *testing.T) {
			a := answer(by)
			replaced := strings.HasPrefix(path, "/twice/")
			f := newEndingFixture(t, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Seal", "s")
				_, _ = io.WriteString(w, a.body)
			})
			var found faults
			for _, reset := range []bool{false, true} {
				for _, e := range cuts(a, reset) {
					f.checkPlain(&found, http.MethodPost, path, a, e, replaced)
				}
			}
			found.report(t)
		})
	}
}

// Guards against a small answer that is broken off and not replaced by another server's.
func TestIdempotentAnswerIsReplaced(t *testing.T) {
	checkPlainAnswers(t, "/twice/x", smallAnswer, everyCut)
}

// Guards against a large answer that is broken off and looks complete, or isn't replaced before a part was sent.
func TestLargeIdempotentAnswerIsReplacedOrBrokenOff(t *testing.T) {
	checkPlainAnswers(t, "/twice/x", largeAnswer, someCuts)
}

// Guards against a request that must run at most once and is run again, or whose broken-off answer looks complete.
func TestAtMostOnceAnswerIsRefused(t *testing.T) {
	checkPlainAnswers(t, "/once/x", smallAnswer, everyCut)
}

// Guards against a large answer to a request that must run at most once that is broken off and looks complete.
func TestLargeAtMostOnceAnswerIsBrokenOff(t *testing.T) {
	checkPlainAnswers(t, "/once/x", largeAnswer, someCuts)
}

func errorAnswer(by framing) rawAnswer {
	return rawAnswer{status: "500 Internal Server Error", framing: by, body: text(24), plain: true}
}

// Guards against an error answer that is broken off and looks complete.
func TestErrorAnswerIsRefused(t *testing.T) {
	checkPlainAnswers(t, "/once/x", errorAnswer, everyCut)
}

// Guards against an error answer on a stream route that is broken off and looks complete.
func TestErrorAnswerOfTurnIsRefused(t *testing.T) {
	checkPlainAnswers(t, "/turn/x", errorAnswer, everyCut)
}

// Guards against tokens of a turn that are released as if it had not run, since its error answer was broken off.
func TestErrorAnswerOfTurnKeepsItsTokens(t *testing.T) {
	var found faults
	for _, by := range framings {
		f, a := newEndingFixture(t, nil), errorAnswer(by)
		for _, reset := range []bool{false, true} {
			for _, e := range steppedCuts(a, reset, 0, 3, 6) {
				found.tried++
				id, got := f.get(http.MethodPost, "/turn/x", a, e)
				if kept, _, released := f.kept(id); kept || released {
					found.add("framed by %s, %s: status %d, kept %t, released %t", a.framing, e, got.status, kept, released)
				}
			}
		}
	}
	found.report(t)
}

// Guards against an error answer to an idempotent request that is forwarded though another server can answer.
func TestErrorAnswerIsReplaced(t *testing.T) {
	for _, by := range framings {
		f, a := newEndingFixture(t, echo), errorAnswer(by)
		for _, reset := range []bool{false, true} {
			for _, e := range steppedCuts(a, reset, 0, 3, 6) {
				id, got := f.get(http.MethodPost, "/twice/x", a, e)
				assert.Equal(t, fmt.Sprint(got.status, got.body, len(f.server.attempts(id))), "200hello2", "framed by %s, %s", a.framing, e)
			}
		}
	}
}

// checkBodiless checks answers that have no body by their method or status, with any head and both ends.
func checkBodiless(t *testing.T, method, status string) {
	for _, path := range []string{"/once/x", "/twice/x"} {
		t.Run(path, func(t *testing.T) {
			f := newEndingFixture(t, nil)
			var found faults
			for _, by := range framings {
				a := rawAnswer{status: status, framing: by, bodiless: true, plain: true}
				if method == http.MethodHead {
					a.body = text(24)
				}
				for _, reset := range []bool{false, true} {
					for range 5 {
						a := a
						id, got := f.get(method, path, a, ending{reset: reset})
						found.tried++
						where := fmt.Sprintf("framed by %s, reset %t", by, reset)
						refused := reset && got.status == http.StatusBadGateway
						if got.broken || got.body != "" && !refused || fmt.Sprint(got.status) != status[:3] && !refused {
							found.add("%s: status %d, broken off %t, body %.60q", where, got.status, got.broken, got.body)
						}
						if n := len(f.server.attempts(id)); n != 1 && !(reset && path == "/twice/x") {
							found.add("%s: run %d times", where, n)
						}
					}
				}
			}
			found.report(t)
		})
	}
}

// Guards against an answer to HEAD that is taken for broken off since its head announces a body.
func TestHeadAnswerIsWhole(t *testing.T) { checkBodiless(t, http.MethodHead, "200 OK") }

// Guards against an answer without content that is taken for broken off since its head announces a body.
func TestNoContentAnswerIsWhole(t *testing.T) { checkBodiless(t, http.MethodPost, "204 No Content") }
