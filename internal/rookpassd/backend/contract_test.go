package backend_test

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/backend"
	"github.com/rookpass/rookpass/internal/testing/standin"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

func TestMain(m *testing.M) {
	testbubble.Prepare()
	m.Run()
}

// serve runs a stand-in server in memory and returns its dial function.
func serve(t *testing.T, handler fasthttp.RequestHandler) func(string) (net.Conn, error) {
	listener := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: handler, NoDefaultDate: true}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-done
	})
	return func(string) (net.Conn, error) { return listener.Dial() }
}

func refused(string) (net.Conn, error) { return nil, &net.OpError{Op: "dial"} }

func TestEngineContract(t *testing.T) {
	const idle = 10 * time.Second
	for _, row := range []struct {
		name    string
		faults  standin.EngineFaults
		dead    bool
		fencing uint64
		// tokens is the number of tokens that must be received; code and verdict are those of the expected error.
		tokens  int
		code    verdict.Code
		verdict verdict.Verdict
		within  time.Duration
	}{
		{name: "whole answer", tokens: 8, within: time.Second},
		{name: "stream cut once is resumed", faults: standin.EngineFaults{CutAfter: 4}, tokens: 8, within: time.Second},
		{name: "stream cut again and again", faults: standin.EngineFaults{CutAfter: 2}, tokens: 6,
			code: verdict.Unavailable, verdict: verdict.MayHaveRun, within: time.Second},
		{name: "stream cut and forgotten", faults: standin.EngineFaults{CutAfter: 4, ForgetStreams: true}, tokens: 4,
			code: verdict.Unavailable, verdict: verdict.MayHaveRun, within: time.Second},
		{name: "refusal", faults: standin.EngineFaults{Refuse: true}, code: verdict.Overloaded, verdict: verdict.NotRun},
		{name: "no connection", dead: true, code: verdict.Unavailable, verdict: verdict.NotRun},
		{name: "hang", faults: standin.EngineFaults{Hang: true}, code: verdict.Unavailable, verdict: verdict.MayHaveRun, within: idle + time.Second},
		{name: "old fencing token is refused", fencing: 7, code: verdict.NotOwner, verdict: verdict.NotRun},
	} {
		t.Run(row.name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				engine := standin.NewEngine(standin.EngineOptions{NextToken: 10 * time.Millisecond, ChecksFencing: true})
				dial := serve(t, engine.Handler())
				if row.dead {
					dial = refused
				}
				client := backend.NewEngine("127.0.0.1:1", dial, idle)
				t.Cleanup(client.Close)
				request := backend.CompletionRequest{Prompt: "hello there", MaxTokens: 8, RequestID: "p/r", HoldTag: "p", FencingToken: 5}
				if row.fencing > 0 {
					newer := request
					newer.RequestID, newer.FencingToken = "p/other", row.fencing
					_, err := client.Complete(t.Context(), newer, func([]byte) {})
					assert.NilError(t, err)
				}
				engine.SetFaults(row.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
				defer cancel()
				var text strings.Builder
				began := time.Now()
				usage, err := client.Complete(ctx, request, func(chunk []byte) { text.Write(chunk) })
				assert.Assert(t, time.Since(began) <= row.within, "took %v", time.Since(began))
				assert.Equal(t, text.Len(), row.tokens*4)
				if row.code == "" {
					assert.NilError(t, err)
					assert.Equal(t, usage, backend.Usage{PromptTokens: 3, CompletionTokens: 8})
					return
				}
				assert.Equal(t, verdict.Of(err).Code, row.code, "%v", err)
				assert.Equal(t, verdict.Of(err).Verdict, row.verdict)
			})
		})
	}
}

func TestEngineHolds(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		engine := standin.NewEngine(standin.EngineOptions{})
		client := backend.NewEngine("127.0.0.1:1", serve(t, engine.Handler()), time.Minute)
		t.Cleanup(client.Close)
		_, err := client.Complete(t.Context(), backend.CompletionRequest{Prompt: "abcd", MaxTokens: 1, RequestID: "r", HoldTag: "p.1"}, func([]byte) {})
		assert.NilError(t, err)
		held, err := client.ListHolds(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, held, []backend.Hold{{Tag: "p.1", Tokens: 2}})
		exported, err := client.ExportCache(t.Context(), "p.1")
		assert.NilError(t, err)
		assert.NilError(t, client.Release(t.Context(), "p.1"))
		assert.NilError(t, client.Release(t.Context(), "p.1"), "second release of the same tag")
		_, err = client.ExportCache(t.Context(), "p.1")
		assert.Assert(t, err != nil)
		assert.NilError(t, client.ImportCache(t.Context(), "p.1", exported))
		held, err = client.ListHolds(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, len(held), 1)
	})
}

func TestServiceContract(t *testing.T) {
	for _, row := range []struct {
		name       string
		faults     standin.ServiceFaults
		dead       bool
		idempotent bool
		status     int
		code       verdict.Code
		verdict    verdict.Verdict
		effects    int
	}{
		{name: "answer", status: 200, effects: 1},
		{name: "an error status is an answer", faults: standin.ServiceFaults{Status: 500}, status: 500, effects: 1},
		{name: "refusal", faults: standin.ServiceFaults{Refuse: true}, code: verdict.Overloaded, verdict: verdict.NotRun},
		{name: "no connection", dead: true, code: verdict.Unavailable, verdict: verdict.NotRun},
		{name: "answer lost", faults: standin.ServiceFaults{DropAnswer: true}, code: verdict.Unavailable, verdict: verdict.MayHaveRun, effects: 1},
		{name: "answer lost, idempotent", idempotent: true, faults: standin.ServiceFaults{DropAnswer: true},
			code: verdict.Unavailable, verdict: verdict.MayHaveRun, effects: 1},
		{name: "hang", faults: standin.ServiceFaults{HangMillis: 60000}, code: verdict.Unavailable, verdict: verdict.MayHaveRun, effects: 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			testbubble.Run(t, func(t *testing.T) {
				service := &standin.Service{}
				dial := serve(t, service.Handler())
				if row.dead {
					dial = refused
				}
				client := backend.NewService("127.0.0.1:1", dial, time.Minute)
				t.Cleanup(client.Close)
				service.SetFaults(row.faults)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				answer, err := client.Send(ctx, backend.ToolPath("book"), []byte("x"), "r", row.idempotent)
				assert.Equal(t, len(service.Effects()), row.effects)
				if row.code == "" {
					assert.NilError(t, err)
					assert.Equal(t, answer.Status, row.status)
					return
				}
				assert.Equal(t, verdict.Of(err).Code, row.code, "%v", err)
				assert.Equal(t, verdict.Of(err).Verdict, row.verdict)
			})
		})
	}
}
