package entry

import (
	"context"
	"time"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/rookpassd/filter"
	"github.com/rookpass/rookpass/internal/rookpassd/holder"
)

// lookupTimeout limits a plain lookup.
const lookupTimeout = 10 * time.Second

// Services sends requests to plain services. *backend.Runner implements it.
type Services interface {
	Service(ctx context.Context, call holder.ServiceCall) (holder.ServiceResult, error)
}

// WithLookups serves idempotent plain requests at this daemon, because they need no durable state. All other
// requests are passed on.
func WithLookups(services Services) filter.Filter {
	return func(next filter.Handler) filter.Handler {
		return func(ctx context.Context, r *filter.Request, send filter.Send) error {
			body := r.Execute.GetSend()
			if body == nil || !body.Idempotent {
				return next(ctx, r, send)
			}
			result, err := services.Service(ctx, holder.ServiceCall{
				Organisation: r.Organisation,
				RequestID:    body.RequestId,
				Kind:         holder.KindPlain,
				Service:      body.Target,
				Path:         body.Path,
				Body:         body.Body,
				Idempotent:   true,
				Timeout:      lookupTimeout,
			})
			if err != nil {
				return err
			}
			return send(&peerv1.ExecuteEvent{Event: &peerv1.ExecuteEvent_Sent{Sent: &rookpassv1.SendResponse{
				Status: int32(result.Status), Body: result.Body, Verdict: rookpassv1.Verdict_VERDICT_RAN,
			}}})
		}
	}
}
