package balance

import (
	"time"

	"github.com/rookpass/rookpass/internal/base/place"
)

const (
	// firstWay is how long the way to another region and back takes until it is learnt, in seconds.
	firstWay = 0.02
	// wayWeight is the weight of the newest connection in the mean of a way.
	wayWeight = 0.1
	// firstUsual is how long an answer takes until it is learnt, in seconds.
	firstUsual = 0.1
)

// RecordConnectTime notes how long a connection to a data centre took: the way there and back.
func (b *Balancer) RecordConnectTime(dataCentre string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	blend(b.ways, dataCentre, took.Seconds(), wayWeight)
}

// away returns how long the way to another region and back takes, in seconds; 0 within the own one, whose ways are short.
func (b *Balancer) away(dataCentre string) float64 {
	if b.place.DistanceTo(dataCentre) != place.OtherRegion {
		return 0
	}
	if way, known := b.ways[dataCentre]; known {
		return way
	}
	return firstWay
}

// usual returns how long an answer on a route takes in the mean, in seconds.
func (b *Balancer) usual(route string) float64 {
	if mean := b.means[route]; mean > 0 {
		return mean
	}
	return firstUsual
}
