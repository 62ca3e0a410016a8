package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// ServiceFaults are the faults of a Service. Tests set them with SetFaults, other processes with POST /faults.
type ServiceFaults struct {
	// Refuse rejects requests with 503 before they have an effect.
	Refuse bool `json:"refuse"`
	// HangMillis delays the answer after the effect, in milliseconds.
	HangMillis int64 `json:"hang_ms"`
	// DropAnswer closes the connection after the effect, without an answer.
	DropAnswer bool `json:"drop_answer"`
	// Status replaces the status 200 if it is not 0.
	Status int `json:"status"`
}

// Effect is a request that a service has executed.
type Effect struct {
	Path      string
	RequestID string
	Body      string
}

// Service is a stand-in for a tool service or plain service. It echoes request bodies and records the executed requests.
type Service struct {
	// Delay is the duration of each request.
	Delay time.Duration

	mu      sync.Mutex
	faults  ServiceFaults
	effects []Effect
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Effects returns all executed requests in order.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// Handler returns the handler of the service. /faults sets faults, /effects lists the effects, and all other paths
// execute a request.
func (s *Service) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		switch path := string(ctx.Path()); path {
		case "/faults":
			s.postFaults(ctx)
		case "/effects":
			respond(ctx, s.Effects(), nil)
		default:
			s.serve(ctx, path)
		}
	}
}

func (s *Service) postFaults(ctx *fasthttp.RequestCtx) {
	var faults ServiceFaults
	if err := json.Unmarshal(ctx.PostBody(), &faults); err != nil {
		ctx.Error(err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Service) serve(ctx *fasthttp.RequestCtx, path string) {
	s.mu.Lock()
	faults := s.faults
	if faults.Refuse {
		s.mu.Unlock()
		ctx.Response.Header.Set("Retry-After", "1")
		ctx.SetStatusCode(http.StatusServiceUnavailable)
		return
	}
	effect := Effect{Path: path, RequestID: string(ctx.Request.Header.Peek("X-Request-Id")), Body: string(ctx.PostBody())}
	s.effects = append(s.effects, effect)
	count := len(s.effects)
	s.mu.Unlock()
	time.Sleep(s.Delay + time.Duration(faults.HangMillis)*time.Millisecond)
	if faults.DropAnswer {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if faults.Status != 0 {
		ctx.SetStatusCode(faults.Status)
	}
	name := path[strings.LastIndex(path, "/")+1:]
	ctx.SetBodyString(fmt.Sprintf("%s answered %q (effect %d)\n", name, effect.Body, count))
}
