package programreport

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
	"unicode"
)

// State is how a program ended, as far as logs tell.
type State string

// States of programs, the worst first.
const (
	// Failed means that the last request got no answer or a server's error.
	Failed State = "failed"
	// Unfinished means that the last request has no end in the logs.
	Unfinished State = "unfinished"
	// Late means that a request had to wait so long for a slot that it could only end after the time allowed.
	Late State = "late"
	// Recovered means that a request was refused or failed, and the last one was answered.
	Recovered State = "recovered"
)

var stateOrder = map[State]int{Failed: 0, Unfinished: 1, Late: 2, Recovered: 3}

// Times are the parts of a program's time by what took it.
type Times struct {
	// Queue is the time in the queue of requests that then got a slot, Limit the time for which a rate limit held
	// requests up.
	Queue, Limit time.Duration
	// Server is the time of attempts at servers.
	Server time.Duration
	// Ledger is the time until histories and reservations were there, or until it was clear that they would not be.
	Ledger time.Duration
	// Refused is the time of requests that were refused before any attempt, their time in the queue included.
	Refused time.Duration
	// RetryPause is the time from a failed request to the next one, Caller that from an answered one.
	RetryPause, Caller time.Duration
	// Other is the rest of the time at front daemons.
	Other time.Duration
}

// Program is a program with a problem.
type Program struct {
	ID, Organisation, Level string
	State                   State
	// Cause is what failed the last request of a failed program, and otherwise what took the most time beyond what idle
	// servers would have taken.
	Cause string
	// First is the arrival of the first request, and Total the time from it to the last end.
	First, Total time.Duration
	Times        Times
	Requests     []*Request
	Events       []Event
	waited       bool
	refused      bool
}

// Request is one request of a program.
type Request struct {
	ID, VM, Route, Outcome string
	Status                 int
	// Arrived is relative to the arrival of the program's first request.
	Arrived, Total, Ledger, Queue, Limit time.Duration
	// Slack is how much later the request could have got its slot; valid if HasSlack.
	Slack            time.Duration
	HasSlack         bool
	Waiting, Running int
	Resumed          int
	Attempts         []Attempt
	// Response describes the last server's response if the request failed, and why it was quarantined; empty if unknown.
	Response string
	Finished bool
}

// Event is an event of one of a program's front daemons.
type Event struct {
	// At is relative to the arrival of the program's first request.
	At       time.Duration
	VM, Text string
}

// Row is a row of a summary table.
type Row struct {
	Name string
	// Seen counts all programs, the others those with a problem.
	Seen, Programs, Failed, Unfinished, Late, Recovered int
	// Waited counts programs with a request that waited for a slot, Refused those with a request that was refused before
	// any attempt.
	Waited, Refused int
}

// Report is the result of an analysis.
type Report struct {
	// Programs has the programs with a problem, the worst first.
	Programs []*Program
	// Seen counts all programs.
	Seen                             int
	ByCause, ByLevel, ByOrganisation []Row
	// Notes tell what the report may lack.
	Notes []string
	wall  bool
}

// eventMargin is how long before a program's first request the reported daemon events begin, since it may have met
// their consequences.
const eventMargin = time.Second

// Report returns the report on all logs read. The analysis must not be used afterwards.
func (a *Analysis) Report() *Report {
	for a.pendingOrder.Len() > 0 {
		a.endRequest(a.pendingOrder.Front().Value.(*request))
	}
	for _, v := range a.vms {
		slices.SortStableFunc(v.events, func(x, y event) int { return cmp.Compare(x.at, y.at) })
	}
	r := &Report{Seen: len(a.programs) + a.notes.evicted, wall: a.clock == clockWall}
	causes, levels, organisations := table{}, table{}, table{}
	for name, n := range a.seen {
		organisations.row(name).Seen += n
		levels.row("").Seen += n
	}
	for _, p := range a.programs {
		slices.SortStableFunc(p.requests, func(x, y *request) int { return cmp.Compare(x.arrived, y.arrived) })
		level := a.level(p)
		organisations.row(p.organisation).Seen++
		levels.row(level).Seen++
		state := p.state()
		if state == "" {
			continue
		}
		e := a.explain(p, state)
		e.Level = level
		r.Programs = append(r.Programs, e)
		for _, row := range []*Row{causes.row(e.Cause), levels.row(level), organisations.row(p.organisation)} {
			row.add(e)
		}
	}
	slices.SortFunc(r.Programs, func(x, y *Program) int {
		return cmp.Or(cmp.Compare(stateOrder[x.State], stateOrder[y.State]), cmp.Compare(y.Total, x.Total), cmp.Compare(x.First, y.First), cmp.Compare(x.ID, y.ID))
	})
	r.ByCause, r.ByLevel, r.ByOrganisation = causes.rows(), levels.rows(), organisations.rows()
	r.Notes = a.notes.texts(a.limit)
	return r
}

