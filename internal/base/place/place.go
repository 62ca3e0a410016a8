// Package place derives the distance between data centres from the configured regions.
package place

// Distance is a class of network distance to a data centre. Lower values are nearer.
type Distance int

// The distances, nearest first.
const (
	// SameDataCentre is the daemon's own data centre.
	SameDataCentre Distance = iota
	// SameRegion is another data centre of the same region, or one whose region is unknown.
	SameRegion
	// OtherRegion is a data centre of another region, behind links with high latency and shared capacity.
	OtherRegion
)

// Topology holds a daemon's own data centre and the regions of data centres. The zero value has a single region.
type Topology struct {
	// DataCentre is the daemon's own data centre, Regions the region of each data centre by name.
	DataCentre string
	Regions    map[string]string
}

// DistanceTo returns the distance to a data centre. If either region is unknown, both count as the same region.
func (t Topology) DistanceTo(dataCentre string) Distance {
	if dataCentre == t.DataCentre {
		return SameDataCentre
	}
	region, known := t.Regions[dataCentre]
	if own, ownKnown := t.Regions[t.DataCentre]; known && ownKnown && region != own {
		return OtherRegion
	}
	return SameRegion
}
