package catalog

import (
	"maps"
	"slices"
	"sync"
	"time"
	"unique"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// ServersOptions configure a ServersHandler.
type ServersOptions struct {
	Catalog *Catalog
	// Topology is this daemon's location.
	Topology place.Topology
	// Prefix is the part of a key before the server's name.
	Prefix      string
	Decode      DecodeServer
	LeaseExpiry policy.LeaseExpiry
	Log         logrus.FieldLogger
	// OnRefused is called for each refused entry, OnStarted for each new incarnation of a server, OnGone for each one whose entry
	// is gone for good. OnListed is called with the time as of which the list is known, once all that it shows has been told. All are
	// optional and called with the handler locked.
	OnRefused func(RefusalReason)
	OnStarted func(incarnation.ID)
	OnGone    func(incarnation.ID)
	OnListed  func(at time.Time)
}

// ServersHandler is a watch handler that maintains the catalog's backend servers. Entries expire during an outage of
// the store because servers can't renew them, so a server whose entry is missing after an outage is kept for a grace
// period.
type ServersHandler struct {
	ServersOptions

	mu sync.Mutex
	// entries has the listed entries by server name. Servers of inGrace have no entry and are used until graceUntil.
	entries  map[string]*entry
	inGrace  map[string]*Server
	revision uint64
	// initialList is set while the first list is applied, which is logged as a whole.
	initialList bool
	// changed has the names of servers that may differ from the published snapshot.
	changed map[string]bool
	// outage is set while the store does not answer. deletedInOutage has the servers whose entries were deleted
	// meanwhile; they stay in use until the outage ends.
	outage          bool
	deletedInOutage map[string]*Server
	// refusals has the reason for each refused entry. coldByName has the time until which a server is cold. evacuated
	// are the data centres that get no further requests.
	refusals   map[string]RefusalReason
	coldByName map[string]time.Time
	evacuated  map[string]bool
	// assumedColdUntil has the data centres whose evacuation was cancelled, and the time until which their servers
	// count as cold. They may have become cold during the evacuation, which their entries report only with the next
	// heartbeat.
	assumedColdUntil map[string]time.Time
	// confirmedAt is when the store last confirmed that the entries are complete. Servers of inGrace are kept until
	// graceUntil.
	confirmedAt, graceUntil time.Time
}

// NewServersHandler returns a handler without servers.
func NewServersHandler(o ServersOptions) *ServersHandler {
	return &ServersHandler{ServersOptions: o, entries: map[string]*entry{}, inGrace: map[string]*Server{}, changed: map[string]bool{},
		deletedInOutage: map[string]*Server{}, refusals: map[string]RefusalReason{}, coldByName: map[string]time.Time{}, evacuated: map[string]bool{},
		assumedColdUntil: map[string]time.Time{}}
}

// Prefix implements watch.Handler.
func (h *ServersHandler) Prefix() string { return h.ServersOptions.Prefix }

// Reset implements watch.Handler.
func (h *ServersHandler) Reset(objects []objectapi.Object, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.entries
	h.entries = make(map[string]*entry, len(objects))
	h.initialList = h.revision == 0
	for _, object := range objects {
		h.putEntry(object, old)
	}
	for name, e := range old {
		if _, there := h.entries[name]; !there {
			h.entryDeleted(name, e.usableServer())
		}
	}
	h.revision = version
	h.publish()
	if h.initialList {
		h.initialList = false
		h.Log.WithFields(logrus.Fields{"event": "servers-listed", "revision": version, "entries": len(objects),
			"servers": h.Catalog.Servers().Len()}).Info("initial list of servers applied")
	}
}

// Change implements watch.Handler. The change is published by the next Confirm, since a batch may have thousands of
// changes.
func (h *ServersHandler) Change(event objectapi.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !event.Deleted {
		h.putEntry(event.Object, h.entries)
		return
	}
	name := h.serverName(event.Key)
	if e, there := h.entries[name]; there {
		delete(h.entries, name)
		h.entryDeleted(name, e.usableServer())
	}
}

// Confirm implements watch.Handler.
func (h *ServersHandler) Confirm(version uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.outage {
		h.endOutage(at)
	}
	h.confirmedAt = at
	h.revision = max(h.revision, version)
	if len(h.changed) > 0 {
		h.publish()
	}
	if h.OnListed != nil && !time.Now().Before(h.graceUntil) {
		h.OnListed(at)
	}
}

// SourceUnavailable implements watch.Handler.
func (h *ServersHandler) SourceUnavailable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.outage {
		h.outage = true
		h.Log.WithFields(logrus.Fields{"event": "servers-lost", "revision": h.revision, "servers": len(h.entries)}).Warn("store does not answer; list of servers may be stale")
	}
}

