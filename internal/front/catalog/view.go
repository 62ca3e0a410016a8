package catalog

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Catalog holds the current configuration and server snapshot.
type Catalog struct {
	table atomic.Pointer[Table]
	// confirmedAt is the time up to which the table is known to include every change; nil if that is unknown.
	confirmedAt atomic.Pointer[time.Time]
	servers     atomic.Pointer[ServerSnapshot]
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	c.servers.Store(&ServerSnapshot{})
	return c
}

// Table returns the current configuration, or nil before the first.
func (c *Catalog) Table() *Table { return c.table.Load() }

// TableWithAge returns the current configuration, or nil before the first, and its maximum age: it includes every
// change made longer ago than that. The age is unknownAge if the configuration was never confirmed.
func (c *Catalog) TableWithAge() (*Table, time.Duration) {
	certain := c.confirmedAt.Load() // loaded first, so that the table is at least as new
	table := c.table.Load()
	if certain == nil {
		return table, unknownAge
	}
	return table, time.Since(*certain)
}

// unknownAge is the age of a configuration that was never confirmed to be the newest.
const unknownAge = time.Duration(math.MaxInt64)

// Servers returns the current snapshot of the backend servers.
func (c *Catalog) Servers() *ServerSnapshot { return c.servers.Load() }

// DecodeConfig decodes an object. It returns false if the object is no configuration.
type DecodeConfig func(objectapi.Object) (Config, bool, error)

// ConfigHandler is a watch handler that applies each newer configuration to a catalog.
type ConfigHandler struct {
	catalog *Catalog
	prefix  string
	decode  DecodeConfig
	log     logrus.FieldLogger
	// newestMalformed is set if the newest configuration could not be decoded, so that the current one is not the
	// newest.
	newestMalformed bool
}

// NewConfigHandler returns a handler of the configurations below a key prefix.
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
func (h *ConfigHandler) Confirm(uint64, time.Time) {}

// Watermark implements watch.WatermarkHandler.
func (h *ConfigHandler) Watermark(at time.Time) {
	last := h.catalog.confirmedAt.Load()
	if h.newestMalformed || last != nil && !at.After(*last) {
		return
	}
	h.catalog.confirmedAt.Store(&at)
}

// SourceUnavailable implements watch.Handler.
func (h *ConfigHandler) SourceUnavailable() {}

func (h *ConfigHandler) apply(object objectapi.Object) {
	config, holds, err := h.decode(object)
	if err != nil {
		h.newestMalformed = true
		h.log.WithFields(logrus.Fields{"event": "config-malformed", "revision": object.Version, "error": err}).Error("failed to decode configuration")
		return
	}
	if !holds {
		return
	}
	h.newestMalformed = false
	old := h.catalog.table.Load()
	if old != nil && old.Config.Version >= config.Version {
		return
	}
	h.catalog.table.Store(NewTable(config))
	h.log.WithFields(logrus.Fields{"event": "config", "version": config.Version, "revision": object.Version,
		"routes": len(config.Routes), "services": len(config.Services), "keyed": config.RequireKeys, "organisations": len(config.Organisations)}).Info("configuration applied")
	for _, problem := range config.RejectedOrganisations {
		h.log.WithFields(logrus.Fields{"event": "organisation-refused", "version": config.Version, "error": problem}).Error("failed to decode organisation; refusing its callers")
	}
}
