package catalog_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/decide/policy"
	"github.com/rookpass/rookpass/internal/front/catalog"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
)

// liveBytes returns what is reachable on the heap.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// written is a server's entry as servers write it.
type written struct {
	Service, Address, Zone string
	Slots                  int
}

func decodeWritten(o objectapi.Object) (catalog.Server, error) {
	var w written
	err := json.Unmarshal(o.Value, &w)
	return catalog.Server{ID: incarnation.ID{Server: o.Key[2:]}, Service: w.Service, Address: w.Address, DataCentre: w.Zone, Slots: w.Slots}, err
}

func writtenEntry(i int, version uint64) objectapi.Object {
	value, err := json.Marshal(written{fmt.Sprint("service-", i%2), fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), fmt.Sprint("hall-", i%5), 6})
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Key: fmt.Sprintf("s/i-%08x", i), Version: version, Value: value}
}

// mostBytesPerServer is what a front daemon may hold for a server that it knows of: 10 MB for 40,000 of them.
const mostBytesPerServer = 256

// TestMemoryOfTheListOfServers: what a daemon holds for each server that it knows of stays small, also while they come and go.
func TestMemoryOfTheListOfServers(t *testing.T) {
	for _, servers := range []int{1000, 10_000, 20_000} {
		c := catalog.New()
		h := catalog.NewServersHandler(catalog.ServersOptions{Catalog: c, Prefix: "s/", Decode: decodeWritten,
			LeaseExpiry: policy.NewLeaseExpiry(1200 * time.Millisecond), Log: quiet()})
		before := liveBytes()
		objects := make([]objectapi.Object, servers)
		for i := range objects {
			objects[i] = writtenEntry(i, uint64(i+1))
		}
		h.Reset(objects, uint64(servers))
		objects = nil
		held := liveBytes() - before
		t.Logf("%d servers: %d bytes each", servers, held/int64(servers))
		assert.Equal(t, c.Servers().Len(), servers)
		assert.Assert(t, held <= int64(servers)*mostBytesPerServer, "%d bytes a server", held/int64(servers))
		runtime.KeepAlive(h)
	}
}
