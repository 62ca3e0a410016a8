package faultmatrix

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/objects/objectapi/apitest"
	"github.com/rookpass/rookpass/internal/testing/testbubble"
)

// TestLongOutage: the object API is down for an hour. The answer of a call in progress is delayed until it is durable,
// new calls are rejected as not run, there is no takeover, and afterwards the program has its complete history.
func TestLongOutage(t *testing.T) {
	testbubble.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, 1)
		setAPIDelay(c, normalDelay)
		a := newAgent(c, c.nodes[0])
		id, err := a.start("key", 0)
		assert.NilError(t, err)
		_, err = a.call(modelCall(id, 1))
		assert.NilError(t, err)
		owner := c.ownerOf(id)
		undo := setAPIFault(apitest.Down, c.nodes...)
		ctx, cancel := context.WithTimeout(t.Context(), attemptTimeout)
		_, err = a.client.Call(ctx, modelCall(id, 2), nil)
		cancel()
		assert.Equal(t, verdict.Of(err).Verdict, verdict.MayHaveRun, "the call ran but is not durable: %v", err)
		<-time.After(time.Hour)
		began := time.Now()
		ctx, cancel = context.WithTimeout(t.Context(), attemptTimeout)
		_, err = a.client.Call(ctx, modelCall(id, 3), nil)
		cancel()
		assert.Equal(t, verdict.Of(err).Verdict, verdict.NotRun, "%v", err)
		assert.Assert(t, time.Since(began) < time.Second, "rejection took too long: %v", time.Since(began))
		assert.Equal(t, c.ownerOf(id), owner)
		undo()
		_, err = a.call(modelCall(id, 2))
		assert.NilError(t, err)
		_, err = a.call(modelCall(id, 3))
		assert.NilError(t, err)
		assert.NilError(t, a.readAll())
		assert.Equal(t, len(a.history.programs[id].History), 3)
		assert.Equal(t, len(check(c, a.history)), 0)
		assert.Equal(t, c.ownerOf(id), owner, "ownership changed after the end of the outage")
	})
}
