// Package speed estimates how fast a backend server is, relative to the usual server of its service. A speed of 1 is
// normal, 0.5 means twice the expected time. Times are passed in; the package has no clock, locks or I/O.
package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// Min and Max bound every speed.
	Min = 0.125
	Max = 2.0
	// Reportable is the factor by which a speed must differ from normal to be reported to other daemons.
	Reportable = 1.15
	// maxSamples is how many of the latest responses count. Their median follows a change after three responses, and
	// is not moved by one slow response.
	maxSamples = 5
	// maxSampleAge is how long a response counts for this daemon, reportAge for what it reports: at 5 responses a
	// second over many daemons, several of them have one to report.
	maxSampleAge = 4 * time.Second
	reportAge    = 1500 * time.Millisecond
	// minEvidence is how many responses and reports it takes to move a speed away from normal.
	minEvidence = 3
	// minReporters is how many other daemons must report a speed for it to move away from normal, so that a single
	// false report has no such effect.
	minReporters = 2
	// peerExpiry is how long reports of other daemons count: three report intervals with 400 daemons.
	peerExpiry = 2700 * time.Millisecond
	// overdueRatio is the ratio of elapsed to expected time from which a request without a complete response counts as
	// a slow response. Requests that generate more than usual exceed their expected time without being slow.
	overdueRatio = 2.0
	// normalRange is the factor from a normal speed, either way, within which a single response counts as normal.
	normalRange = 1.5
	// idleHalfLife is the half-life of a speed's distance from normal while there are no responses.
	idleHalfLife = 5 * time.Second
	// medianError is the standard error of a median of normally distributed values, in standard deviations over the
	// root of their number.
	medianError = 1.25
)

// sample is the logarithm of a response's duration over its expected duration.
type sample struct {
	at       time.Time
	logRatio float64
}

type pendingRequest struct {
	sent     time.Time
	expected float64
}

// Estimate is the estimated speed of one server. The zero value has the normal speed. The baseline that its methods
// take is that of the server's service.
type Estimate struct {
	// samples are the latest responses, the oldest first.
	samples []sample
	pending []pendingRequest
	// slowness is the logarithm of the reciprocal of the speed as of updatedAt.
	slowness  float64
	updatedAt time.Time
	// peerSlowness is the same as the mean of peers' reports, received at peersAt.
	peerSlowness float64
	reporters    int
	peersAt      time.Time
}

// Sent records a request that was sent and its expected duration in seconds. Ended must be called with the same time.
func (e *Estimate) Sent(at time.Time, expected float64) {
	e.pending = append(e.pending, pendingRequest{at, expected})
}

// Ended removes a request that was sent at the given time.
func (e *Estimate) Ended(sent time.Time) {
	if i := slices.IndexFunc(e.pending, func(p pendingRequest) bool { return p.sent.Equal(sent) }); i >= 0 {
		e.pending = slices.Delete(e.pending, i, i+1)
	}
}

