package catalog

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// Catalog holds the view that requests read.
type Catalog struct {
	table atomic.Pointer[Table]
	// certain is up to when the table certainly holds every change; nil where that is not known.
	certain atomic.Pointer[time.Time]
	servers atomic.Pointer[ServerSnapshot]
}

// New returns an empty catalog.
func New() *Catalog {
	c := &Catalog{}
	c.servers.Store(&ServerSnapshot{})
	return c
}

// Table returns the configuration in force, or nil before the first.
func (c *Catalog) Table() *Table { return c.table.Load() }

// TableWithAge returns the configuration in force, or nil before the first, and how old it may be: every change made longer
// ago is in it. The age is neverConfirmed where nobody can say.
func (c *Catalog) TableWithAge() (*Table, time.Duration) {
	certain := c.certain.Load() // before the table, which is at least as new
	table := c.table.Load()
	if certain == nil {
		return table, neverConfirmed
	}
	return table, time.Since(*certain)
}

// neverConfirmed is the age of a configuration of which nobody has said that it is the newest.
const neverConfirmed = time.Duration(math.MaxInt64)

// Servers returns the servers known.
func (c *Catalog) Servers() *ServerSnapshot { return c.servers.Load() }

// DecodeConfig decodes an object; false means that it holds no configuration.
type DecodeConfig func(objectapi.Object) (Config, bool, error)

// ConfigHandler puts each newer configuration of a watch in force.
type ConfigHandler struct {
	catalog *Catalog
	prefix  string
	decode  DecodeConfig
	log     logrus.FieldLogger
	// unread tells that the newest configuration can't be read, so that the one in force is not the newest.
	unread bool
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
func (h *ConfigHandler) Confirm(uint64, time.Time) {}

// Watermark implements watch.CertainHandler.
func (h *ConfigHandler) Watermark(at time.Time) {
	last := h.catalog.certain.Load()
	if h.unread || last != nil && !at.After(*last) {
		return
	}
	h.catalog.certain.Store(&at)
}

// SourceUnavailable implements watch.Handler.
func (h *ConfigHandler) SourceUnavailable() {}

func (h *ConfigHandler) apply(object objectapi.Object) {
	config, holds, err := h.decode(object)
	if err != nil {
		h.unread = true
		h.log.WithFields(logrus.Fields{"event": "config-malformed", "revision": object.Version, "error": err}).Error("configuration not read")
		return
	}
	if !holds {
		return
	}
	h.unread = false
	old := h.catalog.table.Load()
	if old != nil && old.Config.Version >= config.Version {
		return
	}
	h.catalog.table.Store(NewTable(config))
	h.log.WithFields(logrus.Fields{"event": "config", "version": config.Version, "revision": object.Version,
		"routes": len(config.Routes), "services": len(config.Services), "keyed": config.RequireKeys, "organisations": len(config.Organisations)}).Info("configuration in force")
	for _, problem := range config.RejectedOrganisations {
		h.log.WithFields(logrus.Fields{"event": "organisation-refused", "version": config.Version, "error": problem}).Error("organisation can't be read; its callers are refused")
	}
}
