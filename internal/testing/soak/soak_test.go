package soak

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortRun runs the plan of one seed on real daemons.
func TestShortRun(t *testing.T) {
	size := SmallSize
	size.Length = 5 * time.Second
	runPlan(t, GeneratePlan(7, size), 31)
}

// TestTermWhilePaused: a daemon that gets SIGTERM while it is paused has to be resumed, or it can't stop within its
// grace period.
func TestTermWhilePaused(t *testing.T) {
	plan, err := ParsePlan([]byte(`{"seed":5117,"fronts":2,"stores":3,"servers":4,"callers":4,"length":4000000000,"faults":[
		{"kind":"pause","at":500000000,"for":2000000000,"target":1},{"kind":"term","at":1200000000,"for":300000000,"target":1}]}`))
	assert.NilError(t, err)
	runPlan(t, plan, 32)
}

// runPlan runs a plan on real daemons and fails the test if an invariant is violated.
func runPlan(t *testing.T, plan Plan, network int) {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "rookpass-node")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/rookpass/rookpass/cmd/rookpass-node").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	result, err := Run(context.Background(), plan, binary, t.TempDir(), network)
	assert.NilError(t, err)
	t.Logf("%d faults: %v", len(plan.Faults), result.Counts)
	assert.Equal(t, len(result.Violations), 0, "%s\nplan: %s", strings.Join(result.Violations, "\n"), plan)
	assert.Assert(t, result.Counts["turn whole"] > 0 && result.Counts["call whole"] > 0)
}

// TestConcurrentRunsHaveTheirOwnAddresses guards against daemons of two runs that meet one another's servers and callers.
func TestConcurrentRunsHaveTheirOwnAddresses(t *testing.T) {
	first, held, err := reserveNetwork(40)
	assert.NilError(t, err)
	second, other, err := reserveNetwork(first)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	assert.NilError(t, held.Close())
	again, third, err := reserveNetwork(first)
	assert.NilError(t, err)
	assert.Equal(t, again, first)
	assert.NilError(t, errors.Join(third.Close(), other.Close()))
	_, _, err = reserveNetwork(lastNetwork + 1)
	assert.ErrorContains(t, err, "no free network")
}

func TestPlansAreDeterministic(t *testing.T) {
	assert.Equal(t, GeneratePlan(5, SmallSize).String(), GeneratePlan(5, SmallSize).String())
	assert.Assert(t, GeneratePlan(5, SmallSize).String() != GeneratePlan(6, SmallSize).String())
	plan := GeneratePlan(5, SmallSize)
	again, err := ParsePlan([]byte(plan.String()))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, plan)
	for _, bad := range []string{"{", `{"fronts":1}`, `{"fronts":1,"stores":1,"servers":2,"callers":1,"length":1,"faults":[{"target":9}]}`} {
		_, err := ParsePlan([]byte(bad))
		assert.ErrorContains(t, err, "plan")
	}
}

// TestPlansLoseOneDiskAtATime: the daemons tolerate the loss of one disk only.
func TestPlansLoseOneDiskAtATime(t *testing.T) {
	size := SmallSize
	size.Length = time.Minute
	for seed := range uint64(300) {
		var free time.Duration
		for _, f := range GeneratePlan(seed, size).Faults {
			if f.Kind == DiskWipe || f.Kind == TornWrite {
				assert.Assert(t, f.At >= free, "seed %d: second disk lost at %v", seed, f.At)
				free = f.At + f.For + diskRecoveryTime
			}
		}
	}
}

// TestAnswerFaultsHaveTheirOwnSequence: the faults of a seed that once failed must not change when answer faults do.
func TestAnswerFaultsHaveTheirOwnSequence(t *testing.T) {
	injected := map[Kind]bool{}
	digest := sha256.New()
	for seed := range uint64(1000) {
		for _, f := range GeneratePlan(seed, SmallSize).Faults {
			if answerFaults[f.Kind] != "" {
				injected[f.Kind] = true
				continue
			}
			_, _ = fmt.Fprintln(digest, f)
		}
	}
	assert.Equal(t, fmt.Sprintf("%x", digest.Sum(nil)[:8]), "6ae4507501492191")
	assert.Equal(t, len(injected), len(answerFaults))
}
