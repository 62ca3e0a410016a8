package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/place"
)

const (
	// defaultInterRegionRTT is how long the way to another region and back takes until it is learnt, in seconds.
	defaultInterRegionRTT = 0.02
	// connectTimeWeight is the weight of the newest connection in the mean of a way.
	connectTimeWeight = 0.1
	// defaultLatency is how long an answer takes until it is learnt, in seconds.
	defaultLatency = 0.1
)

// RecordConnectTime notes how long a connection to a data centre took: the way there and back.
func (b *Balancer) RecordConnectTime(dataCentre string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	updateMean(b.connectTimes, dataCentre, took.Seconds(), connectTimeWeight)
}

// interRegionRTT returns how long the way to another region and back takes, in seconds; 0 within the own one, whose ways are short.
func (b *Balancer) interRegionRTT(dataCentre string) float64 {
	if b.topology.DistanceTo(dataCentre) != place.OtherRegion {
		return 0
	}
	if rtt, known := b.connectTimes[dataCentre]; known {
		return rtt
	}
	return defaultInterRegionRTT
}

// typicalLatency returns how long an answer on a route takes in the mean, in seconds.
func (b *Balancer) typicalLatency(route string) float64 {
	if mean := b.latencies[route]; mean > 0 {
		return mean
	}
	return defaultLatency
}
