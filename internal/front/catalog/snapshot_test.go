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

// TestSnapshotMatchesEntries checks that after random changes a snapshot holds exactly the servers that have an entry,
// in an order that does not depend on the order of changes.
func TestSnapshotMatchesEntries(t *testing.T) {
	for seed := range uint64(30) {
		r := rand.New(rand.NewPCG(seed, 1))
		c, other := catalog.New(), catalog.New()
		h := catalog.NewServersHandler(optionsIn(c, "hall-0"))
		late := catalog.NewServersHandler(optionsIn(other, "hall-0"))
		there := map[string]objectapi.Object{}
		for version := uint64(1); version < 60; version++ {
			for range r.IntN(6) {
				object := wireEntry(r.IntN(40), version)
				if r.IntN(3) == 0 {
					delete(there, object.Key)
					h.Change(objectapi.Event{Object: objectapi.Object{Key: object.Key}, Deleted: true})
					continue
				}
				there[object.Key] = object
				h.Change(objectapi.Event{Object: object})
			}
			h.Confirm(version, time.Now())
			checkSnapshot(t, c.Servers(), there)
		}
		late.Reset(slices.Collect(maps.Values(there)), 60)
		for _, service := range []string{"service-0", "service-1"} {
			assert.DeepEqual(t, c.Servers().Pool(service).Servers, other.Servers().Pool(service).Servers)
		}
	}
}

func optionsIn(c *catalog.Catalog, dataCentre string) catalog.ServersOptions {
	o := handlerOptions(c)
	o.Decode, o.Topology = decodeWireServer, place.Topology{DataCentre: dataCentre}
	return o
}

func checkSnapshot(t *testing.T, snapshot *catalog.ServerSnapshot, there map[string]objectapi.Object) {
	t.Helper()
	assert.Equal(t, snapshot.Len(), len(there))
	slots, names := map[string]int{}, map[string]int{}
	for _, object := range there {
		server, err := decodeWireServer(object)
		assert.NilError(t, err)
		address, known := snapshot.Address(server.ID)
		assert.Assert(t, known)
		assert.Equal(t, address, server.Address)
		slots[server.Service] += server.Slots
		names[server.Service]++
	}
	for _, service := range []string{"service-0", "service-1"} {
		pool := snapshot.Pool(service)
		assert.Equal(t, len(pool.Servers), names[service])
		total, _ := pool.Slots(&catalog.Constraints{})
		assert.Equal(t, total, slots[service])
		local := true
		for _, server := range pool.Servers {
			assert.Assert(t, local || server.DataCentre != "hall-0", "a local server follows one of another data centre")
			local = server.DataCentre == "hall-0"
		}
	}
}

// TestServerOrderIsSameOnAllDaemons checks that daemons in different data centres have the servers of a third one in
// the same order.
func TestServerOrderIsSameOnAllDaemons(t *testing.T) {
	orders := map[string][]string{}
	for _, dataCentre := range []string{"hall-0", "hall-1"} {
		c := catalog.New()
		h := catalog.NewServersHandler(optionsIn(c, dataCentre))
		var objects []objectapi.Object
		for i := range 200 {
			objects = append(objects, wireEntry(i, 1))
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
