package filter

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/rookpass/rookpass/internal/base/verdict"
)

// WithTrace starts the "entry" span of a request. The spans of one request share rookpass.request_id.
func WithTrace(tracer trace.Tracer) Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			ctx, span := tracer.Start(ctx, "entry", trace.WithAttributes(
				attribute.String("rookpass.program_id", r.Execute.ProgramId),
				attribute.String("rookpass.request_id", requestID(r))))
			defer span.End()
			err := next(ctx, r, send)
			if err != nil {
				typed := verdict.Of(err)
				span.SetStatus(codes.Error, string(typed.Code))
				span.SetAttributes(attribute.String("rookpass.verdict", typed.Verdict.String()))
			}
			return err
		}
	}
}

func requestID(r *Request) string {
	switch {
	case r.Execute.GetCall() != nil:
		return r.Execute.GetCall().RequestId
	case r.Execute.GetResume() != nil:
		return r.Execute.GetResume().RequestId
	case r.Execute.GetSend() != nil:
		return r.Execute.GetSend().RequestId
	case r.Execute.GetStart() != nil:
		return r.Execute.GetStart().IdempotencyKey
	default:
		return ""
	}
}
