package workload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/call"
	"github.com/rookpass/rookpass/platform"
	"github.com/rookpass/rookpass/platform/platformtest"
)

// TestBrokenOffAnswersThatLookCompleteAreViolations: a caller whose broken-off answer is framed as complete must not go
// unnoticed, even if the answer ends between two events or only its end is missing.
func TestBrokenOffAnswersThatLookCompleteAreViolations(t *testing.T) {
	for name, c := range map[string]struct {
		answer func(id, body string) string
		send   func(*Caller)
		want   string
	}{
		"turn ends inside an event": {
			func(id, _ string) string { return eventText(id, 1, eventsPerTurn-1) + "id: 4\nda" }, sendTestTurn, "wrong answer"},
		"turn ends between two events": {
			func(id, _ string) string { return eventText(id, 1, eventsPerTurn-1) }, sendTestTurn, "wrong answer"},
		"turn without events": {func(string, string) string { return "" }, sendTestTurn, "wrong answer"},
		"turn without its last blank line": {
			func(id, _ string) string { return strings.TrimSuffix(eventText(id, 1, eventsPerTurn), "\n") }, sendTestTurn, "wrong answer"},
		"turn whose server did not complete it": {
			func(id, _ string) string { return eventText(id, 1, eventsPerTurn) }, sendTestTurn, "but not yet for any"},
		"resumable turn ends inside an event": {
			func(_, body string) string { return eventText(body, 1, 2) + "id: 3\nda" }, sendTestResumable, "as if complete"},
		"resumable turn ends between two events": {
			func(_, body string) string { return eventText(body, 1, 2) }, sendTestResumable, "as if complete"},
		"call ends early": {
			func(id, _ string) string { return toolAnswer(id)[:100] }, func(c *Caller) { c.sendToolCall("/tool/", false) }, "wrong answer"},
		"call whose server did not complete it": {
			func(id, _ string) string { return toolAnswer(id) }, func(c *Caller) { c.sendToolCall("/tool/", false) }, "but not yet for any"},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				body, _ := io.ReadAll(r.Body)
				id := platformtest.RequestID(r.Header)
				platformtest.Sign(w.Header(), id)
				_, _ = io.WriteString(w, c.answer(id, string(body)))
			}))
			defer front.Close()
			checker := NewChecker()
			caller := NewCaller([]string{front.Listener.Addr().String()}, checker, 1, nil)
			defer caller.Close()
			c.send(caller)
			violations := strings.Join(checker.Violations(), "; ")
			assert.Assert(t, strings.Contains(violations, c.want), "violations: %q", violations)
		})
	}
}

func sendTestTurn(c *Caller) { c.sendTurn(&branch{program: "p"}) }

func sendTestResumable(c *Caller) {
	c.sendResumable(&resumableTurn{program: "q", input: "question", budget: tokenBudget(false)})
}

// TestServersEndAnswersAsTheirFaultSays: a fault that does not reach the wire would test nothing. It reads the answers
// of a model and a tool server with net/http, which tells broken-off framings from complete ones, but takes the close of
// an unframed answer for its end.
func TestServersEndAnswersAsTheirFaultSays(t *testing.T) {
	for fault, e := range endings {
		for index, service := range []string{modelService, toolService} {
			t.Run(fmt.Sprintf("%s/%s", fault, service), func(t *testing.T) {
				t.Parallel()
				checker := NewChecker()
				server := NewServer(index, "", checker)
				server.SetFault(fault)
				backend := httptest.NewServer(server)
				defer backend.Close()
				for i := range 20 {
					id := fmt.Sprint("t", i)
					checker.RecordSent(id, "", false)
					body, chunked, length, err := get(t, backend.Listener.Addr(), server, id)
					whole := eventText(id, 1, eventsPerTurn)
					want := e
					if service == toolService {
						whole, want = toolAnswer(id), e.forPlain()
					}
					assert.Assert(t, strings.HasPrefix(whole, body), "%q", body)
					assert.Equal(t, body == whole, want.cut == uncut, "%q", body)
					assert.Equal(t, strings.HasSuffix(body, "\n\n"), service == modelService && want.cut != insideEvent, "%q", body)
					assert.Equal(t, err == nil, want.cut == uncut || want.framing == byConnection && !want.reset, "%v", err)
					assert.Equal(t, chunked, want.framing == byChunks)
					assert.Equal(t, length >= 0, want.framing == byLength)
					checker.RecordComplete(id)
					assert.Equal(t, len(checker.Violations()) > 0, want.cut != uncut, "%v", checker.Violations())
				}
			})
		}
	}
}

// get sends a request to a server and returns its answer's body and framing.
func get(t *testing.T, address net.Addr, server *Server, id string) (body string, chunked bool, length int64, err error) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+address.String()+"/turn/"+id, nil)
	assert.NilError(t, err)
	r.Header = platformtest.Call{ID: id, Deadline: time.Second}.Header()
	platform.HeaderCodec{}.AddForwardInfo(r.Header, call.ForwardInfo{Server: server.Entry().ID.Server})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), len(resp.TransferEncoding) > 0, resp.ContentLength, err
}
