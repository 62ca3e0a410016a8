// Package place tells how far data centres are from one another, as far as the settings say.
package place

// Distance is how far away a data centre is.
type Distance int

// The distances, the nearest first.
const (
	// SameDataCentre is the same data centre.
	SameDataCentre Distance = iota
	// SameRegion is another data centre of the same region, a few milliseconds away.
	SameRegion
	// OtherRegion is another region: the way is long, and its links are shared by all traffic between the two.
	OtherRegion
)

// Topology is what a daemon knows of places. The zero value knows of one region alone.
type Topology struct {
	// DataCentre is the daemon's own, Regions the region of each data centre.
	DataCentre string
	Regions    map[string]string
}

// DistanceTo returns how far a data centre is. One whose region is not known counts as one of this region.
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
