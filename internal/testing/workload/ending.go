package workload

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// The faults that determine how answers are framed and how they end.
const (
	// Unframed ends whole answers with their connection, without a length or chunks.
	Unframed Fault = "unframed"
	// UnframedClose closes the connection of an unframed stream inside an event. Plain answers stay whole: one that is
	// closed early can't be told from a whole one.
	UnframedClose Fault = "unframed-close"
	// UnframedReset resets the connection of an unframed answer inside an event, UnframedResetBetween between two events.
	UnframedReset        Fault = "unframed-reset"
	UnframedResetBetween Fault = "unframed-reset-between"
	// Length sends whole answers with a length, streams too.
	Length Fault = "length"
	// LengthClose and LengthReset break off answers with a length, ChunksClose and ChunksReset answers in chunks.
	LengthClose Fault = "length-close"
	LengthReset Fault = "length-reset"
	ChunksClose Fault = "chunks-close"
	ChunksReset Fault = "chunks-reset"
)

// framing is how an answer indicates its end.
type framing int

const (
	// byConnection: the answer has neither a length nor chunks and ends with its connection.
	byConnection framing = iota
	byLength
	byChunks
)

// cut is where an answer is broken off. A plain answer is one event.
type cut int

const (
	uncut cut = iota
	insideEvent
	betweenEvents
)

// ending is how an answer is framed and where and how its connection ends.
type ending struct {
	framing framing
	cut     cut
	// reset ends the connection with a reset instead of a close.
	reset bool
}

var endings = map[Fault]ending{
	Unframed:             {byConnection, uncut, false},
	UnframedClose:        {byConnection, insideEvent, false},
	UnframedReset:        {byConnection, insideEvent, true},
	UnframedResetBetween: {byConnection, betweenEvents, true},
	Length:               {byLength, uncut, false},
	LengthClose:          {byLength, betweenEvents, false},
	LengthReset:          {byLength, insideEvent, true},
	ChunksClose:          {byChunks, betweenEvents, false},
	ChunksReset:          {byChunks, insideEvent, true},
}

// forPlain returns the ending for a plain answer.
func (e ending) forPlain() ending {
	switch {
	case e.framing == byConnection && !e.reset:
		e.cut = uncut
	case e.cut == betweenEvents:
		e.cut = insideEvent
	}
	return e
}

// sent returns the part of an answer's events that is sent. The request ID determines the place of the cut.
func (e ending) sent(events []string, id string) []string {
	if e.cut == uncut || len(events) == 0 {
		return events
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, id) // can't fail
	random := rand.New(rand.NewPCG(hash.Sum64(), 0))
	n := random.IntN(len(events)) // events that are sent whole
	if e.cut == betweenEvents {
		return events[:max(n, min(1, len(events)-1))]
	}
	partial := events[n][:1+random.IntN(len(events[n])-1)]
	return append(events[:n:n], partial)
}

// complete reports whether the answer is complete although its connection ends.
func (e ending) complete(sent, events []string) bool {
	switch e.framing {
	case byLength:
		return len(strings.Join(sent, "")) == len(strings.Join(events, ""))
	case byChunks:
		return e.cut == uncut
	default:
		return !e.reset && (e.cut == uncut || len(events) == 0)
	}
}

// frameHead returns the header line for the framing of an answer of n bytes.
func (e ending) frameHead(n int) string {
	switch e.framing {
	case byLength:
		return fmt.Sprintf("Content-Length: %d\r\n", n)
	case byChunks:
		return "Transfer-Encoding: chunked\r\n"
	default:
		return ""
	}
}

// frame returns a part of the answer as it is sent.
func (e ending) frame(part string) string {
	if e.framing == byChunks {
		return fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
	}
	return part
}

// writeEnding answers with the given events on the bare connection and ends it as e says.
func (s *Server) writeEnding(w http.ResponseWriter, r *http.Request, id string, events []string, e ending) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.checker.AddViolation("workload: answer of %s: %v", id, err)
		return
	}
	defer func() { _ = conn.Close() }()
	var head strings.Builder
	_ = w.Header().Write(&head) // can't fail
	parts := []string{"HTTP/1.1 200 OK\r\n" + head.String() + e.frameHead(len(strings.Join(events, ""))) + "\r\n"}
	sent := e.sent(events, id)
	for _, part := range sent {
		parts = append(parts, e.frame(part))
	}
	if e.framing == byChunks && e.cut == uncut {
		parts = append(parts, "0\r\n\r\n")
	}
	_ = conn.SetWriteDeadline(time.Now().Add(unreadTimeout + eventsPerTurn*eventInterval)) // a failed write ends the answer
	for i, part := range parts {
		if i > 1 {
			time.Sleep(eventInterval)
		}
		if hasEnded(r) {
			_, _ = io.Copy(io.Discard, conn) // until the client closes the connection
			return
		}
		if i == len(parts)-1 && e.complete(sent, events) {
			s.checker.RecordAnswered(id)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return
		}
	}
	if e.reset {
		resetOnClose(conn)
	}
}

// resetOnClose makes a connection end with a reset when it is closed.
func resetOnClose(conn net.Conn) {
	if c, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = c.SetLinger(0) // fails only if the connection has ended
	}
}
