package catalog

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/incarnation"
)

// Restriction is why a server may get no request for now. Bars are words for logs and pages.
type Restriction string

// The bars.
const (
	// Unrestricted servers may get requests.
	Unrestricted Restriction = ""
	// RestrictedDraining servers have said that they leave.
	RestrictedDraining Restriction = "draining"
	// RestrictedEvacuated servers stand in a data centre that is to get nothing further.
	RestrictedEvacuated Restriction = "evacuated"
	// RestrictedRegion servers stand in a region to which the request must not go.
	RestrictedRegion Restriction = "forbidden"
	// RestrictedCold servers have just started, and bear few requests.
	RestrictedCold Restriction = "cold"
)

// Constraints are what servers may be used under for one request at one time. The zero value bars those alone that drain.
type Constraints struct {
	// Evacuated are the data centres that are to get nothing further.
	Evacuated map[string]bool
	// AllowedRegions are the regions to which the request may go, nil for all; Regions has those of data centres.
	AllowedRegions AllowedRegions
	Regions        map[string]string
	// ColdUntil is when servers will no longer be cold; nil where their service bears as much as ever.
	ColdUntil map[incarnation.ID]time.Time
	Now       time.Time
}

// Restriction returns why a server may get no request.
func (t *Constraints) Restriction(server *Server) Restriction {
	switch {
	case server.Draining:
		return RestrictedDraining
	case t.DataCentreRestriction(server.DataCentre) != Unrestricted:
		return t.DataCentreRestriction(server.DataCentre)
	case len(t.ColdUntil) > 0 && t.Now.Before(t.ColdUntil[server.ID]):
		return RestrictedCold
	default:
		return Unrestricted
	}
}

// DataCentreRestriction returns why no server of a data centre may get a request.
func (t *Constraints) DataCentreRestriction(dataCentre string) Restriction {
	switch {
	case t.Evacuated[dataCentre]:
		return RestrictedEvacuated
	case !t.AllowedRegions.Allow(t.Regions[dataCentre]):
		return RestrictedRegion
	default:
		return Unrestricted
	}
}

// AllowedRegions are regions to which requests are bound; nil for none.
type AllowedRegions map[string]bool

// NewAllowedRegions returns the homes named, nil where there are none.
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

// Allow tells whether requests may go to a region.
func (h AllowedRegions) Allow(region string) bool { return h == nil || h[region] }

// Intersect returns the regions that both allow.
func (h AllowedRegions) Intersect(other AllowedRegions) AllowedRegions {
	if h == nil {
		return other
	}
	both := AllowedRegions{}
	for region := range h {
		if other.Allow(region) {
			both[region] = true
		}
	}
	return both
}

// Constraints returns the terms of a request that may go to some homes.
func (s *ServerSnapshot) Constraints(now time.Time, homes AllowedRegions, coldBounded bool) Constraints {
	t := Constraints{Evacuated: s.evacuated, AllowedRegions: homes, Regions: s.regions, Now: now}
	if coldBounded {
		t.ColdUntil = s.coldUntil
	}
	return t
}
