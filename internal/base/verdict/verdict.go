// Package verdict defines errors that carry whether the failed request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/zeebo/errs"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"google.golang.org/genproto/googleapis/rpc/errdetails"

	rookpassv1 "github.com/rookpass/rookpass/api/rookpass/v1"
)

// Verdict is whether a request had an effect outside rookpass.
type Verdict int

// The verdicts. The zero value is MayHaveRun, the one that promises nothing.
const (
	MayHaveRun Verdict = iota
	NotRun
	Ran
)

// String returns the verdict in words, as used in error messages.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Proto returns the verdict's protobuf enum value.
func (v Verdict) Proto() rookpassv1.Verdict {
	switch v {
	case NotRun:
		return rookpassv1.Verdict_VERDICT_NOT_RUN
	case Ran:
		return rookpassv1.Verdict_VERDICT_RAN
	default:
		return rookpassv1.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

// FromProto returns the verdict of a protobuf enum value. Unset and unknown values become MayHaveRun.
func FromProto(v rookpassv1.Verdict) Verdict {
	switch v {
	case rookpassv1.Verdict_VERDICT_NOT_RUN:
		return NotRun
	case rookpassv1.Verdict_VERDICT_RAN:
		return Ran
	default:
		return MayHaveRun
	}
}

// Code is the stable name of a kind of error.
type Code string

// The codes that callers and operators see. docs/OPERATIONS.md explains how to handle each.
const (
	Unauthenticated Code = "UNAUTHENTICATED"
	Forbidden       Code = "FORBIDDEN"
	Invalid         Code = "INVALID"
	NotFound        Code = "NOT_FOUND"
	Conflict        Code = "CONFLICT"
	OutOfOrder      Code = "OUT_OF_ORDER"
	Ended           Code = "ENDED"
	BudgetExhausted Code = "BUDGET_EXHAUSTED"
	LimitReached    Code = "LIMIT_REACHED"
	Overloaded      Code = "OVERLOADED"
	Unavailable     Code = "UNAVAILABLE"
	NotOwner        Code = "NOT_OWNER"
	Timeout         Code = "TIMEOUT"
	Lost            Code = "LOST"
)

var grpcCodes = map[Code]codes.Code{
	Unauthenticated: codes.Unauthenticated,
	Forbidden:       codes.PermissionDenied,
	Invalid:         codes.InvalidArgument,
	NotFound:        codes.NotFound,
	Conflict:        codes.Aborted,
	OutOfOrder:      codes.FailedPrecondition,
	Ended:           codes.FailedPrecondition,
	BudgetExhausted: codes.ResourceExhausted,
	LimitReached:    codes.ResourceExhausted,
	Overloaded:      codes.ResourceExhausted,
	Unavailable:     codes.Unavailable,
	NotOwner:        codes.Unavailable,
	Timeout:         codes.DeadlineExceeded,
	Lost:            codes.Unknown,
}

// class is the class of the causes that this package creates.
var class = errs.Class("rookpass")

// Error is an error with a code and a verdict.
type Error struct {
	Code    Code
	Verdict Verdict
	// RetryAfter is the delay before a retry; 0 means that the same request will never succeed.
	RetryAfter time.Duration
	// CurrentVersion is the object's current version if Code is Conflict.
	CurrentVersion uint64
	err            error
}

// Error returns the code, the verdict and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%s): %v", e.Code, e.Verdict, e.err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Refuse returns an error for a request that did not run and must not be retried unchanged.
func Refuse(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: NotRun, err: class.New(format, args...)}
}

// RetryLater returns an error for a request that did not run and may be retried after a delay.
func RetryLater(code Code, after time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: NotRun, RetryAfter: after, err: class.New(format, args...)}
}

// Unknown returns an error for a request that may have run.
func Unknown(code Code, after time.Duration, format string, args ...any) *Error {
	return &Error{Code: code, Verdict: MayHaveRun, RetryAfter: after, err: class.New(format, args...)}
}

// Of returns the *Error in err's chain. Any other error becomes one with the code Lost and the verdict MayHaveRun.
func Of(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Code: Lost, Verdict: MayHaveRun, err: class.Wrap(err)}
}

// IsCode reports whether err's chain holds an *Error with the code.
func IsCode(err error, code Code) bool {
	var typed *Error
	return errors.As(err, &typed) && typed.Code == code
}

// GRPC returns err as a gRPC status error with an ErrorDetail. A nil error stays nil.
func GRPC(err error) error {
	if err == nil {
		return nil
	}
	typed := Of(err)
	grpcCode, known := grpcCodes[typed.Code]
	if !known {
		grpcCode = codes.Unknown
	}
	detail := &rookpassv1.ErrorDetail{
		Code:           string(typed.Code),
		Verdict:        typed.Verdict.Proto(),
		RetryAfterMs:   typed.RetryAfter.Milliseconds(),
		CurrentVersion: typed.CurrentVersion,
	}
	st, buildErr := status.New(grpcCode, typed.Unwrap().Error()).WithDetails(detail,
		&errdetails.RetryInfo{RetryDelay: durationpb.New(typed.RetryAfter)})
	if buildErr != nil {
		return status.Error(grpcCode, typed.Error())
	}
	return st.Err()
}

// FromGRPC returns the *Error that a status error carries. A status without an ErrorDetail was not made by rookpass,
// so its request may have run.
func FromGRPC(err error) *Error {
	st, _ := status.FromError(err)
	for _, detail := range st.Details() {
		if d, ok := detail.(*rookpassv1.ErrorDetail); ok {
			return &Error{
				Code:           Code(d.Code),
				Verdict:        FromProto(d.Verdict),
				RetryAfter:     time.Duration(d.RetryAfterMs) * time.Millisecond,
				CurrentVersion: d.CurrentVersion,
				err:            errors.New(st.Message()),
			}
		}
	}
	return Unknown(Lost, time.Second, "%v", err)
}