// Observe records a response that took the given seconds. It is ignored where the expected duration is not known (0).
func (e *Estimate) Observe(at time.Time, seconds, expected float64, base *Baseline) {
	if expected <= 0 || seconds <= 0 {
		return
	}
	logRatio := clampLog(math.Log(seconds / expected))
	base.observe(logRatio, e.slownessAt(at, base))
	if len(e.samples) == maxSamples {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	e.samples = append(e.samples, sample{at, logRatio})
	e.settle(at, base)
}

// SetPeers records the mean speed that other daemons observed, and how many of them reported one.
func (e *Estimate) SetPeers(at time.Time, speed float64, reporters int, base *Baseline) {
	e.peerSlowness, e.reporters, e.peersAt = -math.Log(min(max(speed, Min), Max)), reporters, at
	e.settle(at, base)
}

// Speed returns the estimated speed.
func (e *Estimate) Speed(at time.Time, base *Baseline) float64 {
	if e.idle() {
		return 1
	}
	return toSpeed(e.slownessAt(at, base))
}

// Own returns the speed by this daemon's recent responses alone, and whether there were any.
func (e *Estimate) Own(at time.Time, base *Baseline) (speed float64, known bool) {
	slowness, n := e.own(at, reportAge, base)
	return toSpeed(slowness), n > 0
}

// OwnDiffers reports whether this daemon's recent responses differ from normal by more than chance explains.
func (e *Estimate) OwnDiffers(at time.Time, base *Baseline) bool {
	slowness, n := e.own(at, reportAge, base)
	return n > 0 && math.Abs(slowness) > max(math.Log(Reportable), 2*base.standardError(n))
}

// idle reports whether nothing is known.
func (e *Estimate) idle() bool {
	return len(e.samples) == 0 && len(e.pending) == 0 && e.reporters == 0 && e.slowness == 0
}

// settle keeps the present estimate, from which it returns to normal while there are no responses.
func (e *Estimate) settle(at time.Time, base *Baseline) {
	e.slowness, e.updatedAt = e.slownessAt(at, base), at
}

// remembered returns the last estimate, moved back towards normal by the time since.
func (e *Estimate) remembered(at time.Time) float64 {
	return e.slowness * math.Exp2(-at.Sub(e.updatedAt).Seconds()/idleHalfLife.Seconds())
}

// slownessAt returns the estimate from this daemon's responses and the reports of others. Moving away from normal
// takes minEvidence; less evidence moves it back by its share, since a server that gets few requests as it is slow
// has few responses when it no longer is.
func (e *Estimate) slownessAt(at time.Time, base *Baseline) float64 {
	remembered := e.remembered(at)
	own, n := e.own(at, maxSampleAge, base)
	peers, reporters := e.peerSlowness, e.reporters
	if at.Sub(e.peersAt) > peerExpiry {
		reporters = 0
	}
	if reporters < minReporters && math.Abs(peers) >= math.Abs(remembered) {
		reporters = 0
	}
	evidence := n + reporters
	if evidence == 0 {
		return remembered
	}
	target := (float64(n)*own + float64(reporters)*peers) / float64(evidence)
	// A deviation counts only as far as it exceeds what chance explains.
	target = math.Copysign(max(0, math.Abs(target)-base.standardError(evidence)), target)
	if evidence >= minEvidence {
		return target
	}
	if math.Abs(target) < math.Abs(remembered) {
		return remembered + (target-remembered)*float64(evidence)/minEvidence
	}
	return remembered
}

// own returns the median slowness of the latest responses up to the given age, and how many there were. Overdue
// requests count as the newest of them.
func (e *Estimate) own(at time.Time, age time.Duration, base *Baseline) (slowness float64, n int) {
	var values [maxSamples]float64
	add := func(v float64) {
		if n == maxSamples {
			copy(values[:], values[1:])
			n--
		}
		values[n] = v
		n++
	}
	for _, s := range e.samples {
		if at.Sub(s.at) <= age {
			add(s.logRatio - base.median)
		}
	}
	for _, p := range e.pending {
		if p.expected <= 0 {
			continue
		}
		if elapsed := clampLog(math.Log(max(1e-6, at.Sub(p.sent).Seconds())/p.expected)) - base.median; elapsed > math.Log(overdueRatio) {
			add(elapsed)
		}
	}
	// Two responses in a row at a normal speed outweigh earlier ones at another: a wrong return to normal costs a few
	// requests, a late one leaves the server unused.
	if used := values[:n]; n > 2 && isNormal(used[n-1]) && isNormal(used[n-2]) {
		n = len(slices.DeleteFunc(used, func(v float64) bool { return !isNormal(v) }))
	}
	return medianOf(values[:n]), n
}

func isNormal(slowness float64) bool { return math.Abs(slowness) < math.Log(normalRange) }

func medianOf(values []float64) float64 {
	var buffer [maxSamples]float64
	sorted := buffer[:copy(buffer[:], values)]
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}

func toSpeed(slowness float64) float64 { return min(max(math.Exp(-slowness), Min), Max) }

// clampLog bounds a logarithm of a ratio, so that a single value has a limited effect.
func clampLog(x float64) float64 { return min(max(x, -math.Log(16)), math.Log(16)) }

const (
	// baselineStep is by how much a response moves the median of a service: some hundred responses follow a change of
	// all servers.
	baselineStep = 0.01
	// firstStep is the first response's step; later ones are smaller in proportion to their number.
	firstStep = 0.5
	// scatterWeight is the weight of the newest response in the scatter; initialScatter applies before any, maxScatter
	// bounds it.
	scatterWeight  = 0.02
	initialScatter = 0.2
	maxScatter     = 0.9
)

// Baseline is what is usual for the servers of one service: the median of the ratio of durations to expected ones,
// which is not 1 where expectations are biased, and how much the durations of one server vary. Use NewBaseline.
type Baseline struct {
	median  float64
	scatter float64
	count   int
}

// NewBaseline returns a baseline without observations.
func NewBaseline() *Baseline { return &Baseline{scatter: initialScatter} }

// observe records a response of a server whose present slowness is given.
func (b *Baseline) observe(logRatio, slowness float64) {
	b.count++
	step := max(baselineStep, firstStep/float64(b.count))
	distance := logRatio - b.median
	b.median += min(max(distance, -step), step)
	deviation := min(math.Abs(distance-slowness), 2*maxScatter)
	b.scatter = min(b.scatter+scatterWeight*(medianError*deviation-b.scatter), maxScatter)
}

// standardError returns the standard error of the median of n responses.
func (b *Baseline) standardError(n int) float64 {
	return b.scatter * medianError / math.Sqrt(float64(n))
}
