package objectapi

import (
	"fmt"
	"net/http"
)

// ErrorFromStatus maps the HTTP status of a response to one of this package's errors, or nil for success. A status
// that does not determine the outcome becomes ambiguous.
func ErrorFromStatus(status int, ambiguous error) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		return ErrConflict
	case http.StatusGone:
		return ErrGone
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("%w: status %d", ambiguous, status)
	}
}
