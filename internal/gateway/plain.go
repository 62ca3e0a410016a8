package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rookpass/rookpass/internal/balance"
	"github.com/rookpass/rookpass/internal/catalog"
	"github.com/rookpass/rookpass/internal/upstream"
	"github.com/rookpass/rookpass/internal/verdict"
)

// bufferBytes of an answer are read before any of it is passed on, so that a broken answer can be replaced
// by another server's.
const bufferBytes = 256 << 10

func random() float64 { return rand.Float64() }

// servePlain sends a request to servers until one answers it, within the route's number of attempts.
func (x *exchange) servePlain() *refusal {
	servers := x.servers()
	tried := map[string]bool{}
	mayHaveRun := false
	var last error
	for sent := 0; sent < x.route.MaxAttempts; {
		choice, found := x.g.balancer.Pick(&balance.Ask{Servers: servers, Tried: tried})
		if !found {
			break
		}
		tried[choice.Server.ID] = true
		began := time.Now()
		answer, failure := x.try(choice, [][]byte{x.body})
		if failure == nil {
			failure = x.deliver(choice, began, answer, sent+1 < x.route.MaxAttempts)
			if failure == nil {
				return nil
			}
		}
		x.noteFailure(choice, began, failure)
		last = failure
		if x.ctx.Err() != nil || x.begun {
			return x.broken(mayHaveRun || failure.Verdict != verdict.NotRun, last)
		}
		if failure.Reason != upstream.ReasonDial && failure.Reason != upstream.ReasonNoConns && failure.Reason != reasonGone {
			sent++
		}
		if failure.Verdict != verdict.NotRun {
			mayHaveRun = true
			if x.route.Kind != catalog.Idempotent {
				break
			}
		}
	}
	return x.broken(mayHaveRun, last)
}

// broken returns the refusal of a request that got no answer. Only a request that provably did not run gets
// one that says so.
func (x *exchange) broken(mayHaveRun bool, err error) *refusal {
	switch {
	case x.r.Context().Err() != nil:
		return &refusal{status: http.StatusBadGateway, reason: "caller-left", err: err}
	case errors.Is(x.ctx.Err(), context.DeadlineExceeded) && mayHaveRun:
		return &refusal{status: http.StatusGatewayTimeout, reason: "timeout", err: err}
	case mayHaveRun:
		return &refusal{status: http.StatusBadGateway, reason: "no-whole-answer", err: err}
	default:
		return &refusal{status: http.StatusServiceUnavailable, reason: "no-server", retryAfter: jitter(retryBusy), err: err}
	}
}

// jitter spreads a pause over plus or minus a third, so that callers do not come back together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.67 + 0.66*rand.Float64()))
}

// deliver passes a signed answer on. replace tells that another server could still be asked: then an
// idempotent request's failed answer is not passed on.
func (x *exchange) deliver(choice *balance.Choice, began time.Time, answer *upstream.Answer, replace bool) *upstream.Failure {
	defer answer.Close()
	if answer.Status >= 500 && replace && x.route.Kind == catalog.Idempotent {
		return upstream.NewFailure(verdict.MayHaveRun, "status-"+strconv.Itoa(answer.Status), Error.New("status %d", answer.Status))
	}
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferBytes))
	if err != nil {
		return upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonGarbled, err)
	}
	rest := len(head) == bufferBytes
	x.begin(answer, len(head), rest)
	_, err = x.w.Write(head)
	if err == nil && rest {
		_, err = io.Copy(x.w, answer.Body)
	}
	if err != nil {
		return upstream.NewFailure(verdict.MayHaveRun, upstream.ReasonRead, err)
	}
	told := balance.Answered
	if answer.Status >= 500 {
		told = balance.Failed
	}
	x.note(choice, began, strconv.Itoa(answer.Status), told)
	return nil
}

// begin passes an answer's status and headers on. length is the body's, unless there is more than was read.
func (x *exchange) begin(answer *upstream.Answer, length int, more bool) {
	h := x.w.Header()
	for name, values := range answer.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Te", "Upgrade", "Content-Length":
		default:
			h[name] = values
		}
	}
	if _, named := h["Content-Type"]; !named {
		h["Content-Type"] = nil // or net/http would guess one
	}
	switch {
	case !more:
		h["Content-Length"] = []string{strconv.Itoa(length)}
	case answer.Length >= 0:
		h["Content-Length"] = []string{strconv.FormatInt(answer.Length, 10)}
	}
	x.begun = true
	x.w.WriteHeader(answer.Status)
}
