package exchange

import "github.com/rookpass/rookpass/internal/turns/layout"

// Places returns where a daemon's hub may be, the likeliest first: few daemons all meet at the first disk's daemon, more
// than crowd at the first of their data centre.
func Places(disks []layout.Disk, dataCentre string, daemons int) []string {
	var here, others []string
	for _, disk := range disks {
		if daemons > crowd && disk.DataCentre == dataCentre {
			here = append(here, disk.Address)
		} else {
			others = append(others, disk.Address)
		}
	}
	return append(here, others...)
}

// Neighbours returns where the hubs of all data centres may be, by data centre.
func Neighbours(disks []layout.Disk) map[string][]string {
	places := map[string][]string{}
	for _, disk := range disks {
		places[disk.DataCentre] = append(places[disk.DataCentre], disk.Address)
	}
	return places
}
