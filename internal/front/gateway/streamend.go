package gateway

import (
	"bytes"
	"io"
	"mime"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// streamEnd finds the end of an event stream on a route that does not forward events one by one. A response of another
// type may end anywhere.
type streamEnd struct {
	isStream bool
	// mayBeEmpty is set if a stream without events is complete.
	mayBeEmpty bool
	empty      bool
	// tail holds the last bytes of the response, after a line feed that stands for its start.
	tail []byte
}

// blankLineBytes is the most that a blank line takes, with the end of the line before.
const blankLineBytes = 3

// newStreamEnd returns the streamEnd of a response. resumed reports whether the caller has earlier events of the stream.
func newStreamEnd(r *upstream.Response, resumed bool) *streamEnd {
	return &streamEnd{isStream: isEventStream(r), mayBeEmpty: resumed || r.Framing != upstream.FramingConnection, empty: true, tail: []byte("\n")}
}

// isEventStream reports whether a response consists of events by its type.
func isEventStream(r *upstream.Response) bool {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")) // an unreadable type is none
	return mediaType == "text/event-stream"
}

// add adds the next bytes of the response.
func (e *streamEnd) add(b []byte) {
	e.empty = e.empty && len(b) == 0
	e.tail = append(e.tail, b[max(0, len(b)-blankLineBytes):]...)
	e.tail = e.tail[max(0, len(e.tail)-blankLineBytes):]
}

// check returns io.EOF if a response that has ended by its framing is complete, or the error of a stream that was broken
// off.
func (e *streamEnd) check() error {
	switch {
	case !e.isStream, e.empty && e.mayBeEmpty:
		return io.EOF
	case e.empty:
		return errNoEvents
	}
	for _, blankLine := range []string{"\n\n", "\n\r\n", "\r\r"} {
		if bytes.HasSuffix(e.tail, []byte(blankLine)) {
			return io.EOF
		}
	}
	return errTruncatedEvent
}
