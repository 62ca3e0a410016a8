// Package guard holds switches for single protections. Tests disable one to prove that the checks of the fault matrix
// detect its absence. Only tests and benchmarks call Disable; in a daemon every guard is enabled.
package guard

import "sync/atomic"

// Guard is a bit mask of protections.
type Guard uint32

// The guards, one bit each.
const (
	// SequenceCheck rejects a call whose sequence number is not the program's next.
	SequenceCheck Guard = 1 << iota
	// Seal seals a dead daemon's log before its partitions are taken over.
	Seal
	// Budget rejects a call whose worst-case cost exceeds the remaining budget.
	Budget
	// CacheRelease makes engines drop the cache of ended programs.
	CacheRelease
	// DurableAnswers delays a final answer until its record is durable.
	DurableAnswers
	// UncertainVerdict reports "may have run" for a failed request that may have been sent.
	UncertainVerdict
	// IntentRecord makes a record of a non-idempotent call durable before the call is sent.
	IntentRecord
	// Draining keeps new calls from a draining backend server.
	Draining
	// GracefulStop lets calls in progress finish in a planned stop.
	GracefulStop
	// CompleteStream treats a stream that ends early as a failed call, not as a complete answer.
	CompleteStream
	// MonotonicConfig keeps an older configuration from replacing a newer one.
	MonotonicConfig
)

var off atomic.Uint32

// Enabled reports whether g is enabled.
func Enabled(g Guard) bool { return off.Load()&uint32(g) == 0 }

// Disable disables guards until restore is called.
func Disable(g Guard) (restore func()) {
	old := off.Load()
	off.Store(old | uint32(g))
	return func() { off.Store(old) }
}
