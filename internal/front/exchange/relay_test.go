package exchange_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/base/incarnation"
	"github.com/rookpass/rookpass/internal/base/place"
	"github.com/rookpass/rookpass/internal/front/exchange"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
	"github.com/rookpass/rookpass/internal/turns/layout"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func disksOf(dataCentres, each int) []layout.Disk {
	var disks []layout.Disk
	for i := range dataCentres * each {
		disks = append(disks, layout.Disk{Address: fmt.Sprintf("hub-%d:1", i), DataCentre: fmt.Sprint("dc", i%dataCentres)})
	}
	return disks
}

// TestHubCandidatesDependOnNumberOfDaemons checks that few daemons share one hub, many have one per data centre, with
// the hubs of other data centres as fallback.
func TestHubCandidatesDependOnNumberOfDaemons(t *testing.T) {
	disks := disksOf(3, 2)
	at := place.Topology{DataCentre: "dc1"}
	for _, daemons := range []int{0, 8, 150} {
		assert.DeepEqual(t, exchange.HubCandidates(disks, at, daemons)[0], "hub-0:1")
	}
	assert.DeepEqual(t, exchange.HubCandidates(disks, at, 151), []string{"hub-1:1", "hub-4:1", "hub-0:1", "hub-2:1", "hub-3:1", "hub-5:1"})
	assert.DeepEqual(t, exchange.HubCandidates(disks, place.Topology{DataCentre: "elsewhere"}, 865)[0], "hub-0:1")
}

// TestHubPerRegionWithFewDaemons checks that regions never share a hub.
func TestHubPerRegionWithFewDaemons(t *testing.T) {
	disks := disksOf(3, 2)
	regions := map[string]string{"dc0": "a", "dc1": "b", "dc2": "b"}
	for dataCentre, want := range map[string]string{"dc0": "hub-0:1", "dc1": "hub-1:1", "dc2": "hub-1:1"} {
		assert.Equal(t, exchange.HubCandidates(disks, place.Topology{DataCentre: dataCentre, Regions: regions}, 8)[0], want)
	}
	assert.DeepEqual(t, exchange.HubsByArea(disks, regions, false), map[string][]string{
		"a": {"hub-0:1", "hub-3:1"}, "b": {"hub-1:1", "hub-2:1", "hub-4:1", "hub-5:1"}})
	assert.Equal(t, len(exchange.HubsByArea(disks, regions, true)), 3)
	assert.Equal(t, len(exchange.HubsByArea(disks, map[string]string{"dc0": "a", "dc1": "a", "dc2": "a"}, false)), 1)
}

// hubCluster is a set of store daemons on an in-memory network, each with a service and a relayer.
type hubCluster struct {
	fabric   *memnet.Fabric
	disks    []layout.Disk
	services []*exchange.Service
	links    *peerlink.Pool
}

func startHubCluster(t *testing.T, ctx context.Context, work *sync.WaitGroup) *hubCluster {
	h := &hubCluster{fabric: memnet.New(), disks: disksOf(3, 2)}
	dialer := func(host string) func(context.Context, string, string) (net.Conn, error) {
		return func(ctx context.Context, _, address string) (net.Conn, error) {
			return h.fabric.Dial(ctx, host, address)
		}
	}
	h.links = peerlink.NewPool(dialer("fronts"))
	for i, disk := range h.disks {
		host := fmt.Sprint("hub-", i)
		service := exchange.NewService()
		h.services = append(h.services, service)
		listener, err := h.fabric.Listen(host, disk.Address)
		assert.NilError(t, err)
		go func() { _ = peerlink.Serve(listener, map[string]any{exchange.ServiceName: service}) }()
		relayer := &exchange.Relayer{Service: service, Links: peerlink.NewPool(dialer(host)), SelfAddress: disk.Address, Log: discardLogger(),
			HubsByArea: func(crowded bool) map[string][]string { return exchange.HubsByArea(h.disks, nil, crowded) }}
		work.Go(func() { _ = relayer.Run(ctx) })
	}
	return h
}

// close stops all daemons.
func (h *hubCluster) close(cancel context.CancelFunc, work *sync.WaitGroup) {
	cancel()
	work.Wait()
	for i := range h.disks {
		h.fabric.Kill(fmt.Sprint("hub-", i))
	}
	time.Sleep(time.Minute) // let timers of closed connections expire
}

// startReporting starts daemons that report to the hubs of their data centres until ctx ends. The last daemon reports
// a suspect.
func (h *hubCluster) startReporting(ctx context.Context, t *testing.T, daemons int, suspect incarnation.ID, work *sync.WaitGroup) {
	for i := range daemons {
		args := &exchange.Args{From: fmt.Sprint("front-", i), Daemons: daemons, Demand: map[string]int{"m": 1}}
		if i == daemons-1 {
			args.Suspects = []incarnation.ID{suspect}
		}
		work.Go(func() {
			for ctx.Err() == nil {
				h.swapWithAnyHub(ctx, fmt.Sprint("dc", i%3), daemons, args)
				time.Sleep(exchange.ReportInterval)
			}
		})
	}
}

// swapWithAnyHub swaps with the first hub that answers.
func (h *hubCluster) swapWithAnyHub(ctx context.Context, dataCentre string, daemons int, args *exchange.Args) *exchange.Reply {
	for _, place := range exchange.HubCandidates(h.disks, place.Topology{DataCentre: dataCentre}, daemons) {
		if reply, err := exchange.Swap(ctx, h.links.LinkTo(place), args); err == nil {
			return reply
		}
	}
	return nil
}

// TestReportsReachAllHubs checks that a report is known in every data centre within a second, also after a hub was
// killed.
func TestReportsReachAllHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		h := startHubCluster(t, ctx, &work)
		t.Cleanup(func() { h.close(cancel, &work) })
		const daemons = 180
		h.startReporting(ctx, t, daemons, id("dead"), &work)
		known := func(when string) {
			for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
				reply := h.swapWithAnyHub(ctx, dataCentre, daemons, &exchange.Args{From: "asker-" + dataCentre})
				assert.Assert(t, reply != nil, "%s: %s", when, dataCentre)
				assert.Equal(t, reply.Suspects[id("dead")], 1, "%s: %s", when, dataCentre)
				assert.Assert(t, reply.Daemons >= daemons, "%s: %d daemons", when, reply.Daemons)
				assert.Assert(t, reply.Here < daemons/2, "%s: %d daemons report to this hub", when, reply.Here)
				assert.Assert(t, reply.Demand["m"] >= daemons, "%s: %d", when, reply.Demand["m"])
			}
		}
		time.Sleep(time.Second)
		known("calm")
		h.fabric.Kill("hub-2") // the daemon with the suspect reports to it
		time.Sleep(2 * time.Second)
		known("a hub was killed")
	})
}

func TestSingleHubDoesNotRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		h := startHubCluster(t, ctx, &work)
		t.Cleanup(func() { h.close(cancel, &work) })
		h.startReporting(ctx, t, 60, id("dead"), &work)
		time.Sleep(2 * time.Second)
		for _, service := range h.services[1:] {
			var reply exchange.Reply
			assert.NilError(t, service.Swap(&exchange.Args{From: "asker"}, &reply))
			assert.Equal(t, reply.Daemons, 0)
		}
	})
}
