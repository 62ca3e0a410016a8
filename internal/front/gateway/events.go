package gateway

import (
	"bufio"
	"bytes"
	"io"
)

// maxEventBytes bounds one event of a stream.
const maxEventBytes = 4 << 20

// event is a server-sent event: its raw bytes, data and id.
type event struct {
	raw     []byte
	data    []byte
	hasData bool
	id      string
}

// eventReader splits a text/event-stream into events.
type eventReader struct{ reader *bufio.Reader }

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10)}
}

// readEvent returns the next event. With io.EOF it returns the bytes after the last event's blank line, if any. Any
// other error means that the stream was truncated.
func (e *eventReader) readEvent() (event, error) {
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
				ev.addLine(ev.raw[start:])
				return ev, err
			}
			if len(ev.raw) > maxEventBytes {
				return ev, Error.New("event exceeds %d bytes", maxEventBytes)
			}
		}
		line := bytes.TrimRight(ev.raw[start:], "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		ev.addLine(line)
	}
}

// addLine adds a line to an event. Several data lines are joined by line feeds.
func (ev *event) addLine(line []byte) {
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
