package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network"
	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// probe probes the server at an address with a new pool.
func probe(t *testing.T, dial network.DialContext, address string) (upstream.Liveness, *upstream.Pool) {
	pool := upstream.NewPool(dial, headerCodec{}, 10)
	return pool.Probe(t.Context(), upstream.Endpoint{Address: address}, 0), pool
}

// TestProbeTellsEndedServersFromOthers guards against servers that are taken for ended since the network failed or an answer
// was broken off, and against ended ones that are taken for alive since their listener closed last.
func TestProbeTellsEndedServersFromOthers(t *testing.T) {
	dial := (&net.Dialer{}).DialContext
	hold := func(conn net.Conn, r *bufio.Reader) { _, _ = r.ReadByte() }
	alive := server(t, hold)
	got, pool := probe(t, dial, alive)
	assert.Equal(t, got, upstream.Alive)
	assert.Assert(t, pool.HasIdle(upstream.Endpoint{Address: alive}, true), "the connection of the probe is not kept")

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := listener.Addr().String()
	assert.NilError(t, listener.Close())
	got, _ = probe(t, dial, ended)
	assert.Equal(t, got, upstream.Ended)

	ending, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { // the connections of a process may be closed before its listener
		conn, err := ending.Accept()
		if err == nil {
			_ = conn.Close()
		}
		_ = ending.Close()
	}()
	got, _ = probe(t, dial, ending.Addr().String())
	assert.Equal(t, got, upstream.Ended)

	for _, failure := range []error{syscall.EHOSTUNREACH, syscall.ETIMEDOUT, context.DeadlineExceeded} {
		got, _ = probe(t, func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: failure}
		}, ended)
		assert.Equal(t, got, upstream.Unknown)
	}
	silent := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	began := time.Now()
	got, _ = probe(t, silent, ended)
	assert.Equal(t, got, upstream.Unknown)
	assert.Assert(t, time.Since(began) < time.Second, "a probe of a silent server has no bound")
}

// TestHeldConnectionTellsOfItsServer guards against servers that are taken for alive although they don't answer, and against waiting for
// the end of an answer that has none.
func TestHeldConnectionTellsOfItsServer(t *testing.T) {
	for name, c := range map[string]struct {
		answer         string
		endless, ended bool
		kept           bool
	}{
		"answers":                {answer: "HTTP/1.1 503 Unavailable\r\nContent-Length: 2\r\n\r\nno", kept: true},
		"answers and closes":     {answer: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"},
		"answers endlessly":      {answer: "HTTP/1.1 200 OK\r\n\r\n", endless: true},
		"answers without a head": {answer: "HTTP/1.1 102 Processing\r\n"},
		"ends":                   {ended: true},
		"is silent":              {},
	} {
		t.Run(strings.ReplaceAll(name, " ", "-"), func(t *testing.T) {
			address := server(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err != nil || c.ended {
					return
				}
				_, err := io.WriteString(conn, c.answer)
				for c.endless && err == nil {
					_, err = io.WriteString(conn, "more")
				}
				_, _ = r.ReadByte()
			})
			pool, to := upstream.NewPool((&net.Dialer{}).DialContext, headerCodec{}, 10), upstream.Endpoint{Address: address}
			held := pool.Hold(t.Context(), to, 0)
			assert.Assert(t, held.Open())
			answer := held.Ask("/health")
			if c.answer != "" {
				assert.NilError(t, <-answer)
			}
			if c.ended {
				assert.Assert(t, <-answer != nil)
			}
			assert.Equal(t, held.Usable(t.Context(), 100*time.Millisecond), c.kept)
			held.Release()
			assert.Equal(t, pool.HasIdle(to, true), c.kept)
			if !c.kept {
				assert.Assert(t, pool.Hold(t.Context(), to, 1) != nil, "the connection is counted still")
			}
		})
	}
}
