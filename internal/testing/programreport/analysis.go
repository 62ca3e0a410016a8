// Package programreport explains from the logs of front daemons why programs failed or were late.
//
// It reads key=value lines as front daemons write them, of any number of daemons and in any order of daemons. The lines
// may have a simulated time in seconds and a VM name in front; otherwise a line's time and daemon fields are used, and
// for lines without the latter the name of the log.
//
// What logs can't tell:
//   - Whether a program met its time limit: only the caller knows when it began and when it had its last answer. A
//     program is reported if a request was refused, failed, or could only end late when a slot was free (slack_ms below
//     0), or if its last request has no end in the logs. A program that was late for any other reason, such as a slow
//     server, is missing.
//   - Why a request has no end: its daemon died, the logs end before it, or the line was dropped.
//   - What happened on the way to the caller and before a request reached a front daemon. Time between two requests is
//     a retry pause if the former failed, and otherwise the caller's own.
//   - How long a server should have taken. The estimate in wait lines (alone_ms), or its mean on the route, is used.
//   - The priority level of a program whose requests never waited, unless another program of the same route and
//     organisation did.
//
// Requests outside of any program are reported like programs of one request, and counted only if they had a problem.
//
// Without simulated times, times are those of the VMs' clocks, and pauses between requests at two VMs are off by the
// difference between their clocks. Two programs with the same ID are reported as one, also of different organisations.
package programreport

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("programreport")

const (
	// maxLine is the maximum length of a log line in bytes. Longer lines are counted and skipped.
	maxLine = 1 << 20
	// maxRequests bounds the requests kept of one program.
	maxRequests = 256
	// maxEvents bounds the daemon events kept of one VM, and maxVMs the VMs.
	maxEvents = 1000
	maxVMs    = 4096
	// maxNames bounds the names in summary tables. The deployments have up to 11,000 organisations.
	maxNames = 20000
	// maxExamples bounds the malformed lines that are quoted.
	maxExamples = 3
)

// Analysis collects what log lines tell about programs. Use New to create one.
type Analysis struct {
	limit    int
	programs map[string]*program
	// quiet has the programs without a problem so far, the least recently seen first.
	quiet *list.List
	// pending has the requests without an end so far, by VM and ID; pendingOrder the least recently begun first.
	pending      map[requestKey]*list.Element
	pendingOrder *list.List
	vms          map[string]*vm
	routes       map[string]*routeStats
	levels       map[levelKey]string
	seen         map[string]int // evicted programs by organisation
	names        map[string]string
	notes        counts
	clock        clock
}

type requestKey struct{ vm, id string }

type levelKey struct{ route, organisation string }

// clock tells which times of lines are used.
type clock int

const (
	clockUnknown clock = iota
	clockSimulated
	clockWall
)

// counts are what the report's notes tell.
type counts struct {
	lines, withoutEvent, malformed, tooLong, withoutTime int
	evicted, droppedPrograms, droppedRequests            int
	droppedPending, droppedEvents, droppedVMs            int
	droppedLines                                         int
	emptyInputs                                          []string
	examples                                             []string
}

// program is what is known of one program.
type program struct {
	id           string
	organisation string
	requests     []*request
	// marked is set if a request had a problem or has no end. quiet is the place in Analysis.quiet until then.
	marked bool
	quiet  *list.Element
}

// request is one request at one front daemon.
type request struct {
	key                          requestKey
	program, organisation, route string
	level                        string
	arrived, ended               time.Duration
	finished                     bool
	outcome                      string
	status                       int
	total, ledger, held, queue   time.Duration
	waited, queueRefused         bool
	alone, slack                 time.Duration
	hasSlack, hasTurn            bool
	waiting, running             int
	resumed                      int
	attempts                     []Attempt
	// response describes the last server's response if the request failed, and why it was quarantined; empty if unknown.
	response string
}

// vm is one front daemon's VM.
type vm struct {
	lastTime time.Duration
	events   []event
}

// event is an event of a daemon that changed what it believes.
type event struct {
	at     time.Duration
	name   string
	server string
	text   string
}

