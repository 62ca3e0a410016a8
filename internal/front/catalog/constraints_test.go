package catalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

func TestRestrictions(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	regions := map[string]string{"a1": "a", "b1": "b", "b2": "b"}
	at := func(dataCentre string) catalog.Server { return catalog.Server{ID: id("s"), DataCentre: dataCentre} }
	draining := at("a1")
	draining.Draining = true
	cold := map[incarnation.ID]time.Time{id("s"): now.Add(time.Second)}
	for name, row := range map[string]struct {
		server catalog.Server
		terms  catalog.Constraints
		want   catalog.Restriction
	}{
		"nothing bars":               {at("a1"), catalog.Constraints{Regions: regions}, catalog.Unrestricted},
		"draining":                   {draining, catalog.Constraints{}, catalog.RestrictedDraining},
		"evacuated":                  {at("b1"), catalog.Constraints{Evacuated: map[string]bool{"b1": true}}, catalog.RestrictedEvacuated},
		"another one is evacuated":   {at("b2"), catalog.Constraints{Evacuated: map[string]bool{"b1": true}}, catalog.Unrestricted},
		"at home":                    {at("b2"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions([]string{"b"})}, catalog.Unrestricted},
		"away from home":             {at("a1"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions([]string{"b"})}, catalog.RestrictedRegion},
		"no region known":            {at("c1"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions([]string{"b"})}, catalog.RestrictedRegion},
		"homes that never meet":      {at("a1"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions([]string{"a"}).Intersect(catalog.NewAllowedRegions([]string{"b"}))}, catalog.RestrictedRegion},
		"one of two homes binds":     {at("a1"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions(nil).Intersect(catalog.NewAllowedRegions([]string{"b"}))}, catalog.RestrictedRegion},
		"no homes":                   {at("a1"), catalog.Constraints{Regions: regions, AllowedRegions: catalog.NewAllowedRegions(nil).Intersect(nil)}, catalog.Unrestricted},
		"cold":                       {at("a1"), catalog.Constraints{ColdUntil: cold, Now: now}, catalog.RestrictedCold},
		"no longer cold":             {at("a1"), catalog.Constraints{ColdUntil: cold, Now: now.Add(time.Second)}, catalog.Unrestricted},
		"evacuated goes before cold": {at("a1"), catalog.Constraints{Evacuated: map[string]bool{"a1": true}, ColdUntil: cold, Now: now}, catalog.RestrictedEvacuated},
	} {
		assert.Equal(t, row.terms.Restriction(&row.server), row.want, name)
	}
}

// TestColdServersWarmUp checks that servers are cold for the time that their entries state.
func TestColdServersWarmUp(t *testing.T) {
	c := catalog.New()
	o := handlerOptions(c)
	o.Decode = func(object objectapi.Object) (catalog.Server, error) {
		server := catalog.Server{ID: id(object.Key[2:]), Service: "svc", DataCentre: "a"}
		if string(object.Value) == "cold" {
			server.ColdRemaining = 3 * time.Second
		}
		return server, nil
	}
	h := catalog.NewServersHandler(o)
	bar := func(after time.Duration) catalog.Restriction {
		terms := c.Servers().Constraints(time.Now().Add(after), nil, true)
		return terms.Restriction(c.Servers().Server(id("s")))
	}
	h.Reset([]objectapi.Object{{Key: "s/s", Version: 1, Value: []byte("cold")}}, 1)
	assert.Equal(t, bar(0), catalog.RestrictedCold)
	assert.Equal(t, bar(3*time.Second), catalog.Unrestricted)
	unbounded := c.Servers().Constraints(time.Now(), nil, false)
	assert.Equal(t, unbounded.Restriction(c.Servers().Server(id("s"))), catalog.Unrestricted, "the service has no limit for cold servers")
	h.Change(objectapi.Event{Object: objectapi.Object{Key: "s/s", Version: 2, Value: []byte("warm")}})
	h.Confirm(2, time.Now())
	assert.Equal(t, bar(0), catalog.Unrestricted)
	h.Change(objectapi.Event{Object: objectapi.Object{Key: "s/s", Version: 3, Value: []byte("cold")}})
	h.Confirm(3, time.Now())
	assert.Equal(t, bar(0), catalog.RestrictedCold, "a server may become cold again")
}

// TestServersAreColdAfterEvacuation checks that servers count as cold after an evacuation is cancelled, until their
// entries have been renewed.
func TestServersAreColdAfterEvacuation(t *testing.T) {
	c := catalog.New()
	h := catalog.NewServersHandler(optionsIn(c, "hall-0"))
	h.Reset([]objectapi.Object{wireEntry(2, 1), wireEntry(3, 1)}, 1)
	h.SetEvacuated("hall-2", true)
	h.SetEvacuated("hall-2", false)
	bars := func(after time.Duration) (returned, other catalog.Restriction) {
		terms := c.Servers().Constraints(time.Now().Add(after), nil, true)
		return terms.Restriction(c.Servers().Server(id("i-00000002"))), terms.Restriction(c.Servers().Server(id("i-00000003")))
	}
	returned, other := bars(0)
	assert.Equal(t, returned, catalog.RestrictedCold)
	assert.Equal(t, other, catalog.Unrestricted)
	returned, _ = bars(3 * time.Second)
	assert.Equal(t, returned, catalog.Unrestricted)
}

// TestEvacuatedDataCentreHasNoSlots also checks that the slots are back once the evacuation is cancelled.
func TestEvacuatedDataCentreHasNoSlots(t *testing.T) {
	c := catalog.New()
	h := catalog.NewServersHandler(optionsIn(c, "hall-0"))
	var objects []objectapi.Object
	for i := range 20 {
		objects = append(objects, wireEntry(i, 1))
	}
	h.Reset(objects, 1)
	slots := func() int {
		terms := c.Servers().Constraints(time.Now(), nil, true)
		n, _ := c.Servers().Pool("service-0").Slots(&terms)
		return n
	}
	all := slots()
	h.SetEvacuated("hall-2", true)
	assert.Equal(t, slots(), all-12)
	assert.DeepEqual(t, h.Evacuated(), []string{"hall-2"})
	h.Change(objectapi.Event{Object: wireEntry(21, 2)}) // a new entry must not end the evacuation
	h.Confirm(2, time.Now())
	assert.Equal(t, slots(), all-12)
	h.SetEvacuated("hall-2", false)
	assert.Equal(t, slots(), all)
}
