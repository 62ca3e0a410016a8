package httpapi_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/httpapi"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// clientOf returns a client of an object API that gives every request the same answer without a length.
func clientOf(t *testing.T, answer string) *httpapi.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", answer)
		_ = conn.Close()
	}))
	t.Cleanup(server.Close)
	client := httpapi.New(server.Listener.Addr().String(), httpclient.DialTCP)
	t.Cleanup(client.Close)
	return client
}

// TestCutAnswerIsNone guards against a list or a watch answer that was cut anywhere, or is empty, and is taken for a
// complete one, and against a write that counts as acknowledged by it.
func TestCutAnswerIsNone(t *testing.T) {
	const answer = `{"version":7,"objects":[{"key":"a/1","version":3,"value":"eA=="}],"events":[]}`
	for length := range answer {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			client := clientOf(t, answer[:length])
			_, err := client.List(t.Context(), "a/")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Wait(t.Context(), []string{"a/"}, 1, time.Millisecond)
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Get(t.Context(), "a/1")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Put(t.Context(), "a/1", []byte("x"), 2)
			assert.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
		})
	}
}

// TestAnswerWithoutAVersionIsNone guards against a JSON value that is no list, watch answer or object and is taken for
// an empty one.
func TestAnswerWithoutAVersionIsNone(t *testing.T) {
	for _, answer := range []string{"{}", "null"} {
		t.Run(answer, func(t *testing.T) {
			client := clientOf(t, answer)
			_, err := client.List(t.Context(), "a/")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Wait(t.Context(), []string{"a/"}, 1, time.Millisecond)
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Get(t.Context(), "a/1")
			assert.ErrorIs(t, err, objectapi.ErrUnavailable)
			_, err = client.Put(t.Context(), "a/1", []byte("x"), 2)
			assert.ErrorIs(t, err, objectapi.ErrUnknownOutcome)
		})
	}
}
