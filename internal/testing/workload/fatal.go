package workload

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rookpass/rookpass/platform/platformtest"
)

// fatalMark marks the body of a fatal request: one that ends each server that runs it. The content behind it tells such
// requests apart.
const fatalMark = "fatal content: "

// lateMark marks the content of a fatal request that ends a server in the middle of its stream.
const lateMark = "late-"

// endsLate reports whether a fatal request ends a server in the middle of its stream.
func endsLate(body string) bool { return strings.HasPrefix(fatalContent(body), lateMark) }

// fatalContent returns what tells a fatal request from others.
func fatalContent(body string) string {
	_, content, _ := strings.Cut(body, fatalMark)
	return content
}

// NewFatalContent returns the content of a fatal request that was not used before.
func NewFatalContent() string { return fmt.Sprint("f", lastID.Add(1)) }

// NewLateFatalContent returns the same for one that ends servers in the middle of their stream.
func NewLateFatalContent() string { return lateMark + NewFatalContent() }

// slowMark marks the content of a fatal request that ends a server only after slowDelay, so that it is hedged.
const (
	slowMark  = "slow-"
	slowDelay = 500 * time.Millisecond
)

// NewSlowFatalContent returns the same for one that ends servers only after a while.
func NewSlowFatalContent() string { return slowMark + NewFatalContent() }

// delayedMark marks the content of a fatal request that ends a server only after fatalDelay, also if its caller has left by then.
const (
	delayedMark = "delayed-"
	fatalDelay  = 300 * time.Millisecond
)

// longDelayedMark marks the content of one that does so after longFatalDelay, as if its server did not drop requests.
const (
	longDelayedMark = "long-delayed-"
	longFatalDelay  = 900 * time.Millisecond
)

// NewLongDelayedFatalContent returns the content of a fatal request that ends servers long after they got it.
func NewLongDelayedFatalContent() string { return longDelayedMark + NewFatalContent() }

// NewDelayedFatalContent returns the content of a fatal request that ends servers some time after they got it.
func NewDelayedFatalContent() string { return delayedMark + NewFatalContent() }

// sparingMark marks the content of a fatal request that each third server survives.
const (
	sparingMark   = "sparing-"
	sparedServers = 3
)

// NewSparingFatalContent returns the content of a fatal request that each third server survives and answers well.
func NewSparingFatalContent() string { return sparingMark + NewFatalContent() }

// MaxServerEnds is how many servers may end under one request before it is refused.
const MaxServerEnds = 3

// FatalRequest is a request that ends each server that runs it, and how often and with which pause its caller repeats it.
type FatalRequest struct {
	// Path is the path of a route; the request has the same path below it each time.
	Path    string
	Content string
	// Program is the program of the request; empty for none. NewPrograms starts another one for each attempt.
	Program     string
	NewPrograms bool
	Attempts    int
	Pause       time.Duration
	// Patience is the time after which the caller gives an attempt up; 0 for its deadline.
	Patience time.Duration
	// Vary changes what an attempt of the given number sends; nil for nothing.
	Vary func(n int, r *http.Request)
}

// FatalResult is what a caller saw of a fatal request: the status of each attempt, 0 for a broken-off answer, and how
// long each took.
type FatalResult struct {
	Statuses []int
	Took     []time.Duration
}

// Refused returns how many attempts were refused as not run.
func (r FatalResult) Refused() int {
	n := 0
	for _, status := range r.Statuses {
		if status == http.StatusServiceUnavailable {
			n++
		}
	}
	return n
}

// SendFatal sends a fatal request again and again with the same content, each time with a new ID and to a front daemon
// that it draws from fronts.
func (c *Caller) SendFatal(fronts []string, f FatalRequest) FatalResult {
	var result FatalResult
	for n := range f.Attempts {
		if n > 0 {
			time.Sleep(f.Pause)
		}
		id := fmt.Sprintf("x%d", lastID.Add(1))
		call := platformtest.Call{ID: id, Program: f.Program, Deadline: callDeadline, MaxOutputTokens: maxTurnTokens}
		if f.NewPrograms {
			call.Program = fmt.Sprint("p", id)
		}
		if call.Program != "" {
			call.Budget = tokenBudget(false)
		}
		c.attempt(&result, fronts, f.Path, f.Content, call, fatalMark+f.Content, cmp.Or(f.Patience, call.Deadline), func(r *http.Request) {
			if f.Vary != nil {
				f.Vary(n, r)
			}
		})
	}
	return result
}

