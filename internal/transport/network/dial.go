package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialContext connects to an address; http.Transport and the pools take it.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a DialContext for TCP whose connections break when sent bytes stay unacknowledged for
// silence: behind a cut or a VM without power nothing else ends them.
func NewDialer(connect, silence time.Duration) DialContext {
	dialer := net.Dialer{
		Timeout:   connect,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return dialer.DialContext
}

// IsDialError tells whether err is a failure to connect, so that nothing of a request left.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsOpen tells whether an idle connection is still usable: no byte and no end has come on it.
func IsOpen(conn net.Conn) bool {
	withRaw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
