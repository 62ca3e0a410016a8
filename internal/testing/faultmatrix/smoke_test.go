package faultmatrix

import (
	"context"
	"runtime/debug"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// memoryLimit is the soft memory limit of the test process in bytes, for many clusters in parallel.
const memoryLimit = 2 << 30

func TestMain(m *testing.M) {
	testbubble.Prepare()
	debug.SetMemoryLimit(memoryLimit)
	m.Run()
}

func TestProgramSurvivesKillOfOwner(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		caller := c.client(c.nodes[0])
		program, err := caller.Caller.StartProgram(caller.Context(ctx), &rookpassv1.StartProgramRequest{Definition: "agent", IdempotencyKey: "k"})
		assert.NilError(t, err)
		call := func(sequence uint64) *rookpassv1.CallRequest {
			return &rookpassv1.CallRequest{
				ProgramId: program.Id, Sequence: sequence, RequestId: string(rune('a' + sequence)), Input: []byte("hello "),
				Kind: rookpassv1.CallKind_CALL_KIND_MODEL, Target: "m",
			}
		}
		first, err := caller.CallUntil(ctx, call(1), nil)
		assert.NilError(t, err)
		assert.Equal(t, first.Final.Length, int64(32))
		owner := c.ownerOf(program.Id)
		caller = c.client(c.nextAlive(owner))
		began := time.Now()
		c.kill(owner)
		second, err := caller.CallUntil(ctx, call(2), nil)
		assert.NilError(t, err)
		t.Logf("second call served %v after the kill of the owner", time.Since(began))
		assert.Equal(t, second.Final.PromptTokens, first.Final.PromptTokens+first.Final.CompletionTokens+1)
	})
}
