package network

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestQuietestConnectionGivesWay guards against clients whose quiet connections leave none for others.
func TestQuietestConnectionGivesWay(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := 0
	l := BoundConns(inner, 2, func() { closed++ })
	defer func() { _ = l.Close() }()
	open := func() (near, far net.Conn) {
		near, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(t, err)
		far, err = l.Accept()
		assert.NilError(t, err)
		return near, far
	}
	talking, served := open()
	quiet, other := open()
	_, err = talking.Write([]byte("x"))
	assert.NilError(t, err)
	_, err = served.Read(make([]byte, 1))
	assert.NilError(t, err)
	_, third := open()
	assert.Equal(t, closed, 1)
	_ = quiet.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = quiet.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
	assert.NilError(t, third.Close())
	_ = other.Close() // closed before
	open()
	assert.Equal(t, closed, 1, "a connection was closed although another one had ended")
}
