package holder_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// promptRunner is a runner whose engine generates its outputs one after the other, then the last again and again. Each
// generation ends with err.
type promptRunner struct {
	holder.Runner
	outputs [][]byte
	err     error
	prompts []string
}

func (p *promptRunner) Model(_ context.Context, call holder.ModelCall, text func([]byte)) (holder.ModelResult, error) {
	text(p.outputs[min(len(p.prompts), len(p.outputs)-1)])
	p.prompts = append(p.prompts, string(call.Prompt))
	return holder.ModelResult{Backend: "e", PromptTokens: 3, CompletionTokens: 4}, p.err
}

// startedProgram starts the program "p" of the organisation "o" and returns a function that sends it a model call.
func startedProgram(t *testing.T, runner holder.Runner, log logrus.FieldLogger) func(*rookpassv1.CallRequest) ([]byte, *rookpassv1.CallFinal) {
	ctx, cancel := context.WithCancel(t.Context())
	writer := journal.NewWriter(memapi.New(), "d.1", rate.NewLimiter(rate.Inf, 1), journal.DefaultOptions())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = writer.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	definition, err := protojson.Marshal(&rookpassv1.Object{Spec: &rookpassv1.Object_Definition{
		Definition: &rookpassv1.Definition{BudgetTokens: 1 << 30, Models: []string{"m"}},
	}})
	assert.NilError(t, err)
	key, known := config.Key(&rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_DEFINITION, Name: "d"})
	assert.Assert(t, known)
	store := config.NewStore()
	store.Reset([]objectapi.Object{{Key: key, Version: 1, Value: definition}}, 1)
	store.Confirm(1, time.Now())
	h := holder.New(ctx, holder.Dependencies{
		Journal: writer, Config: store, Runner: runner, Spending: noBudget{}, Tracer: noop.NewTracerProvider().Tracer(""),
		Log: log, Partitions: 1, Incarnation: "d.1",
	})
	assert.NilError(t, h.Recover(ctx, 0, 1, map[string]*program.Program{}))
	start := &rookpassv1.StartProgramRequest{Definition: "d"}
	assert.NilError(t, h.Execute(ctx, &peerv1.ExecuteRequest{
		Organisation: "o", ProgramId: "p", Request: &peerv1.ExecuteRequest_Start{Start: start},
	}, func(*peerv1.ExecuteEvent) error { return nil }))
	return func(call *rookpassv1.CallRequest) (output []byte, final *rookpassv1.CallFinal) {
		call.ProgramId, call.Kind, call.Target, call.MaxTokens = "p", rookpassv1.CallKind_CALL_KIND_MODEL, "m", 1<<10
		assert.NilError(t, h.Execute(ctx, &peerv1.ExecuteRequest{
			Organisation: "o", ProgramId: "p", Request: &peerv1.ExecuteRequest_Call{Call: call},
		}, func(event *peerv1.ExecuteEvent) error {
			output = append(output, event.GetCall().GetChunk().GetData()...)
			final = event.GetCall().GetFinal()
			return nil
		}))
		return output, final
	}
}

// TestTruncatedOutputIsNeitherStoredNorRetried guards against the cut output of a call in a replay or in the prompt of a
// later call, against a second attempt, which would exceed the limit too, and against a cut that no log shows.
func TestTruncatedOutputIsNeitherStoredNorRetried(t *testing.T) {
	const limit = 512 << 10
	for _, row := range []struct {
		name string
		err  error
		// spent is the cost of the call in tokens: 7 as counted by the engine, or the maximum, which is 1 token for each
		// byte of the input and max_tokens.
		spent int64
	}{
		{"generation ended", nil, 7},
		{"generation failed", verdict.Unknown(verdict.Unavailable, time.Millisecond, "engine is gone"), 1<<10 + 5},
	} {
		t.Run(row.name, func(t *testing.T) {
			log, logged := logtest.NewNullLogger()
			runner := &promptRunner{outputs: [][]byte{bytes.Repeat([]byte("x"), limit+10), []byte("ok")}, err: row.err}
			call := startedProgram(t, runner, log)
			first := &rookpassv1.CallRequest{RequestId: "r1", Sequence: 1, Input: []byte("input")}
			for _, attempt := range []string{"call", "retry"} {
				output, final := call(first)
				assert.Equal(t, final.Verdict, rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN, attempt)
				assert.Equal(t, final.Failure, "the output exceeds the limit of 524288 bytes by 10 bytes", attempt)
				assert.Equal(t, final.Length, int64(0), attempt)
				assert.Equal(t, final.SpentTokens, row.spent, attempt)
				if attempt == "retry" {
					assert.Equal(t, len(output), 0)
				}
			}
			assert.Equal(t, len(runner.prompts), 1)
			assert.Equal(t, len(logged.AllEntries()), 1)
			assert.Equal(t, logged.LastEntry().Data["event"], "call.output_too_large")
			assert.Equal(t, logged.LastEntry().Data["dropped_bytes"], 10)

			runner.err = nil
			output, final := call(&rookpassv1.CallRequest{RequestId: "r2", Sequence: 2, Input: []byte("more")})
			assert.Equal(t, string(output), "ok")
			assert.Equal(t, final.Verdict, rookpassv1.Verdict_VERDICT_RAN)
			assert.Equal(t, runner.prompts[1], "inputmore")
		})
	}
}
