package gateway

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// event is one server-sent event: its bytes as they came, its data and its id.
type event struct {
	raw     []byte
	data    []byte
	hasData bool
	id      string
}

// eventReader cuts a text/event-stream into events.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// next returns the next event. With io.EOF comes what stood behind the last event's blank line, if anything;
// with any other error the stream broke off.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		start := len(ev.raw)
		for {
			piece, err := e.reader.ReadSlice('\n')
			ev.raw = append(ev.raw, piece...)
			if err == nil {
				break
			}
			if err != bufio.ErrBufferFull {
				ev.field(ev.raw[start:])
				return ev, err
			}
			if len(ev.raw) > maxEventBytes {
				return ev, Error.New("event of more than %d bytes", maxEventBytes)
			}
		}
		line := bytes.TrimRight(ev.raw[start:], "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		ev.field(line)
	}
}

// field takes over one line of an event. Several data lines are joined by line feeds.
func (ev *event) field(line []byte) {
	if id, isID := bytes.CutPrefix(line, []byte("id:")); isID {
		ev.id = string(bytes.TrimSpace(id))
		return
	}
	value, isData := bytes.CutPrefix(line, []byte("data:"))
	if !isData {
		return
	}
	value = bytes.TrimPrefix(value, []byte(" "))
	if ev.hasData {
		ev.data = append(ev.data, '\n')
	}
	ev.data = append(ev.data, value...)
	ev.hasData = true
}
