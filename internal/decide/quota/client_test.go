package quota_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/rookpass/rookpass/internal/decide/quota"
	"github.com/rookpass/rookpass/internal/transport/network/memnet"
	"github.com/rookpass/rookpass/internal/transport/peerlink"
)

// fleet is a set of quota services on an in-memory network, and the client of a front daemon.
type fleet struct {
	t      *testing.T
	fabric *memnet.Fabric
	client *quota.Client
	limit  quota.Limit
}

func storeName(i int) string { return fmt.Sprint("store-", i) }

// newFleet starts the given number of store daemons and waits until their buckets are full.
func newFleet(t *testing.T, stores int, limit quota.Limit) *fleet {
	f := &fleet{t: t, fabric: memnet.New(), limit: limit}
	var addresses []string
	for i := range stores {
		f.start(i)
		addresses = append(addresses, storeName(i)+":1")
	}
	f.client = f.front("front", addresses)
	t.Cleanup(func() {
		for i := range stores {
			f.fabric.Kill(storeName(i))
		}
		time.Sleep(time.Minute) // timers of closed connections expire
	})
	time.Sleep(time.Minute)
	return f
}

func (f *fleet) front(name string, replicas []string) *quota.Client {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.fabric.Dial(ctx, name, address)
	}
	return quota.NewClient(peerlink.NewPool(dial), func(string) []string { return replicas })
}

func (f *fleet) start(i int) {
	l, err := f.fabric.Listen(storeName(i), storeName(i)+":1")
	assert.NilError(f.t, err)
	service := quota.NewService(tolerance)
	go func() { _ = peerlink.Serve(l, map[string]any{quota.ServiceName: service}) }()
}

func (f *fleet) take(c *quota.Client, first bool) (*quota.Grant, error) {
	return c.Take(f.t.Context(), quota.Request{Organisation: "o", Limit: f.limit, Version: 1, First: first})
}

// takeAll takes requests until one is refused, and returns how many were granted.
func (f *fleet) takeAll() (granted int) {
	for range 10_000 {
		if _, err := f.take(f.client, true); err != nil {
			var over *quota.OverLimitError
			assert.Assert(f.t, errors.As(err, &over), "%v", err)
			assert.Assert(f.t, over.Wait > 0)
			return granted
		}
		granted++
	}
	f.t.Fatal("no request was refused")
	return 0
}

var small = quota.Limit{PerSecond: 2, Burst: 2}

func TestFrontsShareOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, small)
		other := f.front("other", []string{"store-0:1", "store-1:1", "store-2:1", "store-3:1", "store-4:1"})
		assert.Assert(t, f.takeAll() > 0)
		_, err := f.take(other, true)
		var over *quota.OverLimitError
		assert.Assert(t, errors.As(err, &over), "the other front must be refused: %v", err)
		time.Sleep(over.Wait)
		_, err = f.take(other, true)
		assert.NilError(t, err, "there must be room after the wait that was told")
	})
}

// TestTwoReplicasMayFail checks that the remaining replica and the stand-ins keep counting, and that earlier grants
// still count.
func TestTwoReplicasMayFail(t *testing.T) {
	for _, fault := range []func(f *fleet, host string){
		func(f *fleet, host string) { f.fabric.Kill(host) },
		func(f *fleet, host string) { f.fabric.Partition("front", host) },
		func(f *fleet, host string) { f.fabric.Freeze(host) },
	} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 5, small)
			full := f.takeAll()
			fault(f, storeName(0))
			fault(f, storeName(1))
			began := time.Now()
			left := f.takeAll()
			assert.Assert(t, time.Since(began) < time.Second, "answered after %v", time.Since(began))
			assert.Assert(t, full+left <= int(allowed(small)), "%d and %d", full, left)
			time.Sleep(tolerance.Window)
			assert.Assert(t, f.takeAll() > 0, "requests must accrue again")
			f.fabric.Thaw(storeName(0))
			f.fabric.Thaw(storeName(1))
		})
	}
}

// TestNoGrantWithoutQuorum checks that without a quorum a request is neither granted nor refused for the limit.
func TestNoGrantWithoutQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, small)
		for i := range 4 {
			f.fabric.Partition("front", storeName(i))
		}
		_, err := f.take(f.client, true)
		assert.ErrorIs(t, err, quota.ErrUnavailable)
		nowhere := f.front("front", nil)
		_, err = f.take(nowhere, true)
		assert.ErrorIs(t, err, quota.ErrUnavailable)
	})
}

// TestReturnedGrantIsFree checks that a grant is returned to all replicas that gave it.
func TestReturnedGrantIsFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5, small)
		for range 100 {
			grant, err := f.take(f.client, true)
			assert.NilError(t, err)
			grant.Return()
			synctest.Wait()
		}
	})
}

// TestRefusalIsReused checks that an organisation far over its limit does not flood its replicas.
func TestRefusalIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, small)
		f.takeAll()
		var first, over *quota.OverLimitError
		_, err := f.take(f.client, true)
		assert.Assert(t, errors.As(err, &first), "%v", err)
		for i := range 3 {
			f.fabric.Partition("front", storeName(i))
		}
		_, err = f.take(f.client, true)
		assert.Assert(t, errors.As(err, &over), "must be refused without asking: %v", err)
		// One request accrues in 0.42 s, of which half is left at the first refusal.
		assert.Assert(t, first.Wait > 150*time.Millisecond && over.Wait > 150*time.Millisecond, "both refusals must tell when there is room: %v, %v", first.Wait, over.Wait)
		time.Sleep(200 * time.Millisecond)
		_, err = f.take(f.client, true)
		assert.ErrorIs(t, err, quota.ErrUnavailable)
	})
}

// BenchmarkTake counts one request at a replica, of 11,000 organisations.
func BenchmarkTake(b *testing.B) {
	s := quota.NewService(tolerance)
	args := make([]quota.TakeArgs, 11_000)
	for i := range args {
		args[i] = quota.TakeArgs{Organisation: fmt.Sprint("organisation-", i), Limit: quota.Limit{PerSecond: 10, Burst: 10}, Version: 1}
	}
	b.ReportAllocs()
	for i := range b.N {
		var answer quota.TakeReply
		if err := s.Take(&args[i%len(args)], &answer); err != nil {
			b.Fatal(err)
		}
	}
}
