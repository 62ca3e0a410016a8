package backend_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/backend"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// serveRaw answers every request with the same bytes and closes the connection. It returns its address.
func serveRaw(t *testing.T, answer string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					_, _ = conn.Write([]byte(answer))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

const (
	streamHead  = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	textEvents  = "data: {\"index\":0,\"text\":\"ab\"}\n\ndata: {\"index\":1,\"text\":\"cd\"}\n\n"
	usageAtTwo  = "data: {\"index\":2,\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n"
	usageAtFour = "data: {\"index\":4,\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":4}}\n\n"
)

func complete(t *testing.T, answer string) (string, error) {
	client := backend.NewEngine(serveRaw(t, answer), httpclient.DialTCP, time.Minute)
	t.Cleanup(client.Close)
	var text strings.Builder
	_, err := client.Complete(t.Context(), backend.CompletionRequest{Prompt: "p", MaxTokens: 8, RequestID: "r"}, func(b []byte) { text.Write(b) })
	return text.String(), err
}

// TestStreamWithoutLengthNeedsItsUsageEvent guards against a stream of an engine that ends with its connection and is
// taken for complete although its last event is missing or cut.
func TestStreamWithoutLengthNeedsItsUsageEvent(t *testing.T) {
	whole := textEvents + usageAtTwo
	for length := range len(whole) - 1 {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			text, err := complete(t, streamHead+whole[:length])
			assert.Assert(t, err != nil, "complete with %q", text)
			assert.Equal(t, verdict.Of(err).Verdict, verdict.MayHaveRun)
		})
	}
	text, err := complete(t, streamHead+whole)
	assert.NilError(t, err)
	assert.Equal(t, text, "abcd")
}

// TestUsageEventNeedsItsEmptyLine guards against a stream that ends inside its usage event and is taken for complete.
func TestUsageEventNeedsItsEmptyLine(t *testing.T) {
	text, err := complete(t, streamHead+textEvents+strings.TrimSuffix(usageAtTwo, "\n"))
	assert.Assert(t, err != nil, "complete with %q", text)
	assert.Equal(t, verdict.Of(err).Verdict, verdict.MayHaveRun)
}

// TestUsageEventBehindAGapIsIncomplete guards against an answer that lacks events before its usage event and is taken
// for complete.
func TestUsageEventBehindAGapIsIncomplete(t *testing.T) {
	text, err := complete(t, streamHead+textEvents+usageAtFour)
	assert.Assert(t, err != nil, "complete with %q", text)
}

// TestServiceAnswerThatEndsEarlyIsNone guards against an answer of a service that was broken off and is taken for
// complete. One without a length is complete at the end of its connection.
func TestServiceAnswerThatEndsEarlyIsNone(t *testing.T) {
	for _, row := range []struct {
		name, answer string
		complete     bool
	}{
		{"without length", "HTTP/1.1 200 OK\r\n\r\nbooked", true},
		{"length not reached", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nbooked", false},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nbooked\r\n", false},
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(fmt.Sprint(row.name, "/idempotent=", idempotent), func(t *testing.T) {
				client := backend.NewService(serveRaw(t, row.answer), httpclient.DialTCP, time.Minute)
				t.Cleanup(client.Close)
				answer, err := client.Send(t.Context(), "/book", []byte("x"), "r", idempotent)
				if row.complete {
					assert.NilError(t, err)
					assert.Equal(t, string(answer.Body), "booked")
					return
				}
				assert.Assert(t, err != nil, "complete with %q", answer.Body)
				assert.Equal(t, verdict.Of(err).Verdict, verdict.MayHaveRun)
			})
		}
	}
}
