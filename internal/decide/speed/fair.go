package speed

const (
	// maxOverFair is how many times its fair load a server may have and still get requests.
	maxOverFair = 1.3
	// alwaysAllowed is the load, as a fraction of its slots times its speed, up to which a server gets requests however
	// idle the others are: it has room, and what it has cached counts more.
	alwaysAllowed = 0.5
	// fullAtShare is how many times its fair load a server has when it has no more room. A quarter to a third of the load
	// that is known is still there when a request arrives, so that a smaller share would overcorrect.
	fullAtShare = 4
	// maxCountedSpeed bounds the speed that counts as capacity.
	maxCountedSpeed = 1.5
	// normalSlowdown is the slowdown up to which a server's slowness only shifts load in proportion. Permanent
	// differences of this kind are usual between the servers of a service.
	normalSlowdown = 1.5
	// probeShare is the share of its fair rate of requests that a clearly slow server is offered, one at a time, so
	// that its recovery is noticed.
	probeShare = 0.2
)

// Capacity returns how many slots of a normal server a server's slots are worth.
func Capacity(slots int, speed float64) float64 {
	return float64(max(1, slots)) * min(speed, maxCountedSpeed)
}

// LoadFactor returns the factor by which the requests at a server count: its requests end so much later or sooner.
func LoadFactor(speed float64) float64 { return 1 / speed }

// CostFactor returns the factor by which the whole cost of a request is multiplied at a server: 1 unless the server is
// slower than usual differences explain.
func CostFactor(speed float64) float64 { return max(1, 1/(speed*normalSlowdown)) }

// Fair is the load that servers of a service would have if it were shared in proportion to their capacity.
type Fair struct {
	load, capacity float64
	servers        int
	// fastest is the largest speed of a server.
	fastest float64
}

// Add adds a usable server.
func (f *Fair) Add(load float64, slots int, speed float64) {
	f.load += load
	f.capacity += Capacity(slots, speed)
	f.servers++
	f.fastest = max(f.fastest, speed)
}

// Mean returns the mean load of a server.
func (f *Fair) Mean() float64 { return f.load / float64(max(1, f.servers)) }

// Share returns a server's load over its fair load; 0 where there is nothing to compare it with.
func (f *Fair) Share(load, capacity float64) float64 {
	if f.servers < 2 || f.load <= 0 || capacity <= 0 {
		return 0
	}
	return load / capacity * f.capacity / f.load
}

// Exceeded reports whether a server has so much more than its fair load that another one should get the next request.
func (f *Fair) Exceeded(load, capacity float64) bool {
	return load > alwaysAllowed*capacity && f.Share(load, capacity) > maxOverFair
}

// Room returns how much more load a server may get: what it lacks to fullAtShare times its fair load. A slow server has less,
// a fast one no more than a normal one: all daemons would follow a speed that is overestimated.
func (f *Fair) Room(load float64, slots int, speed float64) float64 {
	if f.servers < 2 || f.capacity <= 0 {
		return 0
	}
	capacity := Capacity(slots, min(speed, 1)) / CostFactor(speed)
	return max(0, fullAtShare*capacity*f.load/f.capacity-load)
}

// Probe reports whether a clearly slow server without requests is offered one, for a random number in [0, 1) that is
// drawn for each request and server.
func (f *Fair) Probe(speed, load, random float64) bool {
	return f.servers > 1 && CostFactor(speed) > 1 && load < 1 && random*float64(f.servers) < probeShare
}

// PassOver reports whether an idle server that is slower than others is passed over, for a random number in [0, 1).
// Daemons that each send rarely do not see one another's requests; by this they share a slower server in proportion
// to its speed, and do not all leave it at once.
func (f *Fair) PassOver(speed, random float64) bool {
	return f.servers > 1 && random*min(f.fastest, maxCountedSpeed) >= speed
}

// HedgeFactor returns the factor by which the hedging delay of a server differs from the usual one. A server that is
// clearly slow is hedged as one that is slower by normalSlowdown.
func HedgeFactor(speed float64) float64 {
	return min(max(1/speed, 1/normalSlowdown), normalSlowdown)
}
