package catalog_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// TestViewsFollowEveryChange: however entries come, move and go, a view holds just those that are there, each service's in
// an order that depends on nothing but the servers and the data centre.
func TestViewsFollowEveryChange(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, other := catalog.New(), catalog.New()
		h := catalog.NewServersHandler(placed(c, "hall-0"))
		late := catalog.NewServersHandler(placed(other, "hall-0"))
		there := map[string]objectapi.Object{}
		for version := uint64(1); version < 60; version++ {
			for range r.IntN(6) {
				object := writtenEntry(r.IntN(40), version)
				if r.IntN(3) == 0 {
					delete(there, object.Key)
					h.Change(objectapi.Event{Object: objectapi.Object{Key: object.Key}, Deleted: true})
					continue
				}
				there[object.Key] = object
				h.Change(objectapi.Event{Object: object})
			}
			h.Confirm(version, time.Now())
			checkView(t, c.Servers(), there)
		}
		late.Reset(slices.Collect(maps.Values(there)), 60)
		for _, service := range []string{"service-0", "service-1"} {
			assert.DeepEqual(t, c.Servers().Pool(service).Servers, other.Servers().Pool(service).Servers)
		}
	}
}

func placed(c *catalog.Catalog, dataCentre string) catalog.ServersOptions {
	o := options(c)
	o.Decode, o.Topology = decodeWritten, place.Topology{DataCentre: dataCentre}
	return o
}

func checkView(t *testing.T, view *catalog.ServerSnapshot, there map[string]objectapi.Object) {
	t.Helper()
	assert.Equal(t, view.Len(), len(there))
	slots, names := map[string]int{}, map[string]int{}
	for _, object := range there {
		server, err := decodeWritten(object)
		assert.NilError(t, err)
		address, known := view.Address(server.ID)
		assert.Assert(t, known)
		assert.Equal(t, address, server.Address)
		slots[server.Service] += server.Slots
		names[server.Service]++
	}
	for _, service := range []string{"service-0", "service-1"} {
		fleet := view.Pool(service)
		assert.Equal(t, len(fleet.Servers), names[service])
		total, _ := fleet.Slots(&catalog.Constraints{})
		assert.Equal(t, total, slots[service])
		local := true
		for _, server := range fleet.Servers {
			assert.Assert(t, local || server.DataCentre != "hall-0", "a server of this data centre behind one of another")
			local = server.DataCentre == "hall-0"
		}
	}
}

// TestDaemonsOfADataCentreAgreeOnTheOrder, and those of another have its servers in the same order among themselves.
func TestDaemonsOfADataCentreAgreeOnTheOrder(t *testing.T) {
	orders := map[string][]string{}
	for _, dataCentre := range []string{"hall-0", "hall-1"} {
		c := catalog.New()
		h := catalog.NewServersHandler(placed(c, dataCentre))
		var objects []objectapi.Object
		for i := range 200 {
			objects = append(objects, writtenEntry(i, 1))
		}
		h.Reset(objects, 1)
		for _, server := range c.Servers().Pool("service-0").Servers {
			if server.DataCentre == "hall-2" {
				orders[dataCentre] = append(orders[dataCentre], server.ID.Server)
			}
		}
	}
	assert.Equal(t, fmt.Sprint(orders["hall-0"]), fmt.Sprint(orders["hall-1"]))
	assert.Equal(t, len(orders["hall-0"]), 20)
}
