package gateway

import (
	"errors"
	"net/http"
	"sync"

	"github.com/sirupsen/logrus"

	"github.com/rookpass/rookpass/internal/base/membudget"
	"github.com/rookpass/rookpass/internal/turns/turn"
)

const (
	// requestBytes approximates the memory of a request beside its headers, body and response: stacks of goroutines,
	// readers and records of attempts.
	requestBytes = 8 << 10
	// headerCopies is how often a request's headers are held beside the head as received: as forwarded, and in one attempt.
	headerCopies = 2
	// headerFieldBytes approximates the memory of a field beside its name and value.
	headerFieldBytes = 96
	// recordCopies is how many encoded copies of a finished turn are held while it is recorded: one for each disk of the
	// nearest quorum.
	recordCopies = 2
	// initialBytes is reserved for outputs and histories of a route before any has been observed, and for its responses
	// if maxBufferedBytes does not fit.
	initialBytes = 8 << 10
	// minResponseBytes is the least that is reserved for a response.
	minResponseBytes = 4 << 10
	// sizeMargin is the factor by which a reservation exceeds the largest size that was recently observed.
	sizeMargin = 1.25
	// sizeDecay is the factor by which the largest observed size falls with each smaller one. It does not fall with time:
	// a crowd may come after hours without requests.
	sizeDecay = 0.98
	// maxExpectedBytes bounds the memory reserved in advance for one output or history. More is reserved as it arrives.
	maxExpectedBytes = 1 << 20
	// eventCopies is how often an event under way is held: its bytes, and the spare capacity of their buffer.
	eventCopies = 2
)

// reasonNoMemory is the refusal reason of requests that do not fit into the memory limit.
const reasonNoMemory = "no-memory"

// Outcomes of reservations that did not fit.
const (
	// memoryRefused: the request was refused.
	memoryRefused = "refused"
	// memoryUnbuffered: the response was forwarded without being buffered, so that another server can't replace it.
	memoryUnbuffered = "unbuffered"
	// memoryNoHedge: no further server was asked in parallel.
	memoryNoHedge = "no-hedge"
	// memoryAborted: a stream was aborted because an output or event that must be kept whole did not fit.
	memoryAborted = "aborted"
)

// sizeKind is a kind of size that is learnt by route.
type sizeKind int

const (
	responseSize sizeKind = iota
	outputSize
	historySize
)

type sizeKey struct {
	route string
	kind  sizeKind
}

// sizeEstimates learn the sizes of responses, outputs and histories by route. The zero value is ready for use.
type sizeEstimates struct {
	mu    sync.Mutex
	sizes map[sizeKey]float64
}

// observe records a size.
func (e *sizeEstimates) observe(route string, kind sizeKind, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.sizes == nil {
		e.sizes = map[sizeKey]float64{}
	}
	k := sizeKey{route, kind}
	e.sizes[k] = max(float64(n), sizeDecay*e.sizes[k])
}

// expect returns the size to reserve, at most limit; known is false if none was observed.
func (e *sizeEstimates) expect(route string, kind sizeKind, limit int64) (n int64, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	size, known := e.sizes[sizeKey{route, kind}]
	if !known {
		return initialBytes, false
	}
	return min(max(int64(sizeMargin*size), minResponseBytes), limit), true
}

// headerBytes returns the memory of headers.
func headerBytes(h http.Header) int64 {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + headerFieldBytes
		}
	}
	return int64(n)
}

// reserve reserves memory for the request, or returns a refusal. It must be called only while no server can have run
// the request.
func (x *exchange) reserve(c membudget.Class, n int64) *refusal {
	if err := x.memory.Reserve(c, n); err != nil {
		return x.memoryRefusal(err)
	}
	return nil
}

// memoryRefusal counts and logs a request that does not fit into the memory limit, and returns its refusal.
func (x *exchange) memoryRefusal(err error) *refusal {
	x.logMemoryExceeded(err, memoryRefused)
	// The connection is closed because idle connections hold memory too.
	x.w.Header().Set("Connection", "close")
	return &refusal{status: http.StatusServiceUnavailable, reason: reasonNoMemory, retryAfter: jitter(retryMemory), err: err}
}

// logMemoryExceeded counts and logs a reservation that did not fit.
func (x *exchange) logMemoryExceeded(err error, outcome string) {
	var exceeded *membudget.ExceededError
	if !errors.As(err, &exceeded) {
		return
	}
	x.g.stats.memoryExceeded(exceeded.Class, outcome)
	fields := logrus.Fields{"event": "memory", "id": x.requestInfo.ID, "route": x.route.Name, "outcome": outcome, "class": exceeded.Class.String(),
		"bytes": exceeded.Requested, "held": exceeded.Held, "limit": exceeded.Limit}
	for _, c := range membudget.Classes() {
		fields["held_"+c.String()] = x.g.memory.Held(c)
	}
	x.g.log.WithFields(fields).Warn("memory limit reached")
}

