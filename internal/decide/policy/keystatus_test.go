package policy_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/policy"
)

func TestKeyStatus(t *testing.T) {
	bounds := policy.NewConfigAgeLimits(5*time.Second, 3*time.Second)
	for _, c := range []struct {
		known bool
		age   time.Duration
		want  policy.KeyStatus
	}{
		{true, 0, policy.KeyValid},
		{true, 4700 * time.Millisecond, policy.KeyValid},
		{true, 4800 * time.Millisecond, policy.KeyUnknown}, // the key may have been revoked almost 5 s ago
		{true, math.MaxInt64, policy.KeyUnknown},
		{false, 0, policy.KeyInvalid},
		{false, 2900 * time.Millisecond, policy.KeyInvalid},
		{false, 3100 * time.Millisecond, policy.KeyUnknown}, // the key may have been added 3 s ago
		{false, math.MaxInt64, policy.KeyUnknown},
	} {
		assert.Equal(t, bounds.KeyStatus(c.known, c.age), c.want, "known %t, %v old", c.known, c.age)
	}
	unbounded := policy.NewConfigAgeLimits(0, 0)
	assert.Equal(t, unbounded.KeyStatus(true, math.MaxInt64), policy.KeyValid, "where withdrawals need not be in force at once")
	assert.Equal(t, unbounded.KeyStatus(false, math.MaxInt64), policy.KeyInvalid)
}
