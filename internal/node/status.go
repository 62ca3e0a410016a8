package node

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
)

// StatusPath is where a daemon's metrics address tells operators what is in force there.
const StatusPath = "/status"

// FrontStatus is what a front daemon believes.
type FrontStatus struct {
	Node           string         `json:"node"`
	Ready          bool           `json:"ready"`
	Stopping       bool           `json:"stopping"`
	ConfigVersion  int64          `json:"config_version"`
	Routes         int            `json:"routes"`
	ServerRevision uint64         `json:"server_revision"`
	ActiveRequests int64          `json:"active_requests"`
	Layout         *layout.Layout `json:"layout"`
	Servers        []ServerStatus `json:"servers"`
	// Costs are learnt of turns, by service.
	Costs map[string]policy.Costs `json:"costs"`
}

// ServerStatus is one backend server as a front daemon sees it.
type ServerStatus struct {
	catalog.Server
	balance.View
}

// StoreStatus is what a store daemon believes. Turns are those of the program asked for.
type StoreStatus struct {
	Node     string          `json:"node"`
	Disk     string          `json:"disk"`
	Slot     int             `json:"slot"`
	Programs int             `json:"programs"`
	Kept     int             `json:"turns"`
	Bytes    int64           `json:"bytes"`
	Layout   *layout.Layout  `json:"layout"`
	Turns    []replica.Entry `json:"program_turns,omitempty"`
}

func (f *front) status(*http.Request) any {
	s := FrontStatus{Node: f.settings.Node, Ready: f.ready(), Stopping: f.stopping.Load(), ActiveRequests: f.gateway.Active(),
		Layout: f.ledger.Layout(), Costs: f.balancer.Costs(), ServerRevision: f.catalog.Servers().Revision}
	if table := f.catalog.Table(); table != nil {
		s.ConfigVersion, s.Routes = table.Config.Version, len(table.Config.Routes)
	}
	for _, server := range f.catalog.Servers().All() {
		s.Servers = append(s.Servers, ServerStatus{server, f.balancer.View(server.ID)})
	}
	return s
}

// storeStatus returns the status page of a store daemon.
func storeStatus(node string, store *replica.Store) func(*http.Request) any {
	return func(r *http.Request) any {
		s := StoreStatus{Node: node, Disk: store.Self().ID, Slot: -1, Bytes: store.Bytes(), Layout: store.Layout()}
		s.Programs, s.Kept = store.Size()
		if s.Layout != nil {
			s.Slot = s.Layout.SlotOf(s.Disk)
		}
		if program := r.URL.Query().Get("program"); program != "" {
			s.Turns = store.Turns(program)
		}
		return s
	}
}

// servePages serves metrics and status until ctx ends. A daemon works without them.
func (b *base) servePages(ctx context.Context, status func(*http.Request) any) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", b.metrics)
	mux.HandleFunc(StatusPath, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(status(r)) // the reader may have left
	})
	listener, err := b.listen(b.settings.MetricsAddress())
	if err == nil {
		stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
		defer stop()
		err = http.Serve(listener, mux)
	}
	if ctx.Err() == nil {
		b.log.WithFields(logrus.Fields{"event": "metrics-failed", "error": err}).Error("metrics not served")
	}
	<-ctx.Done()
	return ctx.Err()
}
