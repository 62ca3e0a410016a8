package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/turns/turn"
)

// framing is how a raw answer tells where its body ends.
type framing string

const (
	byLength     framing = "length"
	byChunks     framing = "chunks"
	byConnection framing = "connection"
)

var framings = []framing{byLength, byChunks, byConnection}

// rawAnswer is an answer of a server that is written byte by byte as given, without net/http.
type rawAnswer struct {
	status  string
	framing framing
	body    string
	// chunk is the size of chunks; 7 if it is 0.
	chunk int
	// plain is set for answers that are no event streams.
	plain bool
	// bodiless is set for answers that have no body by their method or status. Their head announces one.
	bodiless bool
	// framed is the result of rest if it is already known.
	framed string
}

// rest returns all that follows the head.
func (a *rawAnswer) rest() string {
	switch {
	case a.bodiless:
		return ""
	case a.framing != byChunks:
		return a.body
	case a.framed != "":
		return a.framed
	}
	size := a.chunk
	if size == 0 {
		size = 7
	}
	var b strings.Builder
	for part := range slices.Chunk([]byte(a.body), size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(part), part)
	}
	return b.String() + "0\r\n\r\n"
}

// delivered returns the part of the body within the first cut bytes of rest.
func (a *rawAnswer) delivered(cut int) string {
	if a.framing != byChunks || a.bodiless {
		return a.rest()[:cut]
	}
	size := a.chunk
	if size == 0 {
		size = 7
	}
	n := 0
	for part := range slices.Chunk([]byte(a.body), size) {
		frame := len(fmt.Sprintf("%x\r\n", len(part)))
		n += min(len(part), max(0, cut-frame))
		cut -= frame + len(part) + 2
	}
	return a.body[:n]
}

func (a *rawAnswer) head(id string) string {
	mediaType := "text/event-stream"
	if a.plain {
		mediaType = "text/plain"
	}
	head := "HTTP/1.1 " + a.status + "\r\nId: " + id + "\r\nSeal: s\r\nContent-Type: " + mediaType + "\r\nConnection: close\r\n"
	switch a.framing {
	case byLength:
		head += fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
	case byChunks:
		head += "Transfer-Encoding: chunked\r\n"
	}
	return head + "\r\n"
}

// ending is how an answer ends: after cut bytes behind its head, by a close or a reset of the connection.
type ending struct {
	cut   int
	reset bool
}

func (e ending) String() string {
	if e.reset {
		return fmt.Sprintf("reset after %d bytes", e.cut)
	}
	return fmt.Sprintf("close after %d bytes", e.cut)
}

// outcomeAllowed is what the contract allows the caller to get.
type outcomeAllowed int

const (
	mustBeBroken outcomeAllowed = iota
	mustBeWhole
	// mayBeEither holds for resets after the end of the framing, which may overtake the last bytes.
	mayBeEither
)

// plainAllowed returns what the contract allows for a plain answer.
func (a *rawAnswer) plainAllowed(e ending) outcomeAllowed {
	whole := a.bodiless || a.framing == byConnection || e.cut == len(a.rest())
	switch {
	case !whole, e.reset && a.framing == byConnection && !a.bodiless:
		return mustBeBroken
	case e.reset:
		return mayBeEither
	}
	return mustBeWhole
}

// streamAllowed returns what the contract allows for a stream of events that each end with an empty line.
func (a *rawAnswer) streamAllowed(e ending, blank string) outcomeAllowed {
	if got := a.delivered(e.cut); !strings.HasSuffix(got, blank) {
		return mustBeBroken
	}
	return a.plainAllowed(e)
}

// endingServer gives the first attempt of each request a raw answer with an ending, and further ones to next.
type endingServer struct {
	mu     sync.Mutex
	answer rawAnswer
	ending ending
	next   http.HandlerFunc
	// told are the last event ids of the attempts, by request.
	told map[string][]string
}

