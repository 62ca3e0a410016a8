package exchange

import (
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

// HubCandidates returns the addresses at which the hub of a daemon may be, in the order in which to try them. The
// addresses of the daemon's region come first, or with more than maxDaemonsPerHub daemons those of its data centre.
func HubCandidates(disks []layout.Disk, at place.Topology, daemons int) []string {
	farthest := place.SameRegion
	if daemons > maxDaemonsPerHub {
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

// HubsByArea returns the candidate addresses of all hubs, keyed by data centre if perDataCentre is set, else by region.
func HubsByArea(disks []layout.Disk, regions map[string]string, perDataCentre bool) map[string][]string {
	hubs := map[string][]string{}
	for _, disk := range disks {
		name := disk.DataCentre
		if !perDataCentre {
			name = regions[disk.DataCentre]
		}
		hubs[name] = append(hubs[name], disk.Address)
	}
	return hubs
}
