package holder_test

import (
	"context"
	"testing"

	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
	"github.com/rookpass/rookpass/internal/rookpassd/journal"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// noJournal rejects all entries. Recovering a partition without programs writes no record.
type noJournal struct{}

func (noJournal) Append(*journal.Entry) error { return journal.ErrSealed }
func (noJournal) Full() bool                  { return false }
func (noJournal) Position() uint64            { return 0 }

func newHolder() *holder.Holder {
	return holder.New(context.Background(), holder.Dependencies{
		Journal: noJournal{}, Config: config.NewStore(), Tracer: noop.NewTracerProvider().Tracer(""), Partitions: 2, Incarnation: "d.1",
	})
}

// TestOnlyANewerEpochReplacesAPartition guards against a second claim under the same epoch, from a stale cluster
// view, that replaces a shard in service.
func TestOnlyANewerEpochReplacesAPartition(t *testing.T) {
	h := newHolder()
	none := map[string]*program.Program{}
	assert.NilError(t, h.Recover(t.Context(), 1, 5, none))
	for _, row := range []struct {
		name  string
		epoch uint64
		taken bool
	}{
		{"the same epoch", 5, false},
		{"an older epoch", 4, false},
		{"a newer epoch", 6, true},
	} {
		err := h.Recover(t.Context(), 1, row.epoch, none)
		assert.Equal(t, err == nil, row.taken, row.name)
	}
	assert.Assert(t, verdict.IsCode(h.Adopt(1, 6, nil), verdict.Conflict))
	epoch, owned := h.Owns(1)
	assert.Assert(t, owned && epoch == 6)
}

func TestNotOwnerIsNotRun(t *testing.T) {
	err := newHolder().Execute(t.Context(), &peerv1.ExecuteRequest{Organisation: "o", ProgramId: "p"}, nil)
	assert.Equal(t, verdict.Of(err).Code, verdict.NotOwner)
	assert.Equal(t, verdict.Of(err).Verdict, verdict.NotRun)
}
