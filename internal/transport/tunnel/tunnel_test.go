package tunnel_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/transport/tunnel"
)

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// echoServer starts a server that returns what it receives.
func echoServer(t *testing.T) string {
	l := listen(t)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func startRelay(t *testing.T, allowed func(string) bool) string {
	l := listen(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	go func() { _ = tunnel.NewServer((&net.Dialer{}).DialContext, allowed, log).Serve(l) }()
	return l.Addr().String()
}

func TestConnectionIsRelayedBothWays(t *testing.T) {
	target := echoServer(t)
	d := tunnel.NewDialer((&net.Dialer{}).DialContext, "self")
	d.SetRelays([]string{"127.0.0.1:1", startRelay(t, func(a string) bool { return a == target })})
	conn, err := d.Dial(context.Background(), "tcp", target)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "hello")
	assert.NilError(t, err)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "hello")
	assert.NilError(t, conn.Close())
}

// TestOtherAddressesAreRefused checks that a relay dials allowed addresses only.
func TestOtherAddressesAreRefused(t *testing.T) {
	target := echoServer(t)
	d := tunnel.NewDialer((&net.Dialer{}).DialContext, "self")
	d.SetRelays([]string{startRelay(t, func(string) bool { return false })})
	conn, err := d.Dial(context.Background(), "tcp", target)
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, context.DeadlineExceeded))
}

func TestNoRelayIsAnError(t *testing.T) {
	d := tunnel.NewDialer((&net.Dialer{}).DialContext, "self")
	d.SetRelays([]string{"self"})
	_, err := d.Dial(context.Background(), "tcp", "127.0.0.1:1")
	assert.ErrorContains(t, err, "no daemon relays a connection")
}
