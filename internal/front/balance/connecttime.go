package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/place"
)

const (
	// defaultInterRegionRTT is the round-trip time to another region until one was observed, in seconds.
	defaultInterRegionRTT = 0.02
	// connectTimeWeight is the weight of the newest connection in the average of a data centre.
	connectTimeWeight = 0.1
	// defaultLatency is the duration of a response until one was observed, in seconds.
	defaultLatency = 0.1
)

// RecordConnectTime records how long it took to connect to a data centre, which is one round trip.
func (b *Balancer) RecordConnectTime(dataCentre string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updateMean(b.connectTimes, dataCentre, took.Seconds(), connectTimeWeight)
}

// interRegionRTT returns the round-trip time to a data centre in another region, in seconds; 0 within this region.
func (b *Balancer) interRegionRTT(dataCentre string) float64 {
	if b.topology.DistanceTo(dataCentre) != place.OtherRegion {
		return 0
	}
	if rtt, known := b.connectTimes[dataCentre]; known {
		return rtt
	}
	return defaultInterRegionRTT
}

// typicalLatency returns the mean duration of a response on a route, in seconds.
func (b *Balancer) typicalLatency(route string) float64 {
	if mean := b.latencies[route]; mean > 0 {
		return mean
	}
	return defaultLatency
}
