package network

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialContext connects to an address. It has the signature of http.Transport.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// NewDialer returns a DialContext for TCP. Its connections fail when sent bytes stay unacknowledged for the given time,
// which detects network cuts and VMs without power.
func NewDialer(connectTimeout, ackTimeout time.Duration) DialContext {
	dialer := net.Dialer{
		Timeout:   connectTimeout,
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return dialer.DialContext
}

// IsDialError reports whether err is a failure to connect, so that no byte of a request was sent.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// IsOpen reports whether an idle connection is usable: neither data nor an end of stream has arrived on it.
func IsOpen(conn net.Conn) bool {
	if c, ok := conn.(interface{ IsOpen() bool }); ok {
		return c.IsOpen()
	}
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

// HasUnread reports whether data has arrived on a connection that nobody has read. It may be called while another goroutine
// reads.
func HasUnread(conn net.Conn) bool {
	withRaw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := withRaw.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) { // Read would wait for the other goroutine
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		unread = peekErr == nil && n > 0
	})
	return err == nil && unread
}
