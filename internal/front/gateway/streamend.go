package gateway

import (
	"bytes"
	"mime"

	"github.com/rookpass/rookpass/internal/transport/upstream"
)

// streamEnd finds the end of an event stream on a route that does not forward events one by one. It checks only streams
// that are framed by their connection: any other framing says itself where the response is complete.
type streamEnd struct {
	checked bool
	empty   bool
	// tail holds the last bytes of the response, after a line feed that stands for its start.
	tail []byte
}

// blankLineBytes is the most that a blank line takes, with the end of the line before.
const blankLineBytes = 3

func newStreamEnd(r *upstream.Response) *streamEnd {
	mediaType, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type")) // an unreadable type is none
	checked := r.Framing == upstream.FramingConnection && mediaType == "text/event-stream"
	return &streamEnd{checked: checked, empty: true, tail: []byte("\n")}
}

// add adds the next bytes of the response.
func (e *streamEnd) add(b []byte) {
	e.empty = e.empty && len(b) == 0
	e.tail = append(e.tail, b[max(0, len(b)-blankLineBytes):]...)
	e.tail = e.tail[max(0, len(e.tail)-blankLineBytes):]
}

// check returns an error if the response has ended inside an event or before any.
func (e *streamEnd) check() error {
	switch {
	case !e.checked:
		return nil
	case e.empty:
		return errNoEvents
	case !bytes.HasSuffix(e.tail, []byte("\n\n")) && !bytes.HasSuffix(e.tail, []byte("\n\r\n")):
		return errTruncatedEvent
	}
	return nil
}
