package soak

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortRun plays one seed on real daemons.
func TestShortRun(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rookpass-node")
	out, err := exec.Command("go", "build", "-o", binary, "github.com/rookpass/rookpass/cmd/rookpass-node").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	size := SmallSize
	size.Length = 5 * time.Second
	plan := Draw(7, size)
	result, err := Run(context.Background(), plan, binary, t.TempDir(), 31)
	assert.NilError(t, err)
	t.Logf("%d faults: %v", len(plan.Faults), result.Counts)
	assert.Equal(t, len(result.Broken), 0, "%s\nplan: %s", strings.Join(result.Broken, "\n"), plan)
	assert.Assert(t, result.Counts["turn whole"] > 0 && result.Counts["call whole"] > 0)
}

func TestPlansFollowTheirSeed(t *testing.T) {
	assert.Equal(t, Draw(5, SmallSize).String(), Draw(5, SmallSize).String())
	assert.Assert(t, Draw(5, SmallSize).String() != Draw(6, SmallSize).String())
	plan := Draw(5, SmallSize)
	again, err := Parse([]byte(plan.String()))
	assert.NilError(t, err)
	assert.DeepEqual(t, again, plan)
	for _, bad := range []string{"{", `{"fronts":1}`, `{"fronts":1,"stores":1,"servers":2,"callers":1,"length":1,"faults":[{"target":9}]}`} {
		_, err := Parse([]byte(bad))
		assert.ErrorContains(t, err, "plan")
	}
}

// TestPlansLoseOneDiskAtATime: more would be beyond what the daemons must bear.
func TestPlansLoseOneDiskAtATime(t *testing.T) {
	size := SmallSize
	size.Length = time.Minute
	for seed := range uint64(300) {
		var free time.Duration
		for _, f := range Draw(seed, size).Faults {
			if f.Kind == Wipe || f.Kind == Tear {
				assert.Assert(t, f.At >= free, "seed %d loses two disks at %v", seed, f.At)
				free = f.At + f.For + diskRest
			}
		}
	}
}
