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

// liveBytes returns the size of the reachable heap.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// wireServer is a server's entry as servers write it.
type wireServer struct {
	Service, Address, Zone string
	Slots                  int
}

func decodeWireServer(o objectapi.Object) (catalog.Server, error) {
	var w wireServer
	err := json.Unmarshal(o.Value, &w)
	return catalog.Server{ID: incarnation.ID{Server: o.Key[2:]}, Service: w.Service, Address: w.Address, DataCentre: w.Zone, Slots: w.Slots}, err
}

func wireEntry(i int, version uint64) objectapi.Object {
	value, err := json.Marshal(wireServer{fmt.Sprint("service-", i%2), fmt.Sprintf("10.128.%d.%d:8080", i/250, i%250), fmt.Sprint("hall-", i%5), 6})
	if err != nil {
		panic(err)
	}
	return objectapi.Object{Key: fmt.Sprintf("s/i-%08x", i), Version: version, Value: value}
}

// maxBytesPerServer bounds the memory of a front daemon per known server: 10 MB for 40,000 servers.
const maxBytesPerServer = 256

// TestMemoryPerServer guards against memory per server that grows with the number of servers.
func TestMemoryPerServer(t *testing.T) {
	for _, servers := range []int{1000, 10_000, 20_000} {
		c := catalog.New()
		h := catalog.NewServersHandler(catalog.ServersOptions{Catalog: c, Prefix: "s/", Decode: decodeWireServer,
			LeaseExpiry: policy.NewLeaseExpiry(1200 * time.Millisecond), Log: discardLogger()})
		before := liveBytes()
		objects := make([]objectapi.Object, servers)
		for i := range objects {
			objects[i] = wireEntry(i, uint64(i+1))
		}
		h.Reset(objects, uint64(servers))
		objects = nil
		held := liveBytes() - before
		t.Logf("%d servers: %d bytes each", servers, held/int64(servers))
		assert.Equal(t, c.Servers().Len(), servers)
		assert.Assert(t, held <= int64(servers)*maxBytesPerServer, "%d bytes a server", held/int64(servers))
		runtime.KeepAlive(h)
	}
}
