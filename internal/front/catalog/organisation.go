package catalog

import (
	"cmp"
	"slices"

	"github.com/rookpass/rookpass/internal/base/secret"
	"github.com/rookpass/rookpass/internal/decide/quota"
)

// Organisation is a customer. Its callers authenticate with a key.
type Organisation struct {
	Name string
	// Keys are the hashes of its keys.
	Keys []secret.Hash
	// Priority ranks its requests and overrides that of the route if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// Limit bounds the rate of its requests over all daemons.
	Limit quota.Limit
	// AllowedRegions are the regions to which its requests may go.
	AllowedRegions AllowedRegions
}

// indexKeys returns the organisation of each key. A key that two organisations claim maps to nil.
func indexKeys(organisations []Organisation) map[secret.Hash]*Organisation {
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

// maxLabelledOrganisations bounds the number of organisations with a metrics label of their own. There may be
// thousands.
const maxLabelledOrganisations = 20

// OthersLabel is the metrics label of the remaining organisations.
const OthersLabel = "others"

// metricLabels returns the metrics label of each organisation that has its own: those with the highest limits.
func metricLabels(organisations []Organisation) map[string]string {
	largest := make([]*Organisation, len(organisations))
	for i := range organisations {
		largest[i] = &organisations[i]
	}
	slices.SortStableFunc(largest, func(a, b *Organisation) int { return cmp.Compare(b.Limit.PerSecond, a.Limit.PerSecond) })
	labels := map[string]string{}
	for _, o := range largest[:min(maxLabelledOrganisations, len(largest))] {
		labels[o.Name] = o.Name
	}
	return labels
}

// MetricLabel returns the metrics label of an organisation.
func (t *Table) MetricLabel(organisation string) string {
	return cmp.Or(t.metricLabels[organisation], OthersLabel)
}

// OrganisationByKey returns the organisation to which a key belongs, or nil.
func (t *Table) OrganisationByKey(key secret.Hash) *Organisation { return t.organisationsByKey[key] }
