package upstream

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// errReset means that the connection of a response was reset while the request was still being written.
var errReset = Error.New("connection was reset while the request was being written")

// requestWrite is the write of a request, which goes on beside the response if the request is long.
type requestWrite struct {
	conn net.Conn
	done chan struct{}
	// err may be read once done is closed.
	err error
}

// startWrite writes a request. It returns before the end of a request that may be longer than the connection's window.
func startWrite(c net.Conn, r *Request) *requestWrite {
	w := &requestWrite{conn: c, done: make(chan struct{})}
	write := func() {
		w.err = writeAll(c, appendHead(nil, r), r.Body)
		close(w.done)
	}
	if r.bodyLength() <= inlineBodyBytes {
		write()
	} else {
		go write()
	}
	return w
}

// poll reports whether the write has ended, and its error.
func (w *requestWrite) poll() (done bool, err error) {
	select {
	case <-w.done:
		return true, w.err
	default:
		return false, nil
	}
}

// wasReset ends the write and reports whether it met a reset of the connection. A socket tells of a reset only once:
// if the write has taken it, a read gets io.EOF, as after an orderly close. EPIPE, or io.ErrClosedPipe in memory, is the
// error of a write after an orderly close.
func (w *requestWrite) wasReset() bool {
	if done, _ := w.poll(); !done {
		_ = w.conn.SetWriteDeadline(time.Unix(0, 0)) // fails only if the connection was closed, which ends the write too
		<-w.done
	}
	for _, orderly := range []error{os.ErrDeadlineExceeded, syscall.EPIPE, io.ErrClosedPipe} {
		if errors.Is(w.err, orderly) {
			return false
		}
	}
	return w.err != nil
}

func writeAll(c net.Conn, head []byte, body [][]byte) error {
	buffers := make(net.Buffers, 0, len(body)+1)
	buffers = append(buffers, head)
	for _, part := range body {
		if len(part) > 0 {
			buffers = append(buffers, part)
		}
	}
	_, err := buffers.WriteTo(c)
	return err
}

// appendHead appends the request line and headers. Header names and values come from a parsed request, so they contain
// no line breaks.
func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	n := r.bodyLength()
	if n > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = appendInt(b, n)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}
