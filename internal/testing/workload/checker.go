package workload

import (
	"fmt"
	"maps"
	"sync"
	"time"
)

// Checker holds the promises against what callers and servers see.
type Checker struct {
	mu       sync.Mutex
	expected map[string]string
	runs     map[string]int
	repeat   map[string]bool
	// senders are the organisations of requests, sentAt when those were sent.
	senders map[string]string
	sentAt  map[string]time.Time
	// withdrawn is from when on an organisation's requests may not run that are sent later; served are the runs of its
	// requests.
	withdrawn map[string]time.Time
	served    map[string][]run
	refused   map[string]int
	handed    map[string]int64
	leaving   map[string]time.Time
	arrivals  map[string]int
	excused   time.Time
	seen      map[string]int64
	broken    []string
	// counts are how requests ended, by what callers saw.
	counts map[string]int
}

// NewChecker returns a checker that has seen nothing.
func NewChecker() *Checker {
	return &Checker{expected: map[string]string{}, runs: map[string]int{}, repeat: map[string]bool{}, senders: map[string]string{}, sentAt: map[string]time.Time{}, withdrawn: map[string]time.Time{}, served: map[string][]run{}, refused: map[string]int{},
		handed: map[string]int64{}, leaving: map[string]time.Time{}, arrivals: map[string]int{}, seen: map[string]int64{}, counts: map[string]int{}}
}

// AddViolation notes a broken promise.
func (c *Checker) AddViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail(format, args...)
}

func (c *Checker) fail(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// RecordSent notes a request: what a server must get, and whether it may run twice.
func (c *Checker) RecordSent(id, body string, repeatable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected[id] = body
	c.repeat[id] = repeatable
}

// RecordSender notes whose a request is.
func (c *Checker) RecordSender(id, organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.senders[id] = organisation
	c.sentAt[id] = time.Now()
}

// RecordRevocation notes that an organisation's requests may not run that are sent later than a time.
func (c *Checker) RecordRevocation(organisation string, from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withdrawn[organisation] = from
}

// run is one running of a request.
type run struct{ sent, ran time.Time }

// MaxRunsWithin returns the most requests of an organisation that were both sent and run within any window of a length.
func (c *Checker) MaxRunsWithin(organisation string, window time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	runs := c.served[organisation]
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
	return len(c.served[organisation])
}

// RecordIdentity notes what a server was told of a request's organisation, and whether its caller's key came along.
func (c *Checker) RecordIdentity(id, organisation string, key bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want := c.senders[id]
	if organisation != want {
		c.fail("%s of %q came to a server as one of %q", id, want, organisation)
	}
	now, sent := time.Now(), c.sentAt[id]
	c.served[want] = append(c.served[want], run{sent, now})
	if from := c.withdrawn[want]; !from.IsZero() && sent.After(from) {
		c.fail("%s of %q ran, sent %v after it had to be refused", id, want, sent.Sub(from))
	}
	if key {
		c.fail("%s came to a server with its caller's key", id)
	}
}

// RecordRun notes that a server began on a request.
func (c *Checker) RecordRun(id, body string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	want, known := c.expected[id]
	if !known {
		c.fail("a server ran %q, which nobody sent", id)
		return
	}
	if body != want {
		c.fail("a server ran %s with %d bytes %.80q, not %d bytes %.80q", id, len(body), body, len(want), want)
	}
	c.runs[id]++
	if c.runs[id] > 1 && !c.repeat[id] {
		c.fail("%s must run once and ran %d times", id, c.runs[id])
	}
	if status := c.refused[id]; status != 0 {
		c.fail("%s was answered %d and ran later", id, status)
	}
}

// RecordRefusal notes an answer that says that the request has not run and never will.
func (c *Checker) RecordRefusal(id string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused[id] = status
	if c.runs[id] > 0 && !c.repeat[id] {
		c.fail("%s ran and was answered %d", id, status)
	}
}

// RecordTokens notes tokens that a caller got of a program whose budget, with one turn's most above it, is limit.
func (c *Checker) RecordTokens(program string, tokens, limit int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handed[program] += tokens
	if c.handed[program] > limit {
		c.fail("program %s handed out %d tokens of %d", program, c.handed[program], limit)
	}
}

// drainTime is how long after a server's word that it leaves it may still get requests.
const drainTime = 2 * time.Second

// RecordDraining notes that a server has said that it leaves, or that its entry is no server's any more.
func (c *Checker) RecordDraining(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving[server] = time.Now()
}

// RecordReturned notes that a server may get requests again.
func (c *Checker) RecordReturned(server string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.leaving, server)
}

// AllowLateArrivals lets requests reach leaving servers until a time: a paused daemon's last ones arrive when it wakes.
func (c *Checker) AllowLateArrivals(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.excused = until
}

// RecordArrival notes that a request has reached a server.
func (c *Checker) RecordArrival(server, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[server]++
	now := time.Now()
	at, leaving := c.leaving[server]
	if leaving && now.Sub(at) > drainTime && now.After(c.excused) {
		c.fail("%s reached server %s %v after it had said that it leaves", id, server, now.Sub(at))
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
		c.seen[front] = max(c.seen[front], version)
	} else if version <= c.seen[front] {
		c.fail("%s went back: it knows no route of version %d after it has served one of %d", front, version, c.seen[front])
	}
}

// RecordOutcome counts how a request ended.
func (c *Checker) RecordOutcome(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

// Counts returns how many requests ended how, by what callers saw.
func (c *Checker) Counts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// Violations returns the broken promises.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.broken...)
}
