package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// step processes a request and may refuse it.
type step func(*exchange) *refusal

// Retry times of refusals.
const (
	// retryStarting is for daemons without a configuration.
	retryStarting = 300 * time.Millisecond
	// retryBusy is for requests that found all servers busy: about the duration of a short request.
	retryBusy = 100 * time.Millisecond
	// retryBodyMemory is for requests whose body exceeds the free memory for bodies: about the duration of a call.
	retryBodyMemory = 200 * time.Millisecond
	// retryLedger is for turns that the ledger could not process: about the time that a failover takes.
	retryLedger = 200 * time.Millisecond
)

// withRequestInfo decodes the request's headers.
func withRequestInfo(x *exchange) *refusal {
	info, err := x.g.headerCodec.DecodeRequest(x.r.Header)
	x.requestInfo = info
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "malformed-header", err: err}
	}
	return nil
}

// withConfig loads the configuration, and refuses requests before there is one.
func withConfig(x *exchange) *refusal {
	x.table, x.tableAge = x.g.catalog.TableWithAge()
	if x.table == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: retryStarting}
	}
	return nil
}

// withRoute finds the request's route, and refuses requests that the route does not accept.
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
	if (x.route.RetainTurns || x.requestInfo.HasBudget) && x.requestInfo.ID == "" {
		return &refusal{status: http.StatusBadRequest, reason: "no-id", err: Error.New("a turn needs a request id")}
	}
	return nil
}

// withDeadline sets the earlier of the caller's deadline and the route's timeout.
func withDeadline(x *exchange) *refusal {
	limit := x.route.Timeout
	if d := x.requestInfo.Timeout; d > 0 && (limit == 0 || d < limit) {
		limit = d
	}
	if limit > 0 {
		x.deadline = x.arrived.Add(limit)
	}
	return nil
}

// withBody reads the whole body. Until then net/http does not detect that the caller disconnects, and the request
// could not be sent a second time.
func withBody(x *exchange) *refusal {
	limit := x.table.Config.Limits.MaxBodyBytes
	if limit > 0 && x.r.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"}
	}
	if !x.deadline.IsZero() {
		_ = http.NewResponseController(x.w).SetReadDeadline(x.deadline) // on failure a slow body has no bound
	}
	reader := io.Reader(x.r.Body)
	if x.r.ContentLength < 0 {
		reader = &meteredReader{x}
	} else if !x.reserveBody(x.r.ContentLength) {
		return noMemory()
	}
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := readSized(reader, x.r.ContentLength)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // see above
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
	x.header = x.g.headerCodec.ForwardedHeaders(x.r.Header)
	return nil
}

// errNoMemory means that bodies of other requests use all the memory reserved for bodies.
var errNoMemory = Error.New("memory for request bodies is exhausted")

func noMemory() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "no-memory", retryAfter: jitter(retryBodyMemory), err: errNoMemory}
}

// reserveBody reserves memory for n bytes of the body, or returns false if too little is left.
func (x *exchange) reserveBody(n int64) bool {
	if !x.g.bodyMemory.TryAcquire(n) {
		return false
	}
	x.reservedBytes += n
	return true
}

// releaseBody releases the memory reserved for the body.
func (x *exchange) releaseBody() { x.g.bodyMemory.Release(x.reservedBytes) }

// meteredReader reads a body of unknown length and reserves memory for it as it arrives.
type meteredReader struct{ x *exchange }

func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.x.r.Body.Read(p)
	if n > 0 && !m.x.reserveBody(int64(n)) {
		return 0, errNoMemory
	}
	return n, err
}

// readSized reads a body; length is its length if known, else not positive.
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
