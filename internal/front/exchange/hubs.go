package exchange

import (
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

// HubCandidates returns where the hub of a daemon at a place may be, the likeliest first: few daemons all meet at the first disk's
// daemon in their region, more than crowd at the first of their data centre.
func HubCandidates(disks []layout.Disk, at place.Topology, daemons int) []string {
	farthest := place.SameRegion
	if daemons > crowd {
		farthest = place.SameDataCentre
	}
	var near, others []string
	for _, disk := range disks {
		if at.DistanceTo(disk.DataCentre) <= farthest {
			near = append(near, disk.Address)
		} else {
			others = append(others, disk.Address)
		}
	}
	return append(near, others...)
}

// HubsByArea returns where all hubs may be, by data centre where daemons are many and by region where they are few.
func HubsByArea(disks []layout.Disk, regions map[string]string, crowded bool) map[string][]string {
	places := map[string][]string{}
	for _, disk := range disks {
		name := disk.DataCentre
		if !crowded {
			name = regions[disk.DataCentre]
		}
		places[name] = append(places[name], disk.Address)
	}
	return places
}
