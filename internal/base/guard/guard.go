// Package guard lets tests switch single protections off, to show that the checks of the fault matrix notice.
// Nothing but tests and measurements calls Off; in a daemon every guard is on.
package guard

import "sync/atomic"

// Guard is one protection.
type Guard uint32

// The guards.
const (
	// SequenceCheck refuses a call whose sequence is not the program's next.
	SequenceCheck Guard = 1 << iota
	// Seal ends a dead daemon's log before its partitions are taken.
	Seal
	// Budget refuses a call whose worst case is not left in the budget.
	Budget
	// CacheRelease makes engines drop the cache of ended programs.
	CacheRelease
	// DurableAnswers holds a final answer back until its record is durable.
	DurableAnswers
	// UncertainVerdict calls a request that may have left "may have run".
	UncertainVerdict
	// IntentRecord makes a call that must not be repeated durable before it leaves.
	IntentRecord
	// Draining keeps new work from a backend server that is leaving.
	Draining
	// GracefulStop lets calls under way finish in a planned stop.
	GracefulStop
	// CompleteStream takes a stream that ends early for a broken call, not for an answer.
	CompleteStream
	// MonotonicConfig keeps an older configuration from replacing a newer one.
	MonotonicConfig
)

var off atomic.Uint32

// Enabled tells whether a guard protects.
func Enabled(g Guard) bool { return off.Load()&uint32(g) == 0 }

// Disable switches guards off until the returned function is called.
func Disable(g Guard) (restore func()) {
	old := off.Load()
	off.Store(old | uint32(g))
	return func() { off.Store(old) }
}
