package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/rookpass/rookpass/internal/front/balance"
)

const (
	// unreadTime is for how long a caller must hold up a response for the response to count as unread. Servers cut off
	// responses that stay unread for some seconds; shorter delays are no reason for them to do so.
	unreadTime = time.Second
	// maxUnreadTime bounds callerPace, so that a server that fails long after the caller read again is blamed.
	maxUnreadTime = 10 * time.Second
	// writeChunk is the most that is written to a caller at once, and maxChunkTime how long that may take where the
	// request has no deadline. It ends requests whose callers never read.
	writeChunk   = 16 << 10
	maxChunkTime = 30 * time.Second
)

// reasonUnread means that a server cut off its response after the caller had left it unread.
const reasonUnread = "unread"

// callerPace compares the time for which the caller held up a server's response with the time for which the server let
// the caller wait. Without it, servers that cut off unread responses would be ejected.
type callerPace struct {
	// unread grows while a write to the caller blocks and shrinks while the server is waited for.
	unread time.Duration
	// blocked is the total time of writes to the caller.
	blocked time.Duration
}

func (p *callerPace) wrote(d time.Duration) {
	p.blocked += d
	p.unread = min(p.unread+d, maxUnreadTime)
}

func (p *callerPace) waited(d time.Duration) { p.unread = max(p.unread-d, 0) }

// leftUnread reports whether the caller has left the response unread for long enough for a server to cut it off.
func (p *callerPace) leftUnread() bool { return p.unread >= unreadTime }

// heldUp reports whether the caller determined how long the response took.
func (p *callerPace) heldUp() bool { return p.blocked >= unreadTime }

// failureReason returns the reason of a failure to read the response: the given one, unless the server may have cut the
// response off because it was left unread.
func (p *callerPace) failureReason(reason string) string {
	if p.leftUnread() {
		return reasonUnread
	}
	return reason
}

// outcome returns the outcome of a complete response for the balancer. The duration of a response that the caller held
// up says nothing about the server.
func (p *callerPace) outcome(result balance.Outcome) balance.Outcome {
	if result == balance.Answered && p.heldUp() {
		return balance.Abandoned
	}
	return result
}

// pacedReader reads a server's response and measures how long the server is waited for.
type pacedReader struct {
	reader io.Reader
	pace   *callerPace
}

func (r *pacedReader) Read(b []byte) (int, error) {
	began := time.Now()
	n, err := r.reader.Read(b)
	r.pace.waited(time.Since(began))
	return n, err
}

// write writes to the caller. Without a deadline of the request each chunk has one of its own.
func (x *exchange) write(b []byte, pace *callerPace) error {
	began := time.Now()
	defer func() { pace.wrote(time.Since(began)) }()
	for len(b) > 0 {
		n := min(len(b), writeChunk)
		x.boundWrite()
		if _, err := x.w.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
	}
	return nil
}

// flush sends what has been written to the caller.
func (x *exchange) flush(control *http.ResponseController, pace *callerPace) error {
	began := time.Now()
	defer func() { pace.wrote(time.Since(began)) }()
	x.boundWrite()
	return control.Flush()
}

// boundWrite bounds the next write where the request has no deadline.
func (x *exchange) boundWrite() {
	if x.deadline.IsZero() {
		x.setWriteDeadline(time.Now().Add(maxChunkTime))
	}
}

// progressReader reads a request's body. Where the request has no deadline, each read has one of its own, since a
// caller that stops sending would hold memory for good.
type progressReader struct {
	x       *exchange
	control *http.ResponseController
}

func (r *progressReader) Read(b []byte) (int, error) {
	if r.x.deadline.IsZero() {
		_ = r.control.SetReadDeadline(time.Now().Add(maxChunkTime)) // on failure a slow body has no bound
	}
	return r.x.r.Body.Read(b)
}
