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

// ServersOptions are what a ServersHandler works with.
type ServersOptions struct {
	Catalog *Catalog
	// Topology is where this daemon stands.
	Topology place.Topology
	// Prefix is the part of a key before a server's name.
	Prefix      string
	Decode      DecodeServer
	LeaseExpiry policy.LeaseExpiry
	Log         logrus.FieldLogger
	// OnRefused is told of each entry that names no server to use, Started of each start of a server that is new here.
	// Both are called with the handler locked; nil where nobody asks.
	OnRefused func(RefusalReason)
	OnStarted func(incarnation.ID)
}

// ServersHandler keeps the servers of a watch. An entry that is gone right after an outage of the store is kept until
// its server had the time to renew it, since entries lapse while their servers can't.
type ServersHandler struct {
	ServersOptions

	mu sync.Mutex
	// entries has what the list holds, by name; held and missing are servers that are in use without an entry.
	entries  map[string]*entry
	held     map[string]*Server
	revision uint64
	// first tells that the first list is taken in: it is logged as a whole, not server by server.
	first bool
	// changed has the names of servers that may differ from what is published.
	changed map[string]bool
	// lost tells that the store does not answer; missing are entries of which nobody can say before it has.
	lost    bool
	missing map[string]*Server
	// refused has why entries name no server; cold until when servers are whose entries say so; evacuated the data centres
	// that are to get nothing.
	refused   map[string]RefusalReason
	cold      map[string]time.Time
	evacuated map[string]bool
	// returning has until when servers of a data centre count as cold whose evacuation was taken back: they may have gone cold
	// before, and their entries tell of it only with their next heartbeat.
	returning map[string]time.Time
	// confirmed is when the store said last that the entries were whole; missing ones are held until holding.
	confirmed, holding time.Time
}

// NewServersHandler returns a handler that knows no server yet.
func NewServersHandler(o ServersOptions) *ServersHandler {
	return &ServersHandler{ServersOptions: o, entries: map[string]*entry{}, held: map[string]*Server{}, changed: map[string]bool{},
		missing: map[string]*Server{}, refused: map[string]RefusalReason{}, cold: map[string]time.Time{}, evacuated: map[string]bool{},
		returning: map[string]time.Time{}}
}

// Prefix implements watch.Handler.
func (h *ServersHandler) Prefix() string { return h.ServersOptions.Prefix }

// Reset implements watch.Handler.
func (h *ServersHandler) Reset(objects []objectapi.Object, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.entries
	h.entries = make(map[string]*entry, len(objects))
	h.first = h.revision == 0
	for _, object := range objects {
		h.set(object, old)
	}
	for name, e := range old {
		if _, there := h.entries[name]; !there {
			h.gone(name, e.inUse())
		}
	}
	h.revision = version
	h.publish()
	if h.first {
		h.first = false
		h.Log.WithFields(logrus.Fields{"event": "servers-listed", "revision": version, "entries": len(objects),
			"servers": h.Catalog.Servers().Len()}).Info("first list of servers in force")
	}
}

// Change implements watch.Handler. Requests see it with the Confirm that follows: a batch may hold thousands.
func (h *ServersHandler) Change(event objectapi.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !event.Deleted {
		h.set(event.Object, h.entries)
		return
	}
	name := h.name(event.Key)
	if e, there := h.entries[name]; there {
		delete(h.entries, name)
		h.gone(name, e.inUse())
	}
}

// Confirm implements watch.Handler.
func (h *ServersHandler) Confirm(version uint64, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		h.regain(at)
	}
	h.confirmed = at
	h.revision = max(h.revision, version)
	if len(h.changed) > 0 {
		h.publish()
	}
}

// SourceUnavailable implements watch.Handler.
func (h *ServersHandler) SourceUnavailable() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lost {
		h.lost = true
		h.Log.WithFields(logrus.Fields{"event": "servers-lost", "revision": h.revision, "servers": len(h.entries)}).Warn("list of servers no longer confirmed")
	}
}

// regain notes the end of an outage, and decides on the entries that are missing. It is called with the lock held.
func (h *ServersHandler) regain(at time.Time) {
	h.lost = false
	if holding := h.LeaseExpiry.GraceUntil(h.confirmed, at); holding.After(h.holding) {
		// A short outage right behind a long one does not end what is held over the long one.
		h.holding = holding
	}
	left := time.Until(h.holding)
	if left > 0 {
		// Not with the next answer, which may be a second away: until then requests would go to servers that have left.
		time.AfterFunc(left, h.expire)
	}
	fields := logrus.Fields{"event": "servers-regained", "missing": len(h.missing), "holding_ms": max(0, left.Milliseconds())}
	if !h.confirmed.IsZero() {
		fields["unconfirmed_ms"] = at.Sub(h.confirmed).Milliseconds()
	}
	h.Log.WithFields(fields).Info("list of servers confirmed again")
	for name, server := range h.missing {
		h.gone(name, server)
	}
	clear(h.missing)
}

// expire removes the servers whose entries are not back.
func (h *ServersHandler) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 || time.Now().Before(h.holding) {
		return // all are back, or another outage has ended meanwhile
	}
	for name, server := range h.held {
		h.changed[name] = true
		h.Log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "why": "lapsed and not back"}).Info("server removed")
	}
	clear(h.held)
	h.publish()
}

func (h *ServersHandler) name(key string) string { return key[len(h.Prefix()):] }

