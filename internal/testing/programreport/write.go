package programreport

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

const (
	// shownRequests and shownEvents bound the lines of one program.
	shownRequests = 12
	shownEvents   = 8
)

// texts returns the notes on what a report may lack.
func (c *counts) texts(limit int) []string {
	notes := []string{fmt.Sprintf("%d lines read", c.lines)}
	note := func(n int, format string, args ...any) {
		if n > 0 {
			notes = append(notes, fmt.Sprintf("%d "+format, append([]any{n}, args...)...))
		}
	}
	note(c.withoutEvent, "lines without an event were ignored")
	note(c.malformed, "lines of requests were malformed; %s", strings.Join(c.examples, "; "))
	note(c.tooLong, "lines longer than %d bytes were ignored", maxLine)
	note(c.withoutTime, "lines without a time got that of the line before")
	note(c.droppedLines, "lines were dropped by daemons (event=log-dropped); requests may lack their end")
	note(c.evicted, "programs without a problem until then were forgotten at the limit of %d programs; they are reported without their first requests if they had one later", limit)
	note(c.droppedPrograms, "requests belong to programs beyond the limit of %d programs and are missing", limit)
	note(c.droppedPending, "requests without an end were forgotten at the limit of %d", limit)
	note(c.droppedRequests, "requests beyond %d of one program are missing", maxRequests)
	note(c.droppedEvents, "daemon events beyond %d of one VM are missing", maxEvents)
	note(c.droppedVMs, "lines are of VMs beyond %d", maxVMs)
	if len(c.emptyInputs) > 0 {
		notes = append(notes, "empty logs: "+strings.Join(c.emptyInputs, ", "))
	}
	return notes
}

// Write prints a report: at most top programs, and at most top rows of each summary table.
func (r *Report) Write(w io.Writer, top int) error {
	out := bufio.NewWriter(w)
	for _, p := range r.Programs[:min(top, len(r.Programs))] {
		r.writeProgram(out, p)
	}
	if more := len(r.Programs) - top; more > 0 {
		fmt.Fprintf(out, "%d more programs are not shown\n\n", more)
	}
	fmt.Fprintf(out, "%d of %d programs were refused, failed, late or unfinished\n", len(r.Programs), r.Seen)
	writeTable(out, "cause", r.ByCause, top, false)
	writeTable(out, "priority level", r.ByLevel, top, true)
	writeTable(out, "organisation", r.ByOrganisation, top, true)
	fmt.Fprintln(out)
	for _, note := range r.Notes {
		fmt.Fprintln(out, "note:", note)
	}
	return Error.Wrap(out.Flush()) // reports the first failed write
}

func (r *Report) writeProgram(w io.Writer, p *Program) {
	fmt.Fprintf(w, "program %s: %s, cause: %s\n", p.ID, p.State, p.Cause)
	fmt.Fprintf(w, "  route %s, organisation %s, level %s, first request at %s, %s in all\n",
		strings.Join(p.routes(), " "), orUnknown(p.Organisation), orUnknown(p.Level), r.clockText(p.First), duration(p.Total))
	t := &p.Times
	var parts []string
	for _, part := range []struct {
		name string
		took time.Duration
	}{{"queue", t.Queue}, {"server", t.Server}, {"retry pause", t.RetryPause}, {"ledger", t.Ledger}, {"refused", t.Refused},
		{"rate limit", t.Limit}, {"caller", t.Caller}, {"other", t.Other}} {
		if part.took > 0 {
			parts = append(parts, part.name+" "+duration(part.took))
		}
	}
	fmt.Fprintf(w, "  time: %s\n", orUnknown(strings.Join(parts, ", ")))
	for i, request := range p.Requests {
		// The first requests and the last ones tell the most.
		if skipped := len(p.Requests) - shownRequests; skipped > 0 && i >= shownRequests/2 && i < shownRequests/2+skipped {
			if i == shownRequests/2 {
				fmt.Fprintf(w, "  (%d more requests)\n", skipped)
			}
			continue
		}
		fmt.Fprintf(w, "  +%s %s %s: %s\n", duration(request.Arrived), request.VM, request.ID, request.text())
	}
	for _, e := range p.Events[:min(shownEvents, len(p.Events))] {
		sign := "+"
		if e.At < 0 {
			sign = ""
		}
		fmt.Fprintf(w, "  event %s%s %s %s\n", sign, duration(e.At), e.VM, e.Text)
	}
	if more := len(p.Events) - shownEvents; more > 0 {
		fmt.Fprintf(w, "  (%d more events)\n", more)
	}
	fmt.Fprintln(w)
}

