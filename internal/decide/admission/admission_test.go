package admission_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/admission"
)

// TestNoNewProgramsOnFullEngines guards against new programs making all started ones late.
func TestNoNewProgramsOnFullEngines(t *testing.T) {
	assert.Assert(t, admission.MayStart(admission.Load{Slots: 100, Started: 99, Organisations: 1, OwnTotal: 50, OfOrganisation: 50}))
	assert.Assert(t, !admission.MayStart(admission.Load{Slots: 100, Started: 100, Organisations: 1, OwnTotal: 50, OfOrganisation: 50}))
	assert.Assert(t, !admission.MayStart(admission.Load{Slots: 100, Started: 100}))
}

// TestOrganisationBelowItsPartMayStart guards against one organisation's surge keeping out all others.
func TestOrganisationBelowItsPartMayStart(t *testing.T) {
	load := admission.Load{Slots: 100, Started: 400, Organisations: 4, OwnTotal: 40}
	for of, want := range map[int]bool{0: true, 9: true, 10: false, 30: false} {
		load.OfOrganisation = of
		assert.Equal(t, admission.MayStart(load), want, "%d turns", of)
	}
}
