package filter

import (
	"context"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
	"github.com/rookpass/rookpass/internal/base/verdict"
)

// Limits on request fields.
const (
	maxIDBytes     = 128
	maxReasonBytes = 256
	maxInputBytes  = 256 << 10
	maxPathBytes   = 2048
	maxPriority    = 9
	// maxMaxTokens is the largest max_tokens of one call.
	maxMaxTokens = 1 << 17
)

// WithValidation refuses requests with missing or out-of-range fields.
func WithValidation() Filter {
	return func(next Handler) Handler {
		return func(ctx context.Context, r *Request, send Send) error {
			if err := validate(r); err != nil {
				return err
			}
			return next(ctx, r, send)
		}
	}
}

func validate(r *Request) error {
	if body := r.Execute.GetStart(); body != nil {
		return validateStart(body)
	}
	if body := r.Execute.GetSend(); body != nil {
		return validateSend(body)
	}
	if err := checkID("program_id", r.Execute.ProgramId); err != nil {
		return err
	}
	if body := r.Execute.GetCall(); body != nil {
		return validateCall(body)
	}
	if body := r.Execute.GetResume(); body != nil {
		if body.Offset < 0 {
			return invalid("offset", "is negative")
		}
		return checkID("request_id", body.RequestId)
	}
	if body := r.Execute.GetEnd(); body != nil && len(body.Reason) > maxReasonBytes {
		return invalid("reason", "is above 256 bytes")
	}
	return nil
}

func validateStart(body *rookpassv1.StartProgramRequest) error {
	switch {
	case body.Definition == "":
		return invalid("definition", "is missing")
	case body.BudgetTokens < 0:
		return invalid("budget_tokens", "is negative")
	case body.Priority < 0 || body.Priority > maxPriority:
		return invalid("priority", "is not within 0 to 9")
	}
	return checkID("idempotency_key", body.IdempotencyKey)
}

func validateCall(body *rookpassv1.CallRequest) error {
	switch {
	case body.Sequence == 0:
		return invalid("sequence", "is missing")
	case body.Target == "":
		return invalid("target", "is missing")
	case len(body.Input) > maxInputBytes:
		return invalid("input", "is above 256 KiB")
	case body.MaxTokens < 0 || body.MaxTokens > maxMaxTokens:
		return invalid("max_tokens", "is not within 0 to 131072")
	case body.ChildBudgetTokens < 0:
		return invalid("child_budget_tokens", "is negative")
	}
	switch body.Kind {
	case rookpassv1.CallKind_CALL_KIND_MODEL, rookpassv1.CallKind_CALL_KIND_TOOL, rookpassv1.CallKind_CALL_KIND_PLAIN:
	case rookpassv1.CallKind_CALL_KIND_SUB_AGENT:
		if body.ChildBudgetTokens == 0 {
			return invalid("child_budget_tokens", "is missing")
		}
	default:
		return invalid("kind", "is missing or unknown")
	}
	return checkID("request_id", body.RequestId)
}

func validateSend(body *rookpassv1.SendRequest) error {
	switch {
	case body.Target == "":
		return invalid("target", "is missing")
	case len(body.Path) > maxPathBytes:
		return invalid("path", "is above 2048 bytes")
	case body.Path != "" && body.Path[0] != '/':
		return invalid("path", "does not begin with /")
	case len(body.Body) > maxInputBytes:
		return invalid("body", "is above 256 KiB")
	}
	return checkID("request_id", body.RequestId)
}

func checkID(field, id string) error {
	if id == "" {
		return invalid(field, "is missing")
	}
	if len(id) > maxIDBytes {
		return invalid(field, "is above 128 bytes")
	}
	return nil
}

func invalid(field, problem string) error {
	return verdict.Refuse(verdict.Invalid, "%s %s", field, problem)
}
