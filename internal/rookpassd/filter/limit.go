package filter

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// defaultMaxCalls applies to organisations without a configured limit.
const defaultMaxCalls = 64

// limitRetry is the retry delay given to callers when the limit is reached.
const limitRetry = 200 * time.Millisecond

// Limits counts the concurrent requests of each organisation at this daemon.
type Limits struct {
	mu     sync.Mutex
	counts map[string]int32
}

// NewLimits returns Limits without any requests.
func NewLimits() *Limits { return &Limits{counts: map[string]int32{}} }

// acquire counts a request. It returns false if the limit is reached.
func (l *Limits) acquire(organisation string, bound int32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[organisation] >= bound {
		return false
	}
	l.counts[organisation]++
	return true
}

func (l *Limits) release(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[organisation]--
	if l.counts[organisation] == 0 {
		delete(l.counts, organisation)
	}
}

// WithLimits limits the concurrent requests of each organisation at this daemon, running and queued, so that no
// organisation exhausts the memory and streams of the others.
func WithLimits(store *config.Store, limits *Limits) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			bound := store.View().Organisations[r.Organisation].GetMaxCalls()
			if bound == 0 {
				bound = defaultMaxCalls
			}
			if !limits.acquire(r.Organisation, bound) {
				return verdict.RetryLater(verdict.Overloaded, limitRetry, "organisation has reached its limit of %d concurrent calls at this daemon", bound)
			}
			defer limits.release(r.Organisation)
			return next(ctx, r, send)
		}
	}
}

// Organisations returns the number of organisations with requests in progress at this daemon.
func (l *Limits) Organisations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.counts)
}
