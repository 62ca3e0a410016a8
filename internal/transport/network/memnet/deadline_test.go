package memnet_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/network/memnet"
)

// TestClearedDeadlineStaysCleared clears deadlines at the moment they pass, as the server of net/http does between two
// requests.
func TestClearedDeadlineStaysCleared(t *testing.T) {
	fabric := memnet.New()
	listener, err := fabric.Listen("server", "server:1")
	assert.NilError(t, err)
	for range 400 {
		dialed := make(chan error, 1)
		go func() {
			conn, err := fabric.Dial(context.Background(), "client", "server:1")
			if err == nil {
				<-time.After(2 * time.Millisecond) // the reader blocks by then
				_, err = conn.Write([]byte("x"))
			}
			dialed <- err
		}()
		conn, err := listener.Accept()
		assert.NilError(t, err)
		for range 50 {
			assert.NilError(t, conn.SetReadDeadline(time.Unix(1, 0)))
			assert.NilError(t, conn.SetReadDeadline(time.Time{}))
		}
		_, err = conn.Read(make([]byte, 1))
		assert.NilError(t, err)
		assert.NilError(t, conn.SetReadDeadline(time.Unix(1, 0)))
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, err != nil, "a deadline in the past ends reads")
		assert.NilError(t, <-dialed)
	}
}
