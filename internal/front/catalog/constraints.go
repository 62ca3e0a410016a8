package catalog

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Restriction is why a server may get no requests, or only few, for now. The values appear in logs and status pages.
type Restriction string

// The restrictions.
const (
	// Unrestricted servers may get requests.
	Unrestricted Restriction = ""
	// RestrictedDraining servers are shutting down.
	RestrictedDraining Restriction = "draining"
	// RestrictedEvacuated servers are in a data centre that gets no further requests.
	RestrictedEvacuated Restriction = "evacuated"
	// RestrictedRegion servers are in a region to which the request must not go.
	RestrictedRegion Restriction = "forbidden"
	// RestrictedCold servers have just started and can take only a few requests.
	RestrictedCold Restriction = "cold"
)

// Constraints determine which servers one request may use at one time. With the zero value only draining servers are
// restricted.
type Constraints struct {
	// Evacuated are the data centres that get no further requests.
	Evacuated map[string]bool
	// AllowedRegions are the regions to which the request may go. Regions has the region of each data centre.
	AllowedRegions AllowedRegions
	Regions        map[string]string
	// ColdUntil is the time until which each cold server is cold; nil if the service has no limit for cold servers.
	ColdUntil map[incarnation.ID]time.Time
	Now       time.Time
}

// Restriction returns the restriction of a server.
func (c *Constraints) Restriction(server *Server) Restriction {
	switch {
	case server.Draining:
		return RestrictedDraining
	case c.DataCentreRestriction(server.DataCentre) != Unrestricted:
		return c.DataCentreRestriction(server.DataCentre)
	case len(c.ColdUntil) > 0 && c.Now.Before(c.ColdUntil[server.ID]):
		return RestrictedCold
	default:
		return Unrestricted
	}
}

// DataCentreRestriction returns the restriction that applies to all servers of a data centre.
func (c *Constraints) DataCentreRestriction(dataCentre string) Restriction {
	switch {
	case c.Evacuated[dataCentre]:
		return RestrictedEvacuated
	case !c.AllowedRegions.Allow(c.Regions[dataCentre]):
		return RestrictedRegion
	default:
		return Unrestricted
	}
}

// AllowedRegions is a set of regions to which requests may go; nil allows all regions.
type AllowedRegions map[string]bool

// NewAllowedRegions returns the set of the given regions, or nil if there are none.
func NewAllowedRegions(regions []string) AllowedRegions {
	if len(regions) == 0 {
		return nil
	}
	h := AllowedRegions{}
	for _, region := range regions {
		h[region] = true
	}
	return h
}

// Allow reports whether requests may go to a region.
func (r AllowedRegions) Allow(region string) bool { return r == nil || r[region] }

// Intersect returns the regions that both sets allow.
func (r AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	if r == nil {
		return other
	}
	both := AllowedRegions{}
	for region := range r {
		if other.Allow(region) {
			both[region] = true
		}
	}
	return both
}

// Constraints returns the constraints of a request at one time. coldBounded is set if the request's service limits the
// requests to cold servers.
func (s *ServerSnapshot) Constraints(now time.Time, allowedRegions AllowedRegions, coldBounded bool) Constraints {
	t := Constraints{Evacuated: s.evacuated, AllowedRegions: allowedRegions, Regions: s.regions, Now: now}
	if coldBounded {
		t.ColdUntil = s.coldUntil
	}
	return t
}
