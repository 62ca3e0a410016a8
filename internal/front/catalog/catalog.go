// Package catalog holds a front daemon's copy of the configuration and of the backend servers: routes, services,
// organisations and the servers that are up.
//
// Readers load immutable snapshots without a lock. Watch handlers replace the snapshots. The version of the
// configuration never decreases.
package catalog

import (
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/secret"
)

// Kind is the kind of a route's requests. It determines whether a request may run more than once.
type Kind int

// The kinds of request. The zero value is the strictest.
const (
	// AtMostOnce requests are not sent again once a server may have started them.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered with server-sent events. They run at most once unless the route is Resumable.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "at-most-once"
	}
}

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route describes the requests of one host and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time of a request; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency objective for the response.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// RetainTurns is set if the route's requests are turns whose history is stored for Retention after they end.
	RetainTurns bool
	Retention   time.Duration
	// Resumable streams may be sent to another server after a failure, which continues after the last event received.
	Resumable bool
	// MaxGap is the longest time between two events of a response that is on time; 0 means no bound.
	MaxGap time.Duration
	// PreferCached is set if a server that has read the same data before responds sooner.
	PreferCached bool
	// Public routes accept requests without a key.
	Public bool
	// AllowedRegions are the regions to which requests may go.
	AllowedRegions AllowedRegions
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name string
	// MaxConns bounds a daemon's connections to one server.
	MaxConns int
	// HealthPath is the path at which servers tell how they are; empty if there is none.
	HealthPath string
	// TokensPerEvent is the number of tokens in one event of a model's stream; 0 for services that are no models.
	TokensPerEvent int
	// ColdPerSecond is the rate of requests, over all daemons, that a cold server can take; 0 means no bound.
	ColdPerSecond float64
}

// Limits bound the requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequireKeys is set if requests need the key of an organisation, except on public routes.
	RequireKeys   bool
	Organisations []Organisation
	// RejectedOrganisations has an error message for each organisation that was left out because it could not be
	// decoded.
	RejectedOrganisations []string
}

// Server is one incarnation of a backend server.
type Server struct {
	// ID identifies the incarnation. Address may be reused by another server.
	ID         incarnation.ID
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// ColdRemaining is the remaining time for which the server is cold, from its entry. It is 0 in snapshots, which
	// hold the point in time instead.
	ColdRemaining time.Duration `json:"-"`
}

// Repeatable reports whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Table is an index of one version of the configuration. It is immutable.
type Table struct {
	Config   Config
	routes   map[string]map[string]*Route
	services map[string]*Service
	// organisationsByKey has the organisation of each key; nil for a key that two organisations claim.
	organisationsByKey map[secret.Hash]*Organisation
	metricLabels       map[string]string
	levels             levels
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		Config:             config,
		routes:             make(map[string]map[string]*Route),
		services:           make(map[string]*Service, len(config.Services)),
		organisationsByKey: indexKeys(config.Organisations),
		metricLabels:       metricLabels(config.Organisations),
		levels:             newLevels(&config),
	}
	for i := range config.Routes {
		route := &config.Routes[i]
		byPrefix := t.routes[route.Host]
		if byPrefix == nil {
			byPrefix = make(map[string]*Route)
			t.routes[route.Host] = byPrefix
		}
		byPrefix[route.Prefix] = route
	}
	for i := range config.Services {
		t.services[config.Services[i].Name] = &config.Services[i]
	}
	return t
}

// Route returns the route with the longest matching prefix of path on the host, or nil. Prefixes begin and end with a
// slash, so only prefixes of path that end in a slash are looked up.
func (t *Table) Route(host, path string) *Route {
	byPrefix := t.routes[host]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := byPrefix[path[:slash+1]]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// PickService returns the service for a request according to the targets' weights; random lies in [0, 1). It returns
// "" if the route has no targets.
func (r *Route) PickService(random float64) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	mark := int(random * float64(total))
	for _, target := range r.Targets {
		if mark < target.Weight {
			return target.Service
		}
		mark -= target.Weight
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