// reserveResponse reserves the request's fixed cost and the memory for its response, before it is sent to a server.
func (x *exchange) reserveResponse() *refusal {
	if refused := x.reserve(membudget.Connections, requestBytes+headerCopies*headerBytes(x.r.Header)); refused != nil {
		return refused
	}
	switch {
	case x.route.RetainTurns:
		expected, _ := x.g.sizes.expect(x.route.Name, outputSize, maxExpectedBytes)
		return x.reserve(membudget.Responses, minResponseBytes+(1+recordCopies)*expected)
	case x.streams():
		return x.reserve(membudget.Responses, minResponseBytes)
	default:
		expected, known := x.g.sizes.expect(x.route.Name, responseSize, maxBufferedBytes)
		if !known && x.memory.Reserve(membudget.Responses, maxBufferedBytes) == nil {
			return nil
		}
		return x.reserve(membudget.Responses, expected)
	}
}

// reserveRecord reserves memory for the copies of a retained turn's input that are made when it is recorded.
func (x *exchange) reserveRecord(input int) *refusal {
	if !x.route.RetainTurns {
		return nil
	}
	return x.reserve(membudget.Histories, recordCopies*int64(input))
}

// reserveHistory reserves memory for the turn's history before it is read, and returns the reserved number of bytes.
func (x *exchange) reserveHistory() (int64, *refusal) {
	if !x.route.RetainTurns || x.requestInfo.PreviousTurn == "" {
		return 0, nil
	}
	expected, _ := x.g.sizes.expect(x.route.Name, historySize, maxExpectedBytes)
	if x.memory.Reserve(membudget.Histories, expected) == nil {
		return expected, nil
	}
	// The turn may be near the beginning of its program. The actual size is checked once the history has been read.
	expected = min(expected, initialBytes)
	return expected, x.reserve(membudget.Histories, expected)
}

// adjustHistory changes the reservation for the history from the expected to its actual size.
func (x *exchange) adjustHistory(expected int64, chain []*turn.Record) *refusal {
	if len(chain) == 0 {
		x.memory.Release(membudget.Histories, expected)
		return nil
	}
	size := int64(0)
	for _, record := range chain {
		size += int64(len(record.Input) + len(record.Output))
	}
	if chain[len(chain)-1].Program != x.programKey() {
		size += (1 + recordCopies) * size // linkRecord copies it into the turn's record
	}
	x.g.sizes.observe(x.route.Name, historySize, int(min(size, maxExpectedBytes)))
	if size <= expected {
		x.memory.Release(membudget.Histories, expected-size)
		return nil
	}
	return x.reserve(membudget.Histories, size-expected)
}

// allocation is memory of a class for a buffer that grows. It may outlive the request.
type allocation struct {
	budget *membudget.Budget
	// bytes is the memory reserved.
	bytes int64
}

// takeAllocation moves memory that the request has reserved into an allocation.
func (x *exchange) takeAllocation() *allocation {
	a := &allocation{budget: x.g.memory, bytes: x.memory.Held(membudget.Responses)}
	x.memory.Disown(membudget.Responses, a.bytes)
	return a
}

// newAllocation reserves memory for a further attempt of a request. Further attempts are optional, so that they leave
// the same reserve as large requests.
func (x *exchange) newAllocation(n int64) (*allocation, error) {
	if err := x.g.memory.Reserve(membudget.Responses, n, membudget.Large); err != nil {
		return nil, err
	}
	return &allocation{budget: x.g.memory, bytes: n}, nil
}

// growTo reserves memory up to n bytes in total. The request runs, so that it may use the whole limit.
func (a *allocation) growTo(n int64) error {
	if n <= a.bytes {
		return nil
	}
	if err := a.budget.Reserve(membudget.Responses, n-a.bytes, membudget.Running); err != nil {
		return err
	}
	a.bytes = n
	return nil
}

// shrinkTo releases memory beyond n bytes.
func (a *allocation) shrinkTo(n int64) {
	if n < a.bytes {
		a.budget.Release(membudget.Responses, a.bytes-n)
		a.bytes = n
	}
}

// release releases all memory. It may be called more than once, and on nil.
func (a *allocation) release() {
	if a != nil {
		a.shrinkTo(0)
	}
}
