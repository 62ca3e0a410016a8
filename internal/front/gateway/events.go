package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event of a stream, also one of many lines: a server that never ends an event must not make it
// grow for good.
const maxEventBytes = 4 << 20

// event is a server-sent event: its raw bytes, data and id.
type event struct {
	raw     []byte
	data    []byte
	hasData bool
	// hasField is set unless the event has only comments.
	hasField bool
	id       string
}

// eventReader splits a text/event-stream into events.
type eventReader struct {
	reader *bufio.Reader
	// keepData is set if the data of events is needed.
	keepData bool
	// reserve, if set, is called before an event of more than maxUnreservedBytes grows to n bytes.
	reserve func(n int) error
	// spill, if set, forwards the beginning of an event for which reserve returned an error, so that it need not be
	// held.
	spill func(raw []byte, memoryErr error) error
	// unfinished counts the bytes read after the last blank line, spilled ones included.
	unfinished int64
	// started is set once the first line was read.
	started bool
	// ended is set once the stream has ended or a read has failed.
	ended bool
}

// maxUnreservedBytes is the size of events that need no reservation of their own.
const maxUnreservedBytes = 2 << 10

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, 2<<10), keepData: true}
}

// errTruncatedEvent means that a response ended inside an event. The server has broken it off, even if the response's
// framing is complete.
var errTruncatedEvent = Error.New("response ended inside an event")

// readEvent returns the next event, or io.EOF if the response ended after a blank line or had no bytes. Any other error
// means that the stream was truncated.
func (e *eventReader) readEvent() (event, error) {
	var ev event
	for {
		start := len(ev.raw)
		// spilled is set if the beginning of the line was spilled.
		spilled := false
		for {
			piece, err := e.reader.ReadSlice('\n')
			e.unfinished += int64(len(piece))
			e.ended = err != nil && err != bufio.ErrBufferFull
			size := len(ev.raw) + len(piece)
			if size > maxEventBytes {
				return ev, Error.New("event exceeds %d bytes", maxEventBytes)
			}
			if memoryErr := e.makeRoom(size); memoryErr != nil {
				if e.spill == nil {
					return ev, memoryErr
				}
				if !spilled {
					e.addLine(&ev, ev.raw[start:], false)
				}
				if spillErr := e.spill(ev.raw, memoryErr); spillErr != nil {
					return ev, spillErr
				}
				spilled = spilled || len(ev.raw) > start
				ev.raw, start = nil, 0
			}
			ev.raw = append(ev.raw, piece...)
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) && e.unfinished > 0 {
				return ev, errTruncatedEvent
			}
			if err != bufio.ErrBufferFull {
				return ev, err
			}
		}
		if spilled {
			continue
		}
		line := bytes.TrimRight(ev.raw[start:], "\r\n")
		if len(line) == 0 {
			e.unfinished = 0
			return ev, nil
		}
		e.addLine(&ev, line, e.keepData)
	}
}

// makeRoom reserves memory for an event that grows to size bytes.
func (e *eventReader) makeRoom(size int) error {
	if e.reserve == nil || size <= maxUnreservedBytes {
		return nil
	}
	return e.reserve(size)
}

// byteOrderMark may precede the first line of a stream.
var byteOrderMark = []byte("\ufeff")

// addLine adds the next line of the stream to an event.
func (e *eventReader) addLine(ev *event, line []byte, keepData bool) {
	if !e.started {
		line = bytes.TrimPrefix(line, byteOrderMark)
		e.started = true
	}
	ev.addLine(line, keepData)
}

// addLine adds a line to an event. Several data lines are joined by line feeds. A line without a colon is a field
// without a value, one that starts with a colon a comment.
func (ev *event) addLine(line []byte, keepData bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	ev.hasField = ev.hasField || len(name) > 0
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "id":
		ev.id = string(bytes.TrimSpace(value))
	case "data":
		ev.addData(value, keepData)
	}
}

func (ev *event) addData(value []byte, keepData bool) {
	switch {
	case !keepData:
	case ev.hasData:
		ev.data = append(append(ev.data, '\n'), value...)
	default:
		ev.data = append(ev.data, value...)
	}
	ev.hasData = true
}
