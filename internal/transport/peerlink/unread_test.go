package peerlink_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// TestCallToDaemonThatReadsNothingEnds guards against a call that outlives its timeout while its arguments can't be sent.
func TestCallToDaemonThatReadsNothingEnds(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	data := make([]byte, 64<<20) // more than the buffers of both ends hold
	link := peerlink.NewPool(new(net.Dialer).DialContext).LinkTo(listener.Addr().String())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		_, err := peerlink.Call[int](ctx, link, "Stalled.Keep", &data)
		ended <- err
	}()
	select {
	case err := <-ended:
		assert.ErrorIs(t, err, peerlink.ErrUnreachable)
	case <-time.After(10 * time.Second):
		t.Fatal("the call goes on after its timeout")
	}
}
