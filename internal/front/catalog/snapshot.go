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

// ServerSnapshot is an immutable snapshot of the known backend servers. It shares unchanged parts with the snapshot
// that it replaces.
type ServerSnapshot struct {
	// Revision is the store's revision of the last change.
	Revision uint64
	// byName has the newest incarnation of each server, sorted by name.
	byName []*Server
	pools  map[string]ServerPool
	// evacuated are the data centres that get no further requests. regions has the region of each data centre.
	evacuated map[string]bool
	regions   map[string]string
	// coldUntil has the cold servers and the time until which each is cold.
	coldUntil map[incarnation.ID]time.Time
}

// ServerPool is the set of servers of one service.
type ServerPool struct {
	// Servers are all servers, including draining ones, sorted by distance. Within one distance the order is the same
	// on all daemons.
	Servers []*Server
	// slots are the slots of all servers that are not draining, by data centre.
	slots map[string]int
}

// Slots returns the number of slots in the data centres that the constraints allow, and the number of those data
// centres.
func (p ServerPool) Slots(constraints *Constraints) (slots, dataCentres int) {
	for dataCentre, n := range p.slots {
		if constraints.DataCentreRestriction(dataCentre) == Unrestricted {
			slots += n
			dataCentres++
		}
	}
	return slots, dataCentres
}

// Pool returns the servers of a service.
func (s *ServerSnapshot) Pool(service string) ServerPool { return s.pools[service] }

// Server returns an incarnation of a server, or nil if the server is unknown or has another incarnation.
func (s *ServerSnapshot) Server(id incarnation.ID) *Server {
	i, found := s.indexOf(id.Server)
	if !found || s.byName[i].ID != id {
		return nil
	}
	return s.byName[i]
}

// Address returns the address of an incarnation of a server, or false if the server is unknown or has another
// incarnation.
func (s *ServerSnapshot) Address(id incarnation.ID) (string, bool) {
	server := s.Server(id)
	if server == nil {
		return "", false
	}
	return server.Address, true
}

// indexOf returns the index of a server in byName, or where it would be inserted.
func (s *ServerSnapshot) indexOf(name string) (int, bool) {
	return slices.BinarySearchFunc(s.byName, name, func(server *Server, name string) int { return strings.Compare(server.ID.Server, name) })
}

// Has reports whether an incarnation of a server is known.
func (s *ServerSnapshot) Has(id incarnation.ID) bool { return s.Server(id) != nil }

func (s *ServerSnapshot) Len() int { return len(s.byName) }

// All returns all servers, sorted by name. The slice is shared and must not be modified.
func (s *ServerSnapshot) All() []*Server { return s.byName }

// withChanges returns a snapshot in which the changed servers are replaced by what current returns for them, or
// removed if it returns nil. Unchanged servers are copied in bulk.
func (s *ServerSnapshot) withChanges(revision uint64, at place.Topology, changed map[string]bool, current func(name string) *Server) *ServerSnapshot {
	var before, after []*Server
	services := map[string]bool{}
	for name := range changed {
		if i, found := s.indexOf(name); found {
			before = append(before, s.byName[i])
			services[s.byName[i].Service] = true
		}
		if server := current(name); server != nil {
			after = append(after, server)
			services[server.Service] = true
		}
	}
	next := &ServerSnapshot{Revision: revision, byName: applyChanges(s.byName, before, after, byName), pools: maps.Clone(s.pools),
		evacuated: s.evacuated, regions: s.regions, coldUntil: s.coldUntil}
	if next.pools == nil {
		next.pools = map[string]ServerPool{}
	}
	order := byDistance(at)
	for service := range services {
		others := func(server *Server) bool { return server.Service != service }
		servers := applyChanges(s.pools[service].Servers, slices.DeleteFunc(slices.Clone(before), others),
			slices.DeleteFunc(slices.Clone(after), others), order)
		if len(servers) == 0 {
			delete(next.pools, service)
			continue
		}
		next.pools[service] = newServerPool(servers)
	}
	return next
}

// listEdit inserts a server before an index of a list, or removes the one at that index.
type listEdit struct {
	at      int
	server  *Server
	removed bool
}

// applyChanges returns a copy of a sorted list of servers without those of before and with those of after.
func applyChanges(servers, before, after []*Server, order func(a, b *Server) int) []*Server {
	edits := make([]listEdit, 0, len(before)+len(after))
	slices.SortFunc(after, order)
	for _, server := range after {
		at, _ := slices.BinarySearchFunc(servers, server, order)
		edits = append(edits, listEdit{at: at, server: server})
	}
	for _, server := range before {
		at, _ := slices.BinarySearchFunc(servers, server, order)
		edits = append(edits, listEdit{at: at, server: server, removed: true})
	}
	slices.SortStableFunc(edits, func(a, b listEdit) int { return cmp.Compare(a.at, b.at) })
	next, copied := make([]*Server, 0, len(servers)-len(before)+len(after)), 0
	for _, e := range edits {
		next = append(next, servers[copied:e.at]...)
		copied = e.at
		if e.removed {
			copied++
		} else {
			next = append(next, e.server)
		}
	}
	return append(next, servers[copied:]...)
}

func byName(a, b *Server) int { return strings.Compare(a.ID.Server, b.ID.Server) }

// byDistance returns the order of servers for a daemon at a location: by distance, then by hash of the name.
func byDistance(at place.Topology) func(a, b *Server) int {
	return func(a, b *Server) int {
		return cmp.Or(cmp.Compare(at.DistanceTo(a.DataCentre), at.DistanceTo(b.DataCentre)), cmp.Compare(xxhash.Sum64String(a.ID.Server), xxhash.Sum64String(b.ID.Server)), byName(a, b))
	}
}

func newServerPool(servers []*Server) ServerPool {
	fleet := ServerPool{Servers: servers, slots: map[string]int{}}
	for _, server := range servers {
		if !server.Draining {
			fleet.slots[server.DataCentre] += server.Slots
		}
	}
	return fleet
}