// state returns the state of a program, or "" if it had no problem. Its requests are sorted by arrival.
func (p *program) state() State {
	last := p.last()
	switch {
	case last == nil:
		return ""
	case !last.finished && !last.queueRefused:
		return Unfinished
	case last.failed():
		return Failed
	case slices.ContainsFunc(p.requests, (*request).isLate):
		return Late
	case slices.ContainsFunc(p.requests, (*request).hasProblem):
		return Recovered
	}
	return ""
}

// last returns the request that ended last; one without an end counts unless a later one arrived.
func (p *program) last() *request {
	var last *request
	for _, r := range p.requests {
		if last == nil || !last.finished || r.ended >= last.ended || !r.finished {
			last = r
		}
	}
	return last
}

// level returns the priority level of a program, that of others of the same route and organisation if none of its
// requests waited, or "".
func (a *Analysis) level(p *program) string {
	for _, r := range p.requests {
		if r.level != "" {
			return r.level
		}
	}
	for _, r := range p.requests {
		if level := a.levels[levelKey{r.route, p.organisation}]; level != "" {
			return level
		}
	}
	return ""
}

// explain describes a program in a state.
func (a *Analysis) explain(p *program, state State) *Program {
	e := &Program{ID: p.id, Organisation: p.organisation, State: state, First: p.requests[0].arrived}
	var end, excess time.Duration
	end = e.First
	var before *request // the request that ended last so far
	for _, r := range p.requests {
		if gap := r.arrived - end; before != nil && gap > 0 {
			if before.finished && !before.failed() {
				e.Times.Caller += gap
			} else {
				e.Times.RetryPause += gap
			}
		}
		if before == nil || r.ended >= end {
			before, end = r, max(end, r.ended)
		}
		excess += a.addTimes(&e.Times, r)
		e.waited = e.waited || r.waited
		e.refused = e.refused || r.wasRefused()
		e.Requests = append(e.Requests, &Request{ID: r.key.id, VM: r.key.vm, Route: r.route, Outcome: r.outcome, Status: r.status,
			Arrived: r.arrived - e.First, Total: r.total, Ledger: r.ledger, Queue: r.queue, Limit: r.held, Slack: r.slack, HasSlack: r.hasSlack,
			Waiting: r.waiting, Running: r.running, Resumed: r.resumed, Attempts: r.attempts, Response: r.response, Finished: r.finished})
	}
	e.Total = end - e.First
	e.Cause = cause(p.last(), state, &e.Times, excess)
	e.Events = a.events(p, e.First, end)
	return e
}

// wasRefused reports whether a front daemon refused the request before any attempt.
func (r *request) wasRefused() bool {
	return r.queueRefused || r.finished && r.failed() && len(r.attempts) == 0
}

// ledgerOutcomes are the outcomes of requests that the ledger failed.
var ledgerOutcomes = map[string]bool{"history-unsure": true, "budget-unsure": true, "turn-not-kept": true}

// addTimes adds a request's times, and returns the time at servers beyond that of idle ones.
func (a *Analysis) addTimes(t *Times, r *request) (excess time.Duration) {
	if !r.finished {
		t.Ledger, t.Limit = t.Ledger+r.ledger, t.Limit+r.held
		if r.queueRefused {
			t.Refused += r.queue
		} else {
			t.Queue += r.queue
		}
		return 0
	}
	left := r.total
	take := func(d time.Duration) time.Duration {
		d = min(max(0, d), left)
		left -= d
		return d
	}
	if r.wasRefused() {
		if ledgerOutcomes[r.outcome] {
			t.Ledger += left
		} else {
			t.Refused += left
		}
		return 0
	}
	t.Limit += take(r.held)
	t.Ledger += take(r.ledger)
	t.Queue += take(r.queue)
	var server time.Duration
	for _, attempt := range r.attempts {
		server += attempt.Took
	}
	server = take(server) // attempts of a hedged request overlap
	t.Server += server
	if r.outcome == "turn-not-kept" { // the rest was spent waiting for the record
		t.Ledger += take(left)
	}
	t.Other += left
	alone := r.alone
	if stats := a.routes[r.route]; alone == 0 && stats != nil {
		alone = stats.alone / time.Duration(stats.count)
	}
	if !r.failed() {
		server = max(0, server-alone)
	}
	return server
}

