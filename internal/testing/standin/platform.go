package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// VM is one entry of the VM list.
type VM struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// VMList serves the platform's list of VMs. It lags: changes show after a delay.
type VMList struct {
	// Lag is how late changes show.
	Lag time.Duration

	mu  sync.Mutex
	vms []VM
}

// Set replaces the list once the lag has passed.
func (l *VMList) Set(vms []VM) {
	time.AfterFunc(l.Lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	})
}

// Handler serves GET /v1/vms.
func (l *VMList) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		l.mu.Lock()
		vms := append([]VM{}, l.vms...)
		l.mu.Unlock()
		respond(ctx, vms, nil)
	}
}

// WeightStore serves model weights within a rate.
type WeightStore struct{ limiter *rate.Limiter }

// NewWeightStore returns a store that serves so many bytes a second.
func NewWeightStore(bytesPerSecond int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)}
}

// weightBytes is the size of every model's weights here.
const weightBytes = 64 << 10

// Handler serves GET /v1/weights/{model}.
func (s *WeightStore) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.limiter.WaitN(context.Background(), weightBytes) != nil {
			ctx.SetStatusCode(http.StatusTooManyRequests)
			return
		}
		ctx.SetBody(make([]byte, weightBytes))
	}
}
