package catalog

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objectapi"
	"github.com/rookpass/rookpass/internal/policy"
)

// DecodeServer decodes a server's entry.
type DecodeServer func(objectapi.Object) (Server, error)

// ServersHandler keeps the servers of a watch. An entry that is gone right after an outage of the store is kept until
// its server had the time to renew it, since entries lapse while their servers can't.
type ServersHandler struct {
	catalog *Catalog
	prefix  string
	decode  DecodeServer
	lapse   policy.Lapse
	log     logrus.FieldLogger

	mu       sync.Mutex
	entries  map[string]Server
	held     map[string]Server
	revision uint64
	// changed tells that entries differ from what is published.
	changed bool
	// lost tells that the store does not answer; missing are entries of which nobody can say before it has.
	lost    bool
	missing map[string]Server
	// confirmed is when the store said last that the entries were whole; missing ones are held until holding.
	confirmed, holding time.Time
}

// NewServersHandler returns a handler of the servers below a prefix.
func NewServersHandler(c *Catalog, prefix string, decode DecodeServer, lapse policy.Lapse, log logrus.FieldLogger) *ServersHandler {
	return &ServersHandler{catalog: c, prefix: prefix, decode: decode, lapse: lapse, log: log,
		entries: map[string]Server{}, held: map[string]Server{}, missing: map[string]Server{}}
}

// Prefix implements watch.Handler.
func (h *ServersHandler) Prefix() string { return h.prefix }

// Reset implements watch.Handler.
func (h *ServersHandler) Reset(objects []objectapi.Object, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.entries
	h.entries = make(map[string]Server, len(objects))
	for _, object := range objects {
		h.set(object, old)
	}
	for id, server := range old {
		if _, there := h.entries[id]; !there {
			h.gone(server)
		}
	}
	h.revision = version
	h.publish()
}

// Change implements watch.Handler. Requests see it with the Confirm that follows: a batch may hold thousands, and
// each view is made anew from all servers.
func (h *ServersHandler) Change(event objectapi.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !event.Deleted {
		h.set(event.Object, h.entries)
	} else if server, there := h.entries[h.id(event.Key)]; there {
		delete(h.entries, server.ID)
		h.gone(server)
	}
	h.changed = true
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
	if h.changed {
		h.publish()
	}
}

// Lost implements watch.Handler.
func (h *ServersHandler) Lost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.lost {
		h.lost = true
		h.log.WithFields(logrus.Fields{"event": "servers-lost", "revision": h.revision, "servers": len(h.entries)}).Warn("list of servers no longer confirmed")
	}
}

// regain notes the end of an outage, and decides on the entries that are missing. It is called with the lock held.
func (h *ServersHandler) regain(at time.Time) {
	h.lost = false
	h.holding = h.lapse.HeldUntil(h.confirmed, at)
	left := time.Until(h.holding)
	if left > 0 {
		// Not with the next answer, which may be a second away: until then requests would go to servers that have left.
		time.AfterFunc(left, h.expire)
	}
	fields := logrus.Fields{"event": "servers-regained", "missing": len(h.missing), "holding_ms": max(0, left.Milliseconds())}
	if !h.confirmed.IsZero() {
		fields["unconfirmed_ms"] = at.Sub(h.confirmed).Milliseconds()
	}
	h.log.WithFields(fields).Info("list of servers confirmed again")
	for _, server := range h.missing {
		h.gone(server)
	}
	clear(h.missing)
	h.changed = true
}

// expire removes the servers whose entries are not back.
func (h *ServersHandler) expire() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 || time.Now().Before(h.holding) {
		return // all are back, or another outage has ended meanwhile
	}
	for _, server := range h.held {
		h.log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "why": "lapsed and not back"}).Info("server removed")
	}
	clear(h.held)
	h.publish()
}

func (h *ServersHandler) id(key string) string { return key[len(h.prefix):] }

func (h *ServersHandler) set(object objectapi.Object, old map[string]Server) {
	server, err := h.decode(object)
	if err != nil {
		h.log.WithFields(logrus.Fields{"event": "server-malformed", "key": object.Key, "error": err}).Error("server's entry not read")
		return
	}
	before, known := old[server.ID]
	h.entries[server.ID] = server
	delete(h.held, server.ID)
	delete(h.missing, server.ID)
	if !known || before != server {
		h.log.WithFields(logrus.Fields{"event": "server", "server": server.ID, "service": server.Service, "address": server.Address,
			"draining": server.Draining, "revision": object.Version}).Info("server's entry in force")
	}
}

// gone removes a server whose entry is missing, keeps it for a while, or leaves that to the end of the outage.
func (h *ServersHandler) gone(server Server) {
	why := "entry gone"
	switch {
	case h.lost && !server.Draining:
		h.missing[server.ID] = server
		why = "entry missing in an outage"
	case time.Now().Before(h.holding) && !server.Draining:
		h.held[server.ID] = server
		why = "held after an outage"
	}
	h.log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "address": server.Address, "why": why}).Info("server's entry gone")
}

// publish makes the servers known to requests. It is called with the lock held.
func (h *ServersHandler) publish() {
	h.changed = false
	view := &Servers{Revision: h.revision, At: time.Now(), byID: make(map[string]Server, len(h.entries)), services: map[string][]Server{}}
	for _, from := range []map[string]Server{h.missing, h.held, h.entries} {
		for id, server := range from {
			view.byID[id] = server
			view.services[server.Service] = append(view.services[server.Service], server)
		}
	}
	h.catalog.servers.Store(view)
}
