package workload

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Checker checks rookpass's invariants against what callers and backend servers observe. It is safe for concurrent use.
type Checker struct {
	mu             sync.Mutex
	expectedBodies map[string]string
	runCounts      map[string]int
	// answered holds the requests that a server has answered completely.
	answered   map[string]bool
	idempotent map[string]bool
	// organisations and sentAt hold the caller's organisation and the time of sending of each request.
	organisations map[string]string
	sentAt        map[string]time.Time
	// revokedFrom is the time after which an organisation's new requests must not run.
	revokedFrom        map[string]time.Time
	runsByOrganisation map[string][]run
	refusals           map[string]int
	tokens             map[string]int64
	drainingSince      map[string]time.Time
	arrivals           map[string]int
	lateAllowedUntil   time.Time
	newestVersions     map[string]int64
	// serverEnds holds the servers that each fatal request has ended.
	serverEnds map[string][]string
	// sparingRuns counts the runs of each fatal request that some servers survive.
	sparingRuns map[string]int
	violations  []string
	// outcomes is the number of requests by outcome, as callers saw it.
	outcomes map[string]int
}

// NewChecker returns a Checker without records.
func NewChecker() *Checker {
	return &Checker{expectedBodies: map[string]string{}, runCounts: map[string]int{}, answered: map[string]bool{}, idempotent: map[string]bool{}, organisations: map[string]string{}, sentAt: map[string]time.Time{}, revokedFrom: map[string]time.Time{}, runsByOrganisation: map[string][]run{}, refusals: map[string]int{},
		tokens: map[string]int64{}, drainingSince: map[string]time.Time{}, arrivals: map[string]int{}, newestVersions: map[string]int64{}, outcomes: map[string]int{}, serverEnds: map[string][]string{}, sparingRuns: map[string]int{}}
}

// AddViolation records a violated invariant.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordSent records a request: the body that a server must receive, and whether it may run more than once.
func (c *Checker) RecordSent(id, body string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectedBodies[id] = body
	c.idempotent[id] = idempotent
}

// RecordSender records the organisation of a request's caller, and the current time as the time of sending.
func (c *Checker) RecordSender(id, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.organisations[id] = organisation
	c.sentAt[id] = time.Now()
}

// RecordRevocation records that an organisation's requests must not run if they are sent after a time. The zero time
// lifts the revocation.
func (c *Checker) RecordRevocation(organisation string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedFrom[organisation] = from
}

// run is one execution of a request: when it was sent and when it ran.
type run struct{ sent, ran time.Time }

// MaxRunsWithin returns the maximum number of an organisation's requests that were both sent and run within a window of
// the given length.
func (c *Checker) MaxRunsWithin(organisation string, window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runsByOrganisation[organisation]
	maxRuns := 0
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && !r.ran.After(first.sent.Add(window)) {
				n++
			}
		}
		maxRuns = max(maxRuns, n)
	}
	return maxRuns
}

// Runs returns the number of executed requests of an organisation.
func (c *Checker) Runs(organisation string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runsByOrganisation[organisation])
}

// RecordIdentity records the organisation that a server received with a request, and whether it received the caller's
// key, which it must not.
func (c *Checker) RecordIdentity(id, organisation string, key bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want := c.organisations[id]
	if organisation != want {
		c.addViolation("%s of organisation %q reached a server with organisation %q", id, want, organisation)
	}
	now, sent := time.Now(), c.sentAt[id]
	c.runsByOrganisation[want] = append(c.runsByOrganisation[want], run{sent, now})
	if from := c.revokedFrom[want]; !from.IsZero() && sent.After(from) {
		c.addViolation("%s of organisation %q ran although it was sent %v after the revocation took effect", id, want, sent.Sub(from))
	}
	if key {
		c.addViolation("%s reached a server with its caller's key", id)
	}
}

