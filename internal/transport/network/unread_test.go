package network

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestUnreadDataIsSeenBesideReader guards against a look at a connection that waits for whoever reads from it.
func TestUnreadDataIsSeenBesideReader(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	near, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	far, err := listener.Accept()
	assert.NilError(t, err)
	got := make(chan bool)
	read := make(chan error)
	go func() {
		_, err := far.Read(make([]byte, 1))
		read <- err
	}()
	time.Sleep(50 * time.Millisecond) // the reader waits
	go func() { got <- HasUnread(far) }()
	select {
	case unread := <-got:
		assert.Assert(t, !unread)
	case <-time.After(10 * time.Second):
		t.Fatal("waited for the reader")
	}
	_, err = near.Write([]byte("ab"))
	assert.NilError(t, err)
	assert.NilError(t, <-read)
	assert.Assert(t, HasUnread(far))
	assert.NilError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	assert.NilError(t, err)
	assert.Assert(t, !HasUnread(far), "the end of a connection is not data")
}
