package catalog_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/front/catalog"
)

// TestOrganisationsPriorityBeforeRoutes checks the order of levels, and that plain routes add none.
func TestOrganisationsPriorityBeforeRoutes(t *testing.T) {
	first, second, without := catalog.Organisation{Name: "a", Priority: 0, HasPriority: true}, catalog.Organisation{Name: "b", Priority: 1, HasPriority: true},
		catalog.Organisation{Name: "c"}
	table := catalog.NewTable(catalog.Config{Organisations: []catalog.Organisation{first, second, without},
		Routes: []catalog.Route{{Name: "urgent", Kind: catalog.Stream}, {Name: "other", Kind: catalog.Stream, Priority: 2}, {Name: "tool", Priority: 5}}})
	urgent, other := &table.Config.Routes[0], &table.Config.Routes[1]
	order := []int{table.Level(&first, urgent), table.Level(&first, other), table.Level(&second, urgent), table.Level(&second, other), table.Level(&without, other)}
	assert.DeepEqual(t, order, []int{0, 1, 2, 3, 4})
	assert.Equal(t, table.Level(&without, urgent), 0)
	assert.Equal(t, table.Level(nil, urgent), 0)
	assert.Assert(t, table.Competing())
}

// TestOneLevelWithoutPriorities guards against decisions that differ where a configuration does not ask for it.
func TestOneLevelWithoutPriorities(t *testing.T) {
	table := catalog.NewTable(catalog.Config{Routes: []catalog.Route{{Name: "a", Kind: catalog.Stream, Priority: 3}, {Name: "b", Kind: catalog.Stream, Priority: 3}, {Name: "tool"}}})
	assert.Equal(t, table.Level(nil, &table.Config.Routes[0]), 0)
	assert.Equal(t, table.Level(nil, &table.Config.Routes[1]), 0)
	assert.Assert(t, !table.Competing())
}
