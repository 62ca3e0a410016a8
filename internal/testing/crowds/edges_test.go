package crowds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// edge is a request at the very edge of the limits. Its parts are sent with a pause before each.
type edge struct {
	name string
	// rest is the time before its first byte, pause that between its parts.
	rest, pause time.Duration
	parts       func() []string
}

// headOf returns the head of a request of exactly headerBytes bytes: fill is called with the bytes that are left for further
// fields.
func headOf(length int, fill func(bytes int) string) string {
	head := requestHead("/lookup/1") + fmt.Sprintf("Content-Length: %d\r\n", length)
	head += fill(headerBytes-len(head)-len("\r\n")) + "\r\n"
	if len(head) != headerBytes {
		panic(fmt.Sprint(len(head), " bytes of head"))
	}
	return head
}

func longField(bytes int) string { return "A: " + strings.Repeat("x", bytes-len("A: \r\n")) + "\r\n" }

// tinyFields returns as many fields as fit, with names of their own and no value.
func tinyFields(bytes int) string {
	var b strings.Builder
	for i := 0; b.Len()+20 < bytes; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.String() + longField(bytes-b.Len())
}

func split(text string, n int) []string {
	var parts []string
	for i := range n {
		parts = append(parts, text[i*len(text)/n:(i+1)*len(text)/n])
	}
	return parts
}

var edges = []edge{
	{name: "one long field", parts: func() []string { return []string{headOf(4, longField) + "text"} }},
	{name: "many small fields", parts: func() []string { return []string{headOf(4, tinyFields) + "text"} }},
	{name: "largest body", parts: func() []string { return []string{headOf(bodyBytes, tinyFields) + strings.Repeat("x", bodyBytes)} }},
	{name: "head that takes its time", pause: headerTimeout * 4 / 5 / 8, parts: func() []string { return append(split(headOf(4, tinyFields), 9), "text") }},
	{name: "connection at rest", rest: idleTimeout * 4 / 5, parts: func() []string { return []string{headOf(4, longField) + "text"} }},
	{name: "connection at rest, and head that takes its time", rest: idleTimeout * 4 / 5, pause: headerTimeout * 4 / 5 / 8,
		parts: func() []string { return append(split(headOf(4, tinyFields), 9), "text") }},
}

func (e edge) play(conn net.Conn, reader *bufio.Reader) error {
	time.Sleep(e.rest)
	for i, part := range e.parts() {
		if i > 0 {
			time.Sleep(e.pause)
		}
		if _, err := io.WriteString(conn, part); err != nil {
			return err
		}
	}
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return err
}

// TestClientsAtTheEdgeOfTheLimitsAreServed guards against limits that clients inside them meet, on the first and on later
// requests of a connection.
func TestClientsAtTheEdgeOfTheLimitsAreServed(t *testing.T) {
	s := newSystem(t, 1)
	for _, e := range edges {
		t.Run(e.name, func(t *testing.T) {
			t.Parallel()
			conn, err := net.Dial("tcp", s.fronts[0].callers())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for request := range 3 {
				assert.NilError(t, e.play(conn, reader), "request %d of the connection", request+1)
			}
		})
	}
}

// TestManyCallersInsideTheLimitsAreServed guards against bounds of connections and heads that callers meet in calm: as many
// as a front of this size may have at once, each with an ordinary head, at rest between two requests.
func TestManyCallersInsideTheLimitsAreServed(t *testing.T) {
	const callers = 150
	s := newSystem(t, 1)
	errs := make(chan error, callers)
	for range callers {
		go func() {
			errs <- func() error {
				conn, err := net.Dial("tcp", s.fronts[0].callers())
				if err != nil {
					return err
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				e := edge{parts: func() []string { return []string{requestHead("/lookup/1") + "Content-Length: 4\r\n\r\ntext"} }}
				for range 4 {
					if err := e.play(conn, reader); err != nil {
						return err
					}
					e.rest = 2 * time.Second
				}
				return nil
			}()
		}()
	}
	for range callers {
		assert.Check(t, <-errs == nil)
	}
}

// TestConnectionsOutsideTheTimesAreClosed guards against connections that are held for ever, and against a look at them that
// holds up all others.
func TestConnectionsOutsideTheTimesAreClosed(t *testing.T) {
	s := newSystem(t, 1)
	d := s.fronts[0]
	t.Run("kinds", func(t *testing.T) {
		for _, sent := range []string{"", startOf(), requestHead("/lookup/1") + "Content-Length: 4\r\n\r\ntext"} {
			t.Run(fmt.Sprintf("%d bytes", len(sent)), func(t *testing.T) {
				t.Parallel()
				conn, err := net.Dial("tcp", d.callers())
				assert.NilError(t, err)
				defer func() { _ = conn.Close() }()
				_, err = io.WriteString(conn, sent)
				assert.NilError(t, err)
				assert.NilError(t, conn.SetReadDeadline(time.Now().Add(idleTimeout+answerPatience)))
				_, err = io.Copy(io.Discard, conn)
				assert.NilError(t, err) // closed by the other side
			})
		}
	})
	s.checkServes(d, "/lookup/")
}
