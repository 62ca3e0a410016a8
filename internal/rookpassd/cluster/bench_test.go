package cluster_test

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	peerv1 "github.com/rookpass/rookpass/api/peer/v1"
	"github.com/rookpass/rookpass/internal/objects/objectapi"
	"github.com/rookpass/rookpass/internal/rookpassd/cluster"
	"github.com/rookpass/rookpass/internal/rookpassd/keyspace"
)

func lease(i int) *peerv1.Daemon {
	return &peerv1.Daemon{Name: fmt.Sprint("d", i), Incarnation: fmt.Sprintf("d%d.1a2372d7db3-705162f2", i), DataCentre: "dakar-1",
		PeerAddress: "10.20.30.40:7500", ForwardAddress: "10.20.30.40:7600", TtlMs: 30000}
}

// filled returns a tracker with the given number of daemons and partitions.
func filled(tb testing.TB, daemons int, partitions uint32) *cluster.Tracker {
	t := cluster.NewTracker(partitions)
	var objects []objectapi.Object
	for i := range daemons {
		value, err := proto.Marshal(lease(i))
		assert.NilError(tb, err)
		objects = append(objects, objectapi.Object{Key: keyspace.Daemon(lease(i).Incarnation), Version: 1, Value: value})
	}
	for number := range partitions {
		value, err := proto.Marshal(&peerv1.Partition{Number: number, OwnerIncarnation: lease(int(number) % daemons).Incarnation})
		assert.NilError(tb, err)
		objects = append(objects, objectapi.Object{Key: keyspace.Partition(number), Version: 1, Value: value})
	}
	t.Reset(objects, 1)
	t.Confirm(1, time.Now())
	return t
}

// BenchmarkRenewals measures handling a watch batch with one lease renewal, and reports the lease's encoded size.
func BenchmarkRenewals(b *testing.B) {
	for _, daemons := range []int{8, 100, 400} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			t := filled(b, daemons, uint32(10*daemons))
			value, err := proto.Marshal(lease(0))
			assert.NilError(b, err)
			version := uint64(1)
			b.ReportMetric(float64(len(value)), "B/lease")
			for b.Loop() {
				version++
				t.Change(objectapi.Event{Object: objectapi.Object{Key: keyspace.Daemon(lease(0).Incarnation), Version: version, Value: value}})
				t.Confirm(version, time.Now())
			}
			b.ReportMetric(float64(len(value)), "B/lease")
		})
	}
}

func TestPreferredMovesFewPartitions(t *testing.T) {
	before := []string{"a", "b", "c", "d"}
	after := []string{"a", "b", "c", "d", "e"}
	moved := 0
	for number := range uint32(4096) {
		was, is := cluster.Preferred(number, before), cluster.Preferred(number, after)
		if was != is {
			moved++
			assert.Equal(t, is, "e")
		}
	}
	assert.Assert(t, moved > 4096/5/2 && moved < 4096/5*2, "%d of 4096 moved", moved)
}