func (s *endingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Id")
	s.mu.Lock()
	if s.told == nil {
		s.told = map[string][]string{}
	}
	s.told[id] = append(s.told[id], r.Header.Get("Last-Event"))
	first, answer, ending := len(s.told[id]) == 1, s.answer, s.ending
	s.mu.Unlock()
	if !first && s.next != nil {
		s.next(w, r)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // unread bytes would turn the close into a reset
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, answer.head(id)+answer.rest()[:ending.cut])
	if ending.reset {
		_ = conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
}

func (s *endingServer) set(a rawAnswer, e ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer, s.ending = a, e
}

func (s *endingServer) attempts(id string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told[id]
}

// everyCut returns all endings of one kind.
func everyCut(a rawAnswer, reset bool) []ending {
	return steppedCuts(a, reset, 0, 1, 0)
}

// steppedCuts returns endings of one kind from a place on, at each step and at each of the last bytes and the end.
func steppedCuts(a rawAnswer, reset bool, from, step, last int) []ending {
	var all []ending
	end := len(a.rest())
	for cut := from; cut <= end; cut++ {
		if cut%step == 0 || cut >= end-last {
			all = append(all, ending{cut, reset})
		}
	}
	return all
}

// faults collects the endings at which a check failed.
type faults struct {
	lines []string
	tried int
}

func (f *faults) add(format string, args ...any) {
	f.lines = append(f.lines, fmt.Sprintf(format, args...))
}

// report fails the test with the first faults.
func (f *faults) report(t *testing.T) {
	t.Helper()
	assert.Assert(t, f.tried > 0)
	if n := len(f.lines); n > 0 {
		t.Errorf("%d faults in %d endings:\n%s", n, f.tried, strings.Join(f.lines[:min(n, 4)], "\n"))
	}
}

// endingFixture is a gateway in front of two servers that end their answers as the test says.
type endingFixture struct {
	*fixture
	server *endingServer
	count  int
}

func newEndingFixture(t *testing.T, next http.HandlerFunc) *endingFixture {
	s := &endingServer{next: next}
	return &endingFixture{fixture: newFixture(t, s.ServeHTTP, s.ServeHTTP), server: s}
}

// get sends a request whose answer has an ending, and returns its id and what the caller got.
func (f *endingFixture) get(method, path string, a rawAnswer, e ending) (string, reply) {
	f.t.Helper()
	f.server.set(a, e)
	f.count++
	id := fmt.Sprint("r", f.count)
	req, err := http.NewRequest(method, f.url+path, strings.NewReader("hello"))
	assert.NilError(f.t, err)
	req.Close = true // the transport repeats some requests on kept connections
	for name, value := range map[string]string{"Id": id, "Program": "p", "Budget": "100000000"} {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		<-f.outcomes
		return id, reply{broken: true}
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	<-f.outcomes
	return id, reply{status: resp.StatusCode, body: string(body), header: resp.Header, broken: err != nil}
}

// kept returns whether a turn is stored as finished, its output, and whether its tokens were released.
func (f *endingFixture) kept(id string) (bool, string, bool) {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	released := slices.Contains(f.ledger.released, id)
	if record := f.ledger.turns[id]; record != nil {
		return true, string(record.Output), released
	}
	return false, "", released
}

// settled returns whether a stream without retention is counted as complete.
func (f *endingFixture) settled(id string) bool {
	f.ledger.mu.Lock()
	defer f.ledger.mu.Unlock()
	return slices.ContainsFunc(f.ledger.settled, func(r *turn.Record) bool { return r.ID == id })
}

// wholeEvents returns the part of a stream up to its last empty line.
func wholeEvents(s, blank string) string {
	if i := strings.LastIndex(s, blank); i >= 0 {
		return s[:i+len(blank)]
	}
	return ""
}

// checkStream sends one request to a stream route without resumption and checks what the caller got.
func (f *endingFixture) checkStream(faults *faults, path string, a rawAnswer, e ending, blank string) {
	f.t.Helper()
	faults.tried++
	allowed := a.streamAllowed(e, blank)
	id, got := f.get(http.MethodPost, path, a, e)
	kept, _, released := f.kept(id)
	where := fmt.Sprintf("framed by %s, %s", a.framing, e)
	whole := got.status == http.StatusOK && !got.broken
	if !whole && !got.broken && got.status != http.StatusBadGateway {
		faults.add("%s: status %d", where, got.status)
	}
	if whole && allowed == mustBeBroken {
		faults.add("%s: taken for complete with %.60q, kept %t", where, got.body, kept)
	}
	if !whole && allowed == mustBeWhole {
		faults.add("%s: broken off, status %d", where, got.status)
	}
	if whole && got.body != a.delivered(e.cut) {
		faults.add("%s: body %.60q", where, got.body)
	}
	if got.status == http.StatusOK && (wholeEvents(got.body, blank) != got.body || !strings.HasPrefix(a.delivered(e.cut), got.body)) {
		faults.add("%s: the caller got part of an event: %.60q", where, got.body)
	}
	if strings.HasPrefix(path, "/turn/") && kept != whole {
		faults.add("%s: kept %t, complete for the caller %t", where, kept, whole)
	}
	if strings.HasPrefix(path, "/stream/") && f.settled(id) != whole {
		faults.add("%s: counted as complete %t, complete for the caller %t", where, !whole, whole)
	}
	if released {
		faults.add("%s: tokens released although the turn ran", where)
	}
	if n := len(f.server.attempts(id)); n != 1 {
		faults.add("%s: run %d times", where, n)
	}
}

// checkStreams checks all endings that are of interest.
func checkStreams(t *testing.T, path string, a rawAnswer, blank string, interest func(rawAnswer, ending) bool) {
	t.Helper()
	f := newEndingFixture(t, nil)
	var found faults
	for _, reset := range []bool{false, true} {
		for _, e := range everyCut(a, reset) {
			if interest(a, e) {
				f.checkStream(&found, path, a, e, blank)
			}
		}
	}
	found.report(t)
}

func anyEnding(rawAnswer, ending) bool   { return true }
func isReset(_ rawAnswer, e ending) bool { return e.reset }

// closedInside selects closes inside an event.
func closedInside(a rawAnswer, e ending) bool {
	return !e.reset && e.cut > 0 && !strings.HasSuffix(a.delivered(e.cut), "\n\n")
}

// closedBetween selects closes between two events.
func closedBetween(a rawAnswer, e ending) bool {
	return !e.reset && strings.HasSuffix(a.delivered(e.cut), "\n\n")
}

func closedBeforeAny(_ rawAnswer, e ending) bool { return !e.reset && e.cut == 0 }
