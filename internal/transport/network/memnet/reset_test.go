package memnet_test

import (
	"context"
	"errors"
	"io"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

// TestResetIsNoOrdinaryEnd: a reset that reads like a close would hide that an answer was broken off. The data sent
// before must arrive in both cases.
func TestResetIsNoOrdinaryEnd(t *testing.T) {
	for seconds, want := range map[int]error{-1: nil, 5: nil, 0: syscall.ECONNRESET} {
		fabric := memnet.New()
		listener, err := fabric.Listen("server", "server:1")
		assert.NilError(t, err)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "data")
			_ = conn.(interface{ SetLinger(int) error }).SetLinger(seconds)
			_ = conn.Close()
		}()
		conn, err := fabric.Dial(context.Background(), "client", "server:1")
		assert.NilError(t, err)
		data, err := io.ReadAll(conn)
		assert.Equal(t, string(data), "data")
		assert.Assert(t, errors.Is(err, want), "linger %d s: %v", seconds, err)
		assert.NilError(t, listener.Close())
		_, err = fabric.Dial(context.Background(), "client", "server:1")
		assert.ErrorContains(t, err, "refused")
	}
}