// cause returns the cause of a program's state.
func cause(last *request, state State, t *Times, excess time.Duration) string {
	switch {
	case state == Unfinished:
		return "unfinished"
	case state == Failed && ledgerOutcomes[last.outcome]:
		return "ledger: " + last.outcome
	case state == Failed && last.outcome == "caller-left":
		return "caller left"
	case state == Failed && len(last.attempts) > 0:
		return "server: " + last.attempts[len(last.attempts)-1].Outcome
	case state == Failed && last.outcome == "":
		return "refused: in the queue" // the end of the request is missing
	case state == Failed:
		return "refused: " + last.outcome
	}
	most, name := time.Duration(0), "unknown"
	for _, c := range []struct {
		name string
		took time.Duration
	}{{"queue", t.Queue}, {"refused", t.Refused}, {"retry pause", t.RetryPause}, {"server", excess}, {"ledger", t.Ledger}, {"rate limit", t.Limit}} {
		if c.took > most {
			most, name = c.took, c.name
		}
	}
	return name
}

// events returns the daemon events at a program's front daemons in a period. Those of a server are included only if the
// program had an attempt there.
func (a *Analysis) events(p *program, from, to time.Duration) []Event {
	vms, servers := map[string]bool{}, map[string]bool{}
	for _, r := range p.requests {
		vms[r.key.vm] = true
		for _, attempt := range r.attempts {
			servers[serverName(attempt.Server)] = true
		}
	}
	if last := p.last(); !last.finished {
		to += unfinishedMargin
	}
	var events []Event
	for _, name := range slices.Sorted(maps.Keys(vms)) {
		v := a.vms[name]
		if v == nil {
			continue // one of the VMs beyond maxVMs
		}
		begin, _ := slices.BinarySearchFunc(v.events, from-eventMargin, func(e event, at time.Duration) int { return cmp.Compare(e.at, at) })
		for _, e := range v.events[begin:] {
			if e.at > to {
				break
			}
			if e.server == "" || servers[e.server] {
				events = append(events, Event{At: e.at - from, VM: name, Text: e.name + e.text})
			}
		}
	}
	slices.SortStableFunc(events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return events
}

// unfinishedMargin is how long after the last line of a request without an end daemon events are reported: a restarted
// daemon logs its start within some seconds.
const unfinishedMargin = 10 * time.Second

// serverName returns the name of a server without its start.
func serverName(id string) string {
	name, _, _ := strings.Cut(id, "@")
	return name
}

// clean replaces characters of a log that must not reach a terminal, and bounds the length. It copies the text, so that
// the line it is from is not kept in memory.
func clean(text string, length int) string {
	text = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
	if len(text) > length {
		text = strings.ToValidUTF8(text[:length], "") + "…"
	}
	return strings.Clone(text)
}

// table has the rows of a summary by name.
type table map[string]*Row

func (t table) row(name string) *Row {
	if name == "" {
		name = "(unknown)"
	}
	if t[name] == nil {
		t[name] = &Row{Name: name}
	}
	return t[name]
}

// rows returns the rows that have programs with a problem, the worst first.
func (t table) rows() []Row {
	var rows []Row
	for _, row := range t {
		if row.Programs > 0 {
			rows = append(rows, *row)
		}
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(y.Failed+y.Unfinished+y.Late, x.Failed+x.Unfinished+x.Late), cmp.Compare(y.Programs, x.Programs), strings.Compare(x.Name, y.Name))
	})
	return rows
}

func (row *Row) add(p *Program) {
	row.Programs++
	switch p.State {
	case Failed:
		row.Failed++
	case Unfinished:
		row.Unfinished++
	case Late:
		row.Late++
	case Recovered:
		row.Recovered++
	}
	if p.waited {
		row.Waited++
	}
	if p.refused {
		row.Refused++
	}
}

// responseText describes why a request was quarantined, and the last server's response to a request that failed or whose
// response ended inside an event.
func responseText(r *request, l *line) string {
	var texts []string
	if l.fields["ended_servers"] != "" {
		texts = append(texts, fmt.Sprintf("%d servers ended under this content (%s, %s), the last %d ms before", l.integer("ends"),
			clean(l.fields["content"], 32), clean(l.fields["ended_servers"], 200), l.integer("knowledge_age_ms")))
	}
	framing, unfinished := l.fields["framing"], l.integer("unfinished_bytes")
	if framing != "" && (r.failed() || unfinished > 0) {
		text := "response framed by " + clean(framing, 20)
		if l.fields["events"] != "" {
			text += fmt.Sprintf(" after %d events and %d unfinished bytes", l.integer("events"), unfinished)
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, "; ")
}
