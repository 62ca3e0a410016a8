package objectapi

import (
	"fmt"
	"net/http"
)

// ErrorFromStatus returns the outcome that the HTTP status of an answer tells; unclear is that of a call whose status
// tells nothing certain.
func ErrorFromStatus(status int, unclear error) error {
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
		return fmt.Errorf("%w: status %d", unclear, status)
	}
}
