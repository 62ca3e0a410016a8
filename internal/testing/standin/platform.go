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

// VMList is a stand-in for the platform's list of VMs, in which changes appear after a delay.
type VMList struct {
	// Lag is the delay until a change appears.
	Lag time.Duration

	mu  sync.Mutex
	vms []VM
}

// Set replaces the list after Lag. It does not wait.
func (l *VMList) Set(vms []VM) {
	time.AfterFunc(l.Lag, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.vms = vms
	})
}

// Handler returns a handler that answers every request with the list.
func (l *VMList) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		l.mu.Lock()
		vms := append([]VM{}, l.vms...)
		l.mu.Unlock()
		respond(ctx, vms, nil)
	}
}

// WeightStore is a stand-in for the store of model weights. Its throughput is limited.
type WeightStore struct{ limiter *rate.Limiter }

// NewWeightStore returns a store that serves at most bytesPerSecond.
func NewWeightStore(bytesPerSecond int) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond)}
}

// weightBytes is the size of the weights of each model.
const weightBytes = 64 << 10

// Handler returns a handler that answers every request with weightBytes zero bytes.
func (s *WeightStore) Handler() fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if s.limiter.WaitN(context.Background(), weightBytes) != nil {
			ctx.SetStatusCode(http.StatusTooManyRequests)
			return
		}
		ctx.SetBody(make([]byte, weightBytes))
	}
}
