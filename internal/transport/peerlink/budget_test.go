package peerlink_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// Slow is an RPC service with delayed replies.
type Slow struct{ takes time.Duration }

// Say returns text after the delay.
func (s *Slow) Say(text *string, reply *string) error {
	time.Sleep(s.takes)
	*reply = *text
	return nil
}

// TestHedgedCallsAreBounded checks that most calls are sent once while all replies are late, as over a full link.
func TestHedgedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		listener, err := fabric.Listen("server", "server:1")
		assert.NilError(t, err)
		go func() { _ = peerlink.Serve(listener, map[string]any{"Echo": &Slow{takes: 300 * time.Millisecond}}) }()
		t.Cleanup(func() {
			fabric.Kill("server")
			time.Sleep(time.Minute) // timers of closed connections run out
		})
		var direct, fallback atomic.Int64
		second := dialer(fabric, "helper", &fallback)
		set := peerlink.NewPool(dialer(fabric, "client", &direct)).WithFallback(second, 100*time.Millisecond)
		const calls = 2000
		var work sync.WaitGroup
		over := atomic.Int64{}
		for range calls {
			work.Go(func() {
				if say(t, set.LinkTo("server:1"), time.Second) == nil {
					over.Add(1)
				}
			})
			time.Sleep(2 * time.Millisecond)
		}
		work.Wait()
		assert.Equal(t, over.Load(), int64(calls))
		sent := set.HedgedCalls()
		assert.Assert(t, sent > 0 && sent <= 60+calls/10, "%d of %d calls were hedged", sent, calls)
	})
}
