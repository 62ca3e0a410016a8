package faultmatrix

import (
	"context"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/client"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// TestBadInput: each invalid request is rejected with its code, as not run, and changes nothing.
func TestBadInput(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 2, 1)
		changed := c.put(&rookpassv1.Object{
			Key: &rookpassv1.ObjectKey{Kind: rookpassv1.Kind_KIND_ORGANISATION, Name: "other"},
			Spec: &rookpassv1.Object_Organisation{Organisation: &rookpassv1.Organisation{
				SecretHashes: []string{callerHash}, Definitions: []string{"agent"},
			}},
		})
		// A daemon that does not know an organisation yet rejects its callers as unauthenticated.
		c.await(2*time.Second, "the organisation is known to every daemon", func() bool { return c.configInForce(changed) })
		a := newAgent(c, c.nodes[0])
		id, err := a.start("key", 0)
		assert.NilError(t, err)
		_, err = a.call(modelCall(id, 1))
		assert.NilError(t, err)
		ended, err := a.start("ended", 0)
		assert.NilError(t, err)
		assert.NilError(t, a.end(ended))
		assert.NilError(t, a.readAll())
		before, served := proto.CloneOf(a.history.programs[id]), len(c.engines[0].Served())+len(c.engines[1].Served())
		edited := func(edit func(*rookpassv1.CallRequest)) *rookpassv1.CallRequest {
			call := modelCall(id, 2)
			edit(call)
			return call
		}
		for _, row := range []struct {
			name   string
			caller *client.Client
			call   *rookpassv1.CallRequest
			code   verdict.Code
		}{
			{"wrong secret", c.connect(c.nodes[0], organisation, rootSecret), modelCall(id, 2), verdict.Unauthenticated},
			{"unknown organisation", c.connect(c.nodes[0], "nobody", callerSecret), modelCall(id, 2), verdict.Unauthenticated},
			{"another organisation's program", c.connect(c.nodes[1], "other", callerSecret), modelCall(id, 2), verdict.NotFound},
			{"a program that does not exist", a.client, modelCall("0123", 1), verdict.NotFound},
			{"no sequence", a.client, edited(func(r *rookpassv1.CallRequest) { r.Sequence = 0 }), verdict.Invalid},
			{"no request id", a.client, edited(func(r *rookpassv1.CallRequest) { r.RequestId = "" }), verdict.Invalid},
			{"no kind", a.client, edited(func(r *rookpassv1.CallRequest) { r.Kind = 0 }), verdict.Invalid},
			{"no target", a.client, edited(func(r *rookpassv1.CallRequest) { r.Target = "" }), verdict.Invalid},
			{"oversize input", a.client, edited(func(r *rookpassv1.CallRequest) { r.Input = make([]byte, 300<<10) }), verdict.Invalid},
			{"a model that the definition does not name", a.client, edited(func(r *rookpassv1.CallRequest) { r.Target = "x" }), verdict.Forbidden},
			{"a gap in the sequence", a.client, modelCall(id, 3), verdict.OutOfOrder},
			{"a sequence that is used up", a.client, edited(func(r *rookpassv1.CallRequest) { r.Sequence = 1 }), verdict.OutOfOrder},
			{"a call after the end", a.client, modelCall(ended, 1), verdict.Ended},
			{"more tokens than the budget", a.client, edited(func(r *rookpassv1.CallRequest) {
				r.Kind, r.Target, r.ChildBudgetTokens = rookpassv1.CallKind_CALL_KIND_SUB_AGENT, "agent", 2_000_000
			}), verdict.BudgetExhausted},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
			_, err := row.caller.Call(ctx, row.call, nil)
			cancel()
			assert.Check(t, verdict.Of(err).Code == row.code, "%s: %v", row.name, err)
			assert.Check(t, verdict.Of(err).Verdict == verdict.NotRun, "%s: %v", row.name, err)
		}
		_, err = a.client.Caller.StartProgram(a.client.Context(t.Context()), &rookpassv1.StartProgramRequest{Definition: "none", IdempotencyKey: "k"})
		assert.Equal(t, verdict.FromGRPC(err).Code, verdict.NotFound)
		assert.NilError(t, a.readAll())
		assert.Assert(t, proto.Equal(before, a.history.programs[id]))
		assert.Equal(t, len(c.engines[0].Served())+len(c.engines[1].Served()), served)
	})
}
