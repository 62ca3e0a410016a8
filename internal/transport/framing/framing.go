// Package framing finds HTTP/1 messages whose framing is faulty and that the HTTP libraries accept all the same. They drop
// the Transfer-Encoding of an HTTP/1.0 message, so that its chunks become its body and a broken-off message looks complete
// (RFC 9112, section 6.1); net/http also ignores a framing field whose name is followed by a space (section 5.1).
package framing

import (
	"bytes"
	"net/http"

	"github.com/zeebo/errs"
)

// ErrFaulty means that nobody can tell where the body of a message ends.
var ErrFaulty = errs.New("faulty framing: Transfer-Encoding in an HTTP/1.0 message, or a space behind the name of a framing field")

// Kind is the kind of a message.
type Kind int

// Kinds of messages.
const (
	Request Kind = iota
	Response
)

// keptLineBytes is how much of a line is kept: the end of a start line, which has the version of a request, and the
// beginning of others, which has the name of a field. A response's start line is shorter or has its version in front.
const keptLineBytes = 64

// Head is what the head of a message says of its framing. It is filled while the head is received, and reads on as long
// as the heads are those of interim responses. The zero value is ready for a request.
type Head struct {
	kind   Kind
	line   [keptLineBytes]byte
	length int
	// bytes and lines count what was received of the head.
	bytes, lines int
	started      bool
	complete     bool
	// version10 is set for HTTP/1.0 and earlier versions.
	version10        bool
	versionKnown     bool
	interim          bool
	transferEncoding bool
	contentLength    bool
	spaced           bool
}

// NewHead returns the empty head of a message.
func NewHead(kind Kind) Head { return Head{kind: kind} }

// Complete reports whether the end of the head has been received or, in a response, a line that no library accepts. The
// head of a request may have begun before what was seen of it, so that all lines up to its end are its own.
func (h *Head) Complete() bool { return h.complete }

// VersionKnown reports whether the start line has been received with its version.
func (h *Head) VersionKnown() bool { return h.versionKnown }

// Bytes returns the number of bytes received of the head.
func (h *Head) Bytes() int { return h.bytes }

// Lines returns the number of lines received of the head.
func (h *Head) Lines() int { return h.lines }

// Faulty reports whether the framing is faulty. It is false until the head is complete.
func (h *Head) Faulty() bool { return h.complete && (h.transferEncoding && h.version10 || h.spaced) }

// Contradictory reports whether the message has two framings, which may differ. It is false until the head is complete.
func (h *Head) Contradictory() bool { return h.complete && h.transferEncoding && h.contentLength }

// Add reads bytes of the message. What follows the head is ignored.
func (h *Head) Add(p []byte) {
	for len(p) > 0 && !h.complete {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.keep(p)
			return
		}
		h.bytes += end + 1
		h.lines++
		h.keep(p[:end])
		p = p[end+1:]
		h.endLine()
	}
}

// keep appends to the kept part of the line.
func (h *Head) keep(p []byte) {
	if h.started || h.kind == Response {
		h.length += copy(h.line[h.length:], p)
		return
	}
	if len(p) >= keptLineBytes {
		h.length = copy(h.line[:], p[len(p)-keptLineBytes:])
		return
	}
	if over := h.length + len(p) - keptLineBytes; over > 0 {
		h.length = copy(h.line[:], h.line[over:h.length])
	}
	h.length += copy(h.line[h.length:], p)
}

func (h *Head) endLine() {
	line := bytes.TrimSuffix(h.line[:h.length], []byte("\r"))
	h.length = 0
	switch {
	case !h.started && h.kind == Request && len(line) == 0: // some clients end a body with a line of its own
	case !h.started:
		h.started = true
		h.addStartLine(line)
	case len(line) > 0:
		h.addField(line)
	case h.interim:
		*h = NewHead(h.kind)
	default:
		h.complete = true
	}
}

// addStartLine reads the version and, of a response, whether it is interim.
func (h *Head) addStartLine(line []byte) {
	version := line
	if h.kind == Request {
		version = line[bytes.LastIndexByte(line, ' ')+1:]
	} else if space := bytes.IndexByte(line, ' '); space >= 0 {
		version = line[:space]
		h.interim = bytes.HasPrefix(line[space+1:], []byte("1"))
	}
	major, minor, ok := http.ParseHTTPVersion(string(version))
	h.versionKnown = ok
	h.version10 = major < 1 || major == 1 && minor == 0
	if h.kind == Request {
		h.version10 = h.version10 && ok
		return
	}
	h.complete = !ok
}

func (h *Head) addField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' { // continues the field before
		return
	}
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found && len(line) < keptLineBytes {
		h.complete = h.kind == Response
		return
	}
	trimmed := bytes.TrimRight(name, " \t")
	encoding := bytes.EqualFold(trimmed, []byte("Transfer-Encoding"))
	length := bytes.EqualFold(trimmed, []byte("Content-Length"))
	h.transferEncoding = h.transferEncoding || encoding
	h.contentLength = h.contentLength || length
	h.spaced = h.spaced || (encoding || length) && len(trimmed) < len(name)
}
