package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objectapi"
)

// Servers are the backend servers known at one time. They are immutable.
type Servers struct {
	// Revision of the last change, and when it was learnt.
	Revision uint64
	At       time.Time
	byID     map[string]Server
	services map[string][]Server
}

// Of returns the servers of a service, draining ones too.
func (s *Servers) Of(service string) []Server { return s.services[service] }

// Addresses returns every address at which a server is known.
func (s *Servers) Addresses() map[string]bool {
	addresses := make(map[string]bool, len(s.byID))
	for _, server := range s.byID {
		addresses[server.Address] = true
	}
	return addresses
}

// Len returns the number of servers.
func (s *Servers) Len() int { return len(s.byID) }

// Catalog holds the view that requests read.
type Catalog struct {
	table   atomic.Pointer[Table]
	servers atomic.Pointer[Servers]
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	c.servers.Store(&Servers{})
	return c
}

// Table returns the configuration in force, or nil before the first.
func (c *Catalog) Table() *Table { return c.table.Load() }

// Servers returns the servers known.
func (c *Catalog) Servers() *Servers { return c.servers.Load() }

// DecodeConfig decodes an object; false means that it holds no configuration.
type DecodeConfig func(objectapi.Object) (Config, bool, error)

// ConfigHandler puts each newer configuration of a watch in force.
type ConfigHandler struct {
	catalog *Catalog
	prefix  string
	decode  DecodeConfig
	log     logrus.FieldLogger
}

// NewConfigHandler returns a handler of the configurations below a prefix.
func NewConfigHandler(c *Catalog, prefix string, decode DecodeConfig, log logrus.FieldLogger) *ConfigHandler {
	return &ConfigHandler{catalog: c, prefix: prefix, decode: decode, log: log}
}

// Prefix implements watch.Handler.
func (h *ConfigHandler) Prefix() string { return h.prefix }

// Reset implements watch.Handler.
func (h *ConfigHandler) Reset(objects []objectapi.Object, _ uint64) {
	for _, object := range objects {
		h.apply(object)
	}
}

// Change implements watch.Handler.
func (h *ConfigHandler) Change(event objectapi.Event) {
	if !event.Deleted {
		h.apply(event.Object)
	}
}

// Confirm implements watch.Handler.
func (h *ConfigHandler) Confirm(uint64) {}

// Lost implements watch.Handler.
func (h *ConfigHandler) Lost() {}

func (h *ConfigHandler) apply(object objectapi.Object) {
	config, holds, err := h.decode(object)
	if err != nil {
		h.log.WithFields(logrus.Fields{"event": "config-malformed", "revision": object.Version, "error": err}).Error("configuration not read")
		return
	}
	if !holds {
		return
	}
	old := h.catalog.table.Load()
	if old != nil && old.Config.Version >= config.Version {
		return
	}
	h.catalog.table.Store(NewTable(config))
	h.log.WithFields(logrus.Fields{"event": "config", "version": config.Version, "revision": object.Version,
		"routes": len(config.Routes), "services": len(config.Services)}).Info("configuration in force")
}

const (
	// lapseOutage is the shortest outage of the store in which entries of live servers may lapse.
	lapseOutage = time.Second
	// lapseHold is how long after the outage a lapsed entry may still come back.
	lapseHold = 2200 * time.Millisecond
)

// DecodeServer decodes a server's entry.
type DecodeServer func(objectapi.Object) (Server, error)

// ServersHandler keeps the servers of a watch. An entry that is gone right after an outage of the store is
// kept for lapseHold, since entries lapse while their servers can't renew them.
type ServersHandler struct {
	catalog *Catalog
	prefix  string
	decode  DecodeServer
	log     logrus.FieldLogger

	mu       sync.Mutex
	entries  map[string]Server
	held     map[string]Server
	revision uint64
	// changed tells that entries differ from what is published.
	changed bool
	lostAt  time.Time
	holding time.Time // until when missing entries are held
}

