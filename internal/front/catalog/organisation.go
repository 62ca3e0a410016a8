package catalog

import (
	"cmp"
	"slices"

	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/decide/quota"
)

// Organisation is a customer whose callers prove themselves by a key.
type Organisation struct {
	Name string
	// Keys are the hashes of its keys.
	Keys []secret.Hash
	// Priority ranks its requests and goes before that of their route; 0 is the most urgent. HasPriority tells whether it
	// is set.
	Priority    int
	HasPriority bool
	// Limit bounds its requests over all daemons together.
	Limit quota.Limit
	// AllowedRegions are the regions to which its requests may go.
	AllowedRegions AllowedRegions
}

// owners returns the organisation of each key. A key that two organisations claim proves neither.
func owners(organisations []Organisation) map[secret.Hash]*Organisation {
	owners := map[secret.Hash]*Organisation{}
	for i := range organisations {
		o := &organisations[i]
		for _, key := range o.Keys {
			if other, claimed := owners[key]; claimed && other != o {
				owners[key] = nil
				continue
			}
			owners[key] = o
		}
	}
	return owners
}

// namedOrganisations is how many organisations are counted by name on a metrics page: the rest, of a few thousand, are
// counted together.
const namedOrganisations = 20

// OthersLabel stands for the organisations that are not counted by name.
const OthersLabel = "others"

// labels returns how each organisation is counted: those with the largest limits by name.
func labels(organisations []Organisation) map[string]string {
	largest := make([]*Organisation, len(organisations))
	for i := range organisations {
		largest[i] = &organisations[i]
	}
	slices.SortStableFunc(largest, func(a, b *Organisation) int { return cmp.Compare(b.Limit.PerSecond, a.Limit.PerSecond) })
	labels := map[string]string{}
	for _, o := range largest[:min(namedOrganisations, len(largest))] {
		labels[o.Name] = o.Name
	}
	return labels
}

// MetricLabel returns the name under which an organisation's requests are counted.
func (t *Table) MetricLabel(organisation string) string {
	return cmp.Or(t.labels[organisation], OthersLabel)
}

// OrganisationByKey returns the organisation that a key proves, or nil.
func (t *Table) OrganisationByKey(key secret.Hash) *Organisation { return t.owners[key] }
