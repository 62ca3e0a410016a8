package callers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/base/metrics"
	"github.com/rookpass/rookpass/internal/decide/connlimit"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

const address = "front:1"

// fixture is a server whose connections are in a set, on a network in memory and in virtual time.
type fixture struct {
	t      *testing.T
	fabric *memnet.Fabric
	set    *Set
	memory *membudget.Budget
	mu     sync.Mutex
	limits connlimit.Limits
	// proceed lets requests to /wait end.
	proceed chan struct{}
	dials   int
}

func play(t *testing.T, maxConns int, memory int64, test func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{t: t, fabric: memnet.New(), memory: membudget.New(membudget.Limits{Total: 100 * memory, SmallBytes: 1,
			ByClass: map[membudget.Class]int64{membudget.Heads: memory}}), proceed: make(chan struct{}),
			limits: connlimit.Limits{HeadBytes: 16 << 10, HeadTime: 3 * time.Second, IdleTime: 15 * time.Second}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		f.set = New(Options{Name: "callers", MaxConns: maxConns, Memory: f.memory, Observer: metrics.New(), Log: log, Limits: func() connlimit.Limits {
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.limits
		}})
		listener, err := f.fabric.Listen("front", address)
		assert.NilError(t, err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil || !Received(r) {
				panic(http.ErrAbortHandler)
			}
			if r.URL.Path == "/wait" {
				<-f.proceed
			}
			_, _ = io.WriteString(w, "ok")
		})}
		attached := f.set.Attach(server, listener)
		go func() { _ = server.Serve(attached) }()
		ctx, stop := context.WithCancel(context.Background())
		go func() { _ = f.set.Run(ctx) }()
		test(f)
		stop()
		_ = server.Close()
		time.Sleep(time.Minute)
		assert.Equal(t, f.set.Open(), 0)
		assert.Equal(t, f.memory.Total(), int64(0), "memory of heads is still held")
	})
}

// peer is a client's side of a connection.
type peer struct {
	f *fixture
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial() *peer {
	f.dials++
	conn, err := f.fabric.Dial(context.Background(), fmt.Sprint("client-", f.dials), address)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { _ = conn.Close() })
	return &peer{f, conn, bufio.NewReader(conn)}
}

func (p *peer) send(text string) {
	p.f.t.Helper()
	_, err := io.WriteString(p, text)
	assert.NilError(p.f.t, err)
	synctest.Wait()
}

// status returns the status of the next response; 0 if the connection is closed before it.
func (p *peer) status() int {
	resp, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: a\r\n"

func fields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String()
}

// TestHeadOverLimitIsRefused guards against limits of the configuration that are not used, on later requests too.
func TestHeadOverLimitIsRefused(t *testing.T) {
	play(t, 10, 10<<20, func(f *fixture) {
		p := f.dial()
		for range 3 {
			p.send(get + "A: " + strings.Repeat("x", 16000) + "\r\n\r\n")
			assert.Equal(t, p.status(), http.StatusOK)
		}
		go p.send(get + "A: " + strings.Repeat("x", 30000))
		assert.Equal(t, p.status(), http.StatusRequestHeaderFieldsTooLarge)
		assert.Equal(t, p.status(), 0)
	})
}

