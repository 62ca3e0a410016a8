package network

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// minAcceptPause and maxAcceptPause bound the pause after a failed accept; it doubles while accepts fail.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// passingErrors are errors of an accept that pass: a connection that was gone already, and resources that others will free.
var passingErrors = []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.ECONNRESET,
	syscall.EINTR, syscall.EAGAIN, syscall.EPROTO, syscall.ETIMEDOUT}

// IsPassing reports whether an error of Accept passes, so that the listener works again later.
func IsPassing(err error) bool {
	for _, passing := range passingErrors {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// retryingListener retries accepts that fail for a time.
type retryingListener struct {
	net.Listener
	failed func(error)
	closed chan struct{}
	once   sync.Once
}

// RetryAccept returns a listener whose Accept retries after errors that pass, such as too few descriptors, until the
// listener is closed. failed is called with each of these errors.
func RetryAccept(l net.Listener, failed func(error)) net.Listener {
	return &retryingListener{Listener: l, failed: failed, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *retryingListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil || !IsPassing(err) {
			return conn, err
		}
		l.failed(err)
		select {
		case <-time.After(pause):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (l *retryingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}
