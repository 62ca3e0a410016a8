package catalog

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
)

// ServerSnapshot are the backend servers known at one time. They are immutable, and share what did not change with those before.
type ServerSnapshot struct {
	// Revision of the last change.
	Revision uint64
	// byName has the newest start of each server, in order of their names.
	byName   []*Server
	services map[string]ServerPool
	// evacuated are the data centres that are to get nothing further, regions those of all data centres.
	evacuated map[string]bool
	regions   map[string]string
	// coldUntil has the servers that are cold, and until when.
	coldUntil map[incarnation.ID]time.Time
}

// ServerPool are the servers of one service.
type ServerPool struct {
	// Servers are all of them, draining ones too: the nearest first, and at each distance in an order that is the same at
	// every daemon.
	Servers []*Server
	// slots are those of all that are not draining, by data centre.
	slots map[string]int
}

// Slots returns how many requests the servers take at once that may be used, and in how many data centres they stand.
func (f ServerPool) Slots(terms *Constraints) (slots, dataCentres int) {
	for dataCentre, n := range f.slots {
		if terms.DataCentreRestriction(dataCentre) == Unrestricted {
			slots += n
			dataCentres++
		}
	}
	return slots, dataCentres
}

// Pool returns the servers of a service.
func (s *ServerSnapshot) Pool(service string) ServerPool { return s.services[service] }

// Server returns a server's start, or nil where another start or none of the server is known.
func (s *ServerSnapshot) Server(id incarnation.ID) *Server {
	i, found := s.find(id.Server)
	if !found || s.byName[i].ID != id {
		return nil
	}
	return s.byName[i]
}

// Address returns the address of a server's start, or false where another start or none of the server is known.
func (s *ServerSnapshot) Address(id incarnation.ID) (string, bool) {
	server := s.Server(id)
	if server == nil {
		return "", false
	}
	return server.Address, true
}

// find returns where a server stands in byName.
func (s *ServerSnapshot) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.byName, name, func(server *Server, name string) int { return strings.Compare(server.ID.Server, name) })
}

// Has tells whether a server's start is known.
func (s *ServerSnapshot) Has(id incarnation.ID) bool { return s.Server(id) != nil }

// Len returns the number of servers.
func (s *ServerSnapshot) Len() int { return len(s.byName) }

// All returns every server, in order of their names. The slice is shared: nobody may change it.
func (s *ServerSnapshot) All() []*Server { return s.byName }

// with returns the servers after a change of those named, as now tells. What did not change is copied, not looked at.
func (s *ServerSnapshot) with(revision uint64, at place.Topology, changed map[string]bool, now func(name string) *Server) *ServerSnapshot {
	var before, after []*Server
	services := map[string]bool{}
	for name := range changed {
		if i, found := s.find(name); found {
			before = append(before, s.byName[i])
			services[s.byName[i].Service] = true
		}
		if server := now(name); server != nil {
			after = append(after, server)
			services[server.Service] = true
		}
	}
	next := &ServerSnapshot{Revision: revision, byName: replace(s.byName, before, after, byName), services: maps.Clone(s.services),
		evacuated: s.evacuated, regions: s.regions, coldUntil: s.coldUntil}
	if next.services == nil {
		next.services = map[string]ServerPool{}
	}
	order := byPreference(at)
	for service := range services {
		others := func(server *Server) bool { return server.Service != service }
		servers := replace(s.services[service].Servers, slices.DeleteFunc(slices.Clone(before), others),
			slices.DeleteFunc(slices.Clone(after), others), order)
		if len(servers) == 0 {
			delete(next.services, service)
			continue
		}
		next.services[service] = fleetOf(servers)
	}
	return next
}

// edit is a server that goes in before a place of a list, or the one that stands there and is left out.
type edit struct {
	at      int
	server  *Server
	leaving bool
}

// replace returns servers that are in order, without those of before and with those of after.
func replace(servers, before, after []*Server, order func(a, b *Server) int) []*Server {
	edits := make([]edit, 0, len(before)+len(after))
	slices.SortFunc(after, order)
	for _, server := range after {
		at, _ := slices.BinarySearchFunc(servers, server, order)
		edits = append(edits, edit{at: at, server: server})
	}
	for _, server := range before {
		at, _ := slices.BinarySearchFunc(servers, server, order)
		edits = append(edits, edit{at: at, server: server, leaving: true})
	}
	slices.SortStableFunc(edits, func(a, b edit) int { return cmp.Compare(a.at, b.at) })
	next, copied := make([]*Server, 0, len(servers)-len(before)+len(after)), 0
	for _, e := range edits {
		next = append(next, servers[copied:e.at]...)
		copied = e.at
		if e.leaving {
			copied++
		} else {
			next = append(next, e.server)
		}
	}
	return append(next, servers[copied:]...)
}

func byName(a, b *Server) int { return strings.Compare(a.ID.Server, b.ID.Server) }

// byPreference returns the order of a service's servers for a daemon at a place.
func byPreference(at place.Topology) func(a, b *Server) int {
	return func(a, b *Server) int {
		return cmp.Or(cmp.Compare(at.DistanceTo(a.DataCentre), at.DistanceTo(b.DataCentre)), cmp.Compare(xxhash.Sum64String(a.ID.Server), xxhash.Sum64String(b.ID.Server)), byName(a, b))
	}
}

// fleetOf sums up servers.
func fleetOf(servers []*Server) ServerPool {
	fleet := ServerPool{Servers: servers, slots: map[string]int{}}
	for _, server := range servers {
		if !server.Draining {
			fleet.slots[server.DataCentre] += server.Slots
		}
	}
	return fleet
}
