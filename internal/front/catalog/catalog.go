// Package catalog is a daemon's copy of what it serves: routes, services and the backend servers that are up.
//
// Readers load an immutable view without a lock; the feeds of the platform replace it. Configurations only
// ever rise in version.
package catalog

import (
	"strings"
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/secret"
)

// Kind tells how often a request may run.
type Kind int

// The kinds of request. The zero value is the strictest.
const (
	// AtMostOnce requests must not be sent again once a server may have begun on them.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by events; they run at most once too, unless the route is Resumable.
	Stream
)

// String returns the kind's name for logs.
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

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route tells where requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest a request may be held; 0 means no bound.
	Timeout time.Duration
	// Objective is the time within which an answer has its full value.
	Objective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority    int
	Targets     []Target
	MaxAttempts int
	// RetainTurns routes carry turns whose history rookpass keeps for Retention after their end.
	RetainTurns bool
	Retention   time.Duration
	// Resumable streams may be sent again, and go on at another server behind the last event that came.
	Resumable bool
	// MaxGap is the longest pause between two events of an answer that is in time; 0 means no bound.
	MaxGap time.Duration
	// PreferCached is set where a server that has seen the same data answers sooner.
	PreferCached bool
	// Public routes take requests without a key.
	Public bool
	// AllowedRegions are the regions to which requests may go.
	AllowedRegions AllowedRegions
}

// Service is a set of like backend servers.
type Service struct {
	Name string
	// MaxConns bounds the connections of all callers to one server.
	MaxConns int
	// TokensPerEvent is how many tokens one event of a model stream stands for; 0 for plain services.
	TokensPerEvent int
	// ColdPerSecond is how many requests a second, of all daemons together, one of its servers bears while it is cold; 0
	// where it bears as many as ever.
	ColdPerSecond float64
}

// Limits bound what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of what operators set.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	// RequireKeys tells that requests on routes that are not public need the key of an organisation.
	RequireKeys   bool
	Organisations []Organisation
	// RejectedOrganisations tells what is wrong with each organisation that was left out because it can't be read.
	RejectedOrganisations []string
}

// Server is one start of a backend server.
type Server struct {
	// ID names the start; Address may be reused by another server.
	ID         incarnation.ID
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Draining   bool
	// ColdRemaining is how long the server stays cold, as its entry says. Views have the time in its place.
	ColdRemaining time.Duration `json:"-"`
}

// Repeatable tells whether a request of the route may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Table finds the route of a request in one version of the configuration. It is immutable.
type Table struct {
	Config   Config
	routes   map[string]map[string]*Route
	services map[string]*Service
	// owners has the organisation of each key; nil for a key that two of them claim.
	owners map[secret.Hash]*Organisation
	labels map[string]string
}

// NewTable indexes a configuration.
func NewTable(config Config) *Table {
	t := &Table{
		Config:   config,
		routes:   make(map[string]map[string]*Route),
		services: make(map[string]*Service, len(config.Services)),
		owners:   owners(config.Organisations),
		labels:   labels(config.Organisations),
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

// Route returns the route with the longest prefix of path at the host, or nil. Prefixes begin and end with a
// slash, so only the slashes of path are tried.
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

// PickService returns the service for a request, by the targets' weights; r lies in [0, 1).
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