// TestLimitsChangeForOpenConnections guards against connections that keep the limits they were accepted with.
func TestLimitsChangeForOpenConnections(t *testing.T) {
	play(t, 10, 10<<20, func(f *fixture) {
		p := f.dial()
		p.send(get + "\r\n")
		assert.Equal(t, p.status(), http.StatusOK)
		f.mu.Lock()
		f.limits.HeadBytes = 100
		f.mu.Unlock()
		go p.send(get + "A: " + strings.Repeat("x", 6000) + "\r\n\r\n")
		assert.Equal(t, p.status(), http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestSlowHeadsAndIdleConnectionsAreClosed guards against clients that hold connections for ever, and against a limit that
// clients inside it meet: the time of a head begins with its first byte.
func TestSlowHeadsAndIdleConnectionsAreClosed(t *testing.T) {
	play(t, 10, 10<<20, func(f *fixture) {
		inside, idle := f.dial(), f.dial()
		for range 3 {
			time.Sleep(12 * time.Second)
			inside.send(get)
			time.Sleep(2900 * time.Millisecond)
			inside.send("\r\n")
			assert.Equal(t, inside.status(), http.StatusOK)
		}
		assert.Equal(t, idle.status(), 0)
		slow := f.dial()
		slow.send(get)
		time.Sleep(4 * time.Second)
		assert.Equal(t, slow.status(), 0)
		time.Sleep(16 * time.Second)
		assert.Equal(t, f.set.Open(), 0)
	})
}

// TestConnectionsGiveWayInOrder guards against a crowd that takes all connections, and against requests that are cut off
// for its sake.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	play(t, 5, 10<<20, func(f *fixture) {
		running, body, head, first, second := f.dial(), f.dial(), f.dial(), f.dial(), f.dial()
		running.send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
		body.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nx")
		head.send(get)
		closed := func(p *peer) bool {
			_ = p.SetReadDeadline(time.Now().Add(time.Millisecond))
			_, err := p.reader.Peek(1)
			return err == io.EOF
		}
		var more []*peer
		for i, order := range []*peer{first, second} {
			more = append(more, f.dial())
			more[i].send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.Assert(t, closed(order), "connection %d", i)
		}
		for i, order := range []*peer{head, body} {
			assert.Assert(t, !closed(order), "connection %d", i+2)
			more = append(more, f.dial())
			more[i+2].send("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.Assert(t, closed(order), "connection %d", i+2)
		}
		refused := f.dial() // requests run on all connections
		time.Sleep(time.Second)
		assert.Assert(t, closed(refused))
		close(f.proceed)
		_ = running.SetReadDeadline(time.Time{})
		assert.Equal(t, running.status(), http.StatusOK)
		for _, p := range more {
			assert.Equal(t, p.status(), http.StatusOK)
		}
	})
}

// TestPipelinedRequestsGiveWayToNewConnections guards against clients that hold their connections with requests without end.
func TestPipelinedRequestsGiveWayToNewConnections(t *testing.T) {
	play(t, 1, 10<<20, func(f *fixture) {
		greedy := f.dial()
		greedy.send(strings.Repeat("GET /wait HTTP/1.1\r\nHost: a\r\n\r\n", 3))
		ordinary := f.dial()
		ordinary.send(get + "\r\n")
		f.proceed <- struct{}{}
		assert.Equal(t, greedy.status(), http.StatusOK)
		assert.Equal(t, ordinary.status(), http.StatusOK)
		assert.Equal(t, greedy.status(), 0)
	})
}

// TestLargeHeadsGiveWayToOthers guards against heads that take memory which no budget counts, and against a crowd of large
// heads that leaves none for others.
func TestLargeHeadsGiveWayToOthers(t *testing.T) {
	play(t, 100, 1<<20, func(f *fixture) {
		for range 50 {
			f.dial().send(get + fields(1500))
			assert.Assert(t, f.memory.Held(membudget.Heads) <= 1<<20, "%d bytes are held", f.memory.Held(membudget.Heads))
		}
		ordinary, large := f.dial(), f.dial()
		ordinary.send(get + "\r\n")
		assert.Equal(t, ordinary.status(), http.StatusOK)
		large.send(get + fields(1500) + "\r\n")
		assert.Equal(t, large.status(), http.StatusOK)
	})
}

// TestHeadThatDoesNotFitIsRefusedTruly guards against an untrue refusal: a request that is refused for its head has not run.
func TestHeadThatDoesNotFitIsRefusedTruly(t *testing.T) {
	play(t, 10, 200<<10, func(f *fixture) {
		p := f.dial()
		go p.send(get + fields(1600) + "\r\n")
		assert.Equal(t, p.status(), http.StatusServiceUnavailable)
		assert.Equal(t, p.status(), 0)
	})
}

// TestPipelinedRequestsAreNotTakenForHeads guards against bodies that are counted as heads after a pipelined request, and
// against heads that are not followed because they began in the buffer of the request before.
func TestPipelinedRequestsAreNotTakenForHeads(t *testing.T) {
	play(t, 10, 10<<20, func(f *fixture) {
		p := f.dial()
		post := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 40000\r\n\r\n"
		p.send(get + "\r\n" + post)
		assert.Equal(t, p.status(), http.StatusOK)
		p.send(strings.Repeat("x\r\n\r\n", 8000))
		assert.Equal(t, p.status(), http.StatusOK)
		p.send(get + "\r\n" + get + "B: c")
		assert.Equal(t, p.status(), http.StatusOK)
		go p.send(fields(8000))
		assert.Equal(t, p.status(), http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestEmptyLineBeforeRequestIsNoHead guards against an empty line behind a body that hides the head after it.
func TestEmptyLineBeforeRequestIsNoHead(t *testing.T) {
	play(t, 10, 10<<20, func(f *fixture) {
		p := f.dial()
		p.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx\r\n")
		assert.Equal(t, p.status(), http.StatusOK)
		p.send(get + "\r\n")
		assert.Equal(t, p.status(), http.StatusOK)
		p.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
		assert.Equal(t, p.status(), http.StatusOK)
		go p.send("\r\n" + get + fields(8000))
		assert.Equal(t, p.status(), http.StatusRequestHeaderFieldsTooLarge)
	})
}
