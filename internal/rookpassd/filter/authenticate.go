package filter

import (
	"context"

	"github.com/rookpass/rookpass/internal/rookpassd/auth"
	"github.com/rookpass/rookpass/internal/rookpassd/config"
	"github.com/rookpass/rookpass/internal/rookpassd/program"
)

// WithAuthentication authenticates the caller's organisation and sets it on the request. For starts and plain
// requests it also derives the program id from the organisation and the idempotency key or request id.
func WithAuthentication(store *config.Store) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			organisation, err := auth.Caller(store.View(), r.Authorization)
			if err != nil {
				return err
			}
			r.Organisation = organisation
			r.Execute.Organisation = organisation
			if start := r.Execute.GetStart(); start != nil {
				r.Execute.ProgramId = program.RootID(organisation, start.IdempotencyKey)
			}
			if body := r.Execute.GetSend(); body != nil {
				r.Execute.ProgramId = program.SingleRequestID(organisation, body.RequestId)
			}
			return next(ctx, r, send)
		}
	}
}
