// Package backend sends calls to backend servers: model engines, tool services and plain services. It selects a
// server for each call, queues calls fairly between organisations while all servers are busy, and reports for
// each failure whether the call may have run.
package backend

import (
	"errors"
	"net/http"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// defaultIdleTimeout is the longest time without any byte from a backend server.
const defaultIdleTimeout = 30 * time.Second

// maxAnswerBytes limits the response body of a backend server, except for completions.
const maxAnswerBytes = 512 << 10

// Retry delays given to callers. busyRetry is the minimum if a refusing server sends its own.
const (
	busyRetry    = 500 * time.Millisecond
	failureRetry = time.Second
)

// sendError gives a failed HTTP request its verdict: NotRun only if the request was not sent.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return verdict.RetryLater(verdict.Unavailable, busyRetry, "%v", err)
	}
	return verdict.Unknown(verdict.Unavailable, failureRetry, "%v", err)
}

// refusal returns the error of a response with status 429 or 503, or nil. By the contract with backend servers in
// docs/DESIGN.md, these mean that the server did not run the call.
func refusal(addr string, resp *httpclient.Response) error {
	if resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable {
		return nil
	}
	return verdict.RetryLater(verdict.Overloaded, max(resp.RetryAfter, busyRetry), "%s answered %d", addr, resp.Status)
}
