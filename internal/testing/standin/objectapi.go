// Package standin has simple stand-ins for the external systems: object API, VM list, model engine, tool service, plain
// service and weight store. They implement the protocols that rookpass uses, and some can inject faults.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// ObjectAPI returns a handler that serves an objectapi.API over HTTP.
func ObjectAPI(api objectapi.API) fasthttp.RequestHandler {
	s := &objectServer{api: api}
	r := router.New()
	r.GET("/v1/objects", s.list)
	r.GET("/v1/objects/{key:*}", s.get)
	r.PUT("/v1/objects/{key:*}", s.put)
	r.DELETE("/v1/objects/{key:*}", s.delete)
	r.GET("/v1/watch", s.watch)
	return r.Handler
}

type objectServer struct{ api objectapi.API }

func (s *objectServer) list(ctx *fasthttp.RequestCtx) {
	snapshot, err := s.api.List(context.Background(), string(ctx.QueryArgs().Peek("prefix")))
	respond(ctx, snapshot, err)
}

func (s *objectServer) get(ctx *fasthttp.RequestCtx) {
	object, err := s.api.Get(context.Background(), objectKey(ctx))
	respond(ctx, object, err)
}

func (s *objectServer) put(ctx *fasthttp.RequestCtx) {
	object, err := s.api.Put(context.Background(), objectKey(ctx), ctx.PostBody(), queryNumber(ctx, "version"))
	object.Value = nil
	respond(ctx, object, err)
}

func (s *objectServer) delete(ctx *fasthttp.RequestCtx) {
	version, err := s.api.Delete(context.Background(), objectKey(ctx), queryNumber(ctx, "version"))
	respond(ctx, objectapi.Object{Version: version}, err)
}

func (s *objectServer) watch(ctx *fasthttp.RequestCtx) {
	var prefixes []string
	for _, prefix := range ctx.QueryArgs().PeekMulti("prefix") {
		prefixes = append(prefixes, string(prefix))
	}
	wait := time.Duration(queryNumber(ctx, "wait_ms")) * time.Millisecond
	batch, err := s.api.Wait(context.Background(), prefixes, queryNumber(ctx, "after"), wait)
	respond(ctx, batch, err)
}

func objectKey(ctx *fasthttp.RequestCtx) string {
	key, _ := ctx.UserValue("key").(string)
	return key
}

func queryNumber(ctx *fasthttp.RequestCtx, name string) uint64 {
	value, _ := strconv.ParseUint(string(ctx.QueryArgs().Peek(name)), 10, 64)
	return value
}

var objectStatus = map[error]int{
	objectapi.ErrNotFound:    http.StatusNotFound,
	objectapi.ErrConflict:    http.StatusConflict,
	objectapi.ErrGone:        http.StatusGone,
	objectapi.ErrTooLarge:    http.StatusRequestEntityTooLarge,
	objectapi.ErrUnavailable: http.StatusServiceUnavailable,
}

func respond(ctx *fasthttp.RequestCtx, answer any, err error) {
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		for known, status := range objectStatus {
			if errors.Is(err, known) {
				ctx.SetStatusCode(status)
			}
		}
		return
	}
	body, err := json.Marshal(answer)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
