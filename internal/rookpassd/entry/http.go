package entry

import (
	"context"
	"encoding/json"
	"expvar"
	"net/http"
	"strconv"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/propagation"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/filter"
)

// Headers of plain requests over HTTP.
const (
	requestIDHeader = "X-Request-Id"
	verdictHeader   = "X-Rookpass-Verdict"
	codeHeader      = "X-Rookpass-Code"
)

// HTTP serves plain requests, health and metrics.
type HTTP struct {
	chain filter.Handler
	ready func() error
}

// NewHTTP returns a server. ready returns an error while the daemon should receive no new callers.
func NewHTTP(chain filter.Handler, ready func() error) *HTTP {
	return &HTTP{chain: chain, ready: ready}
}

// Handler returns the server's routes.
func (h *HTTP) Handler() fasthttp.RequestHandler {
	r := router.New()
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", h.readyz)
	r.GET("/debug/vars", fasthttpadaptor.NewFastHTTPHandler(expvar.Handler()))
	r.ANY("/plain/{service}/{path:*}", h.plain)
	return r.Handler
}

func (h *HTTP) readyz(ctx *fasthttp.RequestCtx) {
	if err := h.ready(); err != nil {
		ctx.Error(err.Error()+"\n", http.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// plain treats GET requests as idempotent lookups and all others as non-idempotent requests. The latter need a
// request id.
func (h *HTTP) plain(ctx *fasthttp.RequestCtx) {
	service, _ := ctx.UserValue("service").(string)
	path, _ := ctx.UserValue("path").(string)
	body := &rookpassv1.SendRequest{
		Target:     service,
		Path:       "/" + path,
		Body:       ctx.PostBody(),
		Idempotent: ctx.IsGet(),
		RequestId:  string(ctx.Request.Header.Peek(requestIDHeader)),
	}
	if query := ctx.QueryArgs().String(); query != "" {
		body.Path += "?" + query
	}
	if body.Idempotent && body.RequestId == "" {
		body.RequestId = strconv.FormatUint(ctx.ID(), 16)
	}
	carrier := propagation.MapCarrier{"traceparent": string(ctx.Request.Header.Peek("traceparent"))}
	traced := propagation.TraceContext{}.Extract(context.Background(), carrier)
	authorization := string(ctx.Request.Header.Peek("Authorization"))
	response, err := sendPlain(traced, h.chain, authorization, body)
	if err != nil {
		writeError(ctx, verdict.Of(err))
		return
	}
	ctx.Response.Header.Set(verdictHeader, verdict.FromProto(response.Verdict).String())
	ctx.SetStatusCode(int(response.Status))
	ctx.SetBody(response.Body)
}

var httpStatus = map[verdict.Code]int{
	verdict.Unauthenticated: http.StatusUnauthorized,
	verdict.Forbidden:       http.StatusForbidden,
	verdict.Invalid:         http.StatusBadRequest,
	verdict.NotFound:        http.StatusNotFound,
	verdict.Conflict:        http.StatusConflict,
	verdict.Overloaded:      http.StatusTooManyRequests,
	verdict.Timeout:         http.StatusGatewayTimeout,
	verdict.Lost:            http.StatusBadGateway,
}

func writeError(ctx *fasthttp.RequestCtx, err *verdict.Error) {
	status, known := httpStatus[err.Code]
	if !known {
		status = http.StatusServiceUnavailable
	}
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(verdictHeader, err.Verdict.String())
	ctx.Response.Header.Set(codeHeader, string(err.Code))
	if err.RetryAfter > 0 {
		seconds := max(1, int(err.RetryAfter.Seconds()+0.5))
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(seconds))
	}
	message, marshalErr := json.Marshal(map[string]string{"error": err.Error()})
	if marshalErr == nil {
		ctx.SetContentType("application/json")
		ctx.SetBody(message)
	}
}
