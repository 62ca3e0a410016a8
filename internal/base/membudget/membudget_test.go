package membudget_test

import (
	"errors"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
)

func newBudget() *membudget.Budget {
	return membudget.New(membudget.Limits{Total: 1000, SmallBytes: 50, ByClass: map[membudget.Class]int64{membudget.RequestBodies: 500}})
}

// TestReserveForSmallRequests guards against large requests that take all memory, so that small ones are refused.
func TestReserveForSmallRequests(t *testing.T) {
	b := newBudget()
	large := b.NewHolding()
	assert.NilError(t, large.Reserve(membudget.RequestBodies, 500))
	assert.NilError(t, large.Reserve(membudget.Responses, 250))
	var exceeded *membudget.ExceededError
	assert.Assert(t, errors.As(b.NewHolding().Reserve(membudget.Responses, 51), &exceeded))
	assert.DeepEqual(t, *exceeded, membudget.ExceededError{Class: membudget.Responses, Requested: 51, Held: 750, Limit: 750})
	small := b.NewHolding()
	assert.NilError(t, small.Reserve(membudget.RequestBodies, 50), "neither the class limit nor the large requests' ceiling applies")
	assert.Assert(t, small.Reserve(membudget.Responses, 1) != nil, "it is no longer small")
	for range 2 {
		assert.NilError(t, b.NewHolding().Reserve(membudget.Responses, 50))
	}
	assert.Assert(t, b.NewHolding().Reserve(membudget.Responses, 1) != nil, "the rest is for requests that run")
	large.SetRunning()
	assert.NilError(t, large.Reserve(membudget.Responses, 100))
	assert.Assert(t, large.Reserve(membudget.Responses, 1) != nil, "requests that run must not exceed the limit either")
	assert.Equal(t, b.Total(), int64(1000))
	large.Close()
	assert.Equal(t, b.Total(), int64(150))
	assert.Equal(t, b.Peak(), int64(1000))
}

// TestClassLimit checks that a class with its own limit is bounded by it while the rest of the memory is free, and that
// memory that could not be reserved is not counted.
func TestClassLimit(t *testing.T) {
	b := newBudget()
	assert.NilError(t, b.Reserve(membudget.RequestBodies, 450, membudget.Large))
	err := b.Reserve(membudget.RequestBodies, 51, membudget.Large)
	assert.Error(t, err, "memory limit reached: 51 bytes requested for bodies, 450 of 500 bytes held")
	assert.NilError(t, b.Reserve(membudget.RequestBodies, 50, membudget.Large))
	assert.Equal(t, b.Held(membudget.RequestBodies), int64(500))
}

// TestChargeMayExceedLimit checks that memory that is held anyway counts, and excludes reservations until it is gone.
func TestChargeMayExceedLimit(t *testing.T) {
	b := newBudget()
	b.Charge(membudget.Connections, 1100)
	assert.Assert(t, b.Reserve(membudget.Responses, 1, membudget.Running) != nil)
	b.Charge(membudget.Connections, -1100)
	assert.NilError(t, b.Reserve(membudget.Responses, 1, membudget.Running))
}

// TestConcurrentHoldings guards against memory that stays counted after all requests have ended.
func TestConcurrentHoldings(t *testing.T) {
	b := newBudget()
	var wg sync.WaitGroup
	for range 50 {
		wg.Go(func() {
			for n := range int64(100) {
				h := b.NewHolding()
				_ = h.Reserve(membudget.RequestBodies, n)
				_ = h.Reserve(membudget.Responses, n)
				h.Release(membudget.Responses, 200) // at most what is held
				h.Close()
				h.Close()
			}
		})
	}
	wg.Wait()
	assert.Equal(t, b.Total(), int64(0))
	assert.Assert(t, b.Peak() <= b.Limit())
}