// NewServersHandler returns a handler of the servers below a prefix.
func NewServersHandler(c *Catalog, prefix string, decode DecodeServer, log logrus.FieldLogger) *ServersHandler {
	return &ServersHandler{catalog: c, prefix: prefix, decode: decode, log: log,
		entries: map[string]Server{}, held: map[string]Server{}}
}

// Prefix implements watch.Handler.
func (h *ServersHandler) Prefix() string { return h.prefix }

// Reset implements watch.Handler.
func (h *ServersHandler) Reset(objects []objectapi.Object, version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.regain()
	old := h.entries
	h.entries = make(map[string]Server, len(objects))
	for _, object := range objects {
		h.set(object, old)
	}
	for id, server := range old {
		if _, there := h.entries[id]; !there {
			h.gone(server, "not listed")
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
	h.regain()
	if !event.Deleted {
		h.set(event.Object, h.entries)
	} else if server, there := h.entries[h.id(event.Key)]; there {
		delete(h.entries, server.ID)
		h.gone(server, "deleted")
	}
	h.changed = true
}

// Confirm implements watch.Handler.
func (h *ServersHandler) Confirm(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.regain()
	h.revision = max(h.revision, version)
	if len(h.held) > 0 && time.Now().After(h.holding) {
		for _, server := range h.held {
			h.log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "why": "lapsed and not back"}).Info("server removed")
		}
		clear(h.held)
		h.changed = true
	}
	if h.changed {
		h.publish()
	}
}

// Lost implements watch.Handler.
func (h *ServersHandler) Lost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lostAt.IsZero() {
		h.lostAt = time.Now()
		h.log.WithFields(logrus.Fields{"event": "servers-lost", "revision": h.revision, "servers": len(h.entries)}).Warn("list of servers no longer confirmed")
	}
}

// regain notes the end of an outage. It is called with the lock held.
func (h *ServersHandler) regain() {
	if h.lostAt.IsZero() {
		return
	}
	outage := time.Since(h.lostAt)
	h.lostAt = time.Time{}
	if outage >= lapseOutage {
		h.holding = time.Now().Add(lapseHold)
	}
	h.log.WithFields(logrus.Fields{"event": "servers-regained", "outage_ms": outage.Milliseconds(), "holding": outage >= lapseOutage}).Info("list of servers confirmed again")
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
	if !known || before != server {
		h.log.WithFields(logrus.Fields{"event": "server", "server": server.ID, "service": server.Service, "address": server.Address,
			"draining": server.Draining, "revision": object.Version}).Info("server's entry in force")
	}
}

func (h *ServersHandler) gone(server Server, why string) {
	if time.Now().Before(h.holding) && !server.Draining {
		h.held[server.ID] = server
		why += ", held after an outage"
	}
	h.log.WithFields(logrus.Fields{"event": "server-gone", "server": server.ID, "address": server.Address, "why": why}).Info("server's entry gone")
}

// publish makes the servers known to requests. It is called with the lock held.
func (h *ServersHandler) publish() {
	h.changed = false
	view := &Servers{Revision: h.revision, At: time.Now(), byID: make(map[string]Server, len(h.entries)), services: map[string][]Server{}}
	for _, from := range []map[string]Server{h.held, h.entries} {
		for id, server := range from {
			view.byID[id] = server
			view.services[server.Service] = append(view.services[server.Service], server)
		}
	}
	h.catalog.servers.Store(view)
}

// Has tells whether a server is known.
func (s *Servers) Has(id string) bool {
	_, known := s.byID[id]
	return known
}

// All returns every server, in order of their IDs.
func (s *Servers) All() []Server {
	all := make([]Server, 0, len(s.byID))
	for _, server := range s.byID {
		all = append(all, server)
	}
	slices.SortFunc(all, func(a, b Server) int { return strings.Compare(a.ID, b.ID) })
	return all
}
