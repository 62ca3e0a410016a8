package node

import (
	"time"

	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/platform"
)

// evacuationHandler implements watch.Handler. It keeps requests away from servers of evacuated data centres.
type evacuationHandler struct{ servers *catalog.ServersHandler }

func newEvacuationHandler(servers *catalog.ServersHandler) *evacuationHandler {
	return &evacuationHandler{servers}
}

// Prefix implements watch.Handler.
func (e *evacuationHandler) Prefix() string { return platform.EvacuationsPrefix }

// Reset implements watch.Handler.
func (e *evacuationHandler) Reset(objects []objectapi.Object, _ uint64) {
	listed := map[string]bool{}
	for _, object := range objects {
		dataCentre := platform.EvacuatedDataCentre(object.Key)
		listed[dataCentre] = true
		e.servers.SetEvacuated(dataCentre, true)
	}
	for _, dataCentre := range e.servers.Evacuated() {
		if !listed[dataCentre] {
			e.servers.SetEvacuated(dataCentre, false)
		}
	}
}

// Change implements watch.Handler.
func (e *evacuationHandler) Change(event objectapi.Event) {
	e.servers.SetEvacuated(platform.EvacuatedDataCentre(event.Key), !event.Deleted)
}

// Confirm implements watch.Handler.
func (e *evacuationHandler) Confirm(uint64, time.Time) {}

// SourceUnavailable implements watch.Handler. Known evacuations stay in force.
func (e *evacuationHandler) SourceUnavailable() {}
