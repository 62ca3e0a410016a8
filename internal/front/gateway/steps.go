package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// step looks at a request and may refuse it.
type step func(*exchange) *refusal

// Times after which a refused caller should come back.
const (
	// retryStarting is for a daemon that does not know its configuration yet.
	retryStarting = 300 * time.Millisecond
	// retryBusy is for servers that are all full: about one short request.
	retryBusy = 100 * time.Millisecond
	// retryMemory is for a daemon whose memory is full of bodies: about the time of one call.
	retryMemory = 200 * time.Millisecond
	// retryLedger is for turns that the disks could not settle: about a take-over's step.
	retryLedger = 200 * time.Millisecond
)

// withCallInfo decodes what the request says of itself.
func withCallInfo(x *exchange) *refusal {
	info, err := x.g.dialect.DecodeRequest(x.r.Header)
	x.info = info
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "malformed-header", err: err}
	}
	return nil
}

// withConfig refuses requests before the first configuration is known.
func withConfig(x *exchange) *refusal {
	x.table, x.tableAge = x.g.catalog.TableWithAge()
	if x.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: retryStarting}
	}
	return nil
}

// withRoute finds the request's route, and refuses what that route can't take.
func withRoute(x *exchange) *refusal {
	host := x.r.Host
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	x.route = x.table.Route(host, path)
	if x.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no-route"}
	}
	if (x.route.RetainTurns || x.info.HasBudget) && x.info.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no-id", err: Error.New("a turn is recorded under its request's id")}
	}
	return nil
}

// withDeadline takes the earlier of the caller's deadline and the route's timeout.
func withDeadline(x *exchange) *refusal {
	limit := x.route.Timeout
	if d := x.info.Timeout; d > 0 && (limit == 0 || d < limit) {
		limit = d
	}
	if limit > 0 {
		x.until = x.arrived.Add(limit)
	}
	return nil
}

// withBody reads the whole body: only then does the server tell when the caller leaves, and only then can a
// request be sent a second time.
func withBody(x *exchange) *refusal {
	limit := x.table.Config.Limits.MaxBodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if !x.until.IsZero() {
		_ = http.NewResponseController(x.w).SetReadDeadline(x.until) // without it a slow body is bounded by the caller
	}
	reader := io.Reader(x.r.Body)
	if x.r.ContentLength < 0 {
		reader = &meteredReader{x}
	} else if !x.reserve(x.r.ContentLength) {
		return noMemory()
	}
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := readSized(reader, x.r.ContentLength)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // as above
	if errors.Is(err, errNoMemory) {
		return noMemory()
	}
	if err != nil {
		status := http.StatusBadRequest
		if isTimeout(err) {
			status = http.StatusRequestTimeout
		}
		return &refusal{status: status, reason: "body-not-read", err: err}
	}
	if limit > 0 && int64(len(body)) > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	x.body = body
	x.header = x.g.dialect.ForwardedHeaders(x.r.Header)
	return nil
}

// errNoMemory means that bodies of other requests take all the memory set aside for them.
var errNoMemory = Error.New("no memory left for the body")

func noMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "no-memory", retryAfter: jitter(retryMemory), err: errNoMemory}
}

// reserve takes memory for n bytes of the body, or returns false where none is left.
func (x *exchange) reserve(n int64) bool {
	if !x.g.bodies.TryAcquire(n) {
		return false
	}
	x.reserved += n
	return true
}

// release gives the memory of the body back.
func (x *exchange) release() { x.g.bodies.Release(x.reserved) }

// meteredReader reads a body of unknown length and reserves memory as it comes.
type meteredReader struct{ x *exchange }

func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.x.r.Body.Read(p)
	if n > 0 && !m.x.reserve(int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// readSized reads a body whose length may be known.
func readSized(r io.Reader, length int64) ([]byte, error) {
	if length <= 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	n, err := io.ReadFull(r, body)
	return body[:n], err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
