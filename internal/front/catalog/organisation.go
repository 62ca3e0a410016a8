package catalog

import (
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

// Owner returns the organisation that a key proves, or nil.
func (t *Table) Owner(key secret.Hash) *Organisation { return t.owners[key] }

// Organisation returns an organisation by name, or nil.
func (t *Table) Organisation(name string) *Organisation {
	for i := range t.Config.Organisations {
		if o := &t.Config.Organisations[i]; o.Name == name {
			return o
		}
	}
	return nil
}
