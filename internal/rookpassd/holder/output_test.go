package holder_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"go.opentelemetry.io/otel/trace/noop"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/objects/objectapi/memapi"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// writingRunner is a runner whose engine generates a fixed text in pieces.
type writingRunner struct {
	holder.Runner
	piece  []byte
	pieces int
}

func (w *writingRunner) Model(_ context.Context, _ holder.ModelCall, text func([]byte)) (holder.ModelResult, error) {
	for range w.pieces {
		text(w.piece)
	}
	return holder.ModelResult{Backend: "e", PromptTokens: 1, CompletionTokens: int64(w.pieces)}, nil
}

// noBudget reserves any number of tokens.
type noBudget struct{}

func (noBudget) Reserve(context.Context, string, int64) (func(int64), error) {
	return func(int64) {}, nil
}

// TestOutputAboveTheLimitIsNotCompleteWhenCut guards against an answer of an engine that is cut at the limit of a call's
// output, and stored and delivered as complete.
func TestOutputAboveTheLimitIsNotCompleteWhenCut(t *testing.T) {
	const pieceBytes = 64 << 10
	for _, row := range []struct {
		name   string
		pieces int
	}{
		{"at the limit", 8},
		{"above the limit", 9},
	} {
		t.Run(row.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			writer := journal.NewWriter(memapi.New(), "d.1", rate.NewLimiter(rate.Inf, 1), journal.DefaultOptions())
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				_ = writer.Run(ctx)
			}()
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
				Journal: writer, Config: store, Runner: &writingRunner{piece: bytes.Repeat([]byte("x"), pieceBytes), pieces: row.pieces},
				Spending: noBudget{}, Tracer: noop.NewTracerProvider().Tracer(""), Partitions: 1, Incarnation: "d.1",
			})
			assert.NilError(t, h.Recover(ctx, 0, 1, map[string]*program.Program{}))
			execute := func(req *peerv1.ExecuteRequest) (length int, final *rookpassv1.CallFinal, err error) {
				req.Organisation, req.ProgramId = "o", "p"
				err = h.Execute(ctx, req, func(event *peerv1.ExecuteEvent) error {
					length += len(event.GetCall().GetChunk().GetData())
					final = event.GetCall().GetFinal()
					return nil
				})
				return length, final, err
			}
			_, _, err = execute(&peerv1.ExecuteRequest{Request: &peerv1.ExecuteRequest_Start{Start: &rookpassv1.StartProgramRequest{Definition: "d"}}})
			assert.NilError(t, err)
			length, final, err := execute(&peerv1.ExecuteRequest{Request: &peerv1.ExecuteRequest_Call{Call: &rookpassv1.CallRequest{
				ProgramId: "p", RequestId: "r", Sequence: 1, Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Target: "m", MaxTokens: 1 << 17,
			}}})
			if err == nil && final.GetFailure() == "" {
				assert.Equal(t, length, row.pieces*pieceBytes, "verdict %v", final.GetVerdict())
			}
			cancel()
			<-stopped
		})
	}
}
