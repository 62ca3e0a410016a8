package policy

import "time"

// ConfigAgeLimits tell how old a daemon's configuration may be to accept a caller's key, and to deny one. Zero is no bound.
type ConfigAgeLimits struct {
	// Accept: a key that was withdrawn longer ago must not be accepted, so a daemon that may have missed its withdrawal
	// accepts none.
	Accept time.Duration
	// Deny: a key that was added longer ago must not be denied, so a daemon that may have missed it says that it is not
	// sure.
	Deny time.Duration
}

// acceptMargin of the time in which a withdrawal must be in force is left for clocks that run at different speeds, a
// thousandth at most, and the time between the decision and its being carried out.
const acceptMargin = 0.05

// NewConfigAgeLimits returns the bounds for a withdrawal that must be in force after a time everywhere, and for a change that
// must be in force after a time at daemons in touch; 0 where there is no such bound.
func NewConfigAgeLimits(revocation, change time.Duration) ConfigAgeLimits {
	return ConfigAgeLimits{Accept: revocation - time.Duration(acceptMargin*float64(revocation)), Deny: change}
}

// KeyStatus is what a daemon may say of a caller's key.
type KeyStatus int

// The proofs.
const (
	// KeyUnknown keys may or may not be in force: nobody may say that they are not, nor act as if they were.
	KeyUnknown KeyStatus = iota
	// KeyValid keys are an organisation's.
	KeyValid
	// KeyInvalid keys are nobody's.
	KeyInvalid
)

// KeyStatus returns what may be said of a key that a configuration of an age has, or has not.
func (l ConfigAgeLimits) KeyStatus(known bool, age time.Duration) KeyStatus {
	switch {
	case l.Accept > 0 && age > l.Accept:
		return KeyUnknown
	case known:
		return KeyValid
	case l.Deny > 0 && age > l.Deny:
		return KeyUnknown
	default:
		return KeyInvalid
	}
}