type routeStats struct {
	alone time.Duration
	count int
}

// New returns an analysis that keeps at most limit programs.
func New(limit int) *Analysis {
	return &Analysis{limit: max(1, limit), programs: map[string]*program{}, quiet: list.New(), pending: map[requestKey]*list.Element{},
		pendingOrder: list.New(), vms: map[string]*vm{}, routes: map[string]*routeStats{}, levels: map[levelKey]string{}, seen: map[string]int{}, names: map[string]string{}}
}

// Read reads a log. name stands for the VM in lines that name neither VM nor daemon. Lines that can't be parsed are
// counted; a log without any event is an error.
func (a *Analysis) Read(name string, r io.Reader) error {
	reader := bufio.NewReaderSize(r, 64<<10)
	events, lines := 0, 0
	for n := 1; ; n++ {
		text, tooLong, err := readLine(reader)
		if len(bytes.TrimSpace(text)) > 0 || tooLong {
			lines++
			a.notes.lines++
			switch l, ok := parseLine(string(text)); {
			case tooLong:
				a.notes.tooLong++
			case !ok:
				a.notes.withoutEvent++
			default:
				events++
				if problem := a.add(name, &l); problem != "" {
					a.notes.malformed++
					if len(a.notes.examples) < maxExamples {
						a.notes.examples = append(a.notes.examples, fmt.Sprintf("%s:%d: %s", name, n, problem))
					}
				}
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return Error.New("failed to read %s: %w", name, err)
		}
	}
	switch {
	case lines == 0:
		a.notes.emptyInputs = append(a.notes.emptyInputs, name)
	case events == 0:
		return Error.New("%s has no log events in its %d lines; expected key=value lines of a front daemon", name, lines)
	}
	return nil
}

// readLine returns the next line. A line longer than maxLine is skipped, and tooLong set.
func readLine(r *bufio.Reader) (text []byte, tooLong bool, err error) {
	for {
		piece, err := r.ReadSlice('\n')
		if !tooLong {
			text = append(text, piece...)
		}
		if len(text) > maxLine {
			text, tooLong = nil, true
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return text, tooLong, err
		}
	}
}

// daemonEvents are the events that change what a daemon believes or serves. True means that the event concerns one
// server, so that it is reported for programs with an attempt there only.
var daemonEvents = map[string]bool{
	"start": false, "stop": false, "reload": false, "drain": false, "drained": false,
	"config": false, "config-malformed": false, "organisation-refused": false, "layout-malformed": false, "evacuation": false,
	"exchange-failed": false, "relay-failed": false, "feed-source": false, "feed-stale": false,
	"watch-lost": false, "watch-regained": false, "servers-lost": false, "servers-regained": false, "log-dropped": false,
	"server": true, "server-gone": true, "server-refused": true, "server-restarted": true, "server-ended": true,
	"quarantine-report-failed": false,
}

// eventFields are the fields of daemon events that are reported, in this order.
var eventFields = []string{"server", "in_use", "content", "registrar", "state", "place", "hub", "source", "before", "why", "reason", "outcome", "data_centre", "evacuated",
	"version", "revision", "prefix", "calls", "active", "lines", "outage_ms", "missing", "error"}

// add adds a line, and returns what is wrong with it, if anything.
func (a *Analysis) add(name string, l *line) (problem string) {
	if l.vm == "" {
		l.vm = name
	}
	l.vm = a.name(l.vm)
	v := a.vm(l.vm)
	a.setTime(v, l)
	eventName := l.fields["event"]
	switch eventName {
	case "turn", "wait", "limit", "resume", "request":
		if l.fields["id"] == "" {
			return "event=" + eventName + " without an id"
		}
		return a.addRequestLine(eventName, l)
	}
	ofServer, known := daemonEvents[eventName]
	if !known {
		return ""
	}
	if eventName == "log-dropped" {
		a.notes.droppedLines += l.integer("lines")
	}
	if len(v.events) >= maxEvents {
		a.notes.droppedEvents++
		return ""
	}
	e := event{at: l.at, name: eventName}
	if ofServer {
		e.server = serverName(l.fields["server"])
	}
	for _, key := range eventFields {
		if value := l.fields[key]; value != "" {
			e.text += " " + key + "=" + clean(value, 80)
		}
	}
	v.events = append(v.events, e)
	return ""
}

// setTime decides which times are used, by the first line that has one. A line without such a time gets that of the
// line before it on its VM.
func (a *Analysis) setTime(v *vm, l *line) {
	if a.clock == clockUnknown && l.hasTime {
		a.clock = clockWall
		if l.simulated {
			a.clock = clockSimulated
		}
	}
	if !l.hasTime || l.simulated != (a.clock == clockSimulated) {
		a.notes.withoutTime++
		l.at = v.lastTime
	}
	v.lastTime = l.at
}

// vm returns the state of a VM. VMs beyond maxVMs share one.
func (a *Analysis) vm(name string) *vm {
	if v := a.vms[name]; v != nil {
		return v
	}
	if len(a.vms) >= maxVMs {
		a.notes.droppedVMs++
		name = "(other VMs)"
		if v := a.vms[name]; v != nil {
			return v
		}
	}
	v := &vm{}
	a.vms[name] = v
	return v
}

// name returns a name of a log fit for printing. Names occur in many requests, which share one copy.
func (a *Analysis) name(text string) string {
	if shared, known := a.names[text]; known {
		return shared
	}
	shared := clean(text, 64)
	if len(a.names) < maxNames && len(text) <= 64 {
		a.names[strings.Clone(text)] = shared
	}
	return shared
}

// addRequestLine adds a line that concerns one request.
func (a *Analysis) addRequestLine(eventName string, l *line) (problem string) {
	key := requestKey{l.vm, strings.Clone(l.fields["id"])} // a copy, so that the line is not kept in memory
	ms, hasMS := l.milliseconds("ms")
	if eventName != "resume" && eventName != "limit" && (!hasMS || ms < 0) {
		return "event=" + eventName + ": ms=" + clean(strconv.Quote(l.fields["ms"]), 40) + " is not a duration"
	}
	if element := a.pending[key]; element != nil && eventName == "turn" {
		if r := element.Value.(*request); r.hasTurn { // sent again to a daemon that never ended the first one
			a.endRequest(r)
		}
	}
	r := a.pendingRequest(key, l.at-ms, eventName != "request")
	r.ended = max(r.ended, l.at)
	if id := l.fields["program"]; id != "" {
		r.program = clean(id, 128)
	}
	for field, to := range map[string]*string{"organisation": &r.organisation, "route": &r.route, "level": &r.level} {
		if value := l.fields[field]; value != "" {
			*to = a.name(value)
		}
	}
	switch eventName {
	case "turn":
		r.hasTurn, r.ledger = true, max(0, ms-r.held)
	case "limit":
		r.held, _ = l.milliseconds("held_ms") // 0 if it was refused
	case "resume":
		r.resumed++
	case "wait":
		a.addWait(r, l, ms)
	case "request":
		return a.addEnd(r, l, ms)
	}
	return ""
}

func (a *Analysis) addWait(r *request, l *line, ms time.Duration) {
	r.waited, r.queue = true, r.queue+ms
	r.queueRefused = l.fields["outcome"] == "refused"
	r.waiting, r.running = l.integer("waiting"), l.integer("running")
	r.slack, r.hasSlack = l.milliseconds("slack_ms")
	r.alone, _ = l.milliseconds("alone_ms") // 0 if unknown
	if r.route == "" {
		return
	}
	if stats := a.routes[r.route]; r.alone > 0 {
		if stats == nil && len(a.routes) < maxNames {
			stats = &routeStats{}
			a.routes[r.route] = stats
		}
		if stats != nil {
			stats.alone, stats.count = stats.alone+r.alone, stats.count+1
		}
	}
	if r.level != "" && len(a.levels) < maxNames {
		a.levels[levelKey{r.route, r.organisation}] = r.level
	}
}

// addEnd adds the end of a request.
func (a *Analysis) addEnd(r *request, l *line, ms time.Duration) (problem string) {
	r.finished, r.total, r.arrived, r.ended = true, ms, l.at-ms, l.at
	r.outcome, r.status = a.name(l.fields["outcome"]), l.integer("status")
	attempts, ok := parseAttempts(l.fields["attempts"])
	if !ok {
		problem = "attempts=" + clean(l.fields["attempts"], 80) + " is malformed"
	}
	for i := range attempts {
		attempts[i].Server, attempts[i].Outcome, attempts[i].Uncached = a.name(attempts[i].Server), a.name(attempts[i].Outcome), a.name(attempts[i].Uncached)
	}
	r.attempts = attempts
	if r.outcome == "" {
		r.outcome = "(no outcome)"
		if status := r.serverStatus(); status > 0 && status < 500 {
			r.outcome = "answered"
		}
		problem = "event=request without an outcome"
	}
	r.response = responseText(r, l)
	a.endRequest(r)
	return problem
}

// pendingRequest returns the request without an end of a VM and ID. If there is none it begins one, and keeps it if
// further lines are to follow.
func (a *Analysis) pendingRequest(key requestKey, arrived time.Duration, keep bool) *request {
	if element := a.pending[key]; element != nil {
		return element.Value.(*request)
	}
	if !keep {
		return &request{key: key, arrived: arrived}
	}
	if len(a.pending) >= a.limit {
		a.notes.droppedPending++
		oldest := a.pendingOrder.Remove(a.pendingOrder.Front()).(*request)
		delete(a.pending, oldest.key)
	}
	r := &request{key: key, arrived: arrived}
	a.pending[key] = a.pendingOrder.PushBack(r)
	return r
}

// endRequest adds a request to its program. One outside of any program is kept only if it had a problem.
func (a *Analysis) endRequest(r *request) {
	if element := a.pending[r.key]; element != nil {
		a.pendingOrder.Remove(element)
		delete(a.pending, r.key)
	}
	id := r.program
	if id == "" {
		if r.finished && !r.hasProblem() {
			return
		}
		id = "request " + clean(r.key.id, 64)
	}
	p := a.program(id)
	if p == nil {
		return
	}
	if r.organisation != "" {
		p.organisation = r.organisation
	}
	if len(p.requests) >= maxRequests {
		a.notes.droppedRequests++
	} else {
		p.requests = append(p.requests, r)
	}
	if (r.hasProblem() || !r.finished) && !p.marked {
		p.marked = true
		a.quiet.Remove(p.quiet)
	}
}

// program returns a program, or nil if there is no memory for it. Programs without problems make room for others.
func (a *Analysis) program(id string) *program {
	if p := a.programs[id]; p != nil {
		if !p.marked {
			a.quiet.MoveToBack(p.quiet)
		}
		return p
	}
	if len(a.programs) >= a.limit {
		oldest := a.quiet.Front()
		if oldest == nil {
			a.notes.droppedPrograms++
			return nil
		}
		p := a.quiet.Remove(oldest).(*program)
		delete(a.programs, p.id)
		a.notes.evicted++
		if _, known := a.seen[p.organisation]; known || len(a.seen) < maxNames {
			a.seen[p.organisation]++
		}
	}
	p := &program{id: id}
	p.quiet = a.quiet.PushBack(p)
	a.programs[id] = p
	return p
}

// hasProblem reports whether the request marks its program: it was refused or failed, or could only end late.
func (r *request) hasProblem() bool {
	return r.finished && r.failed() || r.queueRefused || r.isLate()
}

func (r *request) isLate() bool { return r.hasSlack && r.slack < 0 }

// failed reports whether a request that has ended got no answer or a server's error. An answered request has no status
// of its own in the log; the last attempt has that of the server.
func (r *request) failed() bool {
	return r.outcome != "answered" || r.status >= 500 || r.serverStatus() >= 500
}

// serverStatus returns the status of the last attempt; 0 if it got no response.
func (r *request) serverStatus() int {
	if len(r.attempts) == 0 {
		return 0
	}
	status, _ := strconv.Atoi(r.attempts[len(r.attempts)-1].Outcome) // 0 on failure, as documented
	return status
}
