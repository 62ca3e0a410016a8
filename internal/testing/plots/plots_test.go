package plots_test

import (
	"image/png"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/testing/plots"
)

func TestDrawWritesImages(t *testing.T) {
	at := time.Date(2026, 12, 2, 17, 0, 0, 0, time.UTC)
	days := []plots.Day{
		{At: at, Site: "a", Score: 0.9, VMs: 11, Deductions: map[string]float64{"calls": 0.01, "memory": 0.02, "nothing": 0}},
		{At: at.Add(time.Hour), Site: "b", Score: 0.8, VMs: 64, Deductions: map[string]float64{"calls": 0.03}},
		{At: at.Add(time.Hour), Site: "b", Failed: true, VMs: 64},
	}
	files, err := plots.Draw(t.TempDir(), days)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
	for _, name := range files {
		file, err := os.Open(name)
		assert.NilError(t, err)
		picture, err := png.Decode(file)
		assert.NilError(t, err)
		assert.NilError(t, file.Close())
		assert.Assert(t, picture.Bounds().Dx() > 500, name)
	}
}

func TestDrawWithoutDays(t *testing.T) {
	_, err := plots.Draw(t.TempDir(), nil)
	assert.ErrorContains(t, err, "no days")
}
