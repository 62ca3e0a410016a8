package program_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

func call(sequence uint64, id string) *rookpassv1.CallRequest {
	return &rookpassv1.CallRequest{Sequence: sequence, RequestId: id, Kind: rookpassv1.CallKind_CALL_KIND_MODEL}
}

func started() *program.Program {
	p := program.New("p")
	p.Apply(&peerv1.Record{Index: 1, Change: &peerv1.Record_Started{Started: &peerv1.Started{
		Organisation: "o", Definition: "d", BudgetTokens: 100, ReservedTokens: 50,
	}}}, 0)
	return p
}

func finish(p *program.Program, index, sequence uint64, id string, cost int64) {
	p.Apply(&peerv1.Record{Index: index, Change: &peerv1.Record_Finished{Finished: &peerv1.Finished{
		Call: call(sequence, id), Output: []byte("out"), CostTokens: cost,
	}}}, 0)
}

func TestCheckCall(t *testing.T) {
	p := started()
	finish(p, 2, 1, "a", 10)
	for _, row := range []struct {
		name string
		call *rookpassv1.CallRequest
		code verdict.Code
		// repeat is set when the stored answer is expected.
		repeat bool
	}{
		{"the next one runs", call(2, "b"), "", false},
		{"a repeat gets the stored answer", call(1, "a"), "", true},
		{"a repeat under another sequence is refused", call(2, "a"), verdict.OutOfOrder, false},
		{"a sequence that is used up is refused", call(1, "b"), verdict.OutOfOrder, false},
		{"a gap is refused", call(3, "b"), verdict.OutOfOrder, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			before := proto.CloneOf(p.Snapshot())
			finished, err := p.CheckCall(row.call)
			assert.Equal(t, finished != nil, row.repeat)
			if row.code != "" {
				assert.Equal(t, verdict.Of(err).Code, row.code)
				assert.Equal(t, verdict.Of(err).Verdict, verdict.NotRun)
			}
			assert.Assert(t, proto.Equal(before, p.Snapshot()), "CheckCall changed the state")
		})
	}
}

func TestCallAfterEnd(t *testing.T) {
	p := started()
	finish(p, 2, 1, "a", 10)
	p.Apply(&peerv1.Record{Index: 3, Change: &peerv1.Record_Ended{Ended: &peerv1.Ended{Reason: "done"}}}, 7)
	_, err := p.CheckCall(call(2, "b"))
	assert.Equal(t, verdict.Of(err).Code, verdict.Ended)
	finished, err := p.CheckCall(call(1, "a"))
	assert.NilError(t, err)
	assert.Equal(t, string(finished.Output), "out")
}

// TestReplayProperty checks that records applied twice, or again after a snapshot at any point, give the same state
// and that each finished call is in the history once.
func TestReplayProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var records []*peerv1.Record
		add := func(record *peerv1.Record) {
			record.Index = uint64(len(records) + 1)
			records = append(records, record)
		}
		add(&peerv1.Record{Change: &peerv1.Record_Started{Started: &peerv1.Started{BudgetTokens: 1000, ReservedTokens: 100}}})
		sequence := uint64(1)
		for range rapid.IntRange(1, 20).Draw(r, "records") {
			id := fmt.Sprint(sequence)
			switch rapid.IntRange(0, 4).Draw(r, "kind") {
			case 0:
				add(&peerv1.Record{Change: &peerv1.Record_Intended{Intended: &peerv1.Intended{Call: call(sequence, id), ReservedTokens: 200}}})
			case 1:
				add(&peerv1.Record{Change: &peerv1.Record_Abandoned{Abandoned: &peerv1.Abandoned{RequestId: id, CostTokens: 3}}})
			case 2:
				add(&peerv1.Record{Change: &peerv1.Record_TakenOver{TakenOver: &peerv1.TakenOver{SpentTokens: 300}}})
			default:
				add(&peerv1.Record{Change: &peerv1.Record_Finished{Finished: &peerv1.Finished{Call: call(sequence, id), CostTokens: 5}}})
				if rapid.Bool().Draw(r, "again") {
					add(proto.CloneOf(records[len(records)-1]))
				}
				sequence++
			}
		}
		replayed := program.New("p")
		for _, record := range records {
			replayed.Apply(record, 0)
			replayed.Apply(record, 0)
		}
		cut := rapid.IntRange(0, len(records)).Draw(r, "cut")
		part := program.New("p")
		for _, record := range records[:cut] {
			part.Apply(record, 0)
		}
		resumed := program.FromSnapshot(proto.CloneOf(part.Snapshot()))
		for _, record := range records {
			resumed.Apply(record, 0)
		}
		if !proto.Equal(replayed.Snapshot(), resumed.Snapshot()) {
			r.Fatalf("resumed %v, whole %v", resumed.Snapshot(), replayed.Snapshot())
		}
		for i, finished := range replayed.Snapshot().History {
			if finished.Call.Sequence != uint64(i+1) {
				r.Fatalf("history has sequence %d at position %d", finished.Call.Sequence, i+1)
			}
		}
	})
}

func TestWorstCaseCoversWhatEnginesCount(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		p := started()
		for i := range rapid.IntRange(0, 10).Draw(r, "turns") {
			input := make([]byte, rapid.IntRange(0, 500).Draw(r, "input"))
			most := int64(rapid.IntRange(1, 50).Draw(r, "max"))
			worst := p.MaxCost(input, most)
			// The simulated engine counts one token per four bytes, rounded up.
			prompt := int64(len(p.Prompt(input))+3) / 4
			if prompt+most > worst {
				r.Fatalf("turn %d cost %d tokens, above the maximum cost %d", i, prompt+most, worst)
			}
			p.Apply(&peerv1.Record{Index: uint64(i + 2), Change: &peerv1.Record_Finished{Finished: &peerv1.Finished{
				Call:         &rookpassv1.CallRequest{Sequence: uint64(i + 1), RequestId: fmt.Sprint(i), Input: input},
				Output:       make([]byte, most*4),
				PromptTokens: prompt, CompletionTokens: most,
			}}}, 0)
		}
	})
}

func TestPartitionsKeepFamiliesTogether(t *testing.T) {
	root := program.RootID("o", "k")
	child := program.ChildID(program.ChildID(root, 3), 1)
	assert.Equal(t, program.PartitionOf(root, 4096), program.PartitionOf(child, 4096))
	assert.Assert(t, root != program.RootID("o2", "k"))
}
