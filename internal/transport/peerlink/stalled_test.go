package peerlink_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// Stalled is an RPC service that keeps each request until it is released.
type Stalled struct {
	held    atomic.Int64
	release chan struct{}
}

// Keep holds a request.
func (s *Stalled) Keep(data *[]byte, _ *int) error {
	s.held.Add(int64(len(*data)))
	<-s.release
	return nil
}

// TestStalledServerHoldsBoundedRequests guards against a daemon that can't keep up and collects the requests of others until
// its VM is out of memory, though their callers have given up long ago.
func TestStalledServerHoldsBoundedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const smallestMemory, size = 112 << 20, 128 << 10
		fabric := memnet.New()
		listener, err := fabric.Listen("server", "server:1")
		assert.NilError(t, err)
		stalled := &Stalled{release: make(chan struct{})}
		server, err := peerlink.NewServer(map[string]any{"Stalled": stalled}, smallestMemory/10)
		assert.NilError(t, err)
		go func() { _ = server.Serve(listener) }()
		data := make([]byte, size)
		var callers sync.WaitGroup
		for range smallestMemory/size + 100 {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				link := peerlink.NewPool(dialer(fabric, "client", new(atomic.Int64))).LinkTo("server:1")
				_, _ = peerlink.Call[int](ctx, link, "Stalled.Keep", &data) // nobody answers
			})
		}
		callers.Wait()
		held := stalled.held.Load()
		close(stalled.release)
		time.Sleep(time.Minute) // connections are closed as idle
		fabric.Kill("server")
		time.Sleep(time.Minute)
		t.Logf("%.1f MB are held", float64(held)/(1<<20))
		assert.Assert(t, held < smallestMemory/5, "%d MB of requests are held whose callers have left", held>>20)
	})
}

// Size returns the size of a request at once.
func (s *Stalled) Size(data *[]byte, reply *int) error {
	*reply = len(*data)
	return nil
}

// TestRequestBudgetIsReturned guards against requests that take from the limit for good: those that are answered, that no
// service has, and whose caller has left.
func TestRequestBudgetIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		listener, err := fabric.Listen("server", "server:1")
		assert.NilError(t, err)
		stalled := &Stalled{release: make(chan struct{})}
		server, err := peerlink.NewServer(map[string]any{"Stalled": stalled}, 192<<10)
		assert.NilError(t, err)
		go func() { _ = server.Serve(listener) }()
		data := make([]byte, 64<<10)
		newLink := func() *peerlink.Link {
			return peerlink.NewPool(dialer(fabric, "client", new(atomic.Int64))).LinkTo("server:1")
		}
		call := func(link *peerlink.Link, method string) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			got, err := peerlink.Call[int](ctx, link, method, &data)
			assert.Check(t, err != nil || *got == len(data))
			return err
		}
		link := newLink()
		for range 10 {
			assert.NilError(t, call(link, "Stalled.Size"))
			assert.ErrorContains(t, call(link, "Stalled.Unknown"), "can't find method")
			assert.ErrorContains(t, call(link, "Unknown.Size"), "can't find service")
		}
		for range 3 {
			assert.ErrorIs(t, call(newLink(), "Stalled.Keep"), peerlink.ErrUnreachable)
		}
		assert.ErrorIs(t, call(newLink(), "Stalled.Size"), peerlink.ErrUnreachable, "the limit is reached")
		close(stalled.release)
		assert.NilError(t, call(newLink(), "Stalled.Size"))
		time.Sleep(time.Minute) // connections are closed as idle
		fabric.Kill("server")
		time.Sleep(time.Minute)
	})
}