// set takes in an object of the list; old is what was known before.
func (h *ServersHandler) set(object objectapi.Object, old map[string]*entry) {
	name := h.name(object.Key)
	before, known := old[name]
	if known && object.Version < before.revision {
		// A change that the last list held already, told again. The store's revisions order a server's entries, not its
		// word of its start: the clock of its VM may have been set back between two starts.
		h.entries[name] = before
		return
	}
	delete(h.held, name)
	delete(h.missing, name)
	h.changed[name] = true
	server, err := h.Decode(object)
	h.noteCold(name, server.ColdRemaining)
	server.ColdRemaining = 0
	if err == nil && known && before.server == server {
		before.revision = object.Version
		h.entries[name] = before
		return
	}
	now := &entry{revision: object.Version}
	h.entries[name] = now
	if err != nil {
		h.refuse(name, before, now, err)
		return
	}
	delete(h.refused, name)
	now.server = shared(server)
	h.enter(before, now)
}

// noteCold remembers until when a server is cold whose entry says for how long.
func (h *ServersHandler) noteCold(name string, left time.Duration) {
	if left <= 0 {
		delete(h.cold, name)
		return
	}
	h.cold[name] = time.Now().Add(left) // the entry is older than its coming here: this errs towards the server
}

// coldUntil returns the servers that are cold, and until when.
func (h *ServersHandler) coldUntil(now time.Time) map[incarnation.ID]time.Time {
	cold := map[incarnation.ID]time.Time{}
	for name, until := range h.cold {
		if e := h.entries[name]; e != nil && now.Before(until) {
			cold[e.start()] = until
		} else {
			delete(h.cold, name)
		}
	}
	for dataCentre, until := range h.returning {
		if !now.Before(until) {
			delete(h.returning, dataCentre)
			continue
		}
		for _, e := range h.entries {
			if e.server.DataCentre == dataCentre && until.After(cold[e.start()]) {
				cold[e.start()] = until
			}
		}
	}
	return cold
}

// SetEvacuated tells whether a data centre is to get nothing further.
func (h *ServersHandler) SetEvacuated(dataCentre string, evacuated bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuated[dataCentre] == evacuated {
		return
	}
	h.evacuated = maps.Clone(h.evacuated) // views hold the one before
	if evacuated {
		h.evacuated[dataCentre] = true
	} else {
		delete(h.evacuated, dataCentre)
		h.returning[dataCentre] = time.Now().Add(h.LeaseExpiry.Renewal)
	}
	h.Log.WithFields(logrus.Fields{"event": "evacuation", "data_centre": dataCentre, "evacuated": evacuated}).Info("evacuation in force")
	h.publish()
}

// Evacuated returns the data centres that are to get nothing further.
func (h *ServersHandler) Evacuated() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Sorted(maps.Keys(h.evacuated))
}

// shared returns a server whose words that many servers have in common are held once.
func shared(s Server) Server {
	s.Service = unique.Make(s.Service).Value()
	s.DataCentre = unique.Make(s.DataCentre).Value()
	return s
}

// enter notes a server's entry that differs from the one before.
func (h *ServersHandler) enter(before, now *entry) {
	server := now.server
	if !h.first {
		h.Log.WithFields(logrus.Fields{"event": "server", "server": server.ID, "service": server.Service, "address": server.Address,
			"draining": server.Draining, "revision": now.revision}).Info("server's entry in force")
	}
	if h.OnStarted != nil && before.start() != server.ID {
		h.OnStarted(server.ID)
	}
}

// refuse notes an entry that names no server to use. One that is written again for the same reason is only counted.
func (h *ServersHandler) refuse(name string, before, now *entry, err error) {
	reason, last := refusalOf(err), h.refused[name]
	h.refused[name] = reason
	if h.OnRefused != nil {
		h.OnRefused(reason)
	}
	if before != nil && last == reason {
		return
	}
	h.Log.WithFields(logrus.Fields{"event": "server-refused", "server": name, "in_use": before.start(), "revision": now.revision,
		"reason": reason, "error": err}).Warn("entry names no server to use")
}

// gone removes a server whose entry is missing, keeps it for a while, or leaves that to the end of the outage. A refused
// entry leaves nothing behind.
func (h *ServersHandler) gone(name string, server *Server) {
	h.changed[name] = true
	delete(h.refused, name)
	if server == nil {
		return
	}
	why := "entry gone"
	switch {
	case h.lost && !server.Draining:
		h.missing[name] = server
		why = "entry missing in an outage"
	case time.Now().Before(h.holding) && !server.Draining:
		h.held[name] = server
		why = "held after an outage"
	}
	h.Log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "address": server.Address, "why": why}).Info("server's entry gone")
}

// publish makes the servers known to requests. It is called with the lock held.
func (h *ServersHandler) publish() {
	view := h.Catalog.Servers().with(h.revision, h.Topology, h.changed, h.inUse)
	view.evacuated, view.regions, view.coldUntil = h.evacuated, h.Topology.Regions, h.coldUntil(time.Now())
	h.Catalog.servers.Store(view)
	h.changed = map[string]bool{} // not cleared: it would keep the room of the largest batch
}

// inUse returns the server that requests may use under a name, or nil.
func (h *ServersHandler) inUse(name string) *Server {
	if e, listed := h.entries[name]; listed {
		return e.inUse()
	}
	if server := h.held[name]; server != nil {
		return server
	}
	return h.missing[name]
}
