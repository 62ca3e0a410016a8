package peerlink_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// Echo is an RPC service that counts its calls.
type Echo struct {
	calls   atomic.Int64
	release chan struct{}
}

// Say returns text, once released.
func (e *Echo) Say(text *string, reply *string) error {
	e.calls.Add(1)
	if e.release != nil {
		<-e.release
	}
	*reply = *text
	return nil
}

// Refuse returns an error.
func (e *Echo) Refuse(*string, *string) error { return errors.New("refused") }

func serve(t *testing.T, fabric *memnet.Fabric, e *Echo) {
	l, err := fabric.Listen("server", "server:1")
	assert.NilError(t, err)
	go func() { _ = peerlink.Serve(l, map[string]any{"Echo": e}) }()
	t.Cleanup(func() {
		fabric.Kill("server")
		time.Sleep(time.Minute) // timers of closed connections run out
	})
}

// dialer returns a dialer of a host that counts its dials.
func dialer(fabric *memnet.Fabric, host string, dials *atomic.Int64) network.DialContext {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		dials.Add(1)
		return fabric.Dial(ctx, host, address)
	}
}

func say(t *testing.T, link *peerlink.Link, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	text := "hello"
	reply, err := peerlink.Call[string](ctx, link, "Echo.Say", &text)
	if err == nil {
		assert.Equal(t, *reply, text)
	}
	return err
}

func TestConnectionIsReusedAndReestablished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		serve(t, fabric, &Echo{})
		var dials atomic.Int64
		link := peerlink.NewPool(dialer(fabric, "client", &dials)).LinkTo("server:1")
		for range 3 {
			assert.NilError(t, say(t, link, time.Second))
		}
		assert.Equal(t, dials.Load(), int64(1))
		fabric.Partition("client", "server")
		assert.ErrorIs(t, say(t, link, time.Second), peerlink.ErrUnreachable)
		fabric.Heal("client", "server")
		time.Sleep(time.Second)
		assert.NilError(t, say(t, link, time.Second))
	})
}

func TestServiceErrorKeepsTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		serve(t, fabric, &Echo{})
		var dials atomic.Int64
		link := peerlink.NewPool(dialer(fabric, "client", &dials)).LinkTo("server:1")
		text := ""
		_, err := peerlink.Call[string](context.Background(), link, "Echo.Refuse", &text)
		assert.ErrorContains(t, err, "refused")
		assert.Assert(t, !errors.Is(err, peerlink.ErrUnreachable))
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, dials.Load(), int64(1))
	})
}

// TestFallbackWhenDirectPathIsSilent checks that a call is sent over the fallback path too, that later ones use it
// first, and that the direct path is tried again later.
func TestFallbackWhenDirectPathIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		e := &Echo{}
		serve(t, fabric, e)
		var direct, fallback atomic.Int64
		link := peerlink.NewPool(dialer(fabric, "client", &direct)).WithFallback(dialer(fabric, "helper", &fallback), 100*time.Millisecond).LinkTo("server:1")
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, fallback.Load(), int64(0))
		fabric.Freeze("client")
		began := time.Now()
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		began = time.Now()
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, fallback.Load(), int64(1))
		fabric.Thaw("client")
		time.Sleep(3 * time.Second)
		e.calls.Store(0)
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, e.calls.Load(), int64(1))
		assert.Equal(t, fallback.Load(), int64(1))
	})
}

func TestFallbackWhenDirectPathIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		serve(t, fabric, &Echo{})
		fabric.Partition("client", "server")
		var direct, fallback atomic.Int64
		link := peerlink.NewPool(dialer(fabric, "client", &direct)).WithFallback(dialer(fabric, "helper", &fallback), time.Hour).LinkTo("server:1")
		assert.NilError(t, say(t, link, time.Second))
		fabric.Partition("helper", "server")
		assert.ErrorIs(t, say(t, link, time.Second), peerlink.ErrUnreachable)
	})
}

// TestLateReplyIsDiscarded checks that a reply that arrives after its call has ended does not affect the next call.
func TestLateReplyIsDiscarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		e := &Echo{release: make(chan struct{})}
		serve(t, fabric, e)
		var dials atomic.Int64
		link := peerlink.NewPool(dialer(fabric, "client", &dials)).LinkTo("server:1")
		assert.ErrorIs(t, say(t, link, time.Second), peerlink.ErrUnreachable)
		close(e.release)
		assert.NilError(t, say(t, link, time.Second))
	})
}
