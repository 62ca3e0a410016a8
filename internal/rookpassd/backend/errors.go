// Package backend reaches backend servers: model engines, tool services and plain services. It chooses one
// for each call, keeps the calls of organisations in a fair order while all are busy, and says of every
// failure whether the call may have run.
package backend

import (
	"errors"
	"net/http"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/transport/httpclient"
)

// defaultIdleTimeout is how long a backend server may send nothing.
const defaultIdleTimeout = 30 * time.Second

// maxAnswerBytes bounds a service's answer.
const maxAnswerBytes = 512 << 10

// Pauses that a caller is told when a backend server gives none.
const (
	busyRetry  = 500 * time.Millisecond
	brokeRetry = time.Second
)

// sendError gives a failure to send its verdict.
func sendError(err error) error {
	if errors.Is(err, httpclient.ErrNotSent) {
		return verdict.RetryLater(verdict.Unavailable, busyRetry, "%v", err)
	}
	return verdict.Unknown(verdict.Unavailable, brokeRetry, "%v", err)
}

// refusal returns the error of a response that says "not now", or nil. 429 and 503 mean that the server
// took no work on; docs/DESIGN.md states this as the contract with backend servers.
func refusal(addr string, resp *httpclient.Response) error {
	if resp.Status != http.StatusTooManyRequests && resp.Status != http.StatusServiceUnavailable {
		return nil
	}
	return verdict.RetryLater(verdict.Overloaded, max(resp.RetryAfter, busyRetry), "%s answered %d", addr, resp.Status)
}
