package filter

import (
	"context"
	"slices"
	"time"

	"github.com/rookpass/rookpass/internal/base/verdict"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
)

// staleRetry is when to come back to a daemon whose configuration may be old.
const staleRetry = 5 * time.Second

// WithAdmission refuses new work while this daemon's configuration may be out of date, and requests for what
// the organisation may not use.
func WithAdmission(store *config.Store, maxAge time.Duration) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			if !store.Fresh(maxAge) {
				return verdict.RetryLater(verdict.Unavailable, staleRetry, "configuration could not be confirmed for %v", maxAge)
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