// endOutage starts the grace period for servers whose entries were deleted during the outage. The caller holds h.mu.
func (h *ServersHandler) endOutage(at time.Time) {
	h.outage = false
	if until := h.LeaseExpiry.GraceUntil(h.confirmedAt, at); until.After(h.graceUntil) {
		// A short outage must not end the grace period of a preceding long one.
		h.graceUntil = until
	}
	left := time.Until(h.graceUntil)
	if left > 0 {
		// A timer, since the store's next answer may come later and requests would go to dead servers until then.
		time.AfterFunc(left, h.expireGrace)
	}
	fields := logrus.Fields{"event": "servers-regained", "missing": len(h.deletedInOutage), "holding_ms": max(0, left.Milliseconds())}
	if !h.confirmedAt.IsZero() {
		fields["unconfirmed_ms"] = at.Sub(h.confirmedAt).Milliseconds()
	}
	h.Log.WithFields(fields).Info("store answers again; list of servers confirmed")
	for name, server := range h.deletedInOutage {
		h.entryDeleted(name, server)
	}
	clear(h.deletedInOutage)
}

// expireGrace removes the servers that have no entry when the grace period ends.
func (h *ServersHandler) expireGrace() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.inGrace) == 0 || time.Now().Before(h.graceUntil) {
		return // all entries are back, or a later outage extended the grace period
	}
	for name, server := range h.inGrace {
		h.changed[name] = true
		h.Log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "why": "lapsed and not back"}).Info("server removed after grace period")
		h.notifyGone(server)
	}
	clear(h.inGrace)
	h.publish()
}

func (h *ServersHandler) serverName(key string) string { return key[len(h.Prefix()):] }

// putEntry applies an object of the list; old has the entries before the list or change.
func (h *ServersHandler) putEntry(object objectapi.Object, old map[string]*entry) {
	name := h.serverName(object.Key)
	before, known := old[name]
	if known && object.Version < before.revision {
		// A stale change that the last list already included. Entries of a server are ordered by the store's revisions,
		// not by start time, as the VM's clock may have been set back between two starts.
		h.entries[name] = before
		return
	}
	delete(h.inGrace, name)
	delete(h.deletedInOutage, name)
	h.changed[name] = true
	server, err := h.Decode(object)
	h.recordCold(name, server.ColdRemaining)
	server.ColdRemaining = 0
	if err == nil && known && before.server == server {
		before.revision = object.Version
		h.entries[name] = before
		return
	}
	now := &entry{revision: object.Version}
	h.entries[name] = now
	if err != nil {
		h.recordRefusal(name, before, now, err)
		return
	}
	delete(h.refusals, name)
	now.server = internStrings(server)
	h.notifyChanged(before, now)
}

// recordCold records the time until which a server is cold.
func (h *ServersHandler) recordCold(name string, left time.Duration) {
	if left <= 0 {
		delete(h.coldByName, name)
		return
	}
	h.coldByName[name] = time.Now().Add(left) // overestimates by the age of the entry, which spares the server
}

// coldUntil returns the time until which each cold server is cold, and drops servers that no longer are.
func (h *ServersHandler) coldUntil(now time.Time) map[incarnation.ID]time.Time {
	cold := map[incarnation.ID]time.Time{}
	for name, until := range h.coldByName {
		if e := h.entries[name]; e != nil && now.Before(until) {
			cold[e.incarnationID()] = until
		} else {
			delete(h.coldByName, name)
		}
	}
	for dataCentre, until := range h.assumedColdUntil {
		if !now.Before(until) {
			delete(h.assumedColdUntil, dataCentre)
			continue
		}
		for _, e := range h.entries {
			if e.server.DataCentre == dataCentre && until.After(cold[e.incarnationID()]) {
				cold[e.incarnationID()] = until
			}
		}
	}
	return cold
}

