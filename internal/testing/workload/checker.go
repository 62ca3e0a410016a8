package workload

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// Checker holds the promises against what callers and servers see.
type Checker struct {
	mu             sync.Mutex
	expectedBodies map[string]string
	runCounts      map[string]int
	idempotent     map[string]bool
	// organisations are the organisations of requests, sentAt when those were sent.
	organisations map[string]string
	sentAt        map[string]time.Time
	// revokedFrom is from when on an organisation's requests may not run that are sent later; served are the runs of its
	// requests.
	revokedFrom        map[string]time.Time
	runsByOrganisation map[string][]run
	refusals           map[string]int
	tokens             map[string]int64
	drainingSince      map[string]time.Time
	arrivals           map[string]int
	lateAllowedUntil   time.Time
	newestVersions     map[string]int64
	violations         []string
	// outcomes are how requests ended, by what callers saw.
	outcomes map[string]int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{expectedBodies: map[string]string{}, runCounts: map[string]int{}, idempotent: map[string]bool{}, organisations: map[string]string{}, sentAt: map[string]time.Time{}, revokedFrom: map[string]time.Time{}, runsByOrganisation: map[string][]run{}, refusals: map[string]int{},
		tokens: map[string]int64{}, drainingSince: map[string]time.Time{}, arrivals: map[string]int{}, newestVersions: map[string]int64{}, outcomes: map[string]int{}}
}

// AddViolation notes a broken promise.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

func (c *Checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// RecordSent notes a request: what a server must get, and whether it may run twice.
func (c *Checker) RecordSent(id, body string, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectedBodies[id] = body
	c.idempotent[id] = idempotent
}

// RecordSender notes whose a request is.
func (c *Checker) RecordSender(id, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.organisations[id] = organisation
	c.sentAt[id] = time.Now()
}

// RecordRevocation notes that an organisation's requests may not run that are sent later than a time.
func (c *Checker) RecordRevocation(organisation string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revokedFrom[organisation] = from
}

// run is one running of a request.
type run struct{ sent, ran time.Time }

// MaxRunsWithin returns the most requests of an organisation that were both sent and run within any window of a length.
func (c *Checker) MaxRunsWithin(organisation string, window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.runsByOrganisation[organisation]
	most := 0
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if !r.sent.Before(first.sent) && !r.ran.After(first.sent.Add(window)) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Runs returns how many requests of an organisation have run.
func (c *Checker) Runs(organisation string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runsByOrganisation[organisation])
}

// RecordIdentity notes what a server was told of a request's organisation, and whether its caller's key came along.
func (c *Checker) RecordIdentity(id, organisation string, key bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want := c.organisations[id]
	if organisation != want {
		c.addViolation("%s of %q came to a server as one of %q", id, want, organisation)
	}
	now, sent := time.Now(), c.sentAt[id]
	c.runsByOrganisation[want] = append(c.runsByOrganisation[want], run{sent, now})
	if from := c.revokedFrom[want]; !from.IsZero() && sent.After(from) {
		c.addViolation("%s of %q ran, sent %v after it had to be refused", id, want, sent.Sub(from))
	}
	if key {
		c.addViolation("%s came to a server with its caller's key", id)
	}
}

// RecordRun notes that a server began on a request.
func (c *Checker) RecordRun(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want, known := c.expectedBodies[id]
	if !known {
		c.addViolation("a server ran %q, which nobody sent", id)
		return
	}
	if body != want {
		c.addViolation("a server ran %s with %d bytes %.80q, not %d bytes %.80q", id, len(body), body, len(want), want)
	}
	c.runCounts[id]++
	if c.runCounts[id] > 1 && !c.idempotent[id] {
		c.addViolation("%s must run once and ran %d times", id, c.runCounts[id])
	}
	if status := c.refusals[id]; status != 0 {
		c.addViolation("%s was answered %d and ran later", id, status)
	}
}

// RecordRefusal notes an answer that says that the request has not run and never will.
func (c *Checker) RecordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[id] = status
	if c.runCounts[id] > 0 && !c.idempotent[id] {
		c.addViolation("%s ran and was answered %d", id, status)
	}
}

// RecordTokens notes tokens that a caller got of a program whose budget, with one turn's most above it, is limit.
func (c *Checker) RecordTokens(program string, tokens, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tokens[program] += tokens
	if c.tokens[program] > limit {
		c.addViolation("program %s handed out %d tokens of %d", program, c.tokens[program], limit)
	}
}

// drainTime is how long after a server's word that it leaves it may still get requests.
const drainTime = 2 * time.Second

// RecordDraining notes that a server has said that it leaves, or that its entry is no server's any more.
func (c *Checker) RecordDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drainingSince[server] = time.Now()
}

// RecordReturned notes that a server may get requests again.
func (c *Checker) RecordReturned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.drainingSince, server)
}

// AllowLateArrivals lets requests reach leaving servers until a time: a paused daemon's last ones arrive when it wakes.
func (c *Checker) AllowLateArrivals(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lateAllowedUntil = until
}

// RecordArrival notes that a request has reached a server.
func (c *Checker) RecordArrival(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[server]++
	now := time.Now()
	at, leaving := c.drainingSince[server]
	if leaving && now.Sub(at) > drainTime && now.After(c.lateAllowedUntil) {
		c.addViolation("%s reached server %s %v after it had said that it leaves", id, server, now.Sub(at))
	}
}

// Arrivals returns how many requests have reached a server.
func (c *Checker) Arrivals(server string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[server]
}

// RecordConfigVersion notes that one life of a front has served a route of a version, or refused one.
func (c *Checker) RecordConfigVersion(front string, version int64, known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known {
		c.newestVersions[front] = max(c.newestVersions[front], version)
	} else if version <= c.newestVersions[front] {
		c.addViolation("%s went back: it knows no route of version %d after it has served one of %d", front, version, c.newestVersions[front])
	}
}

// RecordOutcome counts how a request ended.
func (c *Checker) RecordOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[outcome]++
}

// Counts returns how many requests ended how, by what callers saw.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.outcomes)
}

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
