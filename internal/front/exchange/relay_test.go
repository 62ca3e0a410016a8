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

func quiet() logrus.FieldLogger {
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

// TestFewDaemonsMeetAtOnePlaceAndManyInTheirDataCentre, and where no hub of it answers, at another's.
func TestFewDaemonsMeetAtOnePlaceAndManyInTheirDataCentre(t *testing.T) {
	disks := disksOf(3, 2)
	at := place.Topology{DataCentre: "dc1"}
	for _, daemons := range []int{0, 8, 150} {
		assert.DeepEqual(t, exchange.HubCandidates(disks, at, daemons)[0], "hub-0:1")
	}
	assert.DeepEqual(t, exchange.HubCandidates(disks, at, 151), []string{"hub-1:1", "hub-4:1", "hub-0:1", "hub-2:1", "hub-3:1", "hub-5:1"})
	assert.DeepEqual(t, exchange.HubCandidates(disks, place.Topology{DataCentre: "elsewhere"}, 865)[0], "hub-0:1")
}

// TestRegionsHaveHubsOfTheirOwn, however few daemons there are.
func TestRegionsHaveHubsOfTheirOwn(t *testing.T) {
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

// hubs are store daemons on a network in memory, each with the service and a relayer.
type hubs struct {
	fabric   *memnet.Fabric
	disks    []layout.Disk
	services []*exchange.Service
	links    *peerlink.Pool
}

func startHubs(t *testing.T, ctx context.Context, work *sync.WaitGroup) *hubs {
	h := &hubs{fabric: memnet.New(), disks: disksOf(3, 2)}
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
		relayer := &exchange.Relayer{Service: service, Links: peerlink.NewPool(dialer(host)), SelfAddress: disk.Address, Log: quiet(),
			HubsByArea: func(crowded bool) map[string][]string { return exchange.HubsByArea(h.disks, nil, crowded) }}
		work.Go(func() { _ = relayer.Run(ctx) })
	}
	return h
}

// close ends all daemons.
func (h *hubs) close(cancel context.CancelFunc, work *sync.WaitGroup) {
	cancel()
	work.Wait()
	for i := range h.disks {
		h.fabric.Kill(fmt.Sprint("hub-", i))
	}
	time.Sleep(time.Minute) // timers of closed connections run out
}

// crowdOf lets daemons report to the hubs of their data centres again and again, the last of them that a server looks dead.
func (h *hubs) crowdOf(ctx context.Context, t *testing.T, daemons int, suspect incarnation.ID, work *sync.WaitGroup) {
	for i := range daemons {
		args := &exchange.Args{From: fmt.Sprint("front-", i), Daemons: daemons, Demand: map[string]int{"m": 1}}
		if i == daemons-1 {
			args.Suspects = []incarnation.ID{suspect}
		}
		work.Go(func() {
			for ctx.Err() == nil {
				h.ask(ctx, fmt.Sprint("dc", i%3), daemons, args)
				time.Sleep(exchange.ReportInterval)
			}
		})
	}
}

// ask swaps at the first hub that answers.
func (h *hubs) ask(ctx context.Context, dataCentre string, daemons int, args *exchange.Args) *exchange.Reply {
	for _, place := range exchange.HubCandidates(h.disks, place.Topology{DataCentre: dataCentre}, daemons) {
		if reply, err := exchange.Swap(ctx, h.links.LinkTo(place), args); err == nil {
			return reply
		}
	}
	return nil
}

// TestWordGoesRoundAllHubs: what one daemon says is known in every data centre within a second, also after a hub was killed.
func TestWordGoesRoundAllHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		h := startHubs(t, ctx, &work)
		t.Cleanup(func() { h.close(cancel, &work) })
		const daemons = 180
		h.crowdOf(ctx, t, daemons, id("dead"), &work)
		known := func(when string) {
			for _, dataCentre := range []string{"dc0", "dc1", "dc2"} {
				reply := h.ask(ctx, dataCentre, daemons, &exchange.Args{From: "asker-" + dataCentre})
				assert.Assert(t, reply != nil, "%s: %s", when, dataCentre)
				assert.Equal(t, reply.Suspects[id("dead")], 1, "%s: %s", when, dataCentre)
				assert.Assert(t, reply.Daemons >= daemons, "%s: %d daemons", when, reply.Daemons)
				assert.Assert(t, reply.Here < daemons/2, "%s: %d daemons meet here", when, reply.Here)
				assert.Assert(t, reply.Demand["m"] >= daemons, "%s: %d", when, reply.Demand["m"])
			}
		}
		time.Sleep(time.Second)
		known("calm")
		h.fabric.Kill("hub-2") // where the daemon with the word reports
		time.Sleep(2 * time.Second)
		known("a hub was killed")
	})
}

// TestFewDaemonsCostNoRelay: where all meet at one hub it tells nobody.
func TestFewDaemonsCostNoRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var work sync.WaitGroup
		h := startHubs(t, ctx, &work)
		t.Cleanup(func() { h.close(cancel, &work) })
		h.crowdOf(ctx, t, 60, id("dead"), &work)
		time.Sleep(2 * time.Second)
		for _, service := range h.services[1:] {
			var reply exchange.Reply
			assert.NilError(t, service.Swap(&exchange.Args{From: "asker"}, &reply))
			assert.Equal(t, reply.Daemons, 0)
		}
	})
}
