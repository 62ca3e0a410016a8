package place_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/place"
)

func TestDistanceTo(t *testing.T) {
	m := place.Topology{DataCentre: "a1", Regions: map[string]string{"a1": "a", "a2": "a", "b1": "b"}}
	for dataCentre, want := range map[string]place.Distance{"a1": place.SameDataCentre, "a2": place.SameRegion, "b1": place.OtherRegion, "unknown": place.SameRegion} {
		assert.Equal(t, m.DistanceTo(dataCentre), want, dataCentre)
	}
	assert.Equal(t, place.Topology{DataCentre: "a1"}.DistanceTo("b1"), place.SameRegion, "without known regions")
	assert.Equal(t, place.Topology{DataCentre: "x", Regions: m.Regions}.DistanceTo("b1"), place.SameRegion, "without a known own region")
}
