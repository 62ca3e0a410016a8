package filter

import (
	"context"
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// staleRetry is the retry delay given to callers while the configuration may be stale.
const staleRetry = 5 * time.Second

// WithAdmission refuses all requests while this daemon's configuration is older than maxAge, and requests for
// definitions or plain services that the organisation may not use.
func WithAdmission(store *config.Store, maxAge time.Duration) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			if !store.Fresh(maxAge) {
				return verdict.RetryLater(verdict.Unavailable, staleRetry, "configuration has not been confirmed for %v", maxAge)
			}
			organisation := store.View().Organisations[r.Organisation]
			if start := r.Execute.GetStart(); start != nil && !slices.Contains(organisation.GetDefinitions(), start.Definition) {
				return verdict.Refuse(verdict.NotFound, "no definition %q", start.Definition)
			}
			if body := r.Execute.GetSend(); body != nil && !slices.Contains(organisation.GetPlainServices(), body.Target) {
				return verdict.Refuse(verdict.NotFound, "no service %q", body.Target)
			}
			return next(ctx, r, send)
		}
	}
}