// RecordRun records that a server started to execute a request.
func (c *Checker) RecordRun(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want, known := c.expectedBodies[id]
	if !known {
		c.addViolation("a server ran %q, which no caller sent", id)
		return
	}
	if body != want {
		c.addViolation("a server ran %s with %d bytes %.80q, want %d bytes %.80q", id, len(body), body, len(want), want)
	}
	c.runCounts[id]++
	if c.runCounts[id] > 1 && !c.idempotent[id] {
		c.addViolation("%s must run at most once but ran %d times", id, c.runCounts[id])
	}
	if status := c.refusals[id]; status != 0 {
		c.addViolation("%s was rejected with status %d and ran later", id, status)
	}
}

// RecordAnswered records that a server completes the answer to a request. It must be called before the caller can have
// the complete answer.
func (c *Checker) RecordAnswered(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered[id] = true
}

// RecordComplete records that a caller has received an answer that looks complete. A server must have completed it by
// then: the content alone does not show that an answer was broken off after its last byte or between two events.
func (c *Checker) RecordComplete(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.answered[id] {
		c.addViolation("the answer of %s is complete for its caller but not yet for any of the %d servers that ran it", id, c.runCounts[id])
	}
}

// RecordRefusal records a status which guarantees that the request has not run and will not run.
func (c *Checker) RecordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[id] = status
	if c.runCounts[id] > 0 && !c.idempotent[id] {
		c.addViolation("%s ran but was rejected with status %d", id, status)
	}
}

// RecordTokens records tokens that a caller received for a program. limit is the program's token budget plus the maximum
// of one turn.
func (c *Checker) RecordTokens(program string, tokens, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[program] += tokens
	if c.tokens[program] > limit {
		c.addViolation("program %s delivered %d tokens, limit %d", program, c.tokens[program], limit)
	}
}

// drainTime is the time after the start of draining during which a server may still receive requests.
const drainTime = 2 * time.Second

// RecordDraining records that a server is draining, or that its registry entry is no longer valid.
func (c *Checker) RecordDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[server] = time.Now()
}

// RecordReturned records that a server may receive requests again.
func (c *Checker) RecordReturned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, server)
}

// RecordServerEnd records that a fatal request has ended a start of a server. A start ends once, whatever further copies it got.
func (c *Checker) RecordServerEnd(content, start string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !slices.Contains(c.serverEnds[content], start) {
		c.serverEnds[content] = append(c.serverEnds[content], start)
	}
}

// spares counts a run of a fatal request, and reports whether the server survives it.
func (c *Checker) spares(content string) bool {
	if !strings.HasPrefix(content, sparingMark) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sparingRuns[content]++
	return c.sparingRuns[content]%sparedServers == 0
}

// ServerEnds returns how many servers a fatal request has ended.
func (c *Checker) ServerEnds(content string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serverEnds[content])
}

// AllowLateArrivals permits requests to reach draining servers until a time, because a daemon may send pending requests
// when it is resumed after a pause.
func (c *Checker) AllowLateArrivals(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateAllowedUntil = until
}

// RecordArrival records that a request has reached a server.
func (c *Checker) RecordArrival(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[server]++
	now := time.Now()
	since, draining := c.drainingSince[server]
	if draining && now.Sub(since) > drainTime && now.After(c.lateAllowedUntil) {
		c.addViolation("%s reached server %s %v after it started draining", id, server, now.Sub(since))
	}
}

// Arrivals returns the number of requests that have reached a server.
func (c *Checker) Arrivals(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[server]
}

// RecordConfigVersion records whether a process of a front daemon knew the route that a configuration version added. A
// version must stay in force once it was seen.
func (c *Checker) RecordConfigVersion(front string, version int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.newestVersions[front] = max(c.newestVersions[front], version)
	} else if version <= c.newestVersions[front] {
		c.addViolation("%s reverted its configuration: it does not know a route of version %d but has served one of version %d", front, version, c.newestVersions[front])
	}
}

// RecordOutcome counts the outcome of a request.
func (c *Checker) RecordOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// Counts returns the number of requests by outcome, as callers saw it.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.outcomes)
}

// Violations returns the violated invariants.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
