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

// openConns counts the connections that a dialer has made and that are still open.
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

// TestConnectionsAtRestAreClosed: a daemon that calls each of many others now and then keeps connections to those alone that
// it has called of late.
func TestConnectionsAtRestAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		var open atomic.Int64
		set := peerlink.NewSet(countOpen(fabric, "client", &open))
		e := &Echo{}
		serve(t, fabric, e)
		link := set.LinkTo("server:1")
		assert.NilError(t, say(t, link, time.Second))
		time.Sleep(2 * time.Second)
		assert.Equal(t, open.Load(), int64(1), "a program's next turn finds the connection")
		assert.NilError(t, say(t, link, time.Second))
		time.Sleep(3 * time.Second)
		assert.Equal(t, open.Load(), int64(1), "it rests from its last call on")
		time.Sleep(3 * time.Second)
		assert.Equal(t, open.Load(), int64(0))
		assert.NilError(t, say(t, link, time.Second))
		assert.Equal(t, open.Load(), int64(1))
	})
}

// TestLongCallIsNoRest: a watch that waits for long keeps its connection.
func TestLongCallIsNoRest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fabric := memnet.New()
		var open atomic.Int64
		e := &Echo{release: make(chan struct{})}
		serve(t, fabric, e)
		link := peerlink.NewSet(countOpen(fabric, "client", &open)).LinkTo("server:1")
		go func() {
			time.Sleep(20 * time.Second)
			close(e.release)
		}()
		assert.NilError(t, say(t, link, time.Minute))
		assert.Equal(t, open.Load(), int64(1))
	})
}

// BenchmarkConnection tells what a daemon holds for a connection that another one has made: goroutines' stacks, buffers and
// what the encoding knows of its types.
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
		link := peerlink.NewSet(new(net.Dialer).DialContext).LinkTo(listener.Addr().String())
		_, err := peerlink.Call[string](context.Background(), link, "Echo.Say", &text)
		assert.NilError(b, err)
		links = append(links, link)
	}
	b.ReportMetric(float64(held()-before)/float64(len(links)), "held-B/op")
}

// Bulk is an RPC service whose answers are as large as asked for.
type Bulk struct{}

// Say answers with so many bytes.
func (Bulk) Say(size *int, reply *[]byte) error {
	*reply = make([]byte, *size)
	return nil
}

// TestConnectionThatCarriedALargeAnswerGivesWay: both ends would keep buffers of that size for as long as it is used. Calls that
// are under way on it end there.
func TestConnectionThatCarriedALargeAnswerGivesWay(t *testing.T) {
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
		link := peerlink.NewSet(func(ctx context.Context, network, address string) (net.Conn, error) {
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
		assert.Equal(t, open.Load(), int64(2), "a call is under way on the first")
		assert.NilError(t, <-ended)
		synctest.Wait()
		assert.Equal(t, open.Load(), int64(1))
	})
}
