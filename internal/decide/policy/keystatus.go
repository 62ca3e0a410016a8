package policy

import "time"

// ConfigAgeLimits bound the age of a daemon's configuration for accepting a caller's key, and for denying one. Zero
// means no limit.
type ConfigAgeLimits struct {
	// Accept is the largest age at which a key may be accepted: a daemon with an older configuration may have missed
	// its revocation.
	Accept time.Duration
	// Deny is the largest age at which an unknown key may be denied: a daemon with an older configuration may have
	// missed its addition.
	Deny time.Duration
}

// acceptMargin is the fraction of the revocation delay that is reserved for clock drift, at most 0.1%, and for the
// time from the decision to its execution.
const acceptMargin = 0.05

// NewConfigAgeLimits returns the limits where a revocation must be in force everywhere after the given time, and a
// change at all connected daemons; 0 means no limit.
func NewConfigAgeLimits(revocation, change time.Duration) ConfigAgeLimits {
	return ConfigAgeLimits{Accept: revocation - time.Duration(acceptMargin*float64(revocation)), Deny: change}
}

// KeyStatus is what a daemon can say about a caller's key.
type KeyStatus int

// Values of KeyStatus.
const (
	// KeyUnknown means that the configuration is too old to tell: the key must be neither accepted nor denied.
	KeyUnknown KeyStatus = iota
	// KeyValid means that the key belongs to an organisation.
	KeyValid
	// KeyInvalid means that the key belongs to no organisation.
	KeyInvalid
)

// KeyStatus returns the status of a key, given whether the configuration contains it and the configuration's age.
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
