package peerlink_test

import (
	"context"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// openConns is a connection that is counted while it is open.
type openConns struct {
	net.Conn
	open *atomic.Int64
	once atomic.Bool
}

func (c *openConns) Close() error {
	if c.once.CompareAndSwap(false, true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

func countOpen(fabric *memnet.Fabric, host string, open *atomic.Int64) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		conn, err := fabric.Dial(ctx, host, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &openConns{Conn: conn, open: open}, nil
	}
}

// TestIdleConnectionsAreClosed checks that a connection is kept for a while after its last call, and then closed.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		var open atomic.Int64
		set := peerlink.NewPool(countOpen(fabric, "client", &open))
		e := &Echo{}
		serve(t, fabric, e)
		link := set.LinkTo("server:1")
		assert.NilError(t, say(t, link, time.Second))
		time.Sleep(2 * time.Second)
		assert.Equal(t, open.Load(), int64(1), "the connection is kept for the next turn of a program")
		assert.NilError(t, say(t, link, time.Second))
		time.Sleep(3 * time.Second)
		assert.Equal(t, open.Load(), int64(1), "the idle time counts from the last call")
		time.Sleep(3 * time.Second)
		assert.Equal(t, open.Load(), int64(0))
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, open.Load(), int64(1))
	})
}

// TestLongCallKeepsItsConnection checks that the connection of a pending long call is not closed as idle.
func TestLongCallKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		var open atomic.Int64
		e := &Echo{release: make(chan struct{})}
		serve(t, fabric, e)
		link := peerlink.NewPool(countOpen(fabric, "client", &open)).LinkTo("server:1")
		go func() {
			time.Sleep(20 * time.Second)
			close(e.release)
		}()
		assert.NilError(t, say(t, link, time.Minute))
		assert.Equal(t, open.Load(), int64(1))
	})
}

// BenchmarkConnection measures the memory held for an incoming connection: stacks, buffers and gob types.
func BenchmarkConnection(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = listener.Close() }()
	go func() { _ = peerlink.Serve(listener, map[string]any{"Echo": &Echo{}}) }()
	held := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	before := held()
	var links []*peerlink.Link
	text := "hello"
	for b.Loop() {
		link := peerlink.NewPool(new(net.Dialer).DialContext).LinkTo(listener.Addr().String())
		_, err := peerlink.Call[string](context.Background(), link, "Echo.Say", &text)
		assert.NilError(b, err)
		links = append(links, link)
	}
	b.ReportMetric(float64(held()-before)/float64(len(links)), "held-B/op")
}

// Bulk is an RPC service with replies of any size.
type Bulk struct{}

// Say returns size bytes.
func (Bulk) Say(size *int, reply *[]byte) error {
	*reply = make([]byte, *size)
	return nil
}

// TestConnectionIsReplacedAfterALargeReply checks that a connection with large buffers is replaced, and that pending
// calls still end on it.
func TestConnectionIsReplacedAfterALargeReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		slow := &Slow{takes: time.Second}
		listener, err := fabric.Listen("server", "server:1")
		assert.NilError(t, err)
		go func() { _ = peerlink.Serve(listener, map[string]any{"Bulk": Bulk{}, "Echo": slow}) }()
		t.Cleanup(func() {
			fabric.Kill("server")
			time.Sleep(time.Minute) // timers of closed connections run out
		})
		var dials, open atomic.Int64
		counted := countOpen(fabric, "client", &open)
		link := peerlink.NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
			dials.Add(1)
			return counted(ctx, network, address)
		}).LinkTo("server:1")
		bulk := func(size int) {
			_, err := peerlink.Call[[]byte](t.Context(), link, "Bulk.Say", &size)
			assert.NilError(t, err)
		}
		bulk(1 << 10)
		bulk(1 << 10)
		assert.Equal(t, dials.Load(), int64(1))
		ended := make(chan error, 1)
		go func() { ended <- say(t, link, 3*time.Second) }()
		synctest.Wait()
		bulk(1 << 20)
		bulk(1 << 10)
		assert.Equal(t, dials.Load(), int64(2))
		assert.Equal(t, open.Load(), int64(2), "a call is pending on the first")
		assert.NilError(t, <-ended)
		synctest.Wait()
		assert.Equal(t, open.Load(), int64(1))
	})
}
