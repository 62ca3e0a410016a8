package filter

import (
	"context"
	"sync"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// defaultMaxCalls bounds an organisation that names no bound.
const defaultMaxCalls = 64

// limitRetry is when to come back after the bound was reached.
const limitRetry = 200 * time.Millisecond

// Limits counts the requests that each organisation has in this daemon.
type Limits struct {
	mu     sync.Mutex
	counts map[string]int32
}

// NewLimits returns counters at zero.
func NewLimits() *Limits { return &Limits{counts: map[string]int32{}} }

// enter counts a request unless the bound is reached.
func (l *Limits) enter(organisation string, bound int32) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts[organisation] >= bound {
		return false
	}
	l.counts[organisation]++
	return true
}

func (l *Limits) leave(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[organisation]--
	if l.counts[organisation] == 0 {
		delete(l.counts, organisation)
	}
}

// WithLimits bounds the requests that an organisation has in this daemon at once, running and waiting, so
// that none takes the memory and streams of the others.
func WithLimits(store *config.Store, limits *Limits) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			bound := store.View().Organisations[r.Organisation].GetMaxCalls()
			if bound == 0 {
				bound = defaultMaxCalls
			}
			if !limits.enter(r.Organisation, bound) {
				return verdict.RetryLater(verdict.Overloaded, limitRetry, "organisation has its %d calls here", bound)
			}
			defer limits.leave(r.Organisation)
			return next(ctx, r, send)
		}
	}
}

// Organisations returns how many organisations have requests here now.
func (l *Limits) Organisations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.counts)
}