// SetEvacuated sets whether a data centre is evacuated: its servers get no further requests.
func (h *ServersHandler) SetEvacuated(dataCentre string, evacuated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated[dataCentre] == evacuated {
		return
	}
	h.evacuated = maps.Clone(h.evacuated) // snapshots share the previous map
	if evacuated {
		h.evacuated[dataCentre] = true
	} else {
		delete(h.evacuated, dataCentre)
		h.assumedColdUntil[dataCentre] = time.Now().Add(h.LeaseExpiry.Renewal)
	}
	h.Log.WithFields(logrus.Fields{"event": "evacuation", "data_centre": dataCentre, "evacuated": evacuated}).Info("evacuation changed")
	h.publish()
}

// Evacuated returns the evacuated data centres, sorted.
func (h *ServersHandler) Evacuated() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.evacuated))
}

// internStrings returns a server whose service and data centre names share memory with those of other servers.
func internStrings(s Server) Server {
	s.Service = unique.Make(s.Service).Value()
	s.DataCentre = unique.Make(s.DataCentre).Value()
	return s
}

// notifyChanged logs a changed entry, and calls OnStarted if it is of a new incarnation.
func (h *ServersHandler) notifyChanged(before, now *entry) {
	server := now.server
	if !h.initialList {
		h.Log.WithFields(logrus.Fields{"event": "server", "server": server.ID, "service": server.Service, "address": server.Address,
			"draining": server.Draining, "revision": now.revision}).Info("server entry applied")
	}
	if h.OnStarted != nil && before.incarnationID() != server.ID {
		h.OnStarted(server.ID)
	}
}

func (h *ServersHandler) notifyGone(server *Server) {
	if h.OnGone != nil {
		h.OnGone(server.ID)
	}
}

// recordRefusal counts a refused entry, and logs it unless the server's last entry was refused for the same reason.
func (h *ServersHandler) recordRefusal(name string, before, now *entry, err error) {
	reason, last := refusalReasonOf(err), h.refusals[name]
	h.refusals[name] = reason
	if h.OnRefused != nil {
		h.OnRefused(reason)
	}
	if before != nil && last == reason {
		return
	}
	h.Log.WithFields(logrus.Fields{"event": "server-refused", "server": name, "in_use": before.incarnationID(), "revision": now.revision,
		"reason": reason, "error": err}).Warn("invalid server entry; server not used")
}

// entryDeleted handles a deleted entry of a server, which is nil if the entry was refused. The server is removed, or
// kept while the outage or the grace period lasts unless it was draining.
func (h *ServersHandler) entryDeleted(name string, server *Server) {
	h.changed[name] = true
	delete(h.refusals, name)
	if server == nil {
		return
	}
	why := "entry gone"
	switch {
	case h.outage && !server.Draining:
		h.deletedInOutage[name] = server
		why = "entry missing in an outage"
	case time.Now().Before(h.graceUntil) && !server.Draining:
		h.inGrace[name] = server
		why = "held after an outage"
	default:
		h.notifyGone(server)
	}
	h.Log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "address": server.Address, "why": why}).Info("server entry deleted")
}

// publish stores a new snapshot in the catalog. The caller holds h.mu.
func (h *ServersHandler) publish() {
	snapshot := h.Catalog.Servers().withChanges(h.revision, h.Topology, h.changed, h.usableServer)
	snapshot.evacuated, snapshot.regions, snapshot.coldUntil = h.evacuated, h.Topology.Regions, h.coldUntil(time.Now())
	h.Catalog.servers.Store(snapshot)
	h.changed = map[string]bool{} // a cleared map would keep the memory of the largest batch
}

// usableServer returns the server with a name that requests may use, or nil.
func (h *ServersHandler) usableServer(name string) *Server {
	if e, listed := h.entries[name]; listed {
		return e.usableServer()
	}
	if server := h.inGrace[name]; server != nil {
		return server
	}
	return h.deletedInOutage[name]
}