// attempt sends a request to a front daemon that it draws from fronts, and adds to result what its caller saw.
func (c *Caller) attempt(result *FatalResult, fronts []string, path, content string, call platformtest.Call, body string, patience time.Duration, vary func(*http.Request)) {
	c.checker.RecordSent(call.ID, body, path == "/lookup/" || path == resumablePath)
	c.mu.Lock()
	front := fronts[c.random.IntN(len(fronts))]
	c.mu.Unlock()
	began := time.Now()
	status, _, _, err := c.sendVaried(front, path+content, call, body, patience, vary)
	result.Took = append(result.Took, time.Since(began))
	result.Statuses = append(result.Statuses, c.recordStatus(call.ID, status, err))
}

// popularPause is the pause between two copies of the popular request by one caller.
const popularPause = 30 * time.Millisecond

// RunImpatient sends calls and streams to a server again and again, the same n times, and gives each up after another time between
// least and most.
func (c *Caller) RunImpatient(path string, n int, least, most, pause time.Duration) FatalResult {
	var result FatalResult
	content, program := NewFatalContent(), fmt.Sprintf("p%d", lastID.Add(1))
	for i := range n {
		id := fmt.Sprintf("z%d", lastID.Add(1))
		call := platformtest.Call{ID: id, Deadline: callDeadline, MaxOutputTokens: maxTurnTokens}
		if path == "/turn/" || path == resumablePath {
			call.Program, call.Budget = program, tokenBudget(false)*int64(n)
		}
		patience := least + (most-least)*time.Duration(i%7)/6
		c.attempt(&result, c.fronts, path, content, call, "impatient "+content, patience, func(*http.Request) {})
		time.Sleep(pause)
	}
	return result
}

// RunPopular sends copies of one harmless request, the same for all callers, until stop is closed.
func (c *Caller) RunPopular(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(popularPause):
		}
		id := fmt.Sprintf("y%d", lastID.Add(1))
		c.checker.RecordSent(id, "popular", true)
		c.mu.Lock()
		front := c.fronts[c.random.IntN(len(c.fronts))]
		c.mu.Unlock()
		status, _, _, err := c.sendPath(front, "/lookup/popular", platformtest.Call{ID: id, Deadline: callDeadline}, "popular")
		c.recordStatus(id, status, err)
	}
}

const (
	// fatalAttempts is how often a caller sends a fatal request, fatalPause the pause between two attempts.
	fatalAttempts = 6
	fatalPause    = 150 * time.Millisecond
	// fatalInterval is the time between two fatal requests.
	fatalInterval = 2 * time.Second
)

// fatalPaths are the routes to which fatal requests are sent in turn.
var fatalPaths = []string{"/lookup/", "/tool/", resumablePath, "/turn/"}

// RunFatal sends one fatal request after the other until stop is closed, and checks how many servers end under each.
func (c *Caller) RunFatal(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(fatalInterval):
		}
		f, got := c.sendNextFatal(n, givenUpForms[n%len(givenUpForms)])
		c.checkServerEnds(f, got)
	}
}

// fatalForm is when a fatal request ends servers, and after which time its caller gives an attempt up; 0 for its deadline.
type fatalForm struct {
	newContent func() string
	patience   time.Duration
}

// givenUpForms are the forms of fatal requests beside faults. Their number is no multiple of that of the paths.
var givenUpForms = []fatalForm{{NewFatalContent, 0}, {NewDelayedFatalContent, 100 * time.Millisecond}, {NewLateFatalContent, 0},
	{NewFatalContent, 400 * time.Millisecond}, {NewFatalContent, 100 * time.Millisecond}}

// checkServerEnds checks how many servers have ended under a fatal request.
func (c *Caller) checkServerEnds(f FatalRequest, got FatalResult) {
	if ends := c.checker.ServerEnds(f.Content); ends > MaxServerEnds {
		c.checker.AddViolation("%d servers ended under the request %s to %s, answered with %v", ends, f.Content, f.Path, got.Statuses)
	}
}

// CheckFatal sends a fatal request to each route and checks how many servers end under it. All daemons must be in touch.
func (c *Caller) CheckFatal() {
	for n := range fatalPaths {
		f, got := c.sendNextFatal(n, givenUpForms[0])
		c.checkServerEnds(f, got)
		if got.Refused() == 0 {
			c.checker.AddViolation("the request %s to %s that ends servers was not refused: %v", f.Content, f.Path, got.Statuses)
		}
	}
}

func (c *Caller) sendNextFatal(n int, form fatalForm) (FatalRequest, FatalResult) {
	f := FatalRequest{Path: fatalPaths[n%len(fatalPaths)], Content: form.newContent(), Attempts: fatalAttempts, Pause: fatalPause, Patience: form.patience}
	if f.Path == "/turn/" || f.Path == resumablePath {
		f.Program = f.Content
	}
	return f, c.SendFatal(c.fronts, f)
}
