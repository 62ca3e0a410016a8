package node

import (
	"math"
	"net/http"

	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/decide/quarantine"
	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/front/balance"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/turns/layout"
	"github.com/rookpass/rookpass/internal/turns/replica"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

// StatusPath is the path of the status page at a daemon's metrics address.
const StatusPath = "/status"

// FrontStatus is the status page of a front daemon.
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
	// Costs are the estimated costs of turns, by service.
	Costs map[string]policy.Costs `json:"costs"`
	// ConfigAgeMS is the maximum age of the configuration by which keys are checked; -1 if unknown.
	ConfigAgeMS   int64                `json:"config_age_ms"`
	Organisations []OrganisationStatus `json:"organisations,omitempty"`
	// Quarantined are the requests that were quarantined last, at most maxQuarantinedShown.
	Quarantined []quarantine.View `json:"quarantined"`
}

// maxQuarantinedShown bounds the quarantined requests on a status page.
const maxQuarantinedShown = 100

// OrganisationStatus is an organisation in a front daemon's configuration.
type OrganisationStatus struct {
	Name string `json:"name"`
	// Keys are the fingerprints of its keys, each the start of the output of "printf KEY | sha256sum".
	Keys     []string `json:"keys"`
	Priority *int     `json:"priority,omitempty"`
	// PerSecond and Burst are its request limit; 0 if there is none.
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
}

func organisationStatus(o *catalog.Organisation) OrganisationStatus {
	s := OrganisationStatus{Name: o.Name, Keys: []string{}, PerSecond: o.Limit.PerSecond, Burst: o.Limit.Burst}
	if o.HasPriority {
		s.Priority = &o.Priority
	}
	for _, key := range o.Keys {
		s.Keys = append(s.Keys, key.Fingerprint())
	}
	return s
}

// ServerStatus is a backend server as a front daemon sees it.
type ServerStatus struct {
	catalog.Server
	balance.View
}

// StoreStatus is the status page of a store daemon. ProgramTurns are the turns of the requested program.
type StoreStatus struct {
	Node      string         `json:"node"`
	Disk      string         `json:"disk"`
	Slot      int            `json:"slot"`
	Programs  int            `json:"programs"`
	TurnCount int            `json:"turns"`
	Bytes     int64          `json:"bytes"`
	Layout    *layout.Layout `json:"layout"`
	// DiskProblems tell which uses of the disk fail and why; empty if the disk works.
	DiskProblems []replica.DiskProblem `json:"disk_problems"`
	ProgramTurns []replica.BudgetEntry `json:"program_turns,omitempty"`
	// Limits are the request counts of the organisations that are counted here.
	Limits []quota.Count `json:"limits"`
}

func (f *front) status(*http.Request) any {
	s := FrontStatus{Node: f.settings.Node, Ready: f.ready(), Stopping: f.stopping.Load(), ActiveRequests: f.gateway.ActiveRequests(),
		Layout: f.ledger.Layout(), Costs: f.balancer.Costs(), Quarantined: f.quarantine.Quarantined(maxQuarantinedShown), ServerRevision: f.catalog.Servers().Revision}
	table, age := f.catalog.TableWithAge()
	s.ConfigAgeMS = -1
	if age < math.MaxInt64 {
		s.ConfigAgeMS = age.Milliseconds()
	}
	if table != nil {
		s.ConfigVersion, s.Routes = table.Config.Version, len(table.Config.Routes)
		for i := range table.Config.Organisations {
			s.Organisations = append(s.Organisations, organisationStatus(&table.Config.Organisations[i]))
		}
	}
	for _, server := range f.catalog.Servers().All() {
		s.Servers = append(s.Servers, ServerStatus{*server, f.balancer.View(server.ID)})
	}
	return s
}

// storeStatus returns the handler of a store daemon's status page.
func storeStatus(node string, store *replica.Store, quotas *quota.Service) func(*http.Request) any {
	return func(r *http.Request) any {
		s := StoreStatus{Node: node, Disk: store.Self().ID, Slot: -1, Bytes: store.Bytes(), Layout: store.Layout(), DiskProblems: store.DiskProblems(), Limits: quotas.Counts()}
		s.Programs, s.TurnCount = store.Size()
		if s.Layout != nil && s.Disk != "" {
			s.Slot = s.Layout.SlotOf(s.Disk)
		}
		if program := r.URL.Query().Get("program"); program != "" {
			s.ProgramTurns = store.Turns(turn.Key(r.URL.Query().Get("organisation"), program))
		}
		return s
	}
}
