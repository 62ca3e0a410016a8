package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/front/callers"
	"github.com/rookpass/rookpass/internal/transport/framing"
)

// step processes a request and may refuse it.
type step func(*exchange) *refusal

// Retry times of refusals.
const (
	// retryStarting is for daemons without a configuration.
	retryStarting = 300 * time.Millisecond
	// retryBusy is for requests that found all servers busy: about the duration of a short request.
	retryBusy = 100 * time.Millisecond
	// retryMemory is for requests that exceed the free memory: about the duration of a call.
	retryMemory = 200 * time.Millisecond
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

// withSoundFraming refuses requests whose body is not certain, and closes the connection where its next request is not.
func withSoundFraming(x *exchange) *refusal {
	verdict := callers.FramingOf(x.r)
	if verdict != callers.Sound {
		x.w.Header().Set("Connection", "close")
	}
	if verdict == callers.Faulty {
		return &refusal{status: http.StatusBadRequest, reason: "faulty-framing", err: framing.ErrFaulty}
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
	if refused := x.reserveResponse(); refused != nil {
		return refused
	}
	reader := io.Reader(&progressReader{x, http.NewResponseController(x.w)})
	if x.r.ContentLength < 0 {
		reader = &meteredReader{x, reader}
	} else if refused := x.reserve(membudget.RequestBodies, x.r.ContentLength); refused != nil {
		return refused
	}
	if limit > 0 {
		reader = io.LimitReader(reader, limit+1)
	}
	body, err := readSized(reader, x.r.ContentLength)
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Time{}) // see above
	var exceeded *membudget.ExceededError
	if errors.As(err, &exceeded) {
		return x.memoryRefusal(err)
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
	if refused := x.reserveRecord(len(body)); refused != nil {
		return refused
	}
	if !callers.Received(x.r) {
		return &refusal{status: http.StatusServiceUnavailable, reason: "connection-gave-way", err: net.ErrClosed}
	}
	x.body = body
	x.header = x.g.headerCodec.ForwardedHeaders(x.r.Header)
	return nil
}

// meteredReader reads a body of unknown length and reserves memory for it as it arrives.
type meteredReader struct {
	x      *exchange
	reader io.Reader
}

func (m *meteredReader) Read(p []byte) (int, error) {
	n, err := m.reader.Read(p)
	if n > 0 {
		if memoryErr := m.x.memory.Reserve(membudget.RequestBodies, int64(n)); memoryErr != nil {
			return 0, memoryErr
		}
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