func (p *Program) routes() []string {
	routes := map[string]bool{}
	for _, r := range p.Requests {
		routes[orUnknown(r.Route)] = true
	}
	return slices.Sorted(maps.Keys(routes))
}

// text describes a request.
func (r *Request) text() string {
	var parts []string
	switch {
	case !r.Finished:
		parts = append(parts, "no end in the logs")
	case r.Status > 0:
		parts = append(parts, fmt.Sprintf("%s (%d) after %s", r.Outcome, r.Status, duration(r.Total)))
	default:
		parts = append(parts, fmt.Sprintf("%s after %s", r.Outcome, duration(r.Total)))
	}
	if r.Limit > 0 {
		parts = append(parts, "rate limit "+duration(r.Limit))
	}
	if r.Ledger > 0 {
		parts = append(parts, "ledger "+duration(r.Ledger))
	}
	if r.Queue > 0 {
		parts = append(parts, fmt.Sprintf("queue %s (%d waiting, %d running)", duration(r.Queue), r.Waiting, r.Running))
	}
	if r.HasSlack {
		parts = append(parts, "slack "+duration(r.Slack))
	}
	for _, a := range r.Attempts {
		text := fmt.Sprintf("server %s %s %s (%d in flight here, %d candidates", a.Server, a.Outcome, duration(a.Took), a.InFlight, a.Candidates)
		if a.Uncached != "" {
			text += ", " + a.Uncached + " tokens not cached"
		}
		parts = append(parts, text+")")
	}
	if r.Response != "" {
		parts = append(parts, r.Response)
	}
	if r.Resumed > 0 {
		parts = append(parts, fmt.Sprintf("resumed %d times", r.Resumed))
	}
	return strings.Join(parts, ", ")
}

// writeTable prints the first rows of a summary. The number of all programs is known for those tables only whose names
// programs without a problem have too.
func writeTable(w io.Writer, name string, rows []Row, top int, seen bool) {
	if len(rows) == 0 {
		return
	}
	fmt.Fprintln(w)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := "programs"
	if seen {
		header = "programs\tof all"
	}
	fmt.Fprintf(table, "%s\t%s\tfailed\tunfinished\tlate\trecovered\twaited\trefused\n", name, header)
	for _, row := range rows[:min(top, len(rows))] {
		programs := fmt.Sprint(row.Programs)
		if seen {
			programs = fmt.Sprintf("%d\t%d", row.Programs, row.Seen)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", row.Name, programs, row.Failed, row.Unfinished, row.Late, row.Recovered, row.Waited, row.Refused)
	}
	_ = table.Flush() // the buffered writer below keeps its first error
	if more := len(rows) - top; more > 0 {
		fmt.Fprintf(w, "(%d more)\n", more)
	}
}

// clockText returns a time of the logs.
func (r *Report) clockText(at time.Duration) string {
	if r.wall {
		return time.Unix(0, int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
	}
	return fmt.Sprintf("%.3f s", at.Seconds())
}

func duration(d time.Duration) string { return fmt.Sprintf("%d ms", d.Milliseconds()) }

func orUnknown(text string) string {
	if text == "" {
		return "(unknown)"
	}
	return text
}
