package policy_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

// TestGraceUntil checks that missing entries have a grace period only after outages in which they can expire.
func TestGraceUntil(t *testing.T) {
	expiry := policy.NewLeaseExpiry(1200 * time.Millisecond)
	now := time.Now()
	for _, row := range []struct {
		gap   time.Duration
		grace bool
	}{
		{500 * time.Millisecond, false},
		{1800 * time.Millisecond, false}, // an idle watch
		{2100 * time.Millisecond, false}, // an idle watch and a slow response
		{2200 * time.Millisecond, true},  // two heartbeats, less the jitter
		{time.Hour, true},
	} {
		until := expiry.GraceUntil(now.Add(-row.gap), now)
		assert.Equal(t, !until.IsZero(), row.grace, "%v", row.gap)
		if row.grace {
			assert.Equal(t, until.Sub(now), 2200*time.Millisecond)
		}
	}
	assert.Assert(t, !expiry.GraceUntil(time.Time{}, now).IsZero(), "no state was ever confirmed")
}
