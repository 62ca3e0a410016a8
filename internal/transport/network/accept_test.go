package network

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// failingListener fails accepts with errs, one after the other, and then returns a connection.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func (l *failingListener) Close() error { return nil }

func acceptError(errno syscall.Errno) error {
	return &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", errno)}
}

// TestListenerOutlivesErrorsThatPass guards against an error of one accept that ends a part of a process.
func TestListenerOutlivesErrorsThatPass(t *testing.T) {
	failures := 0
	l := RetryAccept(&failingListener{errs: []error{acceptError(syscall.EMFILE), acceptError(syscall.ENFILE), acceptError(syscall.ECONNABORTED), acceptError(syscall.ENOMEM)}},
		func(error) { failures++ })
	conn, err := l.Accept()
	assert.NilError(t, err)
	assert.Assert(t, conn != nil)
	assert.Equal(t, failures, 4)
}

// TestListenerEndsForOtherErrors guards against a listener that is retried for ever although it is closed or broken.
func TestListenerEndsForOtherErrors(t *testing.T) {
	for _, failure := range []error{net.ErrClosed, acceptError(syscall.EINVAL)} {
		_, err := RetryAccept(&failingListener{errs: []error{failure}}, func(error) {}).Accept()
		assert.Assert(t, errors.Is(err, failure))
	}
}

// TestCloseEndsPauseOfAccept guards against a stop that waits for an accept which is retried.
func TestCloseEndsPauseOfAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failures := make([]error, 100)
		for i := range failures {
			failures[i] = acceptError(syscall.EMFILE)
		}
		l := RetryAccept(&failingListener{errs: failures}, func(error) {})
		time.AfterFunc(10*time.Second, func() { _ = l.Close() })
		began := time.Now()
		_, err := l.Accept()
		assert.Assert(t, errors.Is(err, net.ErrClosed))
		assert.Equal(t, time.Since(began), 10*time.Second)
	})
}
